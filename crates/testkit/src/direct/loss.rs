//! Requests that a planned stop of an entry has lost.

use std::time::Duration;

use tokio::time::Instant;

use crate::direct::backend::Run;

/// Time after the last byte of a request within which a connection may end without
/// an answer if the request was not passed on.
const CROSSING: Duration = Duration::from_millis(200);

/// Time after the stop signal up to which requests may outlast the stop.
const EARLY: Duration = Duration::from_secs(3);

/// A request that was written whole to an entry.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When its last byte was written.
    pub at: Instant,
    /// When its answer or its connection ended.
    pub ended: Instant,
    /// When the caller stops waiting, or the time of its route is over.
    pub limit: Instant,
    /// Whether a complete answer came.
    pub answered: bool,
}

/// A planned stop of the entry that a request was sent to.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When the stop signal was sent.
    pub at: Instant,
    /// Time until the process is killed.
    pub grace: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was answered, or its time was over.
    Ended,
    /// Its connection was closed as it arrived, and it was not passed on.
    Crossed,
    /// The stop was too short for it, and it came early in the stop.
    Outlasted,
    /// It was lost.
    Lost,
}

impl Sent {
    /// Judges a request by its runs, with no impairment in its time but the stop.
    pub fn fate(&self, runs: &[Run], stop: Option<Stop>) -> Fate {
        if self.answered || self.ended >= self.limit {
            return Fate::Ended;
        }
        if runs.is_empty() && self.ended <= self.at + CROSSING {
            return Fate::Crossed;
        }
        let outlasts = |stop: Stop| {
            let last_sixth = stop.at + stop.grace.mul_f64(5.0 / 6.0);
            let at_work = runs
                .iter()
                .any(|run| run.ended.is_none_or(|ended| ended > last_sixth));
            self.at <= stop.at + EARLY && at_work
        };
        match stop.is_some_and(outlasts) {
            true => Fate::Outlasted,
            false => Fate::Lost,
        }
    }
}
