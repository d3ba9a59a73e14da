//! Retry times of refused clients.
//!
//! Load pattern: hundreds of clients refused within a second retry in one wave
//! and are refused again. Each refusal therefore reserves the next free permit
//! that no earlier refusal has reserved, which spreads the retries over time.
//!
//! Where permits are shared by priority, a client that returns at its time goes before
//! new requests of its priority, and one that returns earlier is refused again.
//! Otherwise a client that ignores its time and tries again and again would get the
//! permits that were reserved for the others. Clients are recognized by the digest of
//! the whole request, as they may return to any entry.

use std::time::Duration;

use crate::clock::Instant;

/// Shortest retry time, a few passes of a group.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Longest retry time; the load cannot be predicted further ahead.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Time before the due time at which a client counts as returning at it: clocks and
/// timers are rounded.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);

/// Time after the due time within which a client still counts as returning at it, for
/// its connection and timers.
const LATE_TOLERANCE: Duration = Duration::from_millis(250);

/// Most returns that are known; further ones are not recognized.
const MAX_RETURNS: usize = 4_096;

/// Most returns that an entry reports to the others.
pub const MAX_REPORTED_RETURNS: usize = 64;

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

impl Schedule {
    /// Reserves a permit for a client that waits until `latest` at most; returns the
    /// time after which it may retry, `None` if no permit is free by then.
    pub fn reserve_until(
        &mut self,
        now: Instant,
        interval: Duration,
        available_at: Instant,
        latest: Instant,
    ) -> Option<Duration> {
        let earliest = (now + MIN_DELAY).max(available_at);
        let next = (self.last_reserved + interval).max(earliest);
        if next > latest {
            return None;
        }
        self.last_reserved = next;
        Some(next.since(now))
    }
}

/// When a request arrives relative to the time that its client was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// No refusal of the client is known.
    New,
    /// The client returns before its time, which is in the given time.
    Early(Duration),
    /// The client returns at its time, at which a permit is reserved for it.
    Due,
}

/// A refused client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Digest of its request.
    pub digest: u64,
    /// Time that it was given.
    pub due: Instant,
    /// Whether a permit is reserved for it.
    pub reserved: bool,
}

/// Refused clients that may return, to this entry or another one.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::retry_after::{Arrival, Return, Returns};
/// use std::time::Duration;
///
/// let at = Instant::from_millis;
/// let mut returns = Returns::default();
/// returns.refuse(at(0), Return { digest: 7, due: at(400), reserved: true });
/// returns.refuse(at(0), Return { digest: 8, due: at(400), reserved: true });
/// assert_eq!(returns.arrive(at(405), 7), Arrival::Due);
/// assert_eq!(returns.arrive(at(410), 7), Arrival::New);
/// assert_eq!(returns.arrive(at(100), 8), Arrival::Early(Duration::from_millis(300)));
/// assert_eq!(returns.arrive(at(405), 8), Arrival::New);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Sorted by digest, with whether this entry refused the client.
    known: Vec<(Return, bool)>,
    pruned: Instant,
}

impl Returns {
    /// Records that this entry refuses a client.
    pub fn refuse(&mut self, now: Instant, refused: Return) {
        self.insert(now, refused, true);
    }

    /// Records that another entry refused a client.
    pub fn hear(&mut self, now: Instant, refused: Return) {
        self.insert(now, refused, false);
    }

    /// Returns when a request arrives relative to the time that its client was given. A
    /// client that returns at its time is forgotten, so that the time counts once; one
    /// that returns earlier loses its permit.
    pub fn arrive(&mut self, now: Instant, digest: u64) -> Arrival {
        let found = self
            .known
            .binary_search_by_key(&digest, |known| known.0.digest);
        let Ok(index) = found else {
            return Arrival::New;
        };
        let Return { due, reserved, .. } = self.known[index].0;
        if now + EARLY_TOLERANCE < due {
            // A client that tries again and again would always meet its time exactly.
            self.known[index].0.reserved = false;
            return Arrival::Early(due.since(now));
        }
        self.known.remove(index);
        match reserved && now.since(due) <= LATE_TOLERANCE {
            true => Arrival::Due,
            false => Arrival::New,
        }
    }

    /// Returns the time that a refused client was given, `None` if none is known.
    pub fn due(&self, digest: u64) -> Option<Instant> {
        let found = self
            .known
            .binary_search_by_key(&digest, |known| known.0.digest);
        found.ok().map(|index| self.known[index].0.due)
    }

    /// Returns the clients that this entry refused and that are due next.
    pub fn report(&mut self, now: Instant) -> Vec<Return> {
        self.prune(now);
        let own = self.known.iter().filter(|(_, own)| *own);
        let mut report: Vec<Return> = own.map(|(refused, _)| *refused).collect();
        report.sort_by_key(|refused| refused.due);
        report.truncate(MAX_REPORTED_RETURNS);
        report
    }

    fn insert(&mut self, now: Instant, refused: Return, own: bool) {
        self.prune(now);
        let latest = now + MAX_DELAY;
        if refused.due > latest || now.since(refused.due) > LATE_TOLERANCE {
            return;
        }
        let found = self
            .known
            .binary_search_by_key(&refused.digest, |known| known.0.digest);
        match found {
            // An entry repeats its reports, also of clients that have returned since.
            Ok(index) if own || refused.due > self.known[index].0.due => {
                self.known[index] = (refused, own);
            }
            Ok(index) if refused.due == self.known[index].0.due => {
                self.known[index].0.reserved &= refused.reserved;
            }
            Err(index) if self.known.len() < MAX_RETURNS => {
                self.known.insert(index, (refused, own));
            }
            _ => {}
        }
    }

    fn prune(&mut self, now: Instant) {
        if now.since(self.pruned) < MIN_DELAY {
            return;
        }
        self.pruned = now;
        self.known
            .retain(|(refused, _)| now.since(refused.due) <= LATE_TOLERANCE);
    }
}
