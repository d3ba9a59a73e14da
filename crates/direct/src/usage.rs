//! Metering of the requests that backend servers began to run.
//!
//! [`Meter`] counts on the traffic thread, estimates true time and exchanges batches
//! with the holder of the duty; [`crate::gossip`] sends and receives its messages.
//! [`Office`] shares the ledger with the task that writes the record and sends the
//! reports. The algorithms are in `berylgw_core::usage` and `berylgw_core::wall`.

mod meter;
mod office;
mod start;

pub use meter::{Holder, Meter};
pub use office::Office;
pub use start::Start;
