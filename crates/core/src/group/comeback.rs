//! When a refused client is told to come back.
//!
//! Load pattern: hundreds of clients refused within a second come back in one
//! wave and are refused again. Each refusal names the time at which the places
//! promised before it are used up, so that the clients return one by one.

use std::time::Duration;

use crate::clock::Instant;

/// Shortest time named, a few passes of a group.
const SHORTEST: Duration = Duration::from_millis(100);

/// Longest time named. Beyond it nothing is known about the load.
const LONGEST: Duration = Duration::from_secs(5);

/// The times at which places were promised to refused clients.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::comeback::Schedule;
/// use std::time::Duration;
///
/// let mut schedule = Schedule::default();
/// let interval = Duration::from_millis(50);
/// let first = schedule.promise(Instant::ORIGIN, interval, Instant::ORIGIN);
/// let second = schedule.promise(Instant::ORIGIN, interval, Instant::ORIGIN);
/// assert_eq!(second, first + interval);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    promised: Instant,
}

impl Schedule {
    /// Time after which the next refused client may come back.
    ///
    /// `interval` is the time between two places for clients that come back;
    /// `opens` is when places can be free at all, for example when a broken
    /// group is formed again.
    pub fn promise(&mut self, now: Instant, interval: Duration, opens: Instant) -> Duration {
        let earliest = (now + SHORTEST).max(opens);
        let next = (self.promised + interval).max(earliest);
        self.promised = next.min(now + LONGEST);
        self.promised.since(now)
    }
}
