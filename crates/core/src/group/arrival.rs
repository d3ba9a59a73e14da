//! How many requests a server in cold start receives.
//!
//! Load pattern: all entries send their next request to the server that has
//! just come back, because it is the emptiest. Each entry keeps to its share
//! of what the server bears, without a message.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Length of the window in which arrivals are counted. The servers count in
/// one second; the rest covers requests that are delayed on the way.
pub const LENGTH: Duration = Duration::from_millis(1_200);

/// Arrivals at one server within a sliding window.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::arrival::Window;
///
/// let now = Instant::ORIGIN;
/// let mut window = Window::default();
/// assert!(window.take(now, 1));
/// assert!(!window.take(now, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Instant>,
}

impl Window {
    /// Number of requests in the window.
    pub fn count(&mut self, now: Instant) -> usize {
        while let Some(&oldest) = self.sent.front() {
            if now.since(oldest) < LENGTH {
                break;
            }
            self.sent.pop_front();
        }
        self.sent.len()
    }

    /// Whether another request may be sent under `limit` requests a window.
    pub fn allows(&mut self, now: Instant, limit: usize) -> bool {
        self.count(now) < limit
    }

    /// Counts a request if it may be sent.
    pub fn take(&mut self, now: Instant, limit: usize) -> bool {
        let allowed = self.allows(now, limit);
        if allowed {
            self.sent.push_back(now);
        }
        allowed
    }
}

/// The share of one entry in a server's limit of `per_window` requests.
///
/// At least one, as an entry that may send nothing could serve no caller where
/// all servers are cold.
pub fn share(per_window: f64, entries: usize) -> usize {
    let share = per_window / entries.max(1) as f64;
    (share as usize).max(1)
}
