//! Load reports that describe the server after some moment.

use std::time::Duration;

use super::Report;
use crate::clock::Instant;

/// A moment from which on reports count.
///
/// The agent and the server do not share a clock, and a server that stalls may
/// report an older state than its lag allows. So a report has to be late enough
/// by both clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fence {
    from: Instant,
    /// Newest time by the server's clock that may lie before the moment.
    after_ms: Option<u64>,
}

impl Fence {
    pub fn new(from: Instant) -> Self {
        Fence {
            from,
            after_ms: None,
        }
    }

    /// Whether a report that was asked for at `asked` describes the server after
    /// the moment.
    pub fn passes(&mut self, asked: Instant, report: Report, lag: Duration) -> bool {
        let newest_ms = report.as_of_ms + lag.as_millis() as u64;
        match self.after_ms {
            // The clock of a restarted server starts again.
            Some(after_ms) if newest_ms >= after_ms => {
                report.as_of_ms > after_ms && asked >= self.from + lag
            }
            _ => {
                self.after_ms = Some(newest_ms);
                false
            }
        }
    }
}
