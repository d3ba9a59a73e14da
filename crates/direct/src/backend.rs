//! Backend servers as the service list names them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A backend server that registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identity of the process.
    pub id: Arc<str>,
    /// Start of the process in Unix milliseconds, which tells apart two
    /// processes of one id.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves and must get no new work.
    pub draining: bool,
}

/// Short name of a server, service or group in messages between processes.
///
/// All processes run one build, whose default hasher has fixed keys.
pub fn digest(text: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    // The lower half is as good as any.
    hasher.finish() as u32
}
