//! Client of the platform's versioned object API.
//!
//! [`Client`] makes single calls; [`Watch`] reads the events of one kind. An
//! update has one of four outcomes, see [`Update`]: only `Unknown` has to be
//! settled by reading the object back.

mod client;
mod error;
mod object;
mod watch;

pub use client::{Client, Update};
pub use error::{Error, Kind, Result};
pub use object::{Event, Host, List, Object};
pub use watch::Watch;
