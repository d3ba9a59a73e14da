//! Objects and events of the platform API.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Versioned object of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Name within the kind.
    pub name: Arc<str>,
    /// Revision of the write that created this version.
    pub version: u64,
    /// JSON value.
    pub value: Box<RawValue>,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List {
    /// Revision of the list, which reflects every write up to it.
    pub revision: u64,
    /// Objects, sorted by name.
    pub items: Vec<Object>,
}

/// Event of a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "Line", into = "Line")]
pub enum Event {
    /// An object was written; its version is the revision of the write.
    Put(Object),
    /// An object was deleted.
    Delete {
        /// Revision of the deletion.
        revision: u64,
        /// Name of the object.
        name: Arc<str>,
    },
    /// Every write up to this revision has been sent.
    Heartbeat {
        /// Current revision.
        revision: u64,
    },
}

/// Flat JSON form of an [`Event`]. Serde's internally tagged enums cannot contain
/// a [`RawValue`], so the tag is converted by hand.
#[derive(Serialize, Deserialize)]
struct Line {
    #[serde(rename = "type")]
    event_type: Arc<str>,
    revision: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    name: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Box<RawValue>>,
}

impl TryFrom<Line> for Event {
    type Error = String;

    fn try_from(line: Line) -> Result<Self, String> {
        let revision = line.revision;
        match (&*line.event_type, line.name, line.value) {
            ("put", Some(name), Some(value)) => Ok(Event::Put(Object {
                name,
                version: revision,
                value,
            })),
            ("delete", Some(name), _) => Ok(Event::Delete { revision, name }),
            ("heartbeat", _, _) => Ok(Event::Heartbeat { revision }),
            (kind, _, _) => Err(format!("unexpected or incomplete event {kind:?}")),
        }
    }
}

impl From<Event> for Line {
    fn from(event: Event) -> Self {
        match event {
            Event::Put(object) => Line {
                event_type: "put".into(),
                revision: object.version,
                name: Some(object.name),
                value: Some(object.value),
            },
            Event::Delete { revision, name } => Line {
                event_type: "delete".into(),
                revision,
                name: Some(name),
                value: None,
            },
            Event::Heartbeat { revision } => Line {
                event_type: "heartbeat".into(),
                revision,
                name: None,
                value: None,
            },
        }
    }
}

/// Host in the platform's list, which may lag behind the host's actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Arc<str>,
    /// Address of its berylgw process.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// `live` or `leaving`.
    pub state: Arc<str>,
}
