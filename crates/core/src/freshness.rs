//! How old a copy of the store may become before an entry reads the store itself.
//!
//! Load pattern: a few entries follow the store, and the others take over what these
//! read. Entries that are killed, frozen or cut off look alive until they time out,
//! which is longer than the time within which a change must be in force. So the age
//! of the last confirmation decides, not the state of other entries: the store has
//! told an entry that nothing changed, or what did, and that entry has told others.
//! Entries read one after the other, since the first answer confirms the copy of all.
//!
//! An entry tells others only what the store told itself. An age is taken over without
//! the time for which its datagram was under way; if it were passed on, it would lose
//! that time with each entry, and come back younger than it was told.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::revision::Revision;

/// Shares of the time within which a change must be in force. What is left after the
/// last one is for the read itself, on a new connection, and for one repetition.
const ANNOUNCEMENT_SHARE: f64 = 0.2;
const WATCH_SHARE: f64 = 0.42;
const READ_SHARE: f64 = 0.5;
const LAST_READ_SHARE: f64 = 0.75;

/// Shortest pause between two reads of a fleet that all fail. Their number does not
/// grow with the fleet, and one that succeeds confirms the copies of all entries.
const FAILED_READ_SPACING: Duration = Duration::from_millis(100);

/// The place of an entry in the order in which entries read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Position of the entry, below `entries`.
    pub position: usize,
    /// Entries that exchange what they have read, this one included.
    pub entries: usize,
}

/// When copies of a part of the store are confirmed.
///
/// ```
/// use berylgw_core::freshness::{Schedule, Turn};
/// use std::time::Duration;
///
/// let schedule = Schedule::new(Duration::from_secs(2));
/// let turn = |position| Turn { position, entries: 10 };
/// assert_eq!(schedule.read_age(turn(0)), Duration::from_millis(1_000));
/// assert_eq!(schedule.read_age(turn(5)), Duration::from_millis(1_250));
/// assert!(schedule.watch_wait() < schedule.read_age(turn(0)));
/// assert!(schedule.read_age(turn(9)) < schedule.watch_age());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    bound: Duration,
}

impl Schedule {
    /// Creates the schedule for changes that must be in force within `bound`.
    pub const fn new(bound: Duration) -> Self {
        Schedule { bound }
    }

    /// Returns the longest wait of a watch, whose end without a change confirms the
    /// copy.
    pub fn watch_wait(self) -> Duration {
        self.bound.mul_f64(WATCH_SHARE)
    }

    /// Returns the age of the last confirmation from which on a new one is announced to
    /// all entries at once. Younger ones reach them with the next datagram that is due.
    pub fn announcement_age(self) -> Duration {
        self.bound.mul_f64(ANNOUNCEMENT_SHARE)
    }

    /// Returns the time within which changes must be in force.
    pub const fn bound(self) -> Duration {
        self.bound
    }

    /// Returns the age of the last confirmation at which an entry reads the store.
    pub fn read_age(self, turn: Turn) -> Duration {
        let share = turn.position as f64 / turn.entries.max(1) as f64;
        let spread = LAST_READ_SHARE - READ_SHARE;
        self.bound.mul_f64(READ_SHARE + spread * share.min(1.0))
    }

    /// Returns the age of the last confirmation at which an entry ends a watch that is
    /// not answered, and reads the store over a new connection.
    pub fn watch_age(self) -> Duration {
        self.bound.mul_f64(LAST_READ_SHARE)
    }
}

/// What another entry has told about the copy.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    /// Name of the host.
    by: Arc<str>,
}

/// The last times at which the store told that a copy is current.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    /// The lowest revision that was current when the store told the entry itself.
    direct: Option<(Revision, Instant)>,
    reported: Option<Report>,
    failed_at: Option<Instant>,
}

impl Confirmation {
    /// Records that the store told the entry itself that no change until `at` is above
    /// `revision`.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if self.direct.is_none_or(|(_, known)| known < at) {
            self.direct = Some((revision, at));
        }
    }

    /// Records that the store told the entry at the host `by` that the copy was current
    /// at `at`.
    pub fn report(&mut self, at: Instant, by: &Arc<str>) {
        if self.reported.as_ref().is_none_or(|known| known.at < at) {
            let by = by.clone();
            self.reported = Some(Report { at, by });
        }
    }

    /// Records that the store did not answer a call that began at `at`.
    pub fn fail(&mut self, at: Instant) {
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// Returns when the last call began that the store did not answer.
    pub const fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Returns when the copy was last current, as far as the entry knows; `None` if it was
    /// never confirmed.
    pub fn at(&self) -> Option<Instant> {
        let reported = self.reported.as_ref().map(|report| report.at);
        let direct = self.direct.map(|(_, at)| at);
        direct.max(reported)
    }

    /// Returns the time since the copy was current, as far as the entry knows; `None` if
    /// it was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.at().map(|at| now.since(at))
    }

    /// Returns the time since the store told the entry itself.
    pub fn direct_age(&self, now: Instant) -> Option<Duration> {
        self.direct.map(|(_, at)| now.since(at))
    }

    /// Returns the host whose report is newer than what the store told the entry itself.
    pub fn reporter(&self) -> Option<&Arc<str>> {
        let report = self.reported.as_ref()?;
        let is_newer = self.direct.is_none_or(|(_, at)| at < report.at);
        is_newer.then_some(&report.by)
    }

    /// Returns the time since the store told the entry itself, in milliseconds rounded up,
    /// for other entries; `None` if it never has, or a copy of `revision` is older.
    pub fn told_age_ms(&self, now: Instant, revision: Revision) -> Option<u32> {
        let (confirmed, at) = self.direct?;
        if confirmed > revision {
            return None;
        }
        let age_ms = now.since(at).as_micros().div_ceil(1_000);
        Some(u32::try_from(age_ms).unwrap_or(u32::MAX))
    }
}

/// Returns the longest pause of an entry between two reads that fail.
pub fn failed_read_pause(turn: Turn) -> Duration {
    FAILED_READ_SPACING * u32::try_from(turn.entries).unwrap_or(u32::MAX)
}
