//! Entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique name.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Address for callers (HTTP).
    pub address: SocketAddr,
    /// Address for other berylgw processes (gRPC).
    pub peer_address: SocketAddr,
}

/// State of a host in the platform's host list, which lags behind the hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running.
    #[default]
    Live,
    /// About to be stopped.
    Leaving,
}
