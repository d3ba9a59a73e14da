//! Process infrastructure shared by the berylgw binaries.
//!
//! - [`settings`] loads a YAML file, validates it and reports all findings
//!   with file, line and field.
//! - [`log`] writes JSON lines to standard output.
//! - [`metrics`] serves a Prometheus registry over HTTP.
//! - [`signal`] handles stop signals.
//! - [`task`] starts tasks again that panicked.
//! - [`clock`] maps the process clock to [`berylgw_core::clock::Instant`].
//! - [`tls`] secures connections from callers and between processes.
//! - [`program`] is the main function shared by all servers; [`args`] parses their
//!   command line.

pub mod args;
pub mod clock;
pub mod log;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod signal;
pub mod task;
pub mod tls;
