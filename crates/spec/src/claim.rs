//! Claims that make a request run at most once.
//!
//! Two entries can own the one ledger partition. A caller sends a request and
//! resends it to the other entry at any time. The store can be down, can lose
//! an answer after the effect, and can apply a write late. Owners are paused
//! past their lease, connections break after dispatch, and the agent is
//! replaced by one without memory. [`State::check`] states the safety
//! properties; [`stuck`] finds states in which no resend can succeed.

mod agent;
mod check;
mod owner;
mod state;

pub use check::{Violation, explore, find, stuck};
pub use state::{
    ATTEMPTS, Answer, Attempt, Claim, Mistake, Owner, Phase, Progress, Setup, State, Store, Write,
};
