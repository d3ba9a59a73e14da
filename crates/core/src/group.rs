//! Admission control for a service whose requests slow each other down.
//!
//! The ranks of an expert-parallel group begin each pass in lock-step, so every
//! further request lengthens the pauses between the events of all responses.
//! The modules make decisions only and perform no I/O:
//!
//! - [`bound`]: concurrency limit, adjusted from observed pauses.
//! - [`wait`]: queue of requests that wait for a permit.
//! - [`pace`]: rate at which requests begin.
//! - [`patience`]: recognition of client retries.
//! - [`place`]: choice of the backend server for a request.
//! - [`arrival`]: rate limit of a server in cold start.
//! - [`health`]: outlier detection from the outcomes of requests.
//! - [`comeback`]: retry times of refused clients.
//! - [`closure`]: outage and recovery of a group.

pub mod arrival;
pub mod bound;
pub mod closure;
pub mod comeback;
pub mod health;
pub mod pace;
pub mod patience;
pub mod place;
pub mod wait;
