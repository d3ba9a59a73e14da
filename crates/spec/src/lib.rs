//! Protocol models that are checked by exhaustive state exploration.
//!
//! Each module models one protocol as a small state machine into which a single
//! protocol bug, a `Mistake`, can be added on purpose. Without a mistake,
//! exploration must find no violated property; with one, it must find a violation,
//! which shows that the model is able to detect such a bug.

pub mod claim;
pub mod config;
pub mod duty;
pub mod hold;
pub mod lease;
pub mod step;
