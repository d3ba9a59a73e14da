//! A service and the requests of this entry for it.

use std::sync::Arc;

use berylgw_core::clock::Instant;
use berylgw_core::group::concurrency::Limit;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::{Id, Queue, Request};
use berylgw_core::group::{arrival, outage, retry_after};
use berylgw_core::retry::Window;
use tokio::sync::oneshot;

/// A service and the requests of this entry for it.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: Arc<str>,
    pub(crate) digest: u32,
    pub(crate) bound: Limit,
    pub(crate) queue: Queue,
    pub(crate) waiting: Vec<Waiter>,
    /// Requests that hold a place, by client account.
    pub(crate) running: Vec<(Arc<str>, usize)>,
    pub(crate) places: usize,
    pub(crate) pacer: Pacer,
    pub(crate) retries: Window,
    pub(crate) comebacks: retry_after::Schedule,
    /// When a broken group is tried again.
    pub(crate) opens: Instant,
    /// The last time at which the group did not run.
    pub(crate) closure: outage::Outage,
    /// Requests that began lately.
    pub(crate) begun: arrival::Window,
    /// Late requests that began lately, for the rate at which clients that come
    /// back get a place.
    pub(crate) late_begun: arrival::Window,
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: Id,
    pub(crate) claim: Request,
    pub(crate) granted: oneshot::Sender<()>,
}

impl Pool {
    pub(crate) fn begin(&mut self, now: Instant, claim: &Request) {
        self.pacer.begin(now, f64::from(claim.tokens));
        self.begun.try_acquire(now, usize::MAX);
        if !claim.in_time {
            self.late_begun.try_acquire(now, usize::MAX);
        }
        self.occupy(&claim.account);
    }

    pub(crate) fn occupy(&mut self, account: &Arc<str>) {
        self.places += 1;
        match self.running.iter_mut().find(|entry| entry.0 == *account) {
            Some(running) => running.1 += 1,
            None => self.running.push((account.clone(), 1)),
        }
    }

    pub(crate) fn vacate(&mut self, account: &Arc<str>) {
        self.places = self.places.saturating_sub(1);
        if let Some(running) = self.running.iter_mut().find(|entry| entry.0 == *account) {
            running.1 = running.1.saturating_sub(1);
        }
        self.running.retain(|entry| entry.1 > 0);
    }
}
