//! Weighted fair queueing by client account.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Virtual time that one request of an account of weight 1 takes.
const REQUEST_COST: u64 = 1 << 32;

/// Burst allowance: requests that an account of weight 1 below its share may
/// have ahead of backlogged accounts; in proportion for other weights.
/// Without it, the second request of a short burst waited for a round of all
/// accounts, and an account's p99 beside a flooding account was 1.67 times its
/// p99 alone.
const BURST_REQUESTS: u64 = 4;

/// Order in which queued requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Discipline {
    /// Weighted fair queueing by client account.
    #[default]
    Fair,
    /// First come, first served; a baseline for comparison.
    Arrival,
}

/// Why a request could not be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The queue is at its total capacity.
    Total,
    /// The client account is at its capacity.
    Account,
}

/// One queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Identifies the request.
    pub id: u64,
    /// Name of the client account.
    pub account: Arc<str>,
    start_tag: u64,
}

#[derive(Clone, Debug)]
struct Share {
    account: Arc<str>,
    finish_tag: u64,
    queued: usize,
}

/// A start-time fair queue, sorted by start tag and arrival.
///
/// ```
/// use berylgw_core::fair::Queue;
///
/// let mut queue = Queue::new(8, 4);
/// queue.push(1, &"a".into(), 1).unwrap();
/// queue.push(2, &"a".into(), 1).unwrap();
/// queue.push(3, &"b".into(), 1).unwrap();
/// let order: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true)).map(|item| item.id).collect();
/// assert_eq!(order, [1, 3, 2]);
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    account_capacity: usize,
    discipline: Discipline,
    virtual_time: u64,
    items: Vec<Item>,
    shares: Vec<Share>,
}

impl Queue {
    /// Makes an empty queue for `capacity` requests, at most `account_capacity` of
    /// each account.
    pub fn new(capacity: usize, account_capacity: usize) -> Self {
        Queue {
            capacity,
            account_capacity,
            discipline: Discipline::Fair,
            // Start tags of bursts lie below the virtual time, so it starts above 0.
            virtual_time: BURST_REQUESTS * REQUEST_COST,
            items: Vec::new(),
            shares: Vec::new(),
        }
    }

    /// Sets the order in which requests are served.
    pub fn with_discipline(mut self, discipline: Discipline) -> Self {
        self.discipline = discipline;
        self
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the queued requests in service order.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Queues a request of an account with this weight.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue or the account is at its capacity.
    pub fn push(&mut self, id: u64, account: &Arc<str>, weight: u32) -> Result<(), Full> {
        if self.items.len() >= self.capacity {
            return Err(Full::Total);
        }
        let account_capacity = self.account_capacity;
        let (discipline, virtual_time) = (self.discipline, self.virtual_time);
        let share = self.share_mut(account);
        if share.queued >= account_capacity {
            return Err(Full::Account);
        }
        // Equal start tags keep the order of arrival.
        let mut start_tag = 0;
        if discipline == Discipline::Fair {
            start_tag = share
                .finish_tag
                .max(virtual_time.saturating_sub(BURST_REQUESTS * REQUEST_COST));
            share.finish_tag = start_tag + REQUEST_COST / u64::from(weight.max(1));
        }
        share.queued += 1;
        let index = self
            .items
            .partition_point(|item| item.start_tag <= start_tag);
        let account = account.clone();
        self.items.insert(
            index,
            Item {
                id,
                account,
                start_tag,
            },
        );
        Ok(())
    }

    /// Removes and returns the first request whose account `may_run` accepts.
    pub fn pop(&mut self, may_run: impl Fn(&str) -> bool) -> Option<Item> {
        let index = self.items.iter().position(|item| may_run(&item.account))?;
        let item = self.items.remove(index);
        self.virtual_time = self.virtual_time.max(item.start_tag);
        self.release_share(&item.account);
        Some(item)
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(index) = self.items.iter().position(|item| item.id == id) else {
            return false;
        };
        let item = self.items.remove(index);
        self.release_share(&item.account);
        true
    }

    fn release_share(&mut self, account: &Arc<str>) {
        self.share_mut(account).queued -= 1;
        let virtual_time = self.virtual_time;
        // An older finish tag no longer affects the next start tag.
        let oldest = virtual_time.saturating_sub(BURST_REQUESTS * REQUEST_COST);
        self.shares
            .retain(|share| share.queued > 0 || share.finish_tag > oldest);
    }

    fn share_mut(&mut self, account: &Arc<str>) -> &mut Share {
        let found = self
            .shares
            .binary_search_by(|share| share.account.cmp(account));
        let index = found.unwrap_or_else(|index| {
            let share = Share {
                account: account.clone(),
                finish_tag: 0,
                queued: 0,
            };
            self.shares.insert(index, share);
            index
        });
        &mut self.shares[index]
    }
}
