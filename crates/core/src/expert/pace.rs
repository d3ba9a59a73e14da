//! Pacing of transfers from the rate-limited weight store.
//!
//! Several group controllers share one weight store without coordination. Each
//! increases its rate additively while transfers succeed and halves it when the
//! store refuses one, so that the rates converge to fair shares below the store's
//! limit.

use std::time::Duration;

use crate::clock::Instant;

/// Factor by which a refusal reduces the rate.
const DECREASE: f64 = 0.5;

/// A pacer for the transfers of one group.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    max_rate: f64,
    increase: f64,
    next_start: Instant,
}

impl Pacer {
    /// Creates a pacer that starts at `rate` bytes per second, never exceeds
    /// `max_rate` and gains `increase` bytes per second with each second of
    /// transfers.
    pub fn new(rate: u64, max_rate: u64, increase: u64) -> Self {
        let (rate, max_rate) = (rate as f64, max_rate as f64);
        Pacer {
            rate,
            max_rate,
            increase: increase as f64,
            next_start: Instant::ORIGIN,
        }
    }

    /// Returns the current rate, in bytes per second.
    pub fn rate(&self) -> u64 {
        self.rate as u64
    }

    /// Reserves a transfer of `bytes` bytes and returns when it may start.
    pub fn reserve(&mut self, bytes: u64, now: Instant) -> Instant {
        let start = self.next_start.max(now);
        self.next_start = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        start
    }

    /// Records a transfer of `bytes` bytes that the store served.
    ///
    /// The increase is proportional to the time that the transfer takes at the
    /// current rate. With a fixed increase per transfer, a fast group, which makes
    /// more transfers, would gain rate faster than a slow one.
    pub fn succeeded(&mut self, bytes: u64) {
        let seconds = bytes as f64 / self.rate;
        self.rate = (self.rate + self.increase * seconds).min(self.max_rate);
    }

    /// Records a transfer that the store refused; the next one starts no earlier
    /// than `retry_after` from `now`.
    pub fn refused(&mut self, retry_after: Duration, now: Instant) {
        self.rate = (self.rate * DECREASE).max(self.increase);
        self.next_start = self.next_start.max(now + retry_after);
    }
}
