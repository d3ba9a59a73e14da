//! TLS towards callers and mutual TLS between berylgw processes.
//!
//! [`Callers`] and [`Peers`] hold what was read from certificate and key files.
//! A connection uses what is current when it is made, so a reload does not
//! disturb open connections.

mod client;
mod files;
mod incoming;
mod peer;
mod reload;
mod stream;

pub use client::{Connector, Expected};
pub use files::{CallerFiles, Callers, Error, PeerConfig, PeerFiles, Peers};
pub use incoming::{Incoming, incoming};
pub use peer::{Peer, check};
pub use reload::{Reload, keep_fresh};
pub use stream::Stream;

use std::time::Duration;

/// Longest time a TLS handshake may take.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
