use std::time::Duration;

use crate::clock::Instant;

/// Spaces calls evenly, so that no second has more of them than an interface accepts,
/// wherever its seconds begin.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::duty::Bucket;
///
/// let mut bucket = Bucket::new(4.0, Instant::ORIGIN);
/// assert!(!bucket.take(Instant::from_millis(249)));
/// assert!(bucket.take(Instant::from_millis(250)));
/// assert!(!bucket.take(Instant::from_millis(499)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    spacing: Duration,
    next: Instant,
}

impl Bucket {
    /// Creates a bucket for `per_s` calls per second. It is empty at `now`: another
    /// holder may have just called.
    pub fn new(per_s: f64, now: Instant) -> Self {
        let spacing = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(Duration::MAX);
        let next = now + spacing;
        Bucket { spacing, next }
    }

    /// Returns whether a call may begin, and counts it.
    pub fn take(&mut self, now: Instant) -> bool {
        let ready = now >= self.next;
        if ready {
            self.next = now + self.spacing;
        }
        ready
    }
}
