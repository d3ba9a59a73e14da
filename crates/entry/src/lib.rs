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
mod limits;
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
mod stalled;
mod sync;

pub use server::Entry;
pub use settings::{Limits, Listen, Platform, Settings, Tls};
