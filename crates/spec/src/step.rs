//! Switch of a rank group from one expert map to the next.
//!
//! Controllers write maps by conditional update, tell the ranks to load them
//! and tell the first rank which map to stamp on its steps. [`find`] looks for a
//! step in which two ranks use different maps, or in which a rank cannot take
//! part although no rank has restarted.
//!
//! Controllers and messages are not part of the state. A message can be
//! delivered at any time after some controller could have sent it, any number of
//! times or never, and what a controller knows of a rank or of the store can be
//! any state of the past. The state therefore records what was ever true
//! ([`State`]), and an order can reach a rank as soon as the record allows a
//! controller to send it. That covers late, repeated and lost messages, any
//! number of controllers with knowledge of any age, their replacement in the
//! middle of a switch, and a platform outage, which only delays writes.

mod check;
mod state;

pub use check::{Violation, count, find};
pub use state::{Mistake, RANKS, Setup, State};
