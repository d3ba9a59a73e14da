//! Fakes of outside systems, a fault-injecting proxy and a process launcher.
//!
//! - [`platform`], [`engine`], [`service`] and [`store`] play the systems that
//!   berylgw talks to; each has a small binary and a `control` listener for
//!   faults or counters.
//! - [`proxy`] stands between two processes and delays, cuts or freezes their
//!   connections.
//! - [`launch`] starts processes, [`cluster`] a whole system of them; [`control`]
//!   drives the control listeners and [`client`] makes calls as a caller would.
//! - [`direct`] plays the platform of direct entries, [`soak`] injects faults
//!   into them in an order that a seed decides.
//! - [`version`] watches the configuration versions of processes.
//! - [`load`] measures a cluster under load.
//! - [`serve`] and [`bucket`] are shared by the fakes.

pub mod bucket;
pub mod client;
pub mod cluster;
pub mod control;
pub mod direct;
pub mod engine;
pub mod launch;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod service;
pub mod soak;
pub mod store;
pub mod version;

pub use engine::answer;
