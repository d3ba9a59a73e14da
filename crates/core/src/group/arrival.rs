//! Rate limit of a server in cold start.
//!
//! Load pattern: all entries send their next request to the server that has
//! just restarted, because it has the fewest requests in flight. Each entry
//! limits itself to its share of the server's rate, without coordination.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Length of the window in which requests are counted. Servers count per
/// second; the additional 0.2 s covers requests that are delayed in transit.
pub const WINDOW: Duration = Duration::from_millis(1_200);

/// Requests sent to one server within a sliding window.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::arrival::Window;
///
/// let now = Instant::ORIGIN;
/// let mut window = Window::default();
/// assert!(window.try_acquire(now, 1));
/// assert!(!window.try_acquire(now, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Instant>,
}

impl Window {
    /// Returns the number of requests in the window.
    pub fn count(&mut self, now: Instant) -> usize {
        while let Some(&oldest) = self.sent.front() {
            if now.since(oldest) < WINDOW {
                break;
            }
            self.sent.pop_front();
        }
        self.sent.len()
    }

    /// Returns whether a further request stays within `limit` requests per window.
    pub fn allows(&mut self, now: Instant, limit: usize) -> bool {
        self.count(now) < limit
    }

    /// Counts a request if it stays within `limit`; returns whether it does.
    pub fn try_acquire(&mut self, now: Instant, limit: usize) -> bool {
        let allowed = self.allows(now, limit);
        if allowed {
            self.sent.push_back(now);
        }
        allowed
    }
}

/// Returns the share of one entry in a server's limit of `per_window` requests.
///
/// The share is at least one: with a share of zero, an entry could not serve
/// any caller while all servers are cold.
pub fn share(per_window: f64, entries: usize) -> usize {
    let share = per_window / entries.max(1) as f64;
    (share as usize).max(1)
}
