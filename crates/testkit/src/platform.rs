//! Fake of the platform's versioned object API.

mod http;
mod state;
mod watch;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use http::{control_router, router};
pub use state::Platform;

/// Settings of a fake platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
    /// Revisions kept for watches.
    pub kept_revisions: u64,
    /// Lag of the host list.
    pub host_lag: Duration,
    /// Seed for lost answers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            reads: 2000.0,
            writes: 400.0,
            kept_revisions: 10_000,
            host_lag: Duration::from_secs(1),
            seed: 1,
        }
    }
}

/// Faults that can be switched on and off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Every call is refused with 503 and watches end.
    pub outage: bool,
    /// Calls have no effect and are never answered; watches stop.
    pub hang: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// The answers of the next updates are lost after they took effect.
    pub lose_answers: u64,
    /// Probability that the answer of any other update is lost.
    pub lose_probability: f64,
    /// Watches that are open stop for good without closing.
    pub silent_watches: bool,
}

/// Number of calls with one verb for one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// `get`, `put`, `delete`, `list` or `watch`.
    pub verb: String,
    /// Object kind, or `hosts`.
    pub kind: String,
    /// Calls, refused ones included.
    pub count: u64,
}
