//! Upper bound on the requests that the server still runs for an earlier
//! process of the agent.

use std::time::Duration;

use super::fence::Fence;
use super::{Report, Running};
use crate::clock::Instant;

/// Bound on the requests of an earlier agent. It only falls, since no new
/// requests of that agent arrive.
#[derive(Clone, Debug)]
pub(super) struct Earlier {
    lag: Duration,
    /// Time by which all of these requests have ended, whatever reports show.
    over_at: Option<Instant>,
    state: State,
    count: Option<Count>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// No report yet describes the server after the start of this agent.
    Unknown(Fence),
    /// At most this many.
    AtMost(u32),
}

/// A report from which this agent's own requests are subtracted.
///
/// The report describes the server at some time between `opened` and its
/// arrival, and the agent sees the end of a request up to the lag later. The
/// report certainly includes a request if its answer had begun by `opened` and
/// was incomplete at `closed`.
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

    /// Sets the time by which all of these requests have ended.
    pub fn until(mut self, over_at: Instant) -> Self {
        self.over_at = Some(over_at);
        self
    }

    /// Returns the largest possible number of requests, `None` while unknown.
    pub fn most(&self, now: Instant) -> Option<u32> {
        match self.state {
            _ if self.over_at.is_some_and(|over_at| over_at <= now) => Some(0),
            State::AtMost(count) => Some(count),
            _ => None,
        }
    }

    /// Processes a report that was requested at `asked` and arrived at `now`.
    pub fn report(&mut self, asked: Instant, now: Instant, report: Report, running: &[Running]) {
        match &mut self.state {
            State::Unknown(fence) => {
                if !fence.passes(asked, report, self.lag) {
                    return;
                }
                self.state = State::AtMost(report.in_flight);
            }
            // Reports include this agent's own requests, so they are an upper bound.
            State::AtMost(count) => *count = report.in_flight.min(*count),
        }
        self.subtract_own(asked, now, report, running);
    }

    /// Lowers the bound to the last sampled report less the own requests that it
    /// certainly includes; starts a new sample once the window of the last one
    /// has been closed for the lag.
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
