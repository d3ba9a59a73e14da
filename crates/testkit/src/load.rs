//! Measurement of a cluster under open-loop load.
//!
//! Arrivals follow a seeded Poisson process and do not wait for earlier
//! answers, so a slow system does not slow its load down.

pub mod drive;
pub mod engines;
pub mod record;
pub mod scenario;
pub mod sheet;
pub mod slow;
pub mod usage;

pub use drive::{Offer, Path, Work, run};
pub use record::Record;
pub use sheet::Plan;
pub use usage::Usage;
