//! Outlier detection from the outcomes of requests.
//!
//! Load pattern: a server that fails fast appears idle and attracts requests.
//! Servers are ejected by the outcomes of requests, not by health checks. Each
//! further failure before a success doubles the time of ejection.

use std::time::Duration;

use crate::clock::Instant;

/// Time of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// Longest time of an ejection after failures.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Consecutive failures after which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Time for which a server is ejected after another process answered at its
/// address. Server lists drop a server that is not renewed within this time.
const REPLACED_EJECTION: Duration = Duration::from_secs(5);

/// Outcomes of the requests to one server.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::health::Record;
///
/// let mut record = Record::default();
/// record.unreachable(Instant::ORIGIN);
/// assert!(!record.is_available(Instant::ORIGIN));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Instant,
}

impl Record {
    /// Returns whether requests may be sent.
    pub fn is_available(&self, now: Instant) -> bool {
        now >= self.ejected_until
    }

    /// Returns whether no request has succeeded since the server was ejected.
    pub fn is_recovering(&self) -> bool {
        self.ejections > 0
    }

    /// Records a successful response.
    pub fn succeeded(&mut self) {
        *self = Record::default();
    }

    /// Records a failure after a connection was made.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= MAX_CONSECUTIVE_FAILURES || self.is_recovering() {
            self.eject(now);
        }
    }

    /// Records that no connection could be made.
    pub fn unreachable(&mut self, now: Instant) {
        self.eject(now);
    }

    /// Records that another process answered at the server's address.
    pub fn replaced(&mut self, now: Instant) {
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + REPLACED_EJECTION;
    }

    fn eject(&mut self, now: Instant) {
        let ejection = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }
}
