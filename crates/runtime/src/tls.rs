//! TLS for callers and mutual TLS between berylgw processes.
//!
//! [`Callers`] and [`Peers`] hold the credentials read from certificate and key
//! files. A connection uses the credentials that are current when it is opened,
//! so a reload does not affect open connections.

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

/// Timeout of a TLS handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
