//! Messages between berylgw processes.
//!
//! The code in [`generated`] is written by `berylgw-codegen` from
//! `proto/berylgw.proto` and committed, so that a build needs no generator.

#[allow(missing_docs, clippy::all, rustdoc::all)]
#[path = "generated/berylgw.v1.rs"]
pub mod generated;

/// Messages between entries that send requests to servers themselves.
#[allow(missing_docs, clippy::all, rustdoc::all)]
#[path = "generated/berylgw.direct.v1.rs"]
pub mod direct;

/// Messages between the processes beside the ranks of a group.
#[allow(missing_docs, clippy::all, rustdoc::all)]
#[path = "generated/berylgw.rank.v1.rs"]
pub mod rank;

mod codec;
mod outcome;

pub use generated::*;
