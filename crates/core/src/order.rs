//! Orders to model engines, one at a time per backend server.
//!
//! The agent of a server keeps a [`Line`]: it passes one order at a time to the
//! engine and reads it back until it is done. An order carries the fencing token
//! of the role whose holder sends it, and the version of the platform object
//! that it follows from. The line refuses a token older than one it has seen. Of
//! two orders for the same [`Subject`], from an operator and from rebalancing or
//! from two operators, the one from the newer object wins.
//!
//! An answer that was lost says nothing, so the line reads the orders of the
//! engine back and posts the same id again if it is missing there; an engine
//! carries out an id once. For engines that ignore tokens, the first order with
//! a new token, or after a start of the agent, waits for the longest time an
//! order can take: an earlier order may still arrive or be running.

mod line;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::expert;
use crate::step::Number;

pub use line::{Event, Line, Outcome, Post, Settings, Task};

/// What an order asks of an engine.
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
    /// Load an expert map beside the present one.
    LoadMap {
        /// Number of the map.
        map: Number,
        /// Which rank holds which experts.
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
    /// Model and its version.
    Model,
    /// Adapters.
    Adapter,
    /// Role in the group.
    Role,
    /// Expert maps.
    Map,
}

impl Action {
    /// Part of the engine's state that the action changes.
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

/// Identity of an order: fencing token and a number that its sender counts.
///
/// The token is part of the id, so that an agent that restarts learns the
/// newest token from the orders it reads back, even from an engine that does
/// not keep tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Fencing token of the sender's role.
    pub token: u64,
    /// Differs between the orders of one token to one engine.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.token, self.sequence)
    }
}

impl Id {
    /// Reads an id as [`Display`](fmt::Display) writes it.
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
    /// Identity, with the fencing token.
    pub id: Id,
    /// Version of the platform object that the order follows from.
    pub version: u64,
    /// What to do.
    pub action: Action,
}

/// How far the engine has come with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Accepted and not finished.
    Running,
    /// Carried out.
    Done,
    /// Finished without effect.
    Failed,
}

/// Orders of an engine as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Highest fencing token that the engine has seen; 0 if it keeps none.
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
