//! The process clock.

use std::time::Duration;

use berylgw_core::clock::Instant;

/// A monotonic clock whose origin is the moment it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// Starts a clock at [`Instant::ORIGIN`].
    pub fn start() -> Self {
        Clock(std::time::Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        Instant::ORIGIN + self.0.elapsed()
    }

    /// Time left until `deadline`, zero if it has passed.
    pub fn until(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
