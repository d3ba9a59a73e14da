//! TLS for callers and mutual TLS between berylgw processes.
//!
//! [`CallerCredentials`] and [`PeerCredentials`] are read from certificate and key
//! files. A connection uses the credentials that are current when it is opened,
//! so a reload does not affect open connections.

mod client;
mod files;
mod incoming;
mod peer;
mod reload;
mod stream;

pub use client::{Connector, NameLookup};
pub use files::{CallerCredentials, CallerFiles, Error, PeerConfig, PeerCredentials, PeerFiles};
pub use incoming::{Incoming, incoming};
pub use peer::{Peer, check_sender};
pub use reload::{Reload, reload_periodically};
pub use stream::Stream;

use std::time::Duration;

/// Timeout of a TLS handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
