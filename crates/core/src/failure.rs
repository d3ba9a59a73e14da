//! Failure domains.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A set of hosts that fail or are drained together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Unique name.
    pub name: Arc<str>,
    /// Name of its region.
    pub region: Arc<str>,
}

/// Whether operators have taken a failure domain out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Out of service: accepts no new requests; requests in flight finish.
    Out,
}

/// Value of the platform object `config/domain.<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transition {
    /// State that the operators requested.
    pub state: State,
    /// Random number chosen by the writer, which reads it back to learn whether
    /// a write with a lost answer took effect.
    pub nonce: u64,
}
