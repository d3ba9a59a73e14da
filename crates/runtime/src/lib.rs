//! Process shell shared by the berylgw binaries.
//!
//! - [`settings`] loads a YAML file, checks it whole and reports findings
//!   with file, line and field.
//! - [`log`] writes JSON lines to standard output.
//! - [`metrics`] serves a Prometheus registry over HTTP.
//! - [`signal`] waits for the request to stop.
//! - [`clock`] turns the process clock into [`berylgw_core::clock::Instant`].
//! - [`tls`] encrypts connections of callers and between processes.
//! - [`args`] parses the command line that all servers share.

pub mod args;
pub mod clock;
pub mod log;
pub mod metrics;
pub mod settings;
pub mod signal;
pub mod tls;
