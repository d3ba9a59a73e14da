//! Sidecar process of each rank of an expert-parallel group.
//!
//! The ranks of a group run in lock-step: in every set of layers they wait for
//! the most loaded rank. Demand for experts changes in steps, so the sidecars
//! count how often each expert is chosen and switch the group to an expert map
//! that balances the load.
//!
//! [`member`] serves one rank: it samples the counts and executes the [`plan`]
//! that the [`leader`] sends. The leader is the sidecar of the first rank. A
//! [`holder`] on a host without a rank sends the hold order on the leader's
//! behalf, and a [`deputy`] completes a switch that a failed leader left
//! unfinished. The decisions are made in
//! `berylgw_core::expert::{demand, rebalance, switch}`. An adapter to a platform
//! provides the [`engine`]'s calls. An [`outbox`] paces the datagrams to the link.
//! [`pace`] reports to entries how slow the rank is.
//! [`process`] assembles the parts.

pub mod deputy;
pub mod engine;
pub mod holder;
pub mod leader;
pub mod member;
pub mod metrics;
pub mod outbox;
pub mod pace;
pub mod plan;
pub mod process;
pub mod settings;
mod view;

pub use engine::Engine;
pub use process::{Error, run};
pub use settings::Settings;
