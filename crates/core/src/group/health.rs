//! Outlier detection from the outcomes of requests.
//!
//! Load pattern: a server that fails fast appears idle and attracts requests.
//! Servers are ejected by the outcomes of requests, not by health checks. Each
//! further failure before a success doubles the time of ejection.

use std::time::Duration;

use crate::clock::Instant;

/// Time of the first ejection.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest time of an ejection after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Consecutive failures after which a server is ejected.
const FAILURES: u32 = 2;

/// Time for which a server is ejected after another process answered at its
/// address. Server lists drop a server that is not renewed within this time.
const REPLACED_PAUSE: Duration = Duration::from_secs(5);

/// Outcomes of the requests to one server.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::health::Record;
///
/// let mut record = Record::default();
/// record.unreachable(Instant::ORIGIN);
/// assert!(!record.usable(Instant::ORIGIN));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    failures: u32,
    pauses: u32,
    until: Instant,
}

impl Record {
    /// Returns whether requests may be sent.
    pub fn usable(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Returns whether no request has succeeded since the server was ejected.
    pub fn doubtful(&self) -> bool {
        self.pauses > 0
    }

    /// Records a successful response.
    pub fn succeeded(&mut self) {
        *self = Record::default();
    }

    /// Records a failure after a connection was made.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES || self.doubtful() {
            self.pause(now);
        }
    }

    /// Records that no connection could be made.
    pub fn unreachable(&mut self, now: Instant) {
        self.pause(now);
    }

    /// Records that another process answered at the server's address.
    pub fn replaced(&mut self, now: Instant) {
        self.pauses += 1;
        self.failures = 0;
        self.until = now + REPLACED_PAUSE;
    }

    fn pause(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.pauses.min(8));
        self.pauses += 1;
        self.failures = 0;
        self.until = now + pause.min(LONGEST_PAUSE);
    }
}
