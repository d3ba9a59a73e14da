//! When a group that broke runs again, and how many requests it takes then.
//!
//! Load pattern: a group breaks under load and is formed again within a second
//! or two. All places are free at that moment. Clients told to come back by the
//! rate of places while the group was broken, which is none, come seconds later
//! and all at once.

use std::time::Duration;

use crate::clock::Instant;

/// Time from the loss of ranks that start again to the first pass of the new
/// group; 0.9 to 1.6 s in the closures of docs/MEASUREMENTS.md.
const FORMING: Duration = Duration::from_millis(1_200);

/// Closures below this time are not those of one group, which takes longer to be
/// formed again: the service has several, of which others ran meanwhile.
const SHORTEST: Duration = Duration::from_millis(500);

/// Time for which a service counts as one with several groups after a closure
/// that showed it. A group that breaks costs two requests then instead of one.
const SEVERAL: Duration = Duration::from_secs(60);

/// Time after which a group that runs again is full, about that of an answer.
const REFILL: Duration = Duration::from_secs(2);

/// What an entry knows of the last time at which a group did not run.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::closure::Closure;
/// use std::time::Duration;
///
/// let mut closure = Closure::default();
/// closure.broke(Instant::ORIGIN, 12);
/// let later = Instant::ORIGIN + Duration::from_millis(100);
/// assert!(closure.opens(later).since(later) > Duration::from_millis(500));
/// assert_eq!(closure.rate(later, 0), 12);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Closure {
    since: Option<Instant>,
    ended: Instant,
    begun: usize,
    several_until: Instant,
}

impl Closure {
    /// Notes that the group does not run; `begun` requests began in the window
    /// before. Returns whether that is news.
    pub fn broke(&mut self, now: Instant, begun: usize) -> bool {
        if self.since.is_some() {
            return false;
        }
        // A group that breaks while it fills again has not reached its rate.
        if !self.refills(now) {
            self.begun = 0;
        }
        self.begun = self.begun.max(begun);
        self.since = Some(now);
        true
    }

    /// Notes that the group runs; returns for how long it did not.
    pub fn runs(&mut self, now: Instant) -> Option<Duration> {
        let since = self.since.take()?;
        self.ended = now;
        let closed = now.since(since);
        if closed < SHORTEST {
            self.several_until = now + SEVERAL;
        }
        Some(closed)
    }

    /// Whether the service has several groups, so that a broken one says nothing
    /// about another server.
    pub fn is_one_of_several(&self, now: Instant) -> bool {
        now < self.several_until
    }

    /// When the group is expected to run.
    pub fn opens(&self, now: Instant) -> Instant {
        self.since.map_or(now, |since| (since + FORMING).max(now))
    }

    /// Requests that begin in one [window](super::arrival::LENGTH) once the
    /// group runs, 0 if nothing is known beyond the present rate.
    ///
    /// `free` places of this entry are taken within 2 s, also where the
    /// entry has just started and has seen no rate.
    pub fn rate(&self, now: Instant, free: usize) -> usize {
        if !self.refills(now) {
            return 0;
        }
        let windows = REFILL.div_duration_f64(super::arrival::LENGTH);
        self.begun.max((free as f64 / windows) as usize)
    }

    fn refills(&self, now: Instant) -> bool {
        self.since.is_some() || now.since(self.ended) < REFILL
    }
}
