//! Detection of load reports that describe the server after a given moment.

use std::time::Duration;

use super::Report;
use crate::clock::Instant;

/// Rejects load reports that may describe the server before a given moment.
///
/// The agent and the server do not share a clock, and a stalled server may
/// report a state older than its lag allows. A report therefore passes only if
/// it is late enough by both clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Barrier {
    after: Instant,
    /// Latest time by the server's clock that may be before the moment.
    after_ms: Option<u64>,
}

impl Barrier {
    pub fn new(after: Instant) -> Self {
        Barrier {
            after,
            after_ms: None,
        }
    }

    /// Returns whether a report that was requested at `requested_at` certainly
    /// describes the server after the moment.
    pub fn passes(&mut self, requested_at: Instant, report: Report, lag: Duration) -> bool {
        let newest_ms = report.as_of_ms + lag.as_millis() as u64;
        match self.after_ms {
            // A lower time means a restarted server, whose clock starts again:
            // the limit is then taken anew.
            Some(after_ms) if newest_ms >= after_ms => {
                report.as_of_ms > after_ms && requested_at >= self.after + lag
            }
            _ => {
                self.after_ms = Some(newest_ms);
                false
            }
        }
    }
}
