//! The planned stop of an entry.
//!
//! Load pattern: callers that hold an older directory answer go on sending requests
//! for seconds after the stop signal. A request that is taken too late ends with the
//! process, after a server has begun to work on it.

use std::time::Duration;

use crate::clock::Instant;

/// Shares of the time from the stop signal to the kill signal. The rest after each
/// one is left for what follows it: requests on the last connections, the delivery of
/// the last answers, and the exit.
const ACCEPT_SHARE: f64 = 0.85;
const ANSWER_SHARE: f64 = 0.9;
const EXIT_SHARE: f64 = 0.95;

/// Share of that time in which streams are taken whatever their time limit. Most end
/// far earlier, and one that does not can be continued at another entry.
const STREAM_SHARE: f64 = 0.3;

/// When a stopping entry does what, all on one clock.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::stop::Schedule;
/// use std::time::Duration;
///
/// let schedule = Schedule::new(Instant::ORIGIN, Duration::from_secs(8));
/// let deadline = Instant::from_millis(5_000);
/// assert!(schedule.admits(Instant::from_millis(4_000), deadline, false));
/// assert!(!schedule.admits(Instant::from_millis(4_000), schedule.exit(), false));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    begun: Instant,
    grace: Duration,
}

impl Schedule {
    /// Creates the schedule of a stop that was signalled at `begun` and has `grace`
    /// until the process is killed.
    pub fn new(begun: Instant, grace: Duration) -> Self {
        Schedule { begun, grace }
    }

    /// Returns the time of the stop signal.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// Returns the time until which connections are accepted at the longest.
    pub fn accept_until(&self) -> Instant {
        self.after(ACCEPT_SHARE)
    }

    /// Returns the time at which the last answer is made at the latest.
    pub fn answer_by(&self) -> Instant {
        self.after(ANSWER_SHARE)
    }

    /// Returns the time at which the process exits at the latest.
    pub fn exit(&self) -> Instant {
        self.after(EXIT_SHARE)
    }

    /// Returns whether a request that arrives at `now` and is answered by `deadline`
    /// at the latest can be taken: its time is over before the last answer is due, or
    /// it is an early stream.
    pub fn admits(&self, now: Instant, deadline: Instant, streams: bool) -> bool {
        deadline <= self.answer_by() || (streams && now <= self.after(STREAM_SHARE))
    }

    fn after(&self, share: f64) -> Instant {
        self.begun + self.grace.mul_f64(share)
    }
}
