//! The platform object `map/<group>`.

use std::sync::Arc;

use berylgw_core::expert::Map;
use berylgw_core::step::Number;
use berylgw_platform::{Client, Update};
use serde::{Deserialize, Serialize};

const KIND: &str = "map";

/// Value of the object.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// Number of the map.
    pub number: Number,
    /// Placement of the experts on the ranks.
    pub placement: Arc<Map>,
}

/// The object as last read or written.
#[derive(Clone, Debug)]
pub struct Known {
    /// Version of the object.
    pub version: u64,
    /// Its value.
    pub stored: Stored,
}

/// Reads the object; `None` if it cannot be read.
pub async fn read(client: &Client, group: &str) -> Option<Option<Known>> {
    let object = match client.get(KIND, group).await {
        Ok(object) => object,
        Err(error) => {
            tracing::debug!(%error, group, "expert map not read");
            return None;
        }
    };
    let Some(object) = object else {
        return Some(None);
    };
    match serde_json::from_str(object.value.get()) {
        Ok(stored) => Some(Some(Known {
            version: object.version,
            stored,
        })),
        Err(error) => {
            tracing::error!(%error, group, "expert map not readable");
            None
        }
    }
}

/// Writes the successor of `known`; returns `None` unless the write was
/// confirmed.
///
/// After a lost answer the caller reads the object again.
pub async fn write(
    client: &Client,
    group: &str,
    known: Option<&Known>,
    placement: Map,
) -> Option<Known> {
    let last = known.map_or(Number::INITIAL, |known| known.stored.number);
    let expected = known.map_or(0, |known| known.version);
    let stored = Stored {
        number: Number::from(u64::from(last) + 1),
        placement: Arc::new(placement),
    };
    match client.put(KIND, group, expected, &stored).await {
        Update::Applied(version) => Some(Known { version, stored }),
        Update::Conflict(version) => {
            tracing::info!(group, version, "another expert map was written first");
            None
        }
        Update::Refused(error) | Update::Unknown(error) => {
            tracing::info!(%error, group, "expert map write not confirmed");
            None
        }
    }
}
