//! Ledger claims, which make a request run at most once.
//!
//! Two entries compete to own a single ledger partition. A caller sends a
//! request and may resend it through either entry at any time. The store can be
//! unavailable, lose a response after applying the update, or apply a write
//! late. Owners can be paused past their lease, connections can break after
//! dispatch, and the agent can be replaced by one without its records.
//! [`State::check`] checks the safety properties; [`find_stuck`] searches for states
//! from which no resend can succeed.

mod agent;
mod check;
mod owner;
mod state;

pub use check::{Violation, explore, find, find_stuck};
pub use state::{
    ATTEMPTS, Answer, Attempt, Claim, Mistake, Owner, Phase, Progress, Settings, State, Store,
    Write,
};
