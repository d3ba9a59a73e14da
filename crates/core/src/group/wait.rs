//! Which request takes the next free place.
//!
//! Load pattern: bursts at a full group. A place becomes free every few
//! milliseconds, so that a short wait keeps places from standing idle; a long
//! one only makes answers late.

use std::sync::Arc;

use crate::clock::Instant;

/// Identifies a waiting request.
pub type Id = u64;

/// What decides about the turn of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Rank of the route or client account, 0 is the highest.
    pub priority: u32,
    /// Whether the answer can still be on time.
    pub in_time: bool,
    /// Client account that is charged.
    pub account: Arc<str>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// When the wait ends with a refusal.
    pub until: Instant,
}

#[derive(Clone, Debug)]
struct Item {
    id: Id,
    claim: Claim,
}

/// A bounded queue of requests for places.
///
/// Higher priority goes first, then requests that can still be on time, then
/// the client account with the fewest requests running, then arrival.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::wait::{Claim, Queue};
/// use std::time::Duration;
///
/// let until = Instant::ORIGIN + Duration::from_millis(50);
/// let late = Claim { priority: 1, in_time: false, account: "a".into(), tokens: 1, until };
/// let fresh = Claim { in_time: true, ..late.clone() };
/// let mut queue = Queue::new(8);
/// assert!(queue.push(1, late));
/// assert!(queue.push(2, fresh));
/// assert_eq!(queue.pop(true, |_| 0), Some(2));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    items: Vec<Item>,
}

impl Queue {
    /// An empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue {
            capacity,
            items: Vec::new(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues a request; returns whether there was room.
    pub fn push(&mut self, id: Id, claim: Claim) -> bool {
        if self.items.len() >= self.capacity {
            return false;
        }
        self.items.push(Item { id, claim });
        true
    }

    /// Takes the request whose turn it is, one that is late already only if
    /// there is a place for `late` ones.
    ///
    /// `running` gives the number of requests that an account has in flight.
    pub fn pop(&mut self, late: bool, running: impl Fn(&str) -> usize) -> Option<Id> {
        let turn = |index: &usize| {
            let claim = &self.items[*index].claim;
            let behind = !claim.in_time;
            (claim.priority, behind, running(&claim.account))
        };
        // The first of equal keys, so that arrival decides.
        let open = |index: &usize| late || self.items[*index].claim.in_time;
        let index = (0..self.items.len()).filter(open).min_by_key(turn)?;
        Some(self.items.remove(index).id)
    }

    /// Removes a request, for example of a client that left.
    pub fn remove(&mut self, id: Id) -> bool {
        let before = self.items.len();
        self.items.retain(|item| item.id != id);
        self.items.len() < before
    }
}
