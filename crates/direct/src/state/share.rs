//! Shares of permits by priority and account, where the routes of a service have
//! different priorities.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::arrival;
use berylgw_core::group::queue::{Id, Push, Request};
use berylgw_core::group::retry_after::{Arrival, Return, Schedule};
use berylgw_core::group::share::{Class, Cutoff, Load, Turn};
use berylgw_wire::direct as wire;
use derive_more::Display;

use super::admission::running_of;
use super::{ServiceKey, State};
use crate::backend;
use crate::pool::Pool;
use crate::share;

/// Share of the time that a client has left for which it may be told to wait. Clients
/// honour `Retry-After` up to a third of it by their own clock.
const MAX_RETRY_SHARE: f64 = 0.32;

/// Shortest time between two log lines on the cutoff of one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lowest rate of permits for refused clients that is reckoned with, per second.
const MIN_ROOM: f64 = 0.01;

/// What the shares of permits decide on a request that arrives, a label value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ruling {
    /// It may take a permit or wait for one.
    #[display("allowed")]
    Allowed,
    /// Its class is beyond the cutoff.
    #[display("cut_off")]
    CutOff,
    /// Its client returns before the time that it was given.
    #[display("early")]
    Early,
}

impl State {
    /// Returns the latency target from which the wait for a permit is derived for all
    /// requests of a service, `None` if its routes have one priority and each has its
    /// own wait.
    pub fn shared_target(&self, service: ServiceKey) -> Option<Duration> {
        self.pools[service.0].shared_target
    }

    pub(super) fn update_shared_targets(&mut self) {
        let configuration = self.view.configuration.value.clone();
        let by_priority = self.settings.group.shares.by_priority();
        for pool in &mut self.pools {
            let target = configuration.shared_target(&pool.name);
            pool.shared_target = target.filter(|_| by_priority);
        }
    }

    /// Classifies a request that arrives, by its priority, its account and the time of
    /// its client; returns whether it may take a permit or wait for one. `digest` is that
    /// of the whole request. All are allowed where the routes have one priority.
    pub fn classify(
        &mut self,
        now: Instant,
        service: ServiceKey,
        request: &mut Request,
        digest: u64,
    ) -> Ruling {
        if self.pools[service.0].shared_target.is_none() {
            return Ruling::Allowed;
        }
        self.update_share(now, service);
        let load = self.service_load(service);
        let pool = &mut self.pools[service.0];
        let arrival = pool.returns.arrive(now, digest);
        // Requests that can still be on time go first while a group refills.
        let due = arrival == Arrival::Due && (request.in_time || !pool.outage.is_refilling(now));
        let turn = match request.in_time {
            _ if due => Turn::Returning,
            true => Turn::InTime,
            false => Turn::Late,
        };
        let account = backend::digest(&request.account);
        let class = pool
            .share
            .classify(request.priority, account, turn, rand::random());
        request.class = Some(class);
        // The share of late requests would refuse a client that returns at its time.
        request.in_time |= due;
        if now < pool.retry_at {
            // Refused as the group is down.
            pool.share.arrive(now, class);
            return Ruling::Allowed;
        }
        let cutoff = pool.share.cutoff();
        let is_scarce = cutoff.is_some_and(|cutoff| class >= cutoff.class);
        if is_scarce && matches!(arrival, Arrival::Early(_)) {
            return Ruling::Early;
        }
        pool.share.arrive(now, class);
        match pool.share.admits(class, load, rand::random()) {
            true => Ruling::Allowed,
            false => Ruling::CutOff,
        }
    }

    /// Returns the cutoff of a service as in log lines, `None` if none is in force.
    pub fn cutoff_label(&self, service: ServiceKey) -> Option<String> {
        self.pools[service.0].share.cutoff().map(cutoff_label)
    }

    /// Updates the cutoffs of all services.
    pub fn update_shares(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            self.update_share(now, ServiceKey(index));
        }
    }

    fn update_share(&mut self, now: Instant, service: ServiceKey) {
        let pool = &self.pools[service.0];
        if pool.shared_target.is_none() || !pool.share.is_due(now) {
            return;
        }
        let load = self.service_load(service);
        let pool = &mut self.pools[service.0];
        let reports = self.peers.shares(now, pool.digest);
        pool.share.update(now, load, &reports);
        log_cutoff(now, pool, load, &reports.iter().map(|(age, _)| *age).max());
    }

    fn service_load(&self, service: ServiceKey) -> Load {
        Load {
            limit: self.concurrency_limit(service),
            in_flight: self.in_flight(service),
        }
    }

    /// Returns the shares of all services for the datagrams to other entries.
    pub fn share_report(&mut self, now: Instant) -> Vec<wire::Share> {
        let pools = self.pools.iter_mut();
        let shared = pools.filter(|pool| pool.shared_target.is_some());
        let reports = shared.map(|pool| {
            let returns = pool.returns.report(now);
            share::to_wire(pool.digest, now, pool.share.report(now), returns)
        });
        reports.collect()
    }

    /// Records the clients that another entry has refused, by service digest.
    pub fn hear_returns(&mut self, now: Instant, returns: &[(u32, Return)]) {
        for (service, refused) in returns {
            let mut pools = self.pools.iter_mut();
            if let Some(pool) = pools.find(|pool| pool.digest == *service) {
                pool.returns.hear(now, *refused);
            }
        }
    }

    /// Returns the time after which a refused client may retry.
    ///
    /// Where the routes have different priorities, that is when there is room for its
    /// priority, in the time `left` in which the client honours it. A client that has
    /// returned too early keeps its time.
    pub fn retry_after_of(
        &mut self,
        now: Instant,
        service: ServiceKey,
        class: Option<Class>,
        digest: u64,
        left: Duration,
    ) -> Duration {
        let Some(Class {
            flooding, priority, ..
        }) = class
        else {
            return self.retry_after(now, service);
        };
        let limit = self.concurrency_limit(service);
        let free = limit.saturating_sub(self.in_flight(service));
        let entries = self.peers.sharing_entries().max(1);
        let pool = &mut self.pools[service.0];
        if let Some(due) = pool.returns.due(digest)
            && due > now
        {
            return due.since(now);
        }
        let index = match pool
            .schedules
            .binary_search_by_key(&priority, |known| known.0)
        {
            Ok(index) => index,
            Err(index) => {
                pool.schedules
                    .insert(index, (priority, Schedule::default()));
                index
            }
        };
        let starts = pool.outage.starts_per_window(now, free / entries);
        let interval = if starts > 0 {
            // The permits of a group that refills are divided among the priorities.
            arrival::WINDOW * pool.schedules.len() as u32 / starts as u32
        } else {
            let room = pool.share.room(priority) / entries as f64;
            Duration::from_secs_f64(1.0 / room.max(MIN_ROOM))
        };
        let group_up_at = pool.retry_at.max(pool.outage.expected_end(now));
        let longest = left.mul_f64(MAX_RETRY_SHARE);
        let schedule = &mut pool.schedules[index].1;
        // A reservation would put the requests of a flood before usual ones.
        let reserved = match flooding {
            true => None,
            false => schedule.reserve_until(now, interval, group_up_at, now + longest),
        };
        let time = reserved.unwrap_or(longest);
        let refused = Return {
            digest,
            due: now + time,
            reserved: reserved.is_some(),
        };
        pool.returns.refuse(now, refused);
        time
    }
}

/// Queues a request; returns whether it is queued. The waiter of a displaced request
/// is dropped, which refuses that request at once.
pub(super) fn push(pool: &mut Pool, id: Id, request: &Request) -> bool {
    if pool.shared_target.is_none() {
        return pool.queue.push(id, request.clone());
    }
    let running = &pool.running;
    let running_of_account = |account: &str| running_of(running, account);
    let push = pool
        .queue
        .push_before(id, request.clone(), running_of_account);
    if let Push::Displaced(displaced) = push {
        pool.waiting.retain(|waiter| waiter.id != displaced);
    }
    push != Push::Refused
}

fn log_cutoff(now: Instant, pool: &mut Pool, load: Load, oldest: &Option<Duration>) {
    let cutoff = pool.share.cutoff();
    let class = cutoff.map(|cutoff| cutoff.class);
    if class == pool.logged_cutoff.0 || now.since(pool.logged_cutoff.1) < LOG_INTERVAL {
        return;
    }
    pool.logged_cutoff = (class, now);
    let demand: Vec<String> = pool
        .share
        .demand()
        .iter()
        .map(|(class, per_second)| format!("{}:{per_second:.1}", label(*class)))
        .collect();
    tracing::info!(
        service = %pool.name,
        cutoff = cutoff.map(cutoff_label),
        places = load.limit,
        in_flight = load.in_flight,
        demand_per_s = demand.join(","),
        oldest_report_ms = oldest.map(|age| age.as_millis() as u64),
        "cutoff changed"
    );
}

/// Returns the cutoff as in log lines: its class and the part of it that is admitted.
fn cutoff_label(cutoff: Cutoff) -> String {
    format!("{}:{:.2}", label(cutoff.class), cutoff.part)
}

/// Returns a class as in log lines: priority, account class, turn.
pub fn label(class: Class) -> String {
    let account = if class.flooding { "flooding" } else { "usual" };
    let turn = match class.turn {
        Turn::Returning => "returning",
        Turn::InTime => "in_time",
        Turn::Late => "late",
    };
    format!("{}/{account}/{turn}", class.priority)
}
