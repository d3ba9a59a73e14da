//! Fakes of outside systems, a fault-injecting proxy and a process launcher.
//!
//! - [`platform`] plays a system that berylgw
//!   talks to; it has a small binary and a `control` listener for faults.
//! - [`launch`] starts processes and [`control`] drives their control listeners.
//! - [`serve`] and [`bucket`] are shared by the fakes.

pub mod bucket;
pub mod control;
pub mod launch;
pub mod platform;
pub mod serve;
