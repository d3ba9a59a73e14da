//! Entry that sends requests to backend servers itself, without an agent on
//! the way.
//!
//! It serves deployments in which any process may call a backend server. No
//! process at the server then enforces limits. The limits on arrivals, retries
//! and requests in flight apply to all entries together, and each entry keeps
//! to its share of them.
//!
//! A request passes through [`serve`] (accept), [`call`] (parse and identify),
//! [`admit`] (admission control), [`attempt`] (choose a server and [`send`])
//! and [`relay`] (forward a stream). [`record`] writes one log line for it.
//! The algorithms are in `berylgw_core::group`; the [`state`] that they work
//! on belongs to the traffic thread.
//!
//! [`view`] holds the entry's copy of the configuration, the server list and
//! the evacuations. A platform adapter updates it from the store, and entries
//! exchange it by [`gossip`] and [`pull`]. [`entry`] assembles the process.

pub mod admit;
pub mod answer;
pub mod attempt;
pub mod backend;
pub mod call;
pub mod config;
pub mod duty;
pub mod entry;
pub mod event;
pub mod gateway;
pub mod gossip;
pub mod header;
pub mod metrics;
pub mod peer;
mod pool;
pub mod pull;
pub mod record;
pub mod relay;
pub mod send;
pub mod serve;
pub mod settings;
pub mod share;
pub mod state;
pub mod usage;
pub mod view;

pub use entry::{Entry, Error, Status};
pub use settings::Settings;
