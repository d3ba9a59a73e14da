//! Monotonic clocks.

use std::time::Duration;

use berylgw_core::clock::Instant;
use nix::time::{ClockId, clock_gettime};

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

/// Returns the time since the host booted. Unlike [`Clock`], it goes on while the host
/// is suspended, so that it tells the age of what other hosts have sent.
///
/// # Panics
///
/// Panics if the system has no such clock.
pub fn uptime() -> Instant {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = Duration::from(time.expect("the system has a clock that counts suspended time"));
    Instant::ORIGIN + time
}
