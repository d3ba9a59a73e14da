//! Upper bound on the requests that the server still runs for an earlier
//! process of the agent.

use std::time::Duration;

use super::barrier::Barrier;
use super::{Report, Running};
use crate::clock::Instant;

/// Bound on the requests of an earlier agent. It only falls, since no new
/// requests of that agent arrive.
#[derive(Clone, Debug)]
pub(super) struct Orphans {
    lag: Duration,
    /// Time by which all of these requests have ended, whatever reports show.
    ended_at: Option<Instant>,
    estimate: Estimate,
    sample: Option<Sample>,
}

#[derive(Clone, Copy, Debug)]
enum Estimate {
    /// No report yet describes the server after the start of this agent.
    Unknown(Barrier),
    /// At most this many.
    AtMost(u32),
}

/// A report from which this agent's own requests are subtracted.
///
/// The report describes the server at some time between `earliest` and the arrival
/// of the report. `latest` is the arrival plus the lag, because the agent sees the
/// end of a request up to the lag late. A request is certainly included if its
/// answer had begun by `earliest` and was incomplete at `latest`.
#[derive(Clone, Copy, Debug)]
struct Sample {
    earliest: Instant,
    latest: Instant,
    in_flight: u32,
}

impl Orphans {
    pub fn new(lag: Duration) -> Self {
        Orphans {
            lag,
            ended_at: None,
            estimate: Estimate::Unknown(Barrier::new(Instant::ORIGIN)),
            sample: None,
        }
    }

    /// Sets the time by which all of these requests have ended.
    pub fn with_end(mut self, ended_at: Instant) -> Self {
        self.ended_at = Some(ended_at);
        self
    }

    /// Returns the largest possible number of requests, `None` while unknown.
    pub fn upper_bound(&self, now: Instant) -> Option<u32> {
        match self.estimate {
            _ if self.ended_at.is_some_and(|ended_at| ended_at <= now) => Some(0),
            Estimate::AtMost(bound) => Some(bound),
            _ => None,
        }
    }

    /// Processes a report that was requested at `requested_at` and arrived at `now`.
    pub fn report(
        &mut self,
        requested_at: Instant,
        now: Instant,
        report: Report,
        running: &[Running],
    ) {
        match &mut self.estimate {
            Estimate::Unknown(barrier) => {
                if !barrier.passes(requested_at, report, self.lag) {
                    return;
                }
                self.estimate = Estimate::AtMost(report.in_flight);
            }
            // Reports include this agent's own requests, so they are an upper bound.
            Estimate::AtMost(bound) => *bound = report.in_flight.min(*bound),
        }
        self.subtract_own(requested_at, now, report, running);
    }

    /// Lowers the bound to the last sampled report less this agent's requests that it
    /// certainly includes; takes a new sample once the lag has passed since the
    /// `latest` of the last one.
    fn subtract_own(
        &mut self,
        requested_at: Instant,
        now: Instant,
        report: Report,
        running: &[Running],
    ) {
        let Estimate::AtMost(bound) = self.estimate else {
            return;
        };
        if let Some(sample) = self.sample {
            let own = running
                .iter()
                .filter(|request| sample.includes(request))
                .count() as u32;
            let orphans = sample.in_flight.saturating_sub(own);
            self.estimate = Estimate::AtMost(bound.min(orphans));
            if now < sample.latest + self.lag {
                return;
            }
        }
        let since_start = requested_at.since(Instant::ORIGIN);
        self.sample = (since_start >= self.lag && bound > 0).then(|| Sample {
            earliest: Instant::ORIGIN + (since_start - self.lag),
            latest: now + self.lag,
            in_flight: report.in_flight,
        });
    }
}

impl Sample {
    fn includes(&self, request: &Running) -> bool {
        let started = request.answer_started.is_some_and(|at| at <= self.earliest);
        started && request.incomplete_at >= self.latest
    }
}
