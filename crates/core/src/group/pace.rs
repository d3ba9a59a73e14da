//! Rate at which requests begin.
//!
//! Load pattern: the prompts of requests that arrive together are prefilled in
//! one pass of the group, which makes that pass longer than callers accept
//! although the number of requests in flight is within the limit. Beginning
//! requests at even intervals keeps passes equally long. Each entry paces its own
//! requests, without coordination.

use std::time::Duration;

use crate::clock::Instant;

/// Time constant of the average of the token rate, about the duration of a
/// response.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Longest interval between two requests, so that requests of an entry with
/// little traffic wait for a few passes at most.
const MAX_INTERVAL: Duration = Duration::from_millis(60);

/// Spaces the starts of requests by the tokens of their prompts.
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
    /// Creates a pacer that admits `headroom` times the average token rate.
    pub fn new(headroom: f64) -> Self {
        Pacer {
            headroom,
            tokens_per_second: 0.0,
            last: Instant::ORIGIN,
            next: Instant::ORIGIN,
        }
    }

    /// Returns whether a request may begin.
    pub fn ready(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Returns when the next request may begin.
    pub fn next(&self) -> Instant {
        self.next
    }

    /// Records that a request with a prompt of `tokens` tokens begins.
    pub fn begin(&mut self, now: Instant, tokens: f64) {
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        let passed = now.since(self.last).as_secs_f64();
        self.last = now;
        self.tokens_per_second *= (-passed / time_constant).exp();
        self.tokens_per_second += tokens / time_constant;
        let seconds = tokens / (self.tokens_per_second * self.headroom).max(1.0);
        let interval = Duration::from_secs_f64(seconds.min(MAX_INTERVAL.as_secs_f64()));
        self.next = self.next.max(now) + interval;
    }
}
