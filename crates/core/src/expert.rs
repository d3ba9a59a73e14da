//! Placement of expert replicas on the ranks of a group.
//!
//! The ranks of a group advance in lock-step, so a layer takes as long as its
//! most loaded rank. A [`Map`] lists the experts that each rank holds in one
//! layer; [`Load`] is the work that each expert receives; [`skew`] compares the
//! most loaded rank with the mean.
//!
//! [`greedy`] computes a map from scratch, and [`incremental`] changes a map by
//! single slots where the predicted gain exceeds the cost of the bytes moved.
//! [`demand`] detects a shift of demand, and [`rebalance`] adapts a map to it
//! within the number of experts that a rank loads at once.
//! [`pace`] keeps transfers within the rate of the weight store.
//! [`switch`] changes the map of all ranks at the same pass.
//!
//! ```
//! use berylgw_core::expert::{Layout, Load, greedy, skew};
//!
//! let layout = Layout::new(4, 8, 3).unwrap();
//! let load = Load::new(vec![8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 2.0]);
//! let map = greedy::place(layout, &load);
//! assert!(skew(&map, &load) < 1.2);
//! ```

pub mod demand;
pub mod greedy;
pub mod incremental;
mod layout;
mod map;
pub mod pace;
pub mod rebalance;
pub mod switch;

pub use layout::Layout;
pub use map::{Expert, Load, Map, Rank, rank_loads, skew};
