//! Conditional updates that determine their outcome after lost responses.

use std::time::Duration;

use berylgw_platform::{Client, Error, Event, Object, Update};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::CONFIG_KIND;

/// Highest number of attempts to write or to read back.
const ATTEMPT_LIMIT: u32 = 5;

/// Pause before a further attempt.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// Value with a nonce that identifies the write it comes from.
pub trait Nonced: Serialize + DeserializeOwned {
    /// Returns the random number that the writer drew for this write.
    fn nonce(&self) -> u64;
}

impl Nonced for berylgw_core::config::StoredSheet {
    fn nonce(&self) -> u64 {
        berylgw_core::config::StoredSheet::nonce(self)
    }
}

impl Nonced for berylgw_core::failure::Transition {
    fn nonce(&self) -> u64 {
        self.nonce
    }
}

/// State of an object at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Platform revision of the write, 0 if the object does not exist.
    pub version: u64,
    /// Value, `None` if the object does not exist or its value cannot be read.
    pub value: Option<T>,
}

/// Outcome of a conditional update.
#[derive(Debug)]
pub enum Settled<T> {
    /// The update took effect at this version.
    Accepted(u64),
    /// The update took effect at this version; another write has replaced it.
    Replaced(u64, Versioned<T>),
    /// Another write changed the object first; the update had no effect and
    /// cannot take effect later.
    Superseded(Versioned<T>),
    /// The platform refused the update, which had no effect.
    Refused(Error),
    /// The update may have taken effect or may do so later. Carries the object
    /// if another write is in force.
    Unknown(Option<Versioned<T>>),
}

/// Writes `value` if the object still has version `expected`.
///
/// After a lost response, the nonce in the stored object shows whether the update
/// took effect. While the object is unchanged, the same update is sent again with
/// the same condition, so at most one attempt takes effect, however late the
/// others arrive.
pub async fn update<T: Nonced>(
    client: &Client,
    name: &str,
    expected: u64,
    value: &T,
) -> Settled<T> {
    let mut in_doubt = false;
    let mut conflict = None;
    for attempt in 0..ATTEMPT_LIMIT {
        if attempt > 0 {
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
        if conflict.is_none() {
            match client.put(CONFIG_KIND, name, expected, value).await {
                Update::Applied(version) => return Settled::Accepted(version),
                Update::Conflict(version) => conflict = Some(version),
                Update::Refused(error) if !in_doubt => return Settled::Refused(error),
                Update::Refused(_) => {}
                Update::Unknown(_) => in_doubt = true,
            }
        }
        let Some(stored) = read_back::<T>(client, name).await else {
            continue;
        };
        let is_ours = stored.value.as_ref().map(T::nonce) == Some(value.nonce());
        if is_ours {
            return Settled::Accepted(stored.version);
        }
        if stored.version == expected {
            continue;
        }
        if !in_doubt {
            return Settled::Superseded(stored);
        }
        return replaced(client, name, expected, value, stored).await;
    }
    match conflict {
        Some(version) if !in_doubt => Settled::Superseded(Versioned {
            version,
            value: None,
        }),
        _ => Settled::Unknown(None),
    }
}

async fn read_back<T: Nonced>(client: &Client, name: &str) -> Option<Versioned<T>> {
    let object = client.get(CONFIG_KIND, name).await.ok()?;
    Some(match object {
        Some(object) => Versioned {
            version: object.version,
            value: serde_json::from_str(object.value.get()).ok(),
        },
        None => Versioned {
            version: 0,
            value: None,
        },
    })
}

/// Returns `Replaced` if the history contains this update, otherwise `Unknown`.
/// Called after a lost response, when another write is in force.
async fn replaced<T: Nonced>(
    client: &Client,
    name: &str,
    expected: u64,
    value: &T,
    stored: Versioned<T>,
) -> Settled<T> {
    for write in history(client, expected, stored.version).await {
        if *write.name != *name {
            continue;
        }
        let written: Option<T> = serde_json::from_str(write.value.get()).ok();
        if written.as_ref().map(T::nonce) == Some(value.nonce()) {
            return Settled::Replaced(write.version, stored);
        }
    }
    // The update may have taken effect even if the history lacks it: a watch may
    // skip versions that were replaced before it was opened.
    Settled::Unknown(Some(stored))
}

/// Returns the writes after revision `after` up to `until`, as far as the
/// platform still has them.
pub async fn history(client: &Client, after: u64, until: u64) -> Vec<Object> {
    let mut writes = Vec::new();
    let Ok(mut watch) = client.watch(CONFIG_KIND, after).await else {
        return writes;
    };
    while let Ok(event) = watch.next().await {
        let revision = match &event {
            Event::Put(object) => object.version,
            Event::Delete { revision, .. } | Event::Heartbeat { revision } => *revision,
        };
        if let Event::Put(object) = event {
            writes.push(object);
        }
        if revision >= until {
            break;
        }
    }
    writes
}
