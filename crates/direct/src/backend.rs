//! Backend servers as listed in the store.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A backend server that registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identity of the process.
    pub id: Arc<str>,
    /// Start time of the process in Unix milliseconds, which distinguishes two
    /// processes with the same id.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it drains and must get no new requests.
    pub draining: bool,
}

/// Returns a short hash that stands for the name of a server, service or group
/// in messages between processes.
///
/// The default hasher has fixed keys, and all processes run the same build, so
/// that they compute the same hash.
pub fn digest(text: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    // Any 32 of the 64 bits do; these are the lower ones.
    hasher.finish() as u32
}
