//! Monotonic process clock.

use std::time::Duration;

use berylgw_core::clock::Instant;

/// A monotonic clock whose origin is the time of its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// Starts a clock at [`Instant::ORIGIN`].
    pub fn start() -> Self {
        Clock(std::time::Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        Instant::ORIGIN + self.0.elapsed()
    }

    /// Returns the time left until `deadline`, zero if it has passed.
    pub fn until(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
