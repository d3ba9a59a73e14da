//! Entry process: the caller-facing side of berylgw.
//!
//! A control thread owns the configuration and publishes snapshots; the
//! traffic threads authenticate callers, choose backend servers with
//! [`berylgw_core::route`] and dispatch requests to their agents.

mod accept;
mod answer;
mod attempt;
mod callers;
mod control;
mod dispatch;
mod group;
mod idempotency;
mod leave;
mod ledger;
mod limits;
mod members;
mod metrics;
mod pool;
mod probe;
mod register;
mod render;
mod scope;
mod secure;
mod server;
mod settings;
mod shared;
mod suspects;
mod sync;
mod ticket;
mod write_timeout;

pub use server::Entry;
pub use settings::{Groups, Ledger, Limits, Listen, Platform, Routing, Settings, Tls};
