//! Process beside each rank of an expert-parallel group.
//!
//! The ranks of a group wait for the most loaded of them in every set of
//! layers. Demand for experts changes in steps, so these processes count which
//! experts are chosen and switch the group to a map that fits.
//!
//! [`member`] does what one rank needs: it counts, and carries out the [`plan`]
//! that the [`leader`] sends. The leader is the process beside the first rank;
//! a [`holder`] on a host without a rank holds the group for it, and a
//! [`deputy`] ends a switch that it leaves half done. Its decisions are
//! `berylgw_core::expert::{demand, follow, switch}`. An adapter to a platform
//! provides the [`engine`]'s calls. [`process`] puts the parts together.

pub mod deputy;
pub mod engine;
pub mod holder;
pub mod leader;
pub mod member;
pub mod metrics;
pub mod plan;
pub mod process;
pub mod settings;
mod tenure;

pub use engine::Engine;
pub use process::{Error, run};
pub use settings::Settings;
