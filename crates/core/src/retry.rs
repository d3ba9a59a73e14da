//! Budget for further attempts of a request.

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
