//! Switch of a group whose ranks change maps at an announced pass.
//!
//! The leader is `berylgw_core::expert::switch::Switch` itself. [`find`] looks
//! for a pass in which two ranks use different maps.
//!
//! Every order that was ever sent stays in the state and can be carried out at
//! any time, any number of times or never. A rank's report reaches the leader
//! at any time after it was true, and the leader's process can end and be
//! started again without what it knew. The group can be formed again, which
//! clears all ranks and begins a new epoch.

mod check;
mod rank;
mod state;

pub use check::{Violation, count, find};
pub use state::{Mistake, Setup, State};
