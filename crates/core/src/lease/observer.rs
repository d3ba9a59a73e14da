use std::time::Duration;

use super::Record;
use crate::clock::Instant;

/// Fraction of the term added before a takeover, for clocks of different speed.
const DRIFT_DIVISOR: u32 = 8;

/// What a process that does not hold a role knows about the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observer {
    seen: Option<Sighting>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    version: u64,
    first: Instant,
    wait: Duration,
}

impl Observer {
    /// Records that a read answered at `now` returned the object.
    pub fn observe(&mut self, version: u64, record: &Record, now: Instant) {
        if self.seen.is_some_and(|seen| seen.version == version) {
            return;
        }
        let wait = if record.released {
            Duration::ZERO
        } else {
            record.term() + record.term() / DRIFT_DIVISOR
        };
        self.seen = Some(Sighting {
            version,
            first: now,
            wait,
        });
    }

    /// Forgets what was seen, so that the full term is waited for again.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// Whether the lease that `version` stands for has ended.
    pub fn expired(&self, version: u64, now: Instant) -> bool {
        let Some(seen) = self.seen else {
            return false;
        };
        if seen.version != version {
            return false;
        }
        seen.wait.is_zero() || now.since(seen.first) > seen.wait
    }

    /// When the lease seen last will have ended.
    pub fn expires_at(&self) -> Option<Instant> {
        let seen = self.seen?;
        Some(seen.first + seen.wait + Duration::from_micros(1))
    }
}
