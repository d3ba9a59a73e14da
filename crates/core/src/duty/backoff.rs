use std::time::Duration;

use crate::clock::Instant;

/// Pause after the first failed attempt, and the longest one. The longest one is a small
/// part of the time within which a call is due.
const INITIAL: Duration = Duration::from_millis(200);
const LONGEST: Duration = Duration::from_secs(1);

/// Pauses between the attempts of one call, which double from 0.2 to 1 s.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::duty::Backoff;
///
/// let mut backoff = Backoff::default();
/// backoff.fail(Instant::from_millis(1_000));
/// assert!(!backoff.is_over(Instant::from_millis(1_199)));
/// assert!(backoff.is_over(Instant::from_millis(1_200)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    pause: Duration,
    until: Instant,
}

impl Backoff {
    /// Records a failed attempt.
    pub fn fail(&mut self, now: Instant) {
        self.pause = (self.pause * 2).clamp(INITIAL, LONGEST);
        self.until = now + self.pause;
    }

    /// Records an attempt that succeeded, or that the next call is another one.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }

    /// Returns whether the next attempt may begin.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }
}
