//! Calls to the ranks of a group, which an adapter provides.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;

use berylgw_core::expert::switch::{Armed, Report};
use berylgw_core::expert::{Expert, Map};

/// The answer to a call, or why there is none.
pub type Answer<T> = Pin<Box<dyn Future<Output = Result<T, Failure>>>>;

/// A call to the rank at an address.
pub type Call<A, T> = Box<dyn Fn(SocketAddr, A) -> Answer<T>>;

/// A call without an answer that can be used.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

/// Calls to the ranks of one group.
pub struct Engine {
    /// Asks for the state of a rank.
    pub state: Call<(), State>,
    /// Asks how often each expert was chosen.
    pub counts: Call<(), Counts>,
    /// Asks for the experts that a rank holds.
    pub lists: Call<(), Lists>,
    /// Gives an order. Without an answer it may be carried out later.
    pub order: Call<Order, ()>,
    /// Reads the addresses of the ranks of a service and what their maps may
    /// hold.
    pub group: Box<dyn Fn() -> Answer<Group>>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").finish_non_exhaustive()
    }
}

/// A rank and its group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Short name of the group, which tells it from others of the service.
    pub group: u32,
    /// Position in the group.
    pub rank: usize,
    /// Number of ranks.
    pub size: usize,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Time that the rank takes for the work that another does in 1.
    pub pace: f64,
    /// What the switch of maps depends on.
    pub report: Report,
}

/// Choices of experts by the requests of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Counts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass that began.
    pub pass: u64,
    /// Number of choices since the start of the rank, set by set.
    pub chosen: Vec<u64>,
}

/// The experts that one rank holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lists {
    /// Epoch of the group.
    pub epoch: u64,
    /// Map in use.
    pub version: u64,
    /// Experts by set.
    pub sets: Vec<Vec<Expert>>,
}

/// Addresses and dimensions of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Addresses of the ranks of all groups of the service, in no order.
    pub ranks: Vec<SocketAddr>,
    /// Hosts without a rank whose processes give orders to hold the group.
    pub holders: Vec<IpAddr>,
    /// Experts of a set.
    pub experts: u16,
    /// Experts that a rank holds of a set.
    pub slots: u16,
    /// Experts of a set that a rank loads at once.
    pub loads: usize,
}

/// An order to one rank.
#[derive(Clone, Debug)]
pub struct Order {
    /// Epoch outside which the order has no meaning.
    pub epoch: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Load the experts of a map, given by set.
    Prepare {
        /// Number of the map.
        version: u64,
        /// The map of each set.
        maps: Arc<Vec<Map>>,
    },
    /// Switch to a prepared map.
    Arm(Armed),
    /// Do not begin a pass.
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
