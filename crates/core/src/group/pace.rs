//! How fast requests begin.
//!
//! Load pattern: requests that arrive together are read in one pass of a
//! group, and the whole pass becomes longer than callers accept, although the
//! number of requests is not too high. An entry that begins its requests in
//! even steps keeps the passes equal; the entries together need no message
//! for it.

use std::time::Duration;

use crate::clock::Instant;

/// Time over which the own rate is averaged; about the length of an answer.
const MEMORY: Duration = Duration::from_secs(2);

/// Longest step between two requests, so that an entry with little traffic
/// does not wait longer than some passes.
const LONGEST_STEP: Duration = Duration::from_millis(60);

/// Spaces the begin of requests by the tokens of their prompts.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::pace::Pacer;
/// use std::time::Duration;
///
/// let mut pacer = Pacer::new(1.2);
/// pacer.begin(Instant::ORIGIN, 800.0);
/// assert!(!pacer.ready(Instant::ORIGIN + Duration::from_millis(1)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    headroom: f64,
    tokens_per_second: f64,
    last: Instant,
    next: Instant,
}

impl Pacer {
    /// A pacer that lets the rate grow by the factor `headroom`.
    pub fn new(headroom: f64) -> Self {
        Pacer {
            headroom,
            tokens_per_second: 0.0,
            last: Instant::ORIGIN,
            next: Instant::ORIGIN,
        }
    }

    /// Whether a request may begin.
    pub fn ready(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// When the next request may begin.
    pub fn next(&self) -> Instant {
        self.next
    }

    /// Counts a request that begins with a prompt of `tokens`.
    pub fn begin(&mut self, now: Instant, tokens: f64) {
        let memory = MEMORY.as_secs_f64();
        let passed = now.since(self.last).as_secs_f64();
        self.last = now;
        self.tokens_per_second *= (-passed / memory).exp();
        self.tokens_per_second += tokens / memory;
        let seconds = tokens / (self.tokens_per_second * self.headroom).max(1.0);
        let step = Duration::from_secs_f64(seconds.min(LONGEST_STEP.as_secs_f64()));
        self.next = self.next.max(now) + step;
    }
}
