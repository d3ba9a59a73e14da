//! Graceful stop of an entry.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::drain::{Shutdown, Times};
use berylgw_core::member::{Observation, State};
use futures_util::future::join_all;

use crate::members::{self, NO_OBJECTS};
use crate::register;
use crate::shared::Shared;
use crate::sync;

/// Interval between attempts to notify the entries that have not confirmed yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Allowance for the delivery of a directory answer to a caller and for the
/// connection that the caller opens next.
const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(500);

/// Reports that this entry leaves and waits until every directory answer with
/// its address has expired.
pub async fn run(shared: &Arc<Shared>) {
    // If another process has taken over the name, reporting it as leaving would
    // exclude that process.
    let holds_name = members::holds_name(shared).await;
    let report = async {
        if holds_name {
            let address = shared.members().address;
            register::report(&shared.settings, address, "leaving").await;
        }
    };
    tokio::join!(report, notify_and_wait_for_expiry(shared, holds_name));
}

async fn notify_and_wait_for_expiry(shared: &Arc<Shared>, holds_name: bool) {
    let limits = &shared.settings.limits;
    let times = Times {
        min_open: Duration::from_millis(limits.leave_ms),
        notify_timeout: Duration::from_millis(limits.tell_ms),
        answer_lifetime: limits.directory() + DELIVERY_ALLOWANCE,
    };
    let now = shared.now();
    let validity = shared
        .members()
        .own_answer_validity(now, limits.directory());
    let validity = if validity.is_zero() {
        validity
    } else {
        validity + DELIVERY_ALLOWANCE
    };
    let mut shutdown = Shutdown::new(now, times, validity);
    loop {
        let snapshot = shared.current().snapshot;
        let entries = snapshot.sheet.entries.iter();
        let others = entries.filter(|entry| entry.name != shared.settings.name);
        shutdown.add(others.map(|entry| entry.name.clone()));
        if holds_name {
            mark_leaving(shared);
        }
        let waiting = shutdown.unacknowledged().to_vec();
        let calls = waiting.iter().map(|name| notify(shared, name));
        for (name, validity) in waiting.iter().zip(join_all(calls).await) {
            if let Some(validity) = validity {
                shutdown.acknowledge(shared.now(), name, validity);
            }
        }
        let remaining = shutdown.accepts_until().since(shared.now());
        if remaining.is_zero() {
            break;
        }
        tokio::time::sleep(remaining.min(RETRY_INTERVAL)).await;
    }
    if !shutdown.unacknowledged().is_empty() {
        tracing::warn!(entries = ?shutdown.unacknowledged(), "entries do not know of the stop");
    }
}

/// Records this entry as leaving, so that its peers receive the state.
fn mark_leaving(shared: &Shared) {
    let Some(own) = members::own_entry(shared) else {
        return;
    };
    let now = shared.now();
    let observation = Observation {
        name: own.name,
        incarnation: shared.incarnation,
        address: own.address,
        state: State::Leaving,
        at: now,
    };
    shared.members().table.merge(now, observation);
}

/// Notifies one entry; returns the remaining validity of its last directory
/// answer, or `None` if the entry has not confirmed.
async fn notify(shared: &Arc<Shared>, name: &str) -> Option<Duration> {
    let current = shared.current();
    let mut entries = current.snapshot.sheet.entries.iter();
    let Some(entry) = entries.find(|entry| *entry.name == *name) else {
        // No longer in the sheet, so callers no longer ask it for the directory.
        return Some(Duration::ZERO);
    };
    let request = sync::request(shared, NO_OBJECTS);
    let call = sync::exchange(shared, entry.peer_address, request);
    let reply = tokio::time::timeout(NOTIFY_TIMEOUT, call)
        .await
        .ok()?
        .ok()?;
    members::record_contact(shared, entry.peer_address, reply.sender.as_ref());
    // A peer with an older configuration may have another address for this
    // entry and then ignores the report.
    if reply.version < current.view.version().into() {
        return None;
    }
    let validity = Duration::from_millis(reply.directory_ms);
    Some(if validity.is_zero() {
        validity
    } else {
        validity + DELIVERY_ALLOWANCE
    })
}
