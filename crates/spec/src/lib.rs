//! Protocol specifications, explored exhaustively.
//!
//! Each module is a small state machine with a `mistake` that can be switched
//! on. Exploration finds no broken property without a mistake and at least one
//! with it.

pub mod claim;
pub mod config;
pub mod hold;
pub mod lease;
pub mod step;
