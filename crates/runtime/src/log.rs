//! Logs as JSON lines on standard output.

use std::net::SocketAddr;

use tracing_subscriber::EnvFilter;

/// Installs the JSON log writer.
///
/// The level comes from the environment variable `BERYLGW_LOG` and defaults to
/// `info`. Each line has the event's fields at the top level.
pub fn install() {
    let filter = EnvFilter::try_from_env("BERYLGW_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let writer = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter);
    // A second call, for example from a test, keeps the first writer.
    let _ = writer.try_init();
}

/// Reports that an interface accepts connections.
///
/// Launchers wait for this line and read the address from it, so that a
/// process can be told to bind port 0.
pub fn listening(interface: &str, address: SocketAddr) {
    tracing::info!(interface, address = %address, "listening");
}
