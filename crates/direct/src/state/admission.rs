//! Admission of requests to a service: run now, wait or be refused.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::arrival;
use berylgw_core::group::queue::{Id, Request};
use tokio::sync::oneshot;

use super::{ServerKey, ServiceKey, State, share};
use crate::config::Route;
use crate::pool::Waiter;

/// Time after which a group that is down is tried again.
const GROUP_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Share of the usable concurrency limit, which is smaller for late requests,
/// below which a request is admitted at the end of its wait regardless of the
/// pacer, so that none is refused while many permits are free.
const PACING_OVERRIDE_MAX_LOAD: f64 = 0.85;

/// Share of the concurrency limit below which the pacer is not applied.
const PACING_MIN_LOAD: f64 = 0.6;

/// Result of a request for a permit.
#[derive(Debug)]
pub enum Admission {
    /// The request has a permit.
    Granted,
    /// The request is queued; the receiver resolves when it gets a permit.
    Queued(Id, oneshot::Receiver<()>),
    /// No permit can become free in time, or the queue is full.
    Refused,
    /// The group is down; it is tried again at this time.
    GroupDown(Instant),
}

impl State {
    /// Returns the requests in flight at a service from all entries. Where the service has
    /// several groups, those beyond the limit of a group do not count: they leave the
    /// permits of the other groups free.
    pub fn in_flight(&self, service: ServiceKey) -> usize {
        let pool = &self.pools[service.0];
        if pool.is_split() {
            let loads = self.group_loads(service);
            let counted = loads.iter().map(|load| load.in_flight.min(load.limit));
            // Requests that have a permit and no server yet.
            let own = loads.iter().map(|load| load.own).sum();
            return counted.sum::<usize>() + pool.held_permits.saturating_sub(own);
        }
        let servers = self.servers.iter().flatten();
        let servers = servers.filter(|server| server.listed.service == pool.name);
        let others = servers.map(|server| self.peers.in_flight(server.digest) as usize);
        pool.held_permits + others.sum::<usize>()
    }

    /// Returns the concurrency limit of a service, the sum over its groups of the mean of
    /// the limits of this entry and of the live entries that reported one.
    pub fn concurrency_limit(&self, service: ServiceKey) -> usize {
        let groups = self.pools[service.0].groups.iter();
        groups.map(|group| self.group_limit(group)).sum()
    }

    /// Returns whether a request can be answered on time.
    ///
    /// Otherwise it is late: a client's retry, recognized by a
    /// `client_timeout` that is far shorter than usual on its route.
    pub fn is_in_time(&mut self, route: &Route, client_timeout: Duration) -> bool {
        !self
            .client_timeouts
            .is_retry(&route.host, &route.prefix, client_timeout)
    }

    /// Admits a request, queues it or refuses it.
    pub fn request_permit(
        &mut self,
        now: Instant,
        service: ServiceKey,
        request: Request,
    ) -> Admission {
        let in_flight = self.in_flight(service);
        let limit = self.concurrency_limit(service);
        let full = in_flight >= self.usable_limit(limit, request.in_time);
        let unpaced = is_unpaced(in_flight, limit);
        let pool = &mut self.pools[service.0];
        if now < pool.retry_at {
            return Admission::GroupDown(pool.retry_at);
        }
        let ready = unpaced || pool.pacer.ready(now);
        if !full && ready && pool.queue.is_empty() {
            pool.admit(now, &request);
            return Admission::Granted;
        }
        let id = self.counter;
        self.counter = self.counter.wrapping_add(1);
        if request.deadline <= now || !share::push(pool, id, &request) {
            return Admission::Refused;
        }
        let (granted, receiver) = oneshot::channel();
        pool.waiting.push(Waiter {
            id,
            request,
            granted,
        });
        Admission::Queued(id, receiver)
    }

    /// Returns the part of the concurrency limit that a request may use; late
    /// requests may not use all of it.
    fn usable_limit(&self, limit: usize, in_time: bool) -> usize {
        if in_time {
            return limit;
        }
        (limit as f64 * self.settings.group.late_share) as usize
    }

    /// Admits a request at the end of its wait if only the pacer held it back;
    /// returns whether it was admitted.
    pub fn admit_unpaced(&mut self, now: Instant, service: ServiceKey, id: Id) -> bool {
        let limit = self.concurrency_limit(service);
        let in_flight = self.in_flight(service);
        let pool = &self.pools[service.0];
        let Some(waiter) = pool.waiting.iter().find(|waiter| waiter.id == id) else {
            return false;
        };
        let request = waiter.request.clone();
        let usable = self.usable_limit(limit, request.in_time) as f64;
        if in_flight as f64 >= PACING_OVERRIDE_MAX_LOAD * usable {
            return false;
        }
        self.cancel_wait(service, id);
        self.pools[service.0].admit(now, &request);
        true
    }

    /// Returns the earliest time at which the pacer lets the next queued
    /// request begin.
    pub fn next_start(&self, service: ServiceKey) -> Instant {
        self.pools[service.0].pacer.next()
    }

    /// Removes a request from the queue.
    pub fn cancel_wait(&mut self, service: ServiceKey, id: Id) {
        let pool = &mut self.pools[service.0];
        pool.queue.remove(id);
        pool.waiting.retain(|waiter| waiter.id != id);
    }

    /// Releases a permit.
    pub fn release_permit(&mut self, service: ServiceKey, account: &Arc<str>) {
        let pool = &mut self.pools[service.0];
        pool.release(account);
    }

    /// Grants free permits to queued requests.
    pub fn grant_permits(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            let key = ServiceKey(index);
            if self.pools[index].queue.is_empty() {
                continue;
            }
            let limit = self.concurrency_limit(key);
            let in_flight = self.in_flight(key);
            let unpaced = is_unpaced(in_flight, limit);
            let mut free = limit.saturating_sub(in_flight);
            let late_free = self.usable_limit(limit, false);
            let mut late_free = late_free.saturating_sub(in_flight);
            while free > 0 {
                let pool = &mut self.pools[index];
                if !unpaced && !pool.pacer.ready(now) {
                    break;
                }
                let running = &pool.running;
                let running_of_account = |account: &str| running_of(running, account);
                let Some(id) = pool.queue.pop(late_free > 0, running_of_account) else {
                    break;
                };
                let Some(position) = pool.waiting.iter().position(|waiter| waiter.id == id) else {
                    continue;
                };
                let waiter = pool.waiting.swap_remove(position);
                pool.admit(now, &waiter.request);
                // The receiver is dropped when the client has disconnected.
                if waiter.granted.send(()).is_err() {
                    pool.release(&waiter.request.account);
                    continue;
                }
                free -= 1;
                late_free = late_free.saturating_sub(1);
            }
        }
    }

    /// Returns the time after which a refused client may retry.
    ///
    /// Spaces the retries by the rate at which late requests have recently been
    /// admitted, or are expected to be once a group that is down runs again.
    pub fn retry_after(&mut self, now: Instant, service: ServiceKey) -> Duration {
        let limit = self.concurrency_limit(service);
        let free = limit.saturating_sub(self.in_flight(service));
        let share = free / self.peers.sharing_entries().max(1);
        let pool = &mut self.pools[service.0];
        let late_admitted = pool.late_admitted.count(now);
        let starts = late_admitted
            .max(pool.outage.starts_per_window(now, share))
            .max(1);
        let interval = arrival::WINDOW / starts as u32;
        let group_up_at = pool.retry_at.max(pool.outage.expected_end(now));
        pool.retry_schedule.reserve(now, interval, group_up_at)
    }

    /// Records a pause between two events of an answer of a server and adjusts the
    /// concurrency limit of its group.
    pub fn record_pause(
        &mut self,
        now: Instant,
        service: ServiceKey,
        server: ServerKey,
        pause: Duration,
        target: Duration,
    ) {
        let pool = &self.pools[service.0];
        let key = match &self.servers[server.0] {
            Some(server) => pool.key_of(server),
            None => None,
        };
        let groups = pool.groups.iter();
        let Some(group) = groups.clone().position(|group| group.key == key) else {
            return;
        };
        let in_flight = match key {
            Some(_) => self.group_loads(service)[group].in_flight,
            None => self.in_flight(service),
        };
        let limit = &mut self.pools[service.0].groups[group].limit;
        limit.observe(pause);
        limit.adjust(now, in_flight, target);
    }

    /// Records that a group is down because one of its ranks does not run.
    pub fn mark_group_down(&mut self, now: Instant, service: ServiceKey) {
        let pool = &mut self.pools[service.0];
        let starts = pool.admitted.count(now);
        if pool.outage.begin(now, starts) {
            tracing::warn!(service = %pool.name, begun = starts, "group does not run");
        }
        pool.retry_at = now + GROUP_RETRY_INTERVAL;
    }

    /// Returns whether the service has several groups, so that an outage of one
    /// does not imply that the servers of the others are down.
    pub fn has_several_groups(&self, now: Instant, service: ServiceKey) -> bool {
        self.pools[service.0].outage.has_several_groups(now)
    }

    /// Records that a group is up, as one of its servers answered.
    pub fn mark_group_up(&mut self, now: Instant, service: ServiceKey) {
        let pool = &mut self.pools[service.0];
        if let Some(length) = pool.outage.end(now) {
            let length_ms = length.as_millis() as u64;
            tracing::info!(service = %pool.name, closed_ms = length_ms, "group runs again");
        }
    }
}

fn is_unpaced(in_flight: usize, limit: usize) -> bool {
    (in_flight as f64) < PACING_MIN_LOAD * limit as f64
}

pub(super) fn running_of(running: &[(Arc<str>, usize)], account: &str) -> usize {
    let found = running.iter().find(|(name, _)| **name == *account);
    found.map_or(0, |(_, permits)| *permits)
}
