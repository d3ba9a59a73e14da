//! Which requests are late already.
//!
//! Load pattern: sustained overload. A client that comes back after a refusal
//! can only get a late answer; a new one in its place gets one on time. A
//! request carries the time that is left. Clients of one route differ by some
//! part of it, so that only a request with far less than the longest time seen
//! is taken for one that was sent before.

use std::sync::Arc;
use std::time::Duration;

/// Routes remembered; beyond, the table begins anew.
const ROUTES: usize = 4_096;

/// Share of the longest time that clients of one route differ by.
const SPREAD: f64 = 0.24;

/// The longest time that clients wait, by route.
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
    /// Whether a request whose client waits `left` was sent before.
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
