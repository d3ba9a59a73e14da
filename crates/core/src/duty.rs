//! Calls of the entry that holds the duties of a deployment.
//!
//! Load pattern: an interface accepts few calls per second from all entries together, is
//! slow, down or unreachable for seconds, and judges late calls and calls of two holders.
//! After an outage more calls are due than it accepts at once. A holder may freeze
//! between a decision and its call.
//!
//! [`Bucket`] spaces the calls, [`Backoff`] spaces the attempts of one call, [`Turns`]
//! chooses the next call, [`outlasts`] decides whether a call may still be sent under a
//! lease, and [`Silence`] decides when the holder makes way for another entry.

mod backoff;
mod bucket;
mod silence;
mod turns;

use std::time::Duration;

use crate::clock::Instant;
use crate::lease::Lease;

pub use backoff::Backoff;
pub use bucket::Bucket;
pub use silence::Silence;
pub use turns::{Subject, Turns};

/// Returns whether a call that begins at `now` and takes at most `longest` ends while the
/// lease is valid.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::{duty, lease::Lease};
/// use std::time::Duration;
///
/// let lease = Lease::new(1, Instant::ORIGIN, Duration::from_secs(3));
/// let longest = Duration::from_millis(600);
/// assert!(duty::outlasts(&lease, Instant::from_millis(2_399), longest));
/// assert!(!duty::outlasts(&lease, Instant::from_millis(2_400), longest));
/// ```
pub fn outlasts(lease: &Lease, now: Instant, longest: Duration) -> bool {
    lease.is_valid(now + longest)
}
