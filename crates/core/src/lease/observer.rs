use std::time::Duration;

use super::Record;
use crate::clock::Instant;

/// Divisor of the term that yields the additional wait before a takeover, which
/// allows for clocks of different speed.
pub(super) const DRIFT_DIVISOR: u32 = 8;

/// The lease of another process, as observed by reads of its object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observer {
    last: Option<Observation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    version: u64,
    first: Instant,
    wait: Duration,
}

impl Observer {
    /// Records the object returned by a read that completed at `now`, in an `era` of the
    /// store. A release that was sent in an earlier one may have replaced the lease of a
    /// holder that acts.
    pub fn observe(&mut self, version: u64, record: &Record, era: u64, now: Instant) {
        if self.last.is_some_and(|last| last.version == version) {
            return;
        }
        let wait = if record.released && record.era == era {
            Duration::ZERO
        } else {
            record.term() + record.term() / DRIFT_DIVISOR
        };
        self.last = Some(Observation {
            version,
            first: now,
            wait,
        });
    }

    /// Discards the observation, so that a takeover waits for the full term again.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// Returns whether the lease written as `version` has expired.
    pub fn expired(&self, version: u64, now: Instant) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        if last.version != version {
            return false;
        }
        last.wait.is_zero() || now.since(last.first) > last.wait
    }

    /// Returns when the lease observed last expires.
    pub fn expires_at(&self) -> Option<Instant> {
        let last = self.last?;
        Some(last.first + last.wait + Duration::from_micros(1))
    }
}
