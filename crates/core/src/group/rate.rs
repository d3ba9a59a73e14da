//! Rate limit that a server names in its answers.
//!
//! Load pattern: a server in need takes a few requests per second from all entries
//! together. Each entry keeps to its share, without coordination. So that requests
//! saved up by many entries do not arrive at once, only some entries have a share,
//! others for each server.

use std::time::Duration;

use crate::clock::Instant;

/// Entries that share a limit beyond one for each request per second. Each of them
/// may have saved up one request.
const MORE_SHARERS: usize = 3;

/// Shortest time for which a limit holds that is not heard again.
const MIN_MEMORY: Duration = Duration::from_secs(60);

/// Longest time for which a limit holds that is not heard again.
const MAX_MEMORY: Duration = Duration::from_secs(600);

/// Requests at the limit in which it is heard again, unless answers are lost.
const REQUESTS_IN_MEMORY: f64 = 3.0;

/// What an entry knows of the limit of one server.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::rate::Limit;
/// use std::time::Duration;
///
/// let now = Instant::ORIGIN;
/// let mut limit = Limit::default();
/// assert!(limit.allows(now, 4, 0));
/// limit.hear(now, Some(2.0));
/// assert!(!limit.allows(now, 4, 0));
/// assert!(limit.allows(now + Duration::from_secs(2), 4, 0));
/// limit.hear(now, None);
/// assert!(limit.allows(now, 4, 0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// Requests per second of all entries.
    per_second: Option<f64>,
    /// Time at which it was heard last.
    heard: Instant,
    /// Requests that may be sent at `refilled`, at most one.
    saved: f64,
    refilled: Instant,
}

impl Limit {
    /// Records the limit of an answer sent at `heard`, `None` if it names none;
    /// returns whether the limit changed. An older answer is ignored, and so is a limit
    /// that is negative or no number.
    pub fn hear(&mut self, heard: Instant, per_second: Option<f64>) -> bool {
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        if heard < self.heard || !per_second.is_none_or(is_rate) {
            return false;
        }
        self.heard = heard;
        let changed = self.per_second != per_second;
        if self.per_second.is_none() {
            self.saved = 0.0;
            self.refilled = heard;
        }
        self.per_second = per_second;
        changed
    }

    /// Returns the limit in force in requests per second.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let per_second = self.per_second?;
        let memory = REQUESTS_IN_MEMORY / per_second.max(REQUESTS_IN_MEMORY / 1e9);
        let memory = Duration::from_secs_f64(memory).clamp(MIN_MEMORY, MAX_MEMORY);
        Some(per_second).filter(|_| now.since(self.heard) < memory)
    }

    /// Returns whether the entry at `position` of `entries` may send a request.
    pub fn allows(&mut self, now: Instant, entries: usize, position: usize) -> bool {
        let Some(per_second) = self.per_second(now) else {
            return true;
        };
        let gained = now.since(self.refilled).as_secs_f64() * share(per_second, entries, position);
        self.refilled = self.refilled.max(now);
        self.saved = (self.saved + gained).min(1.0);
        self.saved >= 1.0
    }

    /// Records a request that was allowed.
    pub fn record_sent(&mut self) {
        self.saved = 0.0;
    }
}

/// Returns the requests per second that the entry at `position` of `entries` may
/// send to a server that takes `per_second` from all.
pub fn share(per_second: f64, entries: usize, position: usize) -> f64 {
    let sharers = (per_second as usize)
        .saturating_add(MORE_SHARERS)
        .min(entries.max(1));
    if position < sharers {
        per_second / sharers as f64
    } else {
        0.0
    }
}
