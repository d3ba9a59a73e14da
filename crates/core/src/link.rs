//! Schedule of datagrams on a link of limited rate.
//!
//! Load pattern: a map for hundreds of ranks in one burst. A link queues a few
//! datagrams and drops the others, which are then repeated in another burst.

use std::time::Duration;

use crate::clock::Instant;

/// Bytes that each datagram takes on the link in addition to its content.
const HEADER_BYTES: usize = 28;

/// Times at which datagrams may be sent.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::link::Schedule;
/// use std::time::Duration;
///
/// let mut schedule = Schedule::new(100_000.0);
/// assert_eq!(schedule.reserve(Instant::ORIGIN, 972), Instant::ORIGIN);
/// let next = schedule.reserve(Instant::ORIGIN, 972);
/// assert_eq!(next, Instant::ORIGIN + Duration::from_millis(10));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    bytes_per_second: f64,
    free_at: Instant,
}

impl Schedule {
    /// Creates a schedule for a rate in bytes per second.
    pub fn new(bytes_per_second: f64) -> Self {
        Schedule {
            bytes_per_second: bytes_per_second.max(1.0),
            free_at: Instant::ORIGIN,
        }
    }

    /// Reserves the link for a datagram of `bytes` bytes and returns when it may
    /// be sent.
    pub fn reserve(&mut self, now: Instant, bytes: usize) -> Instant {
        let begin = self.free_at.max(now);
        self.free_at = begin + self.duration(bytes);
        begin
    }

    /// Returns the time until all reserved datagrams are sent.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.max(now).since(now)
    }

    /// Returns the time that a datagram of `bytes` bytes takes.
    pub fn duration(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64((bytes + HEADER_BYTES) as f64 / self.bytes_per_second)
    }
}
