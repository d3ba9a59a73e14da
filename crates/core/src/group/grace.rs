//! Which objects an entry uses beside those that the store lists.
//!
//! Load pattern: objects expire while the store is away and are written again within
//! seconds of its return, so a list read meanwhile lacks sound servers. A store that
//! comes back from a copy lacks newer objects as well, and lists some that were
//! removed since.
//!
//! Entries pass on lists as the store told them. What an entry uses beyond a list is an
//! assumption of its own: its end is fixed when the object is first missing, and neither
//! a later list nor another entry moves it.

use std::time::Duration;

use crate::clock::Instant;

/// Time after a restore for which an object that was not known before is not used,
/// unless it changes. An object whose writer is gone expires in that time.
pub const UNKNOWN_IGNORED: Duration = Duration::from_millis(4_500);

/// Time after an outage from which on the store counts as stable, so that removed objects
/// must not be used any more.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Shares of the time within which a removal must be in force. A copy that nobody has
/// confirmed for the first one means an outage if calls failed meanwhile, and for the
/// second one in any case: entries read the store well before.
const FAILED_SHARE: f64 = 0.5;
const UNCONFIRMED_SHARE: f64 = 1.0;

/// Shares of the same time for which many missing objects are kept, since they were found
/// missing and since the store last listed them. The rest is for the way to the servers.
const MANY_SHARE: f64 = 0.75;
const LISTED_SHARE: f64 = 0.9;

/// For how long objects that a list lacks are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Time within which a removal must be in force.
    pub bound: Duration,
    /// Time after an outage, zero if objects do not expire in one.
    pub outage: Duration,
    /// Time after the store came back from a copy.
    pub restore: Duration,
    /// Percentage of the objects above which they may have expired in an outage that only
    /// their writers have noticed. 100 if objects do not expire.
    pub many_percent: usize,
}

/// What an entry knows of the store when it gets a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// When the store last confirmed the former list to any entry.
    pub confirmed_at: Option<Instant>,
    /// When the last call of this entry began that the store did not answer.
    pub failed_at: Option<Instant>,
    /// When the store was found to have come back from a copy, if that is the case since
    /// the former list.
    pub restored_at: Option<Instant>,
}

impl Evidence {
    /// Returns the time from which on objects that expired in an outage are not expected
    /// back, `None` without sign of an outage.
    fn outage_end(&self, now: Instant, policy: &Policy) -> Option<Instant> {
        let confirmed_at = self.confirmed_at?;
        let age = now.since(confirmed_at);
        let end = now + policy.outage;
        let failed_at = self.failed_at.filter(|failed_at| *failed_at > confirmed_at);
        match failed_at {
            // A call that failed long ago says nothing of the present.
            Some(failed_at) if age >= policy.bound.mul_f64(FAILED_SHARE) => {
                Some(end.min(failed_at + STABLE_AFTER))
            }
            _ if age >= policy.bound.mul_f64(UNCONFIRMED_SHARE) => Some(end),
            _ => None,
        }
    }
}

/// A list of the store.
#[derive(Clone, Copy, Debug)]
pub struct List<'a, T> {
    /// The objects, sorted by key.
    pub objects: &'a [T],
    /// The store's number of each object's last change.
    pub changes: &'a [u64],
    /// The store's number of the newest change.
    pub number: u64,
}

/// Decides which objects are used after each list.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::grace::{Evidence, Grace, List, Policy};
/// use std::time::Duration;
///
/// let policy = Policy {
///     bound: Duration::from_secs(2),
///     outage: Duration::from_secs(2),
///     restore: Duration::from_secs(2),
///     many_percent: 30,
/// };
/// let mut grace = Grace::new(policy, |name: &&str| *name);
/// let evidence = Evidence {
///     confirmed_at: Some(Instant::ORIGIN),
///     ..Evidence::default()
/// };
/// let now = Instant::ORIGIN + Duration::from_secs(4);
/// let list = List { objects: &["b"], changes: &[4], number: 5 };
/// assert_eq!(grace.apply(now, &["a", "b"], list, evidence, |_| true), ["a", "b"]);
/// assert_eq!(grace.next(), Some(now + Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Grace<T, K: ?Sized> {
    policy: Policy,
    key: fn(&T) -> &K,
    /// Objects that the list lacks and their ends, sorted by key.
    kept: Vec<(T, Instant)>,
    /// End of the time in which objects that get lost are kept.
    missing_until: Option<Instant>,
    /// The confirmation before the last outage, so that none counts twice.
    outage_after: Option<Instant>,
    /// End of the time in which unknown objects are ignored, the last change before it,
    /// and the objects known then.
    unknown_until: Option<(Instant, u64)>,
    known: Vec<T>,
}

impl<T: Clone, K: Ord + ?Sized> Grace<T, K> {
    /// Keeps objects, which `key` names, as `policy` says.
    pub fn new(policy: Policy, key: fn(&T) -> &K) -> Self {
        Grace {
            policy,
            key,
            kept: Vec::new(),
            missing_until: None,
            outage_after: None,
            unknown_until: None,
            known: Vec::new(),
        }
    }

    /// Returns the objects to use after a newer list, sorted by key: those of the list, and
    /// those of `used` that it lacks and `keeps` allows to be kept.
    pub fn apply(
        &mut self,
        now: Instant,
        used: &[T],
        list: List<'_, T>,
        evidence: Evidence,
        keeps: impl Fn(&T) -> bool,
    ) -> Vec<T> {
        let key = self.key;
        let mut kept = Vec::new();
        let mut missing = Vec::new();
        for object in used {
            if !keeps(object) || contains(key, list.objects, object) {
                continue;
            }
            let compare = |(kept, _): &(T, Instant)| key(kept).cmp(key(object));
            match self.kept.binary_search_by(compare) {
                // Also if its end has passed: it is not missed anew then.
                Ok(index) => kept.push((object.clone(), self.kept[index].1)),
                Err(_) => missing.push(object.clone()),
            }
        }
        self.expire(now);
        let is_many = missing.len() * 100 > used.len() * self.policy.many_percent;
        self.begin_periods(now, &evidence, list.number, is_many);
        if evidence.restored_at.is_some() {
            self.known = used.to_vec();
        }
        kept.retain(|(_, end)| now < *end);
        if let Some(end) = self.missing_until {
            kept.extend(missing.into_iter().map(|object| (object, end)));
            kept.sort_by(|(a, _), (b, _)| key(a).cmp(key(b)));
        }
        self.kept = kept;
        self.merge(list)
    }

    /// Returns the objects to use at `now` with an unchanged list.
    pub fn refresh(&mut self, now: Instant, list: List<'_, T>) -> Vec<T> {
        self.expire(now);
        self.merge(list)
    }

    /// Returns the number of objects that are used although the list lacks them.
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Returns the next time at which other objects are used without a newer list.
    pub fn next(&self) -> Option<Instant> {
        let ends = self.kept.iter().map(|(_, end)| *end);
        let unknown_until = self.unknown_until.map(|(until, _)| until);
        ends.chain(unknown_until).min()
    }

    fn begin_periods(&mut self, now: Instant, evidence: &Evidence, number: u64, is_many: bool) {
        let policy = self.policy;
        if let Some(restored_at) = evidence.restored_at {
            let until = restored_at + policy.restore;
            self.missing_until = Some(until).filter(|until| now < *until);
            let unknown_until = restored_at + UNKNOWN_IGNORED;
            self.unknown_until = (now < unknown_until).then_some((unknown_until, number));
            self.outage_after = evidence.confirmed_at;
            return;
        }
        let is_new = self.outage_after != evidence.confirmed_at;
        let outage_end = evidence.outage_end(now, &policy).filter(|_| is_new);
        if let Some(end) = outage_end {
            self.outage_after = evidence.confirmed_at;
            self.missing_until = self.missing_until.max(Some(end).filter(|end| now < *end));
        } else if is_many && self.missing_until.is_none() {
            let listed_until = evidence
                .confirmed_at
                .map(|at| at + policy.bound.mul_f64(LISTED_SHARE));
            let until = (now + policy.bound.mul_f64(MANY_SHARE)).min(listed_until.unwrap_or(now));
            self.missing_until = Some(until).filter(|until| now < *until);
        }
    }

    fn merge(&self, list: List<'_, T>) -> Vec<T> {
        let mut used = Vec::with_capacity(list.objects.len() + self.kept.len());
        for (object, changed) in list.objects.iter().zip(list.changes) {
            let is_ignored = self.unknown_until.is_some_and(|(_, last)| {
                *changed <= last && !contains(self.key, &self.known, object)
            });
            if !is_ignored {
                used.push(object.clone());
            }
        }
        if !self.kept.is_empty() {
            used.extend(self.kept.iter().map(|(object, _)| object.clone()));
            used.sort_by(|a, b| (self.key)(a).cmp((self.key)(b)));
        }
        used
    }

    fn expire(&mut self, now: Instant) {
        self.kept.retain(|(_, end)| now < *end);
        self.missing_until = self.missing_until.filter(|until| now < *until);
        self.unknown_until = self.unknown_until.filter(|(until, _)| now < *until);
        if self.unknown_until.is_none() {
            self.known = Vec::new();
        }
    }
}

fn contains<T, K: Ord + ?Sized>(key: fn(&T) -> &K, objects: &[T], wanted: &T) -> bool {
    let compare = |object: &T| key(object).cmp(key(wanted));
    objects.binary_search_by(compare).is_ok()
}
