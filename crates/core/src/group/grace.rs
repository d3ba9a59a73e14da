//! What holds of a list while its store is incomplete.
//!
//! Load pattern: objects expire while the store is away and are written again within
//! seconds of its return, so a list read meanwhile lacks sound servers. A store that
//! comes back from a copy lacks newer objects as well, and lists some that were
//! removed since. What was known before is kept beside such a list for a while,
//! together with all that changes after the first read.

use std::time::Duration;

use crate::clock::Instant;

/// Time after a restore for which an object that was not known before is not used,
/// unless it changes. An object whose writer is gone expires in that time.
pub const UNKNOWN_IGNORED: Duration = Duration::from_millis(4_500);

/// A read of all objects of a kind.
#[derive(Clone, Debug)]
pub struct Read<T> {
    /// The objects with the store's number of their last change, sorted by key.
    pub listed: Vec<(T, u64)>,
    /// The store's number of the last change that it had when it was found to have
    /// come back, if it has just now.
    pub number: u64,
    /// Whether the read is the first after an outage.
    pub recovered: bool,
    /// Whether the read is the first since the store came back from a copy.
    pub restored: bool,
}

/// What a large share of missing objects means while the store answers. They may have
/// expired in an outage that only their writers have noticed, or have been removed.
#[derive(Clone, Copy, Debug)]
pub struct Many {
    /// Share of the objects that may be missing at once.
    pub above: f64,
    /// Time for which they are kept. It is below the time after which removed objects
    /// must not hold.
    pub keep: Duration,
}

/// Decides which objects hold after each read of a list.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::grace::{Grace, Many, Read};
/// use std::time::Duration;
///
/// let many = Many { above: 0.3, keep: Duration::from_secs(1) };
/// let mut grace = Grace::new(Duration::from_secs(2), many);
/// let read = Read {
///     listed: vec![("b", 4), ("c", 5)],
///     number: 6,
///     recovered: true,
///     restored: true,
/// };
/// let held = grace.merge(Instant::ORIGIN, &["a", "b"], read, |name| name, |_| true);
/// assert_eq!(held, ["a", "b"]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    keep: Duration,
    many: Many,
    missing_until: Option<Instant>,
    /// End of the time in which unknown objects are ignored, and the last change
    /// before it.
    unknown_until: Option<(Instant, u64)>,
}

impl Grace {
    /// Keeps missing objects for `keep` after an outage or a restore, and as `many` says
    /// otherwise.
    pub fn new(keep: Duration, many: Many) -> Self {
        Grace {
            keep,
            many,
            missing_until: None,
            unknown_until: None,
        }
    }

    /// Returns the objects that hold, sorted by key: those of the read, and those of
    /// `known` that `keeps` allows to be kept.
    pub fn merge<T: Clone, K: Ord + ?Sized>(
        &mut self,
        now: Instant,
        known: &[T],
        read: Read<T>,
        key: impl Fn(&T) -> &K,
        keeps: impl Fn(&T) -> bool,
    ) -> Vec<T> {
        // At its end, the objects of a period are no longer kept, however many.
        let in_period = self.missing_until.is_some();
        self.expire(now);
        let contains = |listed: &[(T, u64)], wanted: &T| {
            let compare = |(object, _): &(T, u64)| key(object).cmp(key(wanted));
            listed.binary_search_by(compare).is_ok()
        };
        let missing = known
            .iter()
            .filter(|object| keeps(object) && !contains(&read.listed, object));
        let missing: Vec<T> = missing.cloned().collect();
        let many = missing.len() as f64 > known.len() as f64 * self.many.above;
        if read.recovered || read.restored {
            self.missing_until = Some(now + self.keep);
        } else if many && !in_period {
            self.missing_until = Some(now + self.many.keep);
        }
        if read.restored {
            self.unknown_until = Some((now + UNKNOWN_IGNORED, read.number));
        }
        let is_known = |object: &T| known.binary_search_by(|known| key(known).cmp(key(object)));
        let mut held = Vec::with_capacity(read.listed.len());
        for (object, changed) in read.listed {
            let ignored = self
                .unknown_until
                .is_some_and(|(_, last)| changed <= last && is_known(&object).is_err());
            if !ignored {
                held.push(object);
            }
        }
        if self.missing_until.is_some_and(|until| now < until) {
            held.extend(missing);
            held.sort_by(|a, b| key(a).cmp(key(b)));
        }
        held
    }

    /// Returns the next time at which other objects may hold without a change.
    pub fn next(&self) -> Option<Instant> {
        let unknown_until = self.unknown_until.map(|(until, _)| until);
        self.missing_until.into_iter().chain(unknown_until).min()
    }

    fn expire(&mut self, now: Instant) {
        self.missing_until = self.missing_until.filter(|until| now < *until);
        self.unknown_until = self.unknown_until.filter(|(until, _)| now < *until);
    }
}
