//! Retry budgets.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Tokens that each request adds: one retry per ten requests.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Tokens that an entry gains per second while it holds fewer than [`FLOOR_TOKENS`].
const FLOOR_TOKENS_PER_SECOND: f64 = 0.5;

/// Tokens available to an entry without traffic, so that it can still retry.
const FLOOR_TOKENS: f64 = 3.0;

/// Maximum number of tokens, which bounds a burst of retries.
const MAX_TOKENS: f64 = 100.0;

/// A token bucket that bounds retries to a fraction of the requests.
///
/// The floor is an advance that requests repay before they add tokens, so that
/// the attempts of a busy entry stay below 1.1 times its requests. Without
/// repayment the floor is added on top: 100 requests per second to failing
/// servers caused 1.105 attempts each.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::retry::Budget;
///
/// let mut budget = Budget::new(Instant::ORIGIN);
/// assert!(budget.withdraw(Instant::ORIGIN));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    /// Floor tokens that requests have not repaid, at most [`FLOOR_TOKENS`].
    unrepaid_floor: f64,
    refilled: Instant,
}

impl Budget {
    /// Creates a budget that holds the floor.
    pub fn new(now: Instant) -> Self {
        Budget {
            tokens: FLOOR_TOKENS,
            unrepaid_floor: FLOOR_TOKENS,
            refilled: now,
        }
    }

    /// Adds the tokens earned by a request's first attempt.
    pub fn deposit(&mut self) {
        let repaid = TOKENS_PER_REQUEST.min(self.unrepaid_floor);
        self.unrepaid_floor -= repaid;
        self.tokens = (self.tokens + TOKENS_PER_REQUEST - repaid).min(MAX_TOKENS);
    }

    /// Withdraws the token for one retry; returns whether one was available.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let gained = now.since(self.refilled).as_secs_f64() * FLOOR_TOKENS_PER_SECOND;
        self.refilled = self.refilled.max(now);
        if self.tokens < FLOOR_TOKENS {
            let gained = gained.min(FLOOR_TOKENS - self.tokens);
            self.tokens += gained;
            self.unrepaid_floor = (self.unrepaid_floor + gained).min(FLOOR_TOKENS);
        }
    }
}

/// Fraction of the allowance that an entry uses; the remainder covers requests
/// that the receiver counts in a different window.
const WINDOW_MARGIN: f64 = 0.8;

/// Limit on the repeated attempts that all entries together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window in which attempts are counted.
    pub window: Duration,
    /// Repeated attempts allowed per request in the window.
    pub ratio: f64,
    /// Additional repeated attempts allowed in the window, shared by all entries.
    pub extra: f64,
}

/// Sliding-window limit on the repeated attempts of one entry to a service.
///
/// [`Budget`] bounds a long-term ratio; this bounds every window. Each entry
/// uses an equal share of [`Allowance::extra`].
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::retry::{Allowance, Window};
/// use std::time::Duration;
///
/// let allowance = Allowance { window: Duration::from_secs(10), ratio: 0.2, extra: 10.0 };
/// let mut window = Window::default();
/// window.record_request(Instant::ORIGIN, allowance);
/// assert!(window.try_repeat(Instant::ORIGIN, allowance, 4));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Window {
    /// Counts a client's request.
    pub fn record_request(&mut self, now: Instant, allowance: Allowance) {
        self.expire(now, allowance);
        self.requests.push_back(now);
    }

    /// Counts a repeated attempt if the allowance permits it while `entries`
    /// entries share it; returns whether it may be sent.
    pub fn try_repeat(&mut self, now: Instant, allowance: Allowance, entries: usize) -> bool {
        self.expire(now, allowance);
        let proportional = allowance.ratio * self.requests.len() as f64;
        let shared = allowance.extra / entries.max(1) as f64;
        if self.repeats.len() as f64 + 1.0 > WINDOW_MARGIN * (proportional + shared) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant, allowance: Allowance) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|&time| now.since(time) >= allowance.window)
            {
                times.pop_front();
            }
        }
    }
}
