//! Calls to the ranks of a group, which an adapter provides.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;

use berylgw_core::expert::switch::{Armed, Report};
use berylgw_core::expert::{Expert, Map};

/// Future reply to a call, or the reason for its failure.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Failure>>>>;

/// A call to the rank at an address.
pub type Call<A, T> = Box<dyn Fn(SocketAddr, A) -> Reply<T>>;

/// A call that failed or returned an invalid reply.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

/// Calls to the ranks of one group.
pub struct Engine {
    /// Reads the state of a rank.
    pub state: Call<(), State>,
    /// Reads how often each expert was chosen.
    pub counts: Call<(), Counts>,
    /// Reads the experts that a rank holds.
    pub held_experts: Call<(), HeldExperts>,
    /// Sends an order. An order without a reply may still be executed later.
    pub order: Call<Order, ()>,
    /// Reads the addresses of all ranks of a service and the dimensions of
    /// their maps.
    pub service: Box<dyn Fn() -> Reply<Service>>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").finish_non_exhaustive()
    }
}

/// State of a rank and of its group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Short identifier of the group among those of the service.
    pub group: u32,
    /// Position in the group.
    pub rank: usize,
    /// Number of ranks.
    pub size: usize,
    /// Whether the rank is executing an order.
    pub busy: bool,
    /// Time that the rank takes for a unit of work, relative to another rank;
    /// larger is slower.
    pub pace: f64,
    /// Progress of the rank, as the switch of maps sees it.
    pub report: Report,
}

/// Number of times the requests of one rank chose each expert.
#[derive(Clone, Debug, PartialEq)]
pub struct Counts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass that began.
    pub pass: u64,
    /// Choices since the start of the rank, set by set.
    pub choices: Vec<u64>,
}

/// The experts that one rank holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldExperts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the map in use.
    pub version: u64,
    /// Experts by set.
    pub sets: Vec<Vec<Expert>>,
}

/// Addresses of all ranks of a service, and the dimensions of their maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Addresses of the ranks of all groups, in unspecified order.
    pub ranks: Vec<SocketAddr>,
    /// Hosts without a rank whose processes can send the hold order.
    pub holders: Vec<IpAddr>,
    /// Number of experts of a set.
    pub experts: u16,
    /// Number of experts of a set that a rank holds.
    pub slots: u16,
    /// Number of experts of a set that a rank can load at once.
    pub max_loads: usize,
}

/// An order to one rank.
#[derive(Clone, Debug)]
pub struct Order {
    /// Epoch of the group in which the order is valid.
    pub epoch: u64,
    /// Action to execute.
    pub action: Action,
}

/// Action that an order requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Load the experts of a map, given by set.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map of each set.
        maps: Arc<Vec<Map>>,
    },
    /// Use a prepared map from the given pass on.
    Arm(Armed),
    /// Do not begin a pass until it is released.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Begin a held pass.
    Release {
        /// The pass.
        pass: u64,
    },
}
