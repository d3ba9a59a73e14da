//! Expert map switch of a rank group that runs in lock-step.
//!
//! Controllers write maps by conditional update, command the ranks to load them
//! and command the first rank to stamp its steps with a map. [`find`] searches for
//! a step in which two ranks use different maps, or in which a rank cannot take
//! part although no rank has restarted.
//!
//! Controllers and messages are not part of the state. A message can be
//! delivered at any time after some controller could have sent it, any number of
//! times or never, and a controller's view of a rank or of the store can be
//! arbitrarily old. [`State`] therefore records what was ever true, and a command
//! can reach a rank as soon as that history allows a controller to send it. This
//! covers late, repeated and lost messages, any number of controllers with views
//! of any age, their replacement in the middle of a switch, and a platform
//! outage, which only delays writes.

mod check;
mod state;

pub use check::{Violation, count, find};
pub use state::{Mistake, RANKS, Settings, State};
