//! Services that client accounts can reach.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What kind of backend server runs a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with the OpenAI-compatible interface.
    Model,
    /// Any HTTP service.
    Plain,
}

/// What an engine does with an order that has an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses it.
    Enforced,
    /// Carries it out.
    #[default]
    Ignored,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; for a model, the model name.
    pub name: Arc<str>,
    /// Region it runs in.
    pub region: Arc<str>,
    /// Kind of its backend servers.
    pub kind: Kind,
    /// Whether its engines check fencing tokens.
    pub fencing: Fencing,
}
