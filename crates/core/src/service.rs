//! Services that client accounts can reach.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Kind of the backend servers that run a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with the OpenAI-compatible interface.
    Model,
    /// Any HTTP service.
    Plain,
}

/// How an engine treats an order with a stale fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine rejects the order.
    Enforced,
    /// The engine carries out the order.
    #[default]
    Ignored,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; the model name if the service is a model.
    pub name: Arc<str>,
    /// Name of its region.
    pub region: Arc<str>,
    /// Kind of its backend servers.
    pub kind: Kind,
    /// Whether its engines check fencing tokens.
    pub fencing: Fencing,
}
