//! Stand-ins of the users' platform: its store and its backend servers.
//!
//! They follow the published protocol and misbehave on request, so that the
//! path of direct entries is tested without the platform.

pub mod backend;
pub mod caller;
pub mod group;
pub mod rank;
pub mod site;
pub mod store;
