//! Outage and recovery of a group.
//!
//! Load pattern: a group fails under load and re-forms within a second or two,
//! at which point all permits are free. During the outage no permits become
//! free, so retry times computed from that rate would bring all refused clients
//! back seconds after the recovery and at once.

use std::time::Duration;

use crate::clock::Instant;

/// Assumed time from the loss of ranks that restart to the first pass of the
/// re-formed group. Outages of 0.9 to 1.6 s are common, but shorter and longer
/// ones occur. The value only sets when refused clients retry.
const FORMING: Duration = Duration::from_millis(1_200);

/// Outages shorter than this are taken as proof that the service has several
/// groups, of which another one kept running: a single group is assumed to take
/// longer to re-form.
const SHORTEST: Duration = Duration::from_millis(500);

/// Time for which a service counts as having several groups after an outage
/// shorter than [`SHORTEST`]. During this time a failing group costs two requests
/// instead of one.
const SEVERAL: Duration = Duration::from_secs(60);

/// Time in which a re-formed group fills up, about the duration of a response.
const REFILL: Duration = Duration::from_secs(2);

/// The last outage of a group, as observed by one entry.
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
    /// Records that the group does not run; `begun` requests began in the window
    /// before. Returns `false` if an outage was already in progress.
    pub fn broke(&mut self, now: Instant, begun: usize) -> bool {
        if self.since.is_some() {
            return false;
        }
        // A group that fails while it refills has not reached its usual rate, so
        // the earlier rate is kept.
        if !self.refills(now) {
            self.begun = 0;
        }
        self.begun = self.begun.max(begun);
        self.since = Some(now);
        true
    }

    /// Records that the group runs; returns the length of the outage that ended.
    pub fn runs(&mut self, now: Instant) -> Option<Duration> {
        let since = self.since.take()?;
        self.ended = now;
        let closed = now.since(since);
        if closed < SHORTEST {
            self.several_until = now + SEVERAL;
        }
        Some(closed)
    }

    /// Returns whether the service has several groups, so that the failure of one
    /// does not concern the servers of the others.
    pub fn is_one_of_several(&self, now: Instant) -> bool {
        now < self.several_until
    }

    /// Returns when the group is expected to run.
    pub fn opens(&self, now: Instant) -> Instant {
        self.since.map_or(now, |since| (since + FORMING).max(now))
    }

    /// Returns the number of requests expected to begin in one
    /// [window](super::arrival::LENGTH) once the group runs, or 0 if it is neither
    /// in an outage nor refilling.
    ///
    /// The result is at least the rate that uses the `free` permits of this entry
    /// within 2 s; an entry that has just started has not observed any other rate.
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
