//! State of the traffic thread: servers, services and what runs on them.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::concurrency::Limit;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::{Id, Queue, Request};
use berylgw_core::group::selection::{self, Candidate};
use berylgw_core::group::{arrival, client_timeout, health, outage, retry_after};
use berylgw_core::retry::Window;
use berylgw_wire::direct as wire;
use tokio::sync::oneshot;

use crate::backend::{self, Server};
use crate::config::Route;
use crate::metrics::Metrics;
use crate::peer::Table;
use crate::pool::{Pool, Waiter};
use crate::settings::Settings;
use crate::view::View;

/// Requests that may wait for a place at one entry and service. At the rate of
/// a full group, more would be refused after their wait anyway.
const WAITING: usize = 32;

/// Shortest time between two datagrams of an entry, for each entry heard, so
/// that an entry of any fleet receives at most a few hundred a second.
const BEAT_SPACING: Duration = Duration::from_millis(3);

/// Time after which a group that did not run is tried again.
const GROUP_RETRY: Duration = Duration::from_millis(300);

/// Index of a server in the arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerKey(usize);

/// Index of a service in the arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceKey(usize);

/// A server and what this entry knows of it.
#[derive(Clone, Debug)]
struct Slot {
    server: Arc<Server>,
    digest: u32,
    /// Whether the view lets it get new work.
    open: bool,
    /// Whether another process answered at its address.
    replaced: bool,
    /// Whether a later process is listed at its address.
    superseded: bool,
    own: u32,
    health: health::Record,
    arrivals: arrival::Window,
}

impl Slot {
    fn takes_work(&self) -> bool {
        self.open && !self.superseded
    }
}

/// How a request for a place ended.
#[derive(Debug)]
pub enum Turn {
    /// It has a place.
    Granted,
    /// It waits; the receiver is told when it has one.
    Queued(Id, oneshot::Receiver<()>),
    /// There is no place soon.
    Full,
    /// The group does not run until this time.
    Closed(Instant),
}

/// The state of the traffic thread.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    /// The view that decisions are made on.
    pub view: Arc<View>,
    /// Other entries.
    pub peers: Table,
    slots: Vec<Option<Slot>>,
    patience: client_timeout::Table,
    pools: Vec<Pool>,
    next: u64,
}

impl State {
    /// State before anything is known.
    pub fn new(settings: Settings) -> Self {
        State {
            settings,
            view: Arc::default(),
            peers: Table::default(),
            slots: Vec::new(),
            patience: client_timeout::Table::default(),
            pools: Vec::new(),
            next: rand::random(),
        }
    }

    /// Takes in a new view.
    pub fn update(&mut self, view: Arc<View>) {
        self.view = view.clone();
        let servers = &*view.servers.value;
        let evacuated = &*view.evacuations.value;
        for slot in self.slots.iter_mut() {
            let Some(known) = slot else { continue };
            let listed = servers
                .iter()
                .find(|server| server.id == known.server.id && server.born == known.server.born);
            known.open = listed.is_some_and(|server| is_open(server, evacuated));
            if listed.is_none() && known.own == 0 {
                *slot = None;
            }
        }
        for server in servers {
            let same = |slot: &Slot| slot.server.id == server.id && slot.server.born == server.born;
            if self.slots.iter().flatten().any(same) {
                continue;
            }
            let slot = Slot {
                server: Arc::new(server.clone()),
                digest: backend::digest(&server.id),
                open: is_open(server, evacuated),
                replaced: false,
                superseded: false,
                own: 0,
                health: health::Record::default(),
                arrivals: arrival::Window::default(),
            };
            match self.slots.iter_mut().find(|slot| slot.is_none()) {
                Some(free) => *free = Some(slot),
                None => self.slots.push(Some(slot)),
            }
        }
        self.mark_superseded();
        for index in 0..view.configuration.value.services.len() {
            let name = view.configuration.value.services[index].name.clone();
            let key = self.pool(&name);
            let slots = self.slots_of(&name);
            self.pools[key.0].bound.set_ceiling(slots.max(1.0));
        }
    }

    /// Finds the servers whose address a later process has.
    ///
    /// Load pattern: hosts lose power and start again. The entries of their
    /// former processes stay in the list for seconds, and half of the requests
    /// would go to processes that are no more.
    fn mark_superseded(&mut self) {
        for index in 0..self.slots.len() {
            let Some(slot) = &self.slots[index] else {
                continue;
            };
            let mut others = self.slots.iter().flatten();
            let superseded = others.any(|other| {
                let same = other.open && other.server.address == slot.server.address;
                let later = slot.replaced || other.server.born > slot.server.born;
                same && !other.replaced && later
            });
            if let Some(slot) = &mut self.slots[index] {
                slot.superseded = superseded;
            }
        }
    }

    /// Notes that another process answered at the address of a server.
    pub fn replaced(&mut self, now: Instant, key: ServerKey) {
        if let Some(slot) = &mut self.slots[key.0] {
            slot.replaced = true;
            slot.health.replaced(now);
        }
        self.mark_superseded();
    }

    fn slots_of(&self, service: &str) -> f64 {
        let of_service = self.slots.iter().flatten();
        let open = of_service.filter(|slot| slot.takes_work() && *slot.server.service == *service);
        open.map(|slot| f64::from(slot.server.slots)).sum()
    }

    /// The pool of a service, made if it is new.
    pub fn pool(&mut self, service: &Arc<str>) -> ServiceKey {
        let found = self.pools.iter().position(|pool| pool.name == *service);
        let index = found.unwrap_or_else(|| {
            let bound = Limit::new(self.settings.group.tuning(), self.slots_of(service));
            self.pools.push(Pool {
                name: service.clone(),
                digest: backend::digest(service),
                bound,
                queue: Queue::new(WAITING),
                waiting: Vec::new(),
                running: Vec::new(),
                places: 0,
                pacer: Pacer::new(self.settings.group.pace_headroom),
                retries: Window::default(),
                comebacks: retry_after::Schedule::default(),
                opens: Instant::ORIGIN,
                closure: outage::Outage::default(),
                begun: arrival::Window::default(),
                late_begun: arrival::Window::default(),
            });
            self.pools.len() - 1
        });
        ServiceKey(index)
    }

    /// Requests of all entries in flight at a service.
    pub fn in_flight(&self, now: Instant, service: ServiceKey) -> usize {
        let pool = &self.pools[service.0];
        let of_service = self.slots.iter().flatten();
        let of_service = of_service.filter(|slot| slot.server.service == pool.name);
        let others: u32 = of_service
            .map(|slot| self.peers.load(now, slot.digest))
            .sum();
        pool.places + others as usize
    }

    /// Places in force for a service: the mean of what the entries found.
    pub fn places(&self, now: Instant, service: ServiceKey) -> usize {
        let pool = &self.pools[service.0];
        let mut sum = pool.bound.permits();
        let mut count = 1;
        for peer in self.peers.live(now) {
            for &(digest, places) in &peer.bounds {
                if digest == pool.digest {
                    sum += places as usize;
                    count += 1;
                }
            }
        }
        sum / count
    }

    /// Whether a request whose client waits `patience` can be answered on time.
    pub fn note_patience(&mut self, route: &Route, patience: Duration) -> bool {
        !self.patience.is_retry(&route.host, &route.prefix, patience)
    }

    /// Asks for a place for a request.
    pub fn request_place(&mut self, now: Instant, service: ServiceKey, claim: Request) -> Turn {
        let in_flight = self.in_flight(now, service);
        let places = self.places(now, service);
        let full = in_flight >= self.open_places(places, claim.in_time);
        let idle = is_idle(in_flight, places);
        let pool = &mut self.pools[service.0];
        if now < pool.opens {
            return Turn::Closed(pool.opens);
        }
        let ready = idle || pool.pacer.ready(now);
        if !full && ready && pool.queue.is_empty() {
            pool.begin(now, &claim);
            return Turn::Granted;
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        if claim.deadline <= now || !pool.queue.push(id, claim.clone()) {
            return Turn::Full;
        }
        let (granted, receiver) = oneshot::channel();
        pool.waiting.push(Waiter { id, claim, granted });
        Turn::Queued(id, receiver)
    }

    /// The places that a request may take.
    fn open_places(&self, places: usize, in_time: bool) -> usize {
        if in_time {
            return places;
        }
        (places as f64 * self.settings.group.late_share) as usize
    }

    /// Begins a request whose wait is over if only the pace held it back;
    /// returns whether it did.
    pub fn begin_unpaced(&mut self, now: Instant, service: ServiceKey, id: Id) -> bool {
        let places = self.places(now, service);
        let in_flight = self.in_flight(now, service);
        let pool = &self.pools[service.0];
        let Some(waiter) = pool.waiting.iter().find(|waiter| waiter.id == id) else {
            return false;
        };
        let claim = waiter.claim.clone();
        let open = self.open_places(places, claim.in_time) as f64;
        if in_flight as f64 >= UNPACED_SHARE * open {
            return false;
        }
        self.forget(service, id);
        self.pools[service.0].begin(now, &claim);
        true
    }

    /// When the next waiting request may begin at the earliest.
    pub fn next_begin(&self, service: ServiceKey) -> Instant {
        self.pools[service.0].pacer.next()
    }

    /// Ends a wait.
    pub fn forget(&mut self, service: ServiceKey, id: Id) {
        let pool = &mut self.pools[service.0];
        pool.queue.remove(id);
        pool.waiting.retain(|waiter| waiter.id != id);
    }

    /// Frees a place.
    pub fn release(&mut self, service: ServiceKey, account: &Arc<str>) {
        let pool = &mut self.pools[service.0];
        pool.vacate(account);
    }

    /// Grants free places to waiting requests.
    pub fn grant(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            let key = ServiceKey(index);
            if self.pools[index].queue.is_empty() {
                continue;
            }
            let places = self.places(now, key);
            let in_flight = self.in_flight(now, key);
            let idle = is_idle(in_flight, places);
            let mut free = places.saturating_sub(in_flight);
            let late_free = self.open_places(places, false);
            let mut late_free = late_free.saturating_sub(in_flight);
            while free > 0 {
                let pool = &mut self.pools[index];
                if !idle && !pool.pacer.ready(now) {
                    break;
                }
                let running = &pool.running;
                let turn = |account: &str| count(running, account);
                let Some(id) = pool.queue.pop(late_free > 0, turn) else {
                    break;
                };
                let Some(at) = pool.waiting.iter().position(|waiter| waiter.id == id) else {
                    continue;
                };
                let waiter = pool.waiting.swap_remove(at);
                pool.begin(now, &waiter.claim);
                // A receiver that is gone belongs to a client that left.
                if waiter.granted.send(()).is_err() {
                    pool.vacate(&waiter.claim.account);
                    continue;
                }
                free -= 1;
                late_free = late_free.saturating_sub(1);
            }
        }
    }

    /// Time after which a refused client may come back.
    pub fn comeback(&mut self, now: Instant, service: ServiceKey) -> Duration {
        let free = self.places(now, service);
        let free = free.saturating_sub(self.in_flight(now, service));
        let share = free / self.peers.sharing(now).max(1);
        let pool = &mut self.pools[service.0];
        let late_begun = pool.late_begun.count(now);
        let begun = late_begun
            .max(pool.closure.starts_per_window(now, share))
            .max(1);
        let interval = arrival::WINDOW / begun as u32;
        let opens = pool.opens.max(pool.closure.expected_end(now));
        pool.comebacks.reserve(now, interval, opens)
    }

    /// Records a pause between two events of an answer.
    pub fn observe(&mut self, now: Instant, service: ServiceKey, pause: Duration, aim: Duration) {
        self.pools[service.0].bound.observe(pause);
        let in_flight = self.in_flight(now, service);
        self.pools[service.0].bound.adjust(now, in_flight, aim);
    }

    /// Records that a rank of a group does not run, which stops all of them.
    pub fn suspect_group(&mut self, now: Instant, service: ServiceKey) {
        let pool = &mut self.pools[service.0];
        let begun = pool.begun.count(now);
        if pool.closure.begin(now, begun) {
            tracing::warn!(service = %pool.name, begun, "group does not run");
        }
        pool.opens = now + GROUP_RETRY;
    }

    /// Whether a broken group says nothing about the other servers of a service.
    pub fn has_several_groups(&self, now: Instant, service: ServiceKey) -> bool {
        self.pools[service.0].closure.has_several_groups(now)
    }

    /// Records that a server of a group answers.
    pub fn group_runs(&mut self, now: Instant, service: ServiceKey) {
        let pool = &mut self.pools[service.0];
        if let Some(closed) = pool.closure.end(now) {
            let closed_ms = closed.as_millis() as u64;
            tracing::info!(service = %pool.name, closed_ms, "group runs again");
        }
    }

    /// Counts a request of a client for a service.
    pub fn count_request(&mut self, now: Instant, service: ServiceKey) {
        let allowance = self.settings.retry.allowance();
        self.pools[service.0].retries.record_request(now, allowance);
    }

    /// Takes one repeated attempt from the budget.
    pub fn take_repeat(&mut self, now: Instant, service: ServiceKey) -> bool {
        let entries = self.peers.sharing(now);
        let allowance = self.settings.retry.allowance();
        self.pools[service.0]
            .retries
            .try_repeat(now, allowance, entries)
    }

    /// Chooses a server of a service and counts the request as sent.
    pub fn choose(
        &mut self,
        now: Instant,
        service: ServiceKey,
        tried: &[Arc<str>],
    ) -> Option<(ServerKey, Arc<Server>)> {
        let name = self.pools[service.0].name.clone();
        let limit = self.arrival_limit(now, &name);
        let mut keys = Vec::new();
        let mut candidates = Vec::new();
        for index in 0..self.slots.len() {
            let Some(slot) = &mut self.slots[index] else {
                continue;
            };
            if !slot.takes_work() || slot.server.service != name || tried.contains(&slot.server.id)
            {
                continue;
            }
            let cold = limit.is_some_and(|limit| !slot.arrivals.allows(now, limit));
            if cold || !slot.health.is_available(now) {
                continue;
            }
            keys.push(index);
            candidates.push(Candidate {
                in_flight: slot.own + self.peers.load(now, slot.digest),
                slots: slot.server.slots,
                same_domain: slot.server.domain == self.settings.domain,
                recovering: slot.health.is_recovering(),
            });
        }
        self.next = self.next.wrapping_add(1);
        let turn = (self.next % candidates.len().max(1) as u64) as usize;
        let chosen = keys[selection::choose(&candidates, turn)?];
        let slot = self.slots[chosen].as_mut()?;
        slot.own += 1;
        slot.arrivals.try_acquire(now, usize::MAX);
        Some((ServerKey(chosen), slot.server.clone()))
    }

    /// Requests that this entry may send to one server in a second.
    fn arrival_limit(&self, now: Instant, service: &str) -> Option<usize> {
        let service = self.view.configuration.value.service(service)?;
        if service.cold_rate <= 0.0 {
            return None;
        }
        let cold = self.settings.cold;
        let allowed = service.cold_rate * cold.overshoot + cold.slack;
        Some(arrival::share(allowed, self.peers.sharing(now)))
    }

    /// Ends the use of a server by one request.
    pub fn done(&mut self, key: ServerKey) {
        if let Some(slot) = &mut self.slots[key.0] {
            slot.own = slot.own.saturating_sub(1);
        }
    }

    /// Outcomes of a server's requests.
    pub fn health(&mut self, key: ServerKey) -> Option<&mut health::Record> {
        self.slots[key.0].as_mut().map(|slot| &mut slot.health)
    }

    /// Requests in flight by server, and bounds, for other entries.
    pub fn loads(&self) -> (Vec<wire::Load>, Vec<wire::Bound>) {
        let busy = self.slots.iter().flatten().filter(|slot| slot.own > 0);
        let loads = busy.map(|slot| wire::Load {
            server: slot.digest,
            in_flight: slot.own,
        });
        let bounds = self.pools.iter().filter(|pool| pool.places > 0);
        let bounds = bounds.map(|pool| wire::Bound {
            service: pool.digest,
            places: pool.bound.permits() as u32,
        });
        (loads.collect(), bounds.collect())
    }

    /// Sets the gauges.
    pub fn export(&self, now: Instant, metrics: &Metrics) {
        for index in 0..self.pools.len() {
            let key = ServiceKey(index);
            let labels = [&*self.pools[index].name];
            let places = self.places(now, key) as i64;
            let in_flight = self.in_flight(now, key) as i64;
            metrics.places.with_label_values(&labels).set(places);
            metrics.in_flight.with_label_values(&labels).set(in_flight);
        }
    }

    /// Shortest time between two datagrams.
    pub fn beat_spacing(&self, now: Instant) -> Duration {
        BEAT_SPACING * self.peers.sharing(now) as u32
    }
}

/// Share of the places below which a request begins at the end of its wait
/// whatever the pace: it is not refused while many places are free.
const UNPACED_SHARE: f64 = 0.85;

/// Share of the places below which requests begin as they come.
const PACED_SHARE: f64 = 0.6;

fn is_idle(in_flight: usize, places: usize) -> bool {
    (in_flight as f64) < PACED_SHARE * places as f64
}

fn count(running: &[(Arc<str>, usize)], account: &str) -> usize {
    let found = running.iter().find(|entry| *entry.0 == *account);
    found.map_or(0, |entry| entry.1)
}

fn is_open(server: &Server, evacuated: &[Arc<str>]) -> bool {
    !server.draining && evacuated.binary_search(&server.domain).is_err()
}
