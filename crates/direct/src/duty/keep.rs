use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::Update;
use berylgw_core::usage::Record;
use berylgw_runtime::clock::uptime;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Answer, Shared, Subject, Tenure, Write};

/// Time between two looks at the ledger.
const TICK: Duration = Duration::from_millis(50);

/// Least time between two writes of the record.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed store call.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The record as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Stored {
    /// Fencing token of the writer.
    token: u64,
    record: Record,
}

/// The record under one tenure.
#[derive(Clone, Debug)]
struct Kept {
    token: u64,
    revision: u64,
    written: Instant,
}

/// Reads the record when the lease begins, and writes it when it has changed; never
/// returns.
pub async fn run(shared: Arc<Shared>) {
    let mut kept: Option<Kept> = None;
    loop {
        tokio::time::sleep(TICK).await;
        let Some(tenure) = shared.tenure() else {
            kept = None;
            continue;
        };
        if kept
            .as_ref()
            .is_none_or(|kept| kept.token != tenure.token())
        {
            kept = begin(&shared, tenure).await;
        }
        let Some(kept) = &mut kept else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        if uptime().since(kept.written) < WRITE_INTERVAL {
            continue;
        }
        let unsaved = shared.office.with_ledger(|ledger, _| ledger.unsaved());
        let Some((generation, record)) = unsaved.flatten() else {
            continue;
        };
        if save(&shared, tenure, kept, record).await {
            shared
                .office
                .with_ledger(|ledger, _| ledger.saved(generation));
        } else {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Reads the record and begins the duty with it, if the lease is still held then.
async fn begin(shared: &Shared, tenure: Tenure) -> Option<Kept> {
    let (revision, value) = read(shared, tenure).await?;
    let is_malformed = value.is_some();
    let stored = value.and_then(decode);
    let is_malformed = is_malformed && stored.is_none();
    // Another writer may have been the holder since.
    shared
        .tenure()
        .filter(|now| now.token() == tenure.token())?;
    let writer = stored.as_ref().map(|stored| stored.token);
    let token = tenure.token();
    let record = stored.map(|stored| stored.record);
    // A malformed record is like one from before a restore: what was reported under it
    // is not known.
    let (record, era) = match is_malformed {
        true => (Some(Record::default()), tenure.era.max(1)),
        false => (record, tenure.era),
    };
    shared.office.begin(token, record, era);
    tracing::info!(
        token,
        era = tenure.era,
        revision,
        writer,
        "usage record read; duty begun"
    );
    Some(Kept {
        token,
        revision,
        written: Instant::ORIGIN,
    })
}

/// Reads the object: its revision, 0 if it does not exist, and value.
async fn read(shared: &Shared, tenure: Tenure) -> Option<(u64, Option<Value>)> {
    let Answer { era, value } = (shared.calls.read)(Subject::Usage).await;
    match value {
        Ok(_) if era != Some(tenure.era) => None,
        Ok(None) => Some((0, None)),
        Ok(Some((revision, value))) => Some((revision, Some(value))),
        Err(error) => {
            let token = tenure.token();
            tracing::warn!(token, %error, "reading the usage record failed");
            None
        }
    }
}

fn decode(value: Value) -> Option<Stored> {
    match serde_json::from_value(value) {
        Ok(stored) => Some(stored),
        Err(error) => {
            tracing::error!(%error, "usage record is malformed; starting without it");
            None
        }
    }
}

/// Writes the record; returns whether the store has it.
async fn save(shared: &Shared, tenure: Tenure, kept: &mut Kept, record: Record) -> bool {
    let token = tenure.token();
    let value = match serde_json::to_value(Stored { token, record }) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(token, %error, "usage record could not be encoded");
            return false;
        }
    };
    let began = uptime();
    let writing = (shared.calls.write)(Write {
        subject: Subject::Usage,
        expected: kept.revision,
        value: value.clone(),
    });
    let Answer { era, value: update } = writing.await;
    let took_ms = uptime().since(began).as_millis() as u64;
    // Accepted by a restored store for a stale revision, it does not count.
    if era.is_some_and(|era| era != tenure.era) {
        return false;
    }
    kept.written = began;
    let outcome = match update {
        Update::Applied(revision) => {
            kept.revision = revision;
            shared.metrics.count_write("applied");
            return true;
        }
        Update::Refused => "refused",
        Update::Conflict => "conflict",
        Update::Unknown => "unknown",
    };
    shared.metrics.count_write(outcome);
    tracing::warn!(
        token,
        revision = kept.revision,
        took_ms,
        outcome,
        "usage record not written"
    );
    // A refused write may be repeated at once: it was none.
    kept.written = Instant::ORIGIN;
    if update == Update::Refused {
        return false;
    }
    // Either this write or an earlier one may have changed the object.
    let Some((revision, stored)) = read(shared, tenure).await else {
        return false;
    };
    if stored.as_ref() == Some(&value) {
        kept.revision = revision;
        kept.written = began;
        return true;
    }
    let writer = stored.and_then(decode).map_or(0, |stored| stored.token);
    if writer > token {
        tracing::error!(token, writer, "usage record has a later writer; lease ends");
        shared.makes_way.store(true, Ordering::Relaxed);
        return false;
    }
    // The write of a former holder that was carried out late. That holder did not learn
    // that it was stored, so nothing was acknowledged or reported under it.
    kept.revision = revision;
    false
}
