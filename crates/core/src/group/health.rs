//! Servers that are left out for the outcomes of their requests.
//!
//! Load pattern: a server that fails fast looks idle and attracts requests.
//! Outcomes decide, not health answers; a server returns with one request at
//! a time and in doubled steps.

use std::time::Duration;

use crate::clock::Instant;

/// First time for which a server is left out after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for which a server is left out.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Failures in a row after which a server is left out.
const FAILURES: u32 = 2;

/// Time for which a server is left out after another process answered at its
/// address. Lists drop an entry that is not renewed within this time.
const REPLACED_PAUSE: Duration = Duration::from_secs(5);

/// What the requests of one server came to.
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
    /// Whether requests may be sent.
    pub fn usable(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Whether the server has not succeeded since it was left out.
    pub fn doubtful(&self) -> bool {
        self.pauses > 0
    }

    /// Records an answer of the server.
    pub fn succeeded(&mut self) {
        *self = Record::default();
    }

    /// Records a failure while the server was reached.
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
