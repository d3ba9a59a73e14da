//! Expert map switch of a rank group that holds an announced pass until all
//! ranks are armed.
//!
//! The leader is not modelled but runs `berylgw_core::expert::switch::Switch`
//! itself. [`find`] searches for a pass in which two ranks use different maps.
//!
//! Every command that was ever sent stays in the state and can be executed at any
//! time, any number of times or never. Reports reach the leader at arbitrary
//! times, so its view of a rank can be stale. The leader process can restart
//! without its state. The group can be re-formed, which resets all ranks and
//! begins a new epoch.

mod check;
mod rank;
mod state;

pub use check::{Violation, count, find};
pub use state::{Mistake, Settings, State};
