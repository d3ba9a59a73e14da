//! Outage and recovery of a group.
//!
//! Load pattern: a group fails under load and re-forms within a second or two,
//! at which point all permits are free. During the outage no permits become
//! free, so retry times computed from the rate at which they do would make all
//! refused clients retry together, seconds after the recovery.

use std::time::Duration;

use crate::clock::Instant;

/// Assumed time from the loss of ranks that restart to the first pass of the
/// re-formed group. Outages of 0.9 to 1.6 s are common, but shorter and longer
/// ones occur. The value only sets when refused clients retry.
const REFORM_TIME: Duration = Duration::from_millis(1_200);

/// Outages shorter than this are taken as proof that the service has several
/// groups, of which another one kept running: a single group is assumed to take
/// longer to re-form.
const MIN_SINGLE_GROUP_OUTAGE: Duration = Duration::from_millis(500);

/// Time for which a service counts as having several groups after an outage
/// shorter than [`MIN_SINGLE_GROUP_OUTAGE`]. During this time a request refused
/// by a broken group is tried again; the service counts as down only once a second
/// attempt of the same request is refused in this way.
const SEVERAL_GROUPS_PERIOD: Duration = Duration::from_secs(60);

/// Time in which a re-formed group fills up, about the duration of a response.
const REFILL_TIME: Duration = Duration::from_secs(2);

/// The last outage of a group, as observed by one entry.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::outage::Outage;
/// use std::time::Duration;
///
/// let mut outage = Outage::default();
/// outage.begin(Instant::ORIGIN, 12);
/// let later = Instant::ORIGIN + Duration::from_millis(100);
/// assert!(outage.expected_end(later).since(later) > Duration::from_millis(500));
/// assert_eq!(outage.starts_per_window(later, 0), 12);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Instant>,
    ended: Instant,
    starts: usize,
    several_groups_until: Instant,
}

impl Outage {
    /// Records that the group does not run; `starts` requests began in the window
    /// before. Returns `false` if an outage was already in progress.
    pub fn begin(&mut self, now: Instant, starts: usize) -> bool {
        if self.since.is_some() {
            return false;
        }
        // A group that fails while it refills has not reached its usual rate, so
        // the earlier rate is kept.
        if !self.is_out_or_refilling(now) {
            self.starts = 0;
        }
        self.starts = self.starts.max(starts);
        self.since = Some(now);
        true
    }

    /// Records that the group runs; returns the length of the outage that ended.
    pub fn end(&mut self, now: Instant) -> Option<Duration> {
        let since = self.since.take()?;
        self.ended = now;
        let outage = now.since(since);
        if outage < MIN_SINGLE_GROUP_OUTAGE {
            self.several_groups_until = now + SEVERAL_GROUPS_PERIOD;
        }
        Some(outage)
    }

    /// Returns whether the service has several groups, so that the failure of one
    /// does not concern the servers of the others.
    pub fn has_several_groups(&self, now: Instant) -> bool {
        now < self.several_groups_until
    }

    /// Returns when the group is expected to run.
    pub fn expected_end(&self, now: Instant) -> Instant {
        self.since
            .map_or(now, |since| (since + REFORM_TIME).max(now))
    }

    /// Returns the number of requests expected to begin in one
    /// [window](super::arrival::WINDOW) once the group runs, or 0 if it is neither
    /// in an outage nor refilling.
    ///
    /// The result is at least the rate that uses the `free` permits of this entry
    /// within 2 s; an entry that has just started has not observed any other rate.
    pub fn starts_per_window(&self, now: Instant, free: usize) -> usize {
        if !self.is_out_or_refilling(now) {
            return 0;
        }
        let windows = REFILL_TIME.div_duration_f64(super::arrival::WINDOW);
        self.starts.max((free as f64 / windows) as usize)
    }

    /// Returns whether the group runs again and fills up.
    pub fn is_refilling(&self, now: Instant) -> bool {
        self.since.is_none() && self.is_out_or_refilling(now)
    }

    fn is_out_or_refilling(&self, now: Instant) -> bool {
        self.since.is_some() || now.since(self.ended) < REFILL_TIME
    }
}
