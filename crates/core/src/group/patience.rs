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
const ROUTES: usize = 4_096;

/// Assumed spread of client timeouts on one route, as a share of the longest.
const SPREAD: f64 = 0.24;

/// The longest client timeout observed, by route.
///
/// ```
/// use berylgw_core::group::patience::Table;
/// use std::time::Duration;
///
/// let mut table = Table::default();
/// let (first, again) = (Duration::from_secs(8), Duration::from_secs(5));
/// assert!(!table.is_late("a.example", "/notes/", first));
/// assert!(table.is_late("a.example", "/notes/", again));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    longest: Vec<(Arc<str>, Arc<str>, Duration)>,
}

impl Table {
    /// Records the remaining time of a request and returns whether it is a retry.
    pub fn is_late(&mut self, host: &str, prefix: &str, left: Duration) -> bool {
        let place = (host, prefix);
        let found = self
            .longest
            .binary_search_by(|known| (&*known.0, &*known.1).cmp(&place));
        match found {
            Ok(index) => {
                let longest = &mut self.longest[index].2;
                *longest = left.max(*longest);
                left < longest.mul_f64(1.0 - SPREAD)
            }
            Err(index) if self.longest.len() < ROUTES => {
                self.longest
                    .insert(index, (host.into(), prefix.into(), left));
                false
            }
            Err(_) => {
                self.longest.clear();
                false
            }
        }
    }
}
