//! Orders to model engines, one at a time per backend server.
//!
//! The agent of a server keeps a [`Queue`]: it posts one order at a time to the
//! engine and polls the engine until the order is done. An order carries the
//! fencing token of the role whose holder sends it, and the version of the
//! platform object that it is derived from. The queue refuses tokens older than
//! the newest one observed. Of two orders for the same [`Subject`], from an
//! operator and from rebalancing or from two operators, the one derived from the
//! newer object wins.
//!
//! If the response to a post is lost, the outcome is unknown. The queue then reads
//! the orders of the engine and posts the same id again if it is missing there;
//! an engine carries out an id once. For engines that ignore tokens, the first
//! order with a new token, or after a start of the agent, waits for the longest
//! time that an order can take, since an earlier order may still arrive or be
//! running.

mod queue;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::expert;
use crate::step::Number;

pub use queue::{Event, Outcome, Post, Queue, Settings, Task};

/// Action of an order to an engine.
///
/// ```
/// use berylgw_core::order::Action;
///
/// let action = Action::UnloadMap { map: 7.into() };
/// let json = serde_json::to_string(&action).unwrap();
/// assert_eq!(json, r#"{"action":"unload_map","map":7}"#);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Load a model.
    LoadModel {
        /// Its name.
        model: Arc<str>,
    },
    /// Load an adapter beside the model.
    LoadAdapter {
        /// Its name.
        adapter: Arc<str>,
    },
    /// Load another version of the model.
    LoadVersion {
        /// Name of the version.
        version: Arc<str>,
    },
    /// Change the role of the engine in its group.
    ChangeRole {
        /// The new role.
        role: Arc<str>,
    },
    /// Load an expert map beside the current one.
    LoadMap {
        /// Number of the map.
        map: Number,
        /// Experts that each rank holds.
        placement: Arc<expert::Map>,
    },
    /// Stamp steps with an expert map.
    StampMap {
        /// Number of the map.
        map: Number,
    },
    /// Free the memory of an expert map.
    UnloadMap {
        /// Number of the map.
        map: Number,
    },
}

/// Part of an engine's state that an order changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Model and model version.
    Model,
    /// Adapters.
    Adapter,
    /// Role in the group.
    Role,
    /// Expert maps.
    Map,
}

impl Action {
    /// Returns the part of the engine's state that the action changes.
    pub fn subject(&self) -> Subject {
        match self {
            Action::LoadModel { .. } | Action::LoadVersion { .. } => Subject::Model,
            Action::LoadAdapter { .. } => Subject::Adapter,
            Action::ChangeRole { .. } => Subject::Role,
            Action::LoadMap { .. } | Action::StampMap { .. } | Action::UnloadMap { .. } => {
                Subject::Map
            }
        }
    }
}

/// Identity of an order: fencing token and sequence number of its sender.
///
/// The token is part of the id so that a restarted agent recovers the newest
/// token from the orders that it reads, even from an engine that does not keep
/// tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Fencing token of the sender's role.
    pub token: u64,
    /// Sequence number; unique among the orders of one token to one engine.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.token, self.sequence)
    }
}

impl Id {
    /// Parses an id in the format of its [`Display`](fmt::Display) output.
    ///
    /// ```
    /// use berylgw_core::order::Id;
    ///
    /// let id = Id { token: 7, sequence: 12 };
    /// assert_eq!(Id::parse(&id.to_string()), Some(id));
    /// assert_eq!(Id::parse("7"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (token, sequence) = text.split_once('.')?;
        Some(Id {
            token: token.parse().ok()?,
            sequence: sequence.parse().ok()?,
        })
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identity, including the fencing token.
    pub id: Id,
    /// Version of the platform object that the order is derived from.
    pub version: u64,
    /// Action to carry out.
    pub action: Action,
}

/// Progress of an order at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Accepted and not finished.
    Running,
    /// Carried out.
    Done,
    /// Finished without effect.
    Failed,
}

/// State of an engine's orders, as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Highest fencing token that the engine has accepted; 0 if it keeps none.
    pub token: u64,
    /// Orders that the engine has accepted, with their progress.
    pub orders: Vec<(Id, Progress)>,
}

impl Report {
    fn newest_token(&self) -> u64 {
        let tokens = self.orders.iter().map(|(id, _)| id.token);
        tokens.fold(self.token, u64::max)
    }

    fn running(&self) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|(_, progress)| *progress == Progress::Running)
    }

    fn progress(&self, id: Id) -> Option<Progress> {
        let known = self.orders.iter().find(|(known, _)| *known == id);
        known.map(|(_, progress)| *progress)
    }
}
