//! Token buckets for rate limits.

use std::time::{Duration, Instant};

/// A token bucket that holds at most one second of its rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// A full bucket with `rate` tokens per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Bucket {
            rate,
            tokens: rate,
            filled_at: now,
        }
    }

    /// Takes `amount` tokens, which may leave a debt if more than one second
    /// of the rate is asked for.
    ///
    /// # Errors
    ///
    /// Fails with the time until a retry can succeed; nothing is taken then.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.rate);
        self.filled_at = now;
        let needed = amount.min(self.rate);
        if self.tokens < needed {
            let wait = (needed - self.tokens) / self.rate;
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.tokens -= amount;
        Ok(())
    }
}

/// Value of a `Retry-After` header: whole seconds, rounded up, at least 1.
pub fn retry_after_seconds(wait: Duration) -> u64 {
    (wait.as_secs_f64().ceil() as u64).max(1)
}
