//! Budget for further attempts of a request.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Share of a token that each request adds.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Tokens per second that an idle entry gains, up to [`FLOOR`].
const FLOOR_PER_SECOND: f64 = 0.5;

/// Tokens that an entry with little traffic may hold.
const FLOOR: f64 = 3.0;

/// Tokens that an entry with much traffic may hold.
const CAPACITY: f64 = 100.0;

/// A token bucket that bounds retries to a fraction of the requests.
///
/// The floor is an advance: requests pay it back before they add tokens, so
/// that attempts stay below 1.1 times the requests of a busy entry. Without
/// the repayment, the floor came on top and 100 requests per second with
/// failing servers had 1.105 attempts each.
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
    /// Tokens of the floor that requests have not paid back, at most [`FLOOR`].
    advance: f64,
    refilled: Instant,
}

impl Budget {
    /// Makes a budget that holds the floor.
    pub fn new(now: Instant) -> Self {
        Budget {
            tokens: FLOOR,
            advance: FLOOR,
            refilled: now,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        let repaid = TOKENS_PER_REQUEST.min(self.advance);
        self.advance -= repaid;
        self.tokens = (self.tokens + TOKENS_PER_REQUEST - repaid).min(CAPACITY);
    }

    /// Takes the token of one retry; returns whether there was one.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let gained = now.since(self.refilled).as_secs_f64() * FLOOR_PER_SECOND;
        self.refilled = self.refilled.max(now);
        if self.tokens < FLOOR {
            let gained = gained.min(FLOOR - self.tokens);
            self.tokens += gained;
            self.advance = (self.advance + gained).min(FLOOR);
        }
    }
}

/// Part of the allowance that an entry uses; the rest covers requests that the
/// receiver counts in another window.
const WINDOW_MARGIN: f64 = 0.8;

/// How many repeated attempts all entries together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window in which attempts are counted.
    pub window: Duration,
    /// Repeated attempts allowed for each request in the window.
    pub ratio: f64,
    /// Repeated attempts allowed beside, for all entries together.
    pub extra: f64,
}

/// The attempts that one entry sent to a service within a sliding window.
///
/// Where [`Budget`] bounds a long-term ratio, this bounds every window, and
/// each entry keeps to its share of the part that does not depend on traffic.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::retry::{Allowance, Window};
/// use std::time::Duration;
///
/// let allowance = Allowance { window: Duration::from_secs(10), ratio: 0.2, extra: 10.0 };
/// let mut window = Window::default();
/// window.request(Instant::ORIGIN, allowance);
/// assert!(window.repeat(Instant::ORIGIN, allowance, 4));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Window {
    /// Counts the request of a client.
    pub fn request(&mut self, now: Instant, allowance: Allowance) {
        self.expire(now, allowance);
        self.requests.push_back(now);
    }

    /// Takes one repeated attempt; returns whether it may be sent while
    /// `entries` entries share the allowance.
    pub fn repeat(&mut self, now: Instant, allowance: Allowance, entries: usize) -> bool {
        self.expire(now, allowance);
        let own = allowance.ratio * self.requests.len() as f64;
        let shared = allowance.extra / entries.max(1) as f64;
        if self.repeats.len() as f64 + 1.0 > WINDOW_MARGIN * (own + shared) {
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
