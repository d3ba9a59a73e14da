//! Backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A backend server: a model engine or a plain service process on one host,
/// reached through its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Unique name.
    pub name: Arc<str>,
    /// Name of the service it runs.
    pub service: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Address of the agent (gRPC).
    pub address: SocketAddr,
    /// Concurrency limit when warm.
    pub limit: u32,
    /// Concurrency limit during cold start.
    pub cold_limit: u32,
    /// Rank group and rank of a model engine that belongs to one.
    pub rank: Option<Rank>,
}

/// Position of a backend server in a rank group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Name of the group.
    pub group: Arc<str>,
    /// Index in the group, from 0.
    pub index: u32,
}
