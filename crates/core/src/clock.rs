//! Points in time, passed to all decisions as arguments.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an arbitrary origin of the process.
///
/// Instants of different processes cannot be compared.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use std::time::Duration;
///
/// let start = Instant::from_micros(5);
/// let end = start + Duration::from_millis(1);
/// assert_eq!(end.since(start), Duration::from_millis(1));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0}us")]
pub struct Instant(u64);

impl Instant {
    /// The origin of the process clock.
    pub const ORIGIN: Instant = Instant(0);

    /// Creates an instant from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// Creates an instant from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Instant(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the instant `time` before this one, or the origin if that is earlier.
    pub fn before(self, time: Duration) -> Instant {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(micros))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}
