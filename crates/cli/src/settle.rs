//! Conditional updates whose outcome is always found out if it can be.

use std::time::Duration;

use berylgw_platform::{Client, Error, Event, Object, Update};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::KIND;

/// Attempts to write or to read back.
const ATTEMPT_LIMIT: u32 = 5;

/// Pause before a further attempt.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// A value that carries the random number of its writer.
pub trait Nonced: Serialize + DeserializeOwned {
    /// The writer's random number.
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

/// A version of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Held<T> {
    /// Platform revision of the write.
    pub version: u64,
    /// The value, `None` if it was deleted or cannot be read.
    pub value: Option<T>,
}

/// How a conditional update ended.
#[derive(Debug)]
pub enum Settled<T> {
    /// It took effect with this version.
    Accepted(u64),
    /// It took effect with this version and was replaced since.
    Replaced(u64, Held<T>),
    /// Another write came first; this one had no effect and never will.
    Lost(Held<T>),
    /// The platform refused every attempt; no effect.
    Refused(Error),
    /// It may have taken effect, or may still.
    Unknown(Option<Held<T>>),
}

/// Writes `value` if the object still has version `expected`.
///
/// A lost answer is settled by reading the nonce back. While the object is
/// unchanged, the same update is sent again under the same condition, so that
/// at most one attempt takes effect, however late the others arrive.
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
            match client.put(KIND, name, expected, value).await {
                Update::Applied(version) => return Settled::Accepted(version),
                Update::Conflict(version) => conflict = Some(version),
                Update::Refused(error) if !in_doubt => return Settled::Refused(error),
                Update::Refused(_) => {}
                Update::Unknown(_) => in_doubt = true,
            }
        }
        let Some(held) = read_back::<T>(client, name).await else {
            continue;
        };
        let ours = held.value.as_ref().map(T::nonce) == Some(value.nonce());
        if ours {
            return Settled::Accepted(held.version);
        }
        if held.version == expected {
            continue;
        }
        if !in_doubt {
            return Settled::Lost(held);
        }
        return replaced(client, name, expected, value, held).await;
    }
    match conflict {
        Some(version) if !in_doubt => Settled::Lost(Held {
            version,
            value: None,
        }),
        _ => Settled::Unknown(None),
    }
}

async fn read_back<T: Nonced>(client: &Client, name: &str) -> Option<Held<T>> {
    let object = client.get(KIND, name).await.ok()?;
    Some(match object {
        Some(object) => Held {
            version: object.version,
            value: serde_json::from_str(object.value.get()).ok(),
        },
        None => Held {
            version: 0,
            value: None,
        },
    })
}

/// Decides between `Replaced` and `Unknown` after a lost answer, when another
/// write is in force.
async fn replaced<T: Nonced>(
    client: &Client,
    name: &str,
    expected: u64,
    value: &T,
    held: Held<T>,
) -> Settled<T> {
    for write in history(client, expected, held.version).await {
        if *write.name != *name {
            continue;
        }
        let written: Option<T> = serde_json::from_str(write.value.get()).ok();
        if written.as_ref().map(T::nonce) == Some(value.nonce()) {
            return Settled::Replaced(write.version, held);
        }
    }
    // The absence of the write proves nothing: a watch may skip versions that
    // were replaced before it was opened.
    Settled::Unknown(Some(held))
}

/// The writes after revision `after` up to `until`, as far as the platform
/// still has them.
pub async fn history(client: &Client, after: u64, until: u64) -> Vec<Object> {
    let mut writes = Vec::new();
    let Ok(mut watch) = client.watch(KIND, after).await else {
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
