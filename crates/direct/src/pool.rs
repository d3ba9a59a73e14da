//! The requests of this entry for one service, queued and in flight.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::concurrency::Limit;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::{Id, Queue, Request};
use berylgw_core::group::retry_after::Returns;
use berylgw_core::group::share::{Class, Share};
use berylgw_core::group::{arrival, outage, retry_after};
use berylgw_core::retry::Window;
use tokio::sync::oneshot;

use crate::backend;

/// Admission state of one service at this entry.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: Arc<str>,
    pub(crate) digest: u32,
    /// Limit of each group, sorted by key. There is a single one without a key unless
    /// the servers are known to belong to several groups.
    pub(crate) groups: Vec<GroupLimit>,
    pub(crate) queue: Queue,
    /// Shortest latency target of the service's routes if these have different
    /// priorities.
    pub(crate) shared_target: Option<Duration>,
    pub(crate) waiting: Vec<Waiter>,
    /// Permits held by client account.
    pub(crate) running: Vec<(Arc<str>, usize)>,
    /// Sum of the permits in `running`.
    pub(crate) held_permits: usize,
    pub(crate) pacer: Pacer,
    pub(crate) retries: Window,
    pub(crate) retry_schedule: retry_after::Schedule,
    /// Time at which a group that is down is tried again.
    pub(crate) retry_at: Instant,
    /// The last outage of the group.
    pub(crate) outage: outage::Outage,
    /// Requests that began recently.
    pub(crate) admitted: arrival::Window,
    /// Late requests that began recently, which give the rate at which retrying
    /// clients get a permit.
    pub(crate) late_admitted: arrival::Window,
    /// Shares by priority and account, if `shared_target` is known.
    pub(crate) share: Share,
    /// Refused clients that may return.
    pub(crate) returns: Returns,
    /// Permits reserved for refused clients, by priority, sorted.
    pub(crate) schedules: Vec<(u32, retry_after::Schedule)>,
    /// Class of the cutoff that was logged last, and when.
    pub(crate) logged_cutoff: (Option<Class>, Instant),
}

/// Concurrency limit of one group of a service.
#[derive(Debug)]
pub(crate) struct GroupLimit {
    /// Digest of the group's name; `None` if it stands for all servers of the service.
    pub(crate) key: Option<u32>,
    /// Digest under which entries tell each other the limit.
    pub(crate) digest: u32,
    pub(crate) limit: Limit,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: Id,
    pub(crate) request: Request,
    pub(crate) granted: oneshot::Sender<()>,
}

impl Pool {
    /// Returns whether the service has several groups with a limit each.
    pub(crate) fn is_split(&self) -> bool {
        self.groups.iter().any(|group| group.key.is_some())
    }

    pub(crate) fn admit(&mut self, now: Instant, request: &Request) {
        self.pacer.begin(now, f64::from(request.tokens));
        self.admitted.try_acquire(now, usize::MAX);
        if !request.in_time {
            self.late_admitted.try_acquire(now, usize::MAX);
        }
        if self.shared_target.is_some() {
            self.share.admit(now, backend::digest(&request.account));
        }
        self.acquire(&request.account);
    }

    pub(crate) fn acquire(&mut self, account: &Arc<str>) {
        self.held_permits += 1;
        match self.running.iter_mut().find(|(name, _)| name == account) {
            Some((_, permits)) => *permits += 1,
            None => self.running.push((account.clone(), 1)),
        }
    }

    pub(crate) fn release(&mut self, account: &Arc<str>) {
        self.held_permits = self.held_permits.saturating_sub(1);
        if let Some((_, permits)) = self.running.iter_mut().find(|(name, _)| name == account) {
            *permits = permits.saturating_sub(1);
        }
        self.running.retain(|(_, permits)| *permits > 0);
    }
}
