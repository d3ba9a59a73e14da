//! How old a copy of the store may become before an entry reads the store itself.
//!
//! Load pattern: a few entries follow the store, and the others take over what these
//! read. Entries that are killed, frozen or cut off look alive until they time out,
//! which is longer than the time within which a change must be in force. So the age
//! of the last confirmation decides, not the state of other entries: the store has
//! told an entry that nothing changed, or what did, and that entry has told others.
//! Entries read one after the other, since the first answer confirms the copy of all.

use std::time::Duration;

/// Shares of the time within which a change must be in force. What is left after the
/// last one is for the read itself, on a new connection, and for one repetition.
const WATCH_SHARE: f64 = 0.45;
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

/// Returns the longest pause of an entry between two reads that fail.
pub fn failed_read_pause(turn: Turn) -> Duration {
    FAILED_READ_SPACING * u32::try_from(turn.entries).unwrap_or(u32::MAX)
}
