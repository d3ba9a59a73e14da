//! Recognition of client retries.
//!
//! Load pattern: sustained overload. A client that retries after a refusal can
//! only get a late response, while a new client admitted instead gets one on
//! time. Each request carries the time that its client still waits. Timeouts of
//! the clients of one route differ, so a request only counts as a retry if its
//! remaining time is far below the longest one observed on the route.

use std::sync::Arc;
use std::time::Duration;

/// Largest number of routes in a table; a further one clears it.
const MAX_ROUTES: usize = 4_096;

/// Assumed spread of client timeouts on one route, as a share of the longest.
const TIMEOUT_SPREAD: f64 = 0.24;

/// The longest client timeout observed, by route.
///
/// ```
/// use berylgw_core::group::client_timeout::Table;
/// use std::time::Duration;
///
/// let mut table = Table::default();
/// let (first, retry) = (Duration::from_secs(8), Duration::from_secs(5));
/// assert!(!table.is_retry("a.example", "/notes/", first));
/// assert!(table.is_retry("a.example", "/notes/", retry));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    longest: Vec<(Arc<str>, Arc<str>, Duration)>,
}

impl Table {
    /// Records the remaining time of a request and returns whether it is a retry.
    pub fn is_retry(&mut self, host: &str, prefix: &str, remaining: Duration) -> bool {
        let route = (host, prefix);
        let found = self
            .longest
            .binary_search_by(|known| (&*known.0, &*known.1).cmp(&route));
        match found {
            Ok(index) => {
                let longest = &mut self.longest[index].2;
                *longest = remaining.max(*longest);
                remaining < longest.mul_f64(1.0 - TIMEOUT_SPREAD)
            }
            Err(index) if self.longest.len() < MAX_ROUTES => {
                self.longest
                    .insert(index, (host.into(), prefix.into(), remaining));
                false
            }
            Err(_) => {
                self.longest.clear();
                false
            }
        }
    }
}
