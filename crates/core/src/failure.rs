//! Failure domains.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A set of hosts that fail or leave together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Unique name.
    pub name: Arc<str>,
    /// Region the failure domain is in.
    pub region: Arc<str>,
}

/// Whether operators have taken a failure domain out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Out of service: no new work, running work finishes.
    Out,
}

/// Value of the platform object `config/domain.<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// State the operators asked for.
    pub state: State,
    /// Random number of the writer, read back when an answer is lost.
    pub nonce: u64,
}
