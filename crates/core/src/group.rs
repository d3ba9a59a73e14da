//! Decisions about the load of a service whose requests slow each other down.
//!
//! The ranks of an expert-parallel group begin each pass together, so that
//! every further request lengthens the pauses in the answers of all others.
//! These modules decide without input or output:
//!
//! - [`bound`]: how many requests run at once, found from the pauses observed.
//! - [`wait`]: which request takes the next free place, and how long one waits.
//! - [`pace`]: how fast requests begin.
//! - [`patience`]: which requests are late already.
//! - [`place`]: the backend server that a request goes to.
//! - [`arrival`]: how many requests a server in cold start receives.
//! - [`health`]: which servers are left out for the outcomes of their requests.
//! - [`comeback`]: when a refused client is told to come back.
//! - [`closure`]: when a group that broke runs again.

pub mod arrival;
pub mod bound;
pub mod closure;
pub mod comeback;
pub mod health;
pub mod pace;
pub mod patience;
pub mod place;
pub mod wait;
