//! Switch of a group from one expert map to the next.
//!
//! The first rank stamps each step with the number of a map, and a rank takes
//! part only if that map is loaded, so no step mixes maps. [`Member`] implements
//! the rules of one rank. The group controller collects a [`Report`] of each rank
//! in a [`Group`], and [`Group::plan`] compares the reports with the number of the
//! newest map: ranks that lack it load it, the first rank stamps it once every
//! rank has loaded it, and older maps are unloaded once a step with it has begun.
//!
//! Plans depend on reports only. A lost order is planned again, and a controller
//! that takes over in the middle of a switch continues it.
//!
//! ```
//! use berylgw_core::clock::Instant;
//! use berylgw_core::expert::Rank;
//! use berylgw_core::step::{Action, Group, Member, Number};
//! use std::time::Duration;
//!
//! let new = Number::from(1);
//! let now = Instant::ORIGIN;
//! let mut ranks = [Member::first(7), Member::other(8)];
//! let mut group = Group::new(2, Duration::from_secs(1));
//! for _ in 0..3 {
//!     for (rank, member) in ranks.iter().enumerate() {
//!         group.report(Rank::from(rank as u16), member.report(), now);
//!     }
//!     for order in group.plan(new, now) {
//!         ranks[order.rank.index()].apply(order.action).unwrap();
//!     }
//! }
//! assert_eq!(ranks[0].begin(), Some(new));
//! assert!(ranks[1].join(new));
//! ```

mod group;
mod member;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::expert::Rank;

pub use group::{Group, Progress};
pub use member::{Member, Refused};

/// Number of an expert map of a group; the next map has a higher one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Number(u64);

impl Number {
    /// Number of the map that an engine starts with.
    pub const INITIAL: Number = Number(0);
}

/// Action of an order to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Load a map beside the current one.
    Load(Number),
    /// Stamp steps with a map; for the first rank only.
    Stamp(Number),
    /// Free the memory of a map.
    Unload(Number),
}

/// An order to one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// Rank that the order is for.
    pub rank: Rank,
    /// Action to carry out.
    pub action: Action,
}

/// State of one rank as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Differs after each start of the engine.
    pub incarnation: u64,
    /// Sorted numbers of the loaded maps.
    pub loaded: Vec<Number>,
    /// Number that the first rank stamps on its steps.
    pub stamp: Number,
    /// Number on the last step that has begun.
    pub begun: Number,
}

impl Report {
    /// Returns whether the rank has loaded the map.
    pub fn holds(&self, map: Number) -> bool {
        self.loaded.binary_search(&map).is_ok()
    }
}
