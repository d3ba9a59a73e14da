//! Retry times of refused clients.
//!
//! Load pattern: hundreds of clients refused within a second retry in one wave
//! and are refused again. Each refusal therefore reserves the next free permit
//! that no earlier refusal has reserved, which spreads the retries over time.

use std::time::Duration;

use crate::clock::Instant;

/// Shortest retry time, a few passes of a group.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Longest retry time; the load cannot be predicted further ahead.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Permits reserved for refused clients, by the time of their retry.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::retry_after::Schedule;
/// use std::time::Duration;
///
/// let mut schedule = Schedule::default();
/// let interval = Duration::from_millis(50);
/// let first = schedule.reserve(Instant::ORIGIN, interval, Instant::ORIGIN);
/// let second = schedule.reserve(Instant::ORIGIN, interval, Instant::ORIGIN);
/// assert_eq!(second, first + interval);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    last_reserved: Instant,
}

impl Schedule {
    /// Reserves a permit and returns the time after which the client may retry.
    ///
    /// `interval` is the time between two permits that become free for retries;
    /// `available_at` is the earliest time at which any can be free, for example the
    /// expected end of a group's outage.
    pub fn reserve(&mut self, now: Instant, interval: Duration, available_at: Instant) -> Duration {
        let earliest = (now + MIN_DELAY).max(available_at);
        let next = (self.last_reserved + interval).max(earliest);
        self.last_reserved = next.min(now + MAX_DELAY);
        self.last_reserved.since(now)
    }
}
