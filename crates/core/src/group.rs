//! Admission control for a service whose requests slow each other down.
//!
//! The ranks of an expert-parallel group begin each pass in lock-step, so every
//! further request lengthens the pauses between the events of all responses.
//! The modules make decisions only and perform no I/O:
//!
//! - [`concurrency`]: concurrency limit, adjusted from observed pauses.
//! - [`queue`]: queue of requests that wait for a permit.
//! - [`share`]: admission by priority and account under scarcity.
//! - [`pace`]: rate at which requests begin.
//! - [`client_timeout`]: recognition of client retries.
//! - [`selection`]: choice of the backend server for a request.
//! - [`capacity`]: servers that are slower than the others.
//! - [`arrival`]: rate limit of a server in cold start.
//! - [`rate`]: rate limit that a server names.
//! - [`pause`]: pause that a server asks for.
//! - [`health`]: outlier detection from the outcomes of requests.
//! - [`reply`]: what an answer states of whether its request has run.
//! - [`retry_after`]: retry times of refused clients.
//! - [`outage`]: outage and recovery of a group.
//! - [`blame`]: quarantine of what crashes servers.
//! - [`grace`]: what holds of a list while its store is incomplete.
//! - [`drained`]: servers that have begun to leave.

pub mod arrival;
pub mod blame;
pub mod capacity;
pub mod client_timeout;
pub mod concurrency;
pub mod drained;
pub mod grace;
pub mod health;
pub mod outage;
pub mod pace;
pub mod pause;
pub mod queue;
pub mod rate;
pub mod reply;
pub mod retry_after;
pub mod selection;
pub mod share;
