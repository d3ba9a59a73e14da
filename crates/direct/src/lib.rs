//! Entry that sends requests to backend servers itself.
//!
//! Where anyone may call a backend server, a request needs no agent on the
//! way. An entry then has no last word at the server: bounds on arrivals,
//! repeated attempts and requests in flight hold for all entries together,
//! and each keeps to its share.
//!
//! A request goes through [`serve`] (accept), [`call`] (identify), [`admit`],
//! [`attempt`] (choose and [`send`]) and [`relay`]; [`record`] settles it with
//! one log line. Decisions are made by `berylgw_core::group` on the [`state`]
//! of the traffic thread.
//!
//! [`view`] holds what the entry believes about the system. An adapter to a
//! platform reports to it; [`beat`] and [`pull`] pass it on between entries.
//! [`entry`] puts the parts together.

pub mod admit;
pub mod answer;
pub mod attempt;
pub mod backend;
pub mod beat;
pub mod call;
pub mod config;
pub mod entry;
pub mod event;
pub mod gateway;
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
pub mod state;
pub mod view;

pub use entry::{Entry, Error, Status};
pub use settings::Settings;
