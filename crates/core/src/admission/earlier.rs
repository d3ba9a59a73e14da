//! Work from before the agent's start that the server may still hold.

use std::time::Duration;

use super::fence::Fence;
use super::{Report, Running};
use crate::clock::Instant;

/// What is known of the work from before the start; it can only end.
#[derive(Clone, Debug)]
pub(super) struct Earlier {
    lag: Duration,
    /// When it is over in any case.
    over_at: Option<Instant>,
    state: State,
    count: Option<Count>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// No report that describes the server after the start.
    Unknown(Fence),
    /// At most this many.
    AtMost(u32),
}

/// A report from which the agent's own work is being subtracted.
///
/// The report describes the server at some time from `opened` to its arrival,
/// and it takes up to the lag until the agent sees that a request has ended. A
/// request is in the report for certain if its answer had begun by `opened` and
/// still went on at `closed`.
#[derive(Clone, Copy, Debug)]
struct Count {
    opened: Instant,
    closed: Instant,
    total: u32,
}

impl Earlier {
    pub fn new(lag: Duration) -> Self {
        Earlier {
            lag,
            over_at: None,
            state: State::Unknown(Fence::new(Instant::ORIGIN)),
            count: None,
        }
    }

    pub fn until(mut self, over_at: Instant) -> Self {
        self.over_at = Some(over_at);
        self
    }

    /// Most requests that it can be; `None` as long as this is unknown.
    pub fn most(&self, now: Instant) -> Option<u32> {
        match self.state {
            _ if self.over_at.is_some_and(|over_at| over_at <= now) => Some(0),
            State::AtMost(count) => Some(count),
            _ => None,
        }
    }

    /// Takes in a report that was asked for at `asked` and arrived at `now`.
    pub fn report(&mut self, asked: Instant, now: Instant, report: Report, running: &[Running]) {
        match &mut self.state {
            State::Unknown(fence) => {
                if !fence.passes(asked, report, self.lag) {
                    return;
                }
                self.state = State::AtMost(report.in_flight);
            }
            // Reports include the agent's own work, so they only bound it.
            State::AtMost(count) => *count = report.in_flight.min(*count),
        }
        self.subtract_own(asked, now, report, running);
    }

    /// Lowers the bound by what was the agent's own in an earlier report.
    fn subtract_own(&mut self, asked: Instant, now: Instant, report: Report, running: &[Running]) {
        let State::AtMost(most) = self.state else {
            return;
        };
        if let Some(count) = self.count {
            let own = running.iter().filter(|held| count.has(held)).count() as u32;
            let earlier = count.total.saturating_sub(own);
            self.state = State::AtMost(most.min(earlier));
            if now < count.closed + self.lag {
                return;
            }
        }
        let since_start = asked.since(Instant::ORIGIN);
        self.count = (since_start >= self.lag && most > 0).then(|| Count {
            opened: Instant::ORIGIN + (since_start - self.lag),
            closed: now + self.lag,
            total: report.in_flight,
        });
    }
}

impl Count {
    fn has(&self, held: &Running) -> bool {
        let begun = held.answering.is_some_and(|at| at <= self.opened);
        begun && held.heard >= self.closed
    }
}
