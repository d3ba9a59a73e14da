//! Process shell shared by the berylgw binaries.
//!
//! - [`settings`] loads a YAML file, checks it whole and reports findings
//!   with file, line and field.
//! - [`log`] writes JSON lines to standard output.
//! - [`metrics`] serves a Prometheus registry over HTTP.
//! - [`signal`] waits for the request to stop.
//! - [`clock`] turns the process clock into [`berylgw_core::clock::Instant`].
//! - [`tls`] encrypts connections of callers and between processes.
//! - [`program`] is the main function that all servers share, [`args`] parses
//!   their command line.

pub mod args;
pub mod clock;
pub mod log;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod signal;
pub mod tls;
