//! Fake of a plain service with several servers.

mod http;
mod state;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use http::{control_router, router};
pub use state::Service;

/// Settings of a fake plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of servers.
    pub servers: usize,
    /// Requests that a server can hold.
    pub capacity: usize,
    /// Time to run a request.
    pub work: Duration,
    /// Time for which a crashed server refuses connections.
    pub restart: Duration,
    /// Lag of the reported load.
    pub load_lag: Duration,
    /// Whether a request goes on to its end after its caller went away.
    pub run_abandoned: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            servers: 1,
            capacity: 16,
            work: Duration::from_millis(5),
            restart: Duration::from_millis(500),
            load_lag: Duration::from_millis(200),
            run_abandoned: false,
        }
    }
}

/// Faults that can be switched on and off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Delay of each request in milliseconds, before it runs.
    pub slow_ms: u64,
    /// The next bookings crash their server after they ran, before the answer.
    pub crash_after_run: u64,
    /// The connections of the next bookings break after they ran.
    pub drop_answers: u64,
    /// The next bookings are never answered after they ran.
    pub hang_answers: u64,
}

/// How often one booking was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Booking id.
    pub booking: String,
    /// Runs.
    pub count: u64,
    /// The `Berylgw-Sending` header of each run, 0 for a run without one.
    #[serde(default)]
    pub sendings: Vec<u32>,
}

/// State of one server as `GET /servers` of the control listener reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests held.
    pub in_flight: usize,
    /// Most requests held at one time.
    pub highest_in_flight: usize,
    /// Times the server crashed because it held too many requests.
    pub overfilled: u64,
    /// Times the server crashed for any reason.
    pub crashes: u64,
}
