//! Client of the platform's versioned object API.
//!
//! [`Client`] makes single calls; [`Watch`] reads the events of one kind. An
//! update has one of four outcomes, see [`Update`]. Only after `Unknown` must the
//! caller read the object back to learn whether the update took effect.

mod client;
mod error;
mod name;
mod object;
mod watch;

pub use client::{Client, Update};
pub use error::{Error, Kind, Result};
pub use name::encode_name;
pub use object::{Event, Host, List, Object};
pub use watch::Watch;
