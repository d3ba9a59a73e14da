//! Queue of requests that wait for a permit.
//!
//! Load pattern: bursts at a full group. A permit becomes free every few
//! milliseconds, so a short wait keeps permits in use, while a long one only
//! makes responses late.

use std::sync::Arc;

use super::share::Class;
use crate::clock::Instant;

/// Identifies a waiting request.
pub type Id = u64;

/// A waiting request, with the attributes that decide the order of the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Priority; 0 is the highest. It is the route's where the routes of the service
    /// have different priorities, elsewhere that of the client account if it has one.
    pub priority: u32,
    /// Priority of the client account among requests of one `priority`; 0 is the
    /// highest.
    pub account_priority: u32,
    /// Class among all entries' requests, `None` where permits are not shared.
    pub class: Option<Class>,
    /// Whether the response can still be on time.
    pub in_time: bool,
    /// Client account that is charged.
    pub account: Arc<str>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// When the request is refused if it still waits.
    pub deadline: Instant,
}

/// Result of [`Queue::push_before`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// The request is queued.
    Queued,
    /// The request is queued in place of the last one, which is refused.
    Displaced(Id),
    /// The queue is full of requests that precede this one.
    Refused,
}

/// Position in the order of the queue: class, priority, priority of the account, whether
/// the response is late, running requests of the account.
type Key = (Option<Class>, u32, u32, bool, usize);

#[derive(Clone, Debug)]
struct Waiting {
    id: Id,
    request: Request,
}

/// A bounded queue of requests that wait for permits.
///
/// Requests are ordered by class, if they have one, then by priority, then by that of
/// their client account, then those that can still be on time first, then by the number
/// of running requests of their client account, fewest first, then by arrival.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::queue::{Request, Queue};
/// use std::time::Duration;
///
/// let deadline = Instant::ORIGIN + Duration::from_millis(50);
/// let late = Request {
///     priority: 1, account_priority: 0, class: None, in_time: false,
///     account: "a".into(), tokens: 1, deadline,
/// };
/// let fresh = Request { in_time: true, ..late.clone() };
/// let mut queue = Queue::new(8);
/// assert!(queue.push(1, late));
/// assert!(queue.push(2, fresh));
/// assert_eq!(queue.pop(true, |_| 0), Some(2));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    items: Vec<Waiting>,
}

impl Queue {
    /// Creates an empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue {
            capacity,
            items: Vec::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues a request; returns `false` if the queue is full.
    pub fn push(&mut self, id: Id, request: Request) -> bool {
        if self.items.len() >= self.capacity {
            return false;
        }
        self.items.push(Waiting { id, request });
        true
    }

    /// Queues a request, if the queue is full in place of the last one of the queue
    /// order, unless that one precedes it. Without this, a burst of requests that are
    /// not urgent keeps urgent ones out of the queue.
    ///
    /// `running` returns the number of requests that an account has in flight.
    pub fn push_before(
        &mut self,
        id: Id,
        request: Request,
        running: impl Fn(&str) -> usize,
    ) -> Push {
        if self.push(id, request.clone()) {
            return Push::Queued;
        }
        let keys = self.items.iter().map(|item| key(&item.request, &running));
        // `max_by_key` returns the last of equal keys, the one that arrived last.
        let Some((index, last)) = keys.enumerate().max_by_key(|(_, key)| *key) else {
            return Push::Refused;
        };
        if key(&request, &running) >= last {
            return Push::Refused;
        }
        let displaced = self.items.remove(index).id;
        self.items.push(Waiting { id, request });
        Push::Displaced(displaced)
    }

    /// Removes and returns the first request of the queue order. Requests that
    /// cannot be on time are passed over unless `late` is set.
    ///
    /// `running` returns the number of requests that an account has in flight.
    pub fn pop(&mut self, late: bool, running: impl Fn(&str) -> usize) -> Option<Id> {
        // `min_by_key` returns the first of equal keys, so arrival breaks ties.
        let eligible = |index: &usize| late || self.items[*index].request.in_time;
        let key = |index: &usize| key(&self.items[*index].request, &running);
        let index = (0..self.items.len()).filter(eligible).min_by_key(key)?;
        Some(self.items.remove(index).id)
    }

    /// Removes a request, for example of a client that disconnected; returns
    /// whether it was queued.
    pub fn remove(&mut self, id: Id) -> bool {
        let before = self.items.len();
        self.items.retain(|item| item.id != id);
        self.items.len() < before
    }
}

fn key(request: &Request, running: impl Fn(&str) -> usize) -> Key {
    (
        request.class,
        request.priority,
        request.account_priority,
        !request.in_time,
        running(&request.account),
    )
}
