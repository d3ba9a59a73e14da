//! Fakes of the users' platform: its store, backend servers and groups of ranks.
//!
//! They implement the published protocol and inject failures on request, so
//! that direct entries are tested without the platform.

pub mod backend;
pub mod caller;
pub mod duty;
pub mod group;
pub mod loss;
pub mod rank;
pub mod site;
pub mod store;
