//! State of the traffic thread: servers, services and their requests.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::{self, Content};
use berylgw_core::group::concurrency::Limit;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::{Id, Queue, Request};
use berylgw_core::group::selection::{self, Candidate};
use berylgw_core::group::{
    arrival, client_timeout, drained, health, outage, pause, rate, retry_after,
};
use berylgw_core::retry::Window;
use berylgw_wire::direct as wire;
use tokio::sync::oneshot;

use crate::backend::{self, Server};
use crate::config::Route;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::pool::{Pool, Waiter};
use crate::settings::Settings;
use crate::view::View;

/// Requests that may queue for a permit at one entry and service. At the rate
/// at which a full group frees permits, more would be refused after their wait
/// anyway.
const MAX_QUEUED: usize = 32;

/// Shortest time between two rounds of datagrams of an entry, per entry in the
/// fleet: it is multiplied by their number, so that an entry receives at most a
/// few hundred datagrams a second in a fleet of any size.
const GOSSIP_SPACING: Duration = Duration::from_millis(3);

/// Time after which a group that is down is tried again.
const GROUP_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Servers that one datagram names as leaving, the last ones that were heard.
const MAX_LEAVING_REPORTED: usize = 128;

/// Processes of servers that left of which repeated reports are skipped.
const MAX_LEFT_PROCESSES: usize = 4_096;

/// Time after which a server that leaves is named in periodic datagrams only.
const LEAVING_NEWS: Duration = Duration::from_secs(1);

/// Time for which other entries are told that a server no longer names a rate
/// limit.
const RATE_LIMIT_END_REPORTED: Duration = Duration::from_secs(5);

/// Time for which a server that crashed counts as down when it is decided whether a
/// suspect may be sent: other entries have not tried it themselves.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Shortest turn of an entry to send a suspect again: the time in which a request
/// crashes a server and all entries learn of it.
const SUSPECT_TURN: Duration = Duration::from_millis(400);

/// Index of a server in [`State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerKey(usize);

/// Index of a service in [`State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceKey(usize);

/// State of a server at this entry.
#[derive(Clone, Debug)]
struct ServerState {
    /// The server as listed when it was first seen.
    listed: Arc<Server>,
    digest: u32,
    /// Whether the view allows new requests: listed, not draining and not in an
    /// evacuated failure domain.
    eligible: bool,
    /// Whether another process answered at its address.
    other_process_answered: bool,
    /// Whether requests for its address belong to another listed process: one
    /// that started later, or any if `other_process_answered`.
    superseded: bool,
    /// Requests in flight from this entry.
    in_flight: u32,
    health: health::Record,
    arrivals: arrival::Window,
    /// Digest of the process, in which a server that restarts under its id differs.
    process: u32,
    rate_limit: rate::Limit,
    /// Last time at which this entry itself heard of its rate limit.
    rate_limit_heard: Option<Instant>,
    /// Whether an answer has said that it leaves. It binds for the rest of the
    /// process, whatever the store says.
    leaving: bool,
    /// Time at which this entry itself heard that it leaves.
    leaving_heard: Option<Instant>,
    pause: pause::Pause,
}

impl ServerState {
    fn accepts_requests(&self) -> bool {
        self.eligible && !self.superseded && !self.leaving
    }
}

/// Servers and entries of the own failure domain, among which the servers' slots
/// are dealt out.
#[derive(Debug)]
struct Homes {
    /// Digests of the servers, sorted.
    servers: Vec<u32>,
    /// Number of entries, this one included.
    entries: usize,
    /// Position of this entry among them.
    entry: usize,
}

impl Homes {
    /// Returns the home slots of this entry at a server that has `slots` slots.
    fn slots_at(&self, server: u32, slots: u32) -> u32 {
        let Ok(server) = self.servers.binary_search(&server) else {
            return 0;
        };
        let servers = self.servers.len();
        selection::home_slots(self.entry, self.entries, server, servers, slots)
    }
}

/// A number in a header of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// The answer does not have the header.
    Absent,
    /// The header has a finite number.
    Number(f64),
    /// The header has something else.
    Unreadable,
}

/// What an answer says of its server beside the request.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// Whether the server leaves.
    pub leaving: bool,
    /// Requests per second that it takes from all entries.
    pub rate_limit: Value,
    /// Seconds for which it wants no request from this entry.
    pub pause: Value,
}

/// Whether a service can take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// A server takes requests.
    Ready,
    /// All servers have asked this entry for a pause; the shortest rest of one.
    Pausing(Duration),
    /// No server may get new requests.
    NoServer,
}

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

/// The state of the traffic thread.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    /// Digest of the name of this entry.
    digest: u32,
    /// The view in force.
    pub view: Arc<View>,
    /// Other entries.
    pub peers: Peers,
    /// Servers by the index in [`ServerKey`]; `None` is free for reuse.
    servers: Vec<Option<ServerState>>,
    client_timeouts: client_timeout::Table,
    blame: blame::Table,
    /// Digests in quarantine, as logged last.
    quarantined: Vec<u64>,
    /// Servers that said they leave, as the store may list them again.
    left: drained::Table,
    /// Digests of their processes, sorted: others report them again and again.
    left_processes: Vec<u32>,
    pools: Vec<Pool>,
    /// Source of queue ids.
    counter: u64,
}

impl State {
    /// Creates a state with an empty view.
    pub fn new(settings: Settings) -> Self {
        State {
            digest: backend::digest(&settings.name),
            settings,
            view: Arc::default(),
            peers: Peers::default(),
            servers: Vec::new(),
            client_timeouts: client_timeout::Table::default(),
            blame: blame::Table::default(),
            quarantined: Vec::new(),
            left: drained::Table::default(),
            left_processes: Vec::new(),
            pools: Vec::new(),
            counter: rand::random(),
        }
    }

    /// Replaces the view and updates servers and limits.
    pub fn update_view(&mut self, view: Arc<View>) {
        self.view = view.clone();
        let servers = &*view.servers.value;
        let evacuated = &*view.evacuations.value;
        for position in self.servers.iter_mut() {
            let Some(known) = position else { continue };
            let listed = servers
                .iter()
                .find(|server| server.id == known.listed.id && server.born == known.listed.born);
            known.eligible = listed.is_some_and(|server| is_eligible(server, evacuated));
            if listed.is_none() && known.in_flight == 0 {
                *position = None;
            }
        }
        for server in servers {
            let same = |known: &ServerState| {
                known.listed.id == server.id && known.listed.born == server.born
            };
            if self.servers.iter().flatten().any(same) {
                continue;
            }
            let added = ServerState {
                listed: Arc::new(server.clone()),
                digest: backend::digest(&server.id),
                eligible: is_eligible(server, evacuated),
                other_process_answered: false,
                superseded: false,
                in_flight: 0,
                health: health::Record::default(),
                arrivals: arrival::Window::default(),
                process: backend::digest(&format!("{} {:?}", server.id, server.born)),
                rate_limit: rate::Limit::default(),
                rate_limit_heard: None,
                leaving: self.left.contains(&server.id, server.born),
                leaving_heard: None,
                pause: pause::Pause::default(),
            };
            match self.servers.iter_mut().find(|known| known.is_none()) {
                Some(free) => *free = Some(added),
                None => self.servers.push(Some(added)),
            }
        }
        self.mark_superseded();
        self.update_ceilings();
    }

    /// Limits the requests at each service to the slots of its servers.
    fn update_ceilings(&mut self) {
        let view = self.view.clone();
        for index in 0..view.configuration.value.services.len() {
            let name = view.configuration.value.services[index].name.clone();
            let key = self.service_key(&name);
            let capacity = self.capacity(&name);
            self.pools[key.0].limit.set_ceiling(capacity.max(1.0));
        }
    }

    /// Marks the servers whose address belongs to another listed process.
    ///
    /// When hosts lose power and restart, the list names their former processes
    /// for some seconds more. Half of the requests would be sent to processes
    /// that no longer exist.
    fn mark_superseded(&mut self) {
        for index in 0..self.servers.len() {
            let Some(server) = &self.servers[index] else {
                continue;
            };
            let mut others = self.servers.iter().flatten();
            let superseded = others.any(|other| {
                let same = other.eligible && other.listed.address == server.listed.address;
                let later = server.other_process_answered || other.listed.born > server.listed.born;
                same && !other.other_process_answered && later
            });
            if let Some(server) = &mut self.servers[index] {
                server.superseded = superseded;
            }
        }
    }

    /// Records that another process answered at the address of a server.
    pub fn mark_replaced(&mut self, now: Instant, key: ServerKey) {
        if let Some(server) = &mut self.servers[key.0] {
            server.other_process_answered = true;
            server.health.replaced(now);
        }
        self.mark_superseded();
    }

    fn capacity(&self, service: &str) -> f64 {
        let servers = self.servers.iter().flatten();
        let eligible = servers
            .filter(|server| server.accepts_requests() && *server.listed.service == *service);
        eligible.map(|server| f64::from(server.listed.slots)).sum()
    }

    /// Returns the key of a service's pool, which is created if it is new.
    pub fn service_key(&mut self, service: &Arc<str>) -> ServiceKey {
        let found = self.pools.iter().position(|pool| pool.name == *service);
        let index = found.unwrap_or_else(|| {
            let limit = Limit::new(self.settings.group.tuning(), self.capacity(service));
            self.pools.push(Pool {
                name: service.clone(),
                digest: backend::digest(service),
                limit,
                queue: Queue::new(MAX_QUEUED),
                waiting: Vec::new(),
                running: Vec::new(),
                held_permits: 0,
                pacer: Pacer::new(self.settings.group.pace_headroom),
                retries: Window::default(),
                retry_schedule: retry_after::Schedule::default(),
                retry_at: Instant::ORIGIN,
                outage: outage::Outage::default(),
                admitted: arrival::Window::default(),
                late_admitted: arrival::Window::default(),
            });
            self.pools.len() - 1
        });
        ServiceKey(index)
    }

    /// Returns the requests in flight at a service from all entries.
    pub fn in_flight(&self, service: ServiceKey) -> usize {
        let pool = &self.pools[service.0];
        let servers = self.servers.iter().flatten();
        let servers = servers.filter(|server| server.listed.service == pool.name);
        let others = servers.map(|server| self.peers.in_flight(server.digest) as usize);
        pool.held_permits + others.sum::<usize>()
    }

    /// Returns the concurrency limit of a service, the mean of the limits of
    /// this entry and of the live entries that reported one.
    pub fn concurrency_limit(&self, service: ServiceKey) -> usize {
        let pool = &self.pools[service.0];
        let (sum, entries) = self.peers.concurrency_limits(pool.digest);
        (sum as usize + pool.limit.permits()) / (entries + 1)
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
        if request.deadline <= now || !pool.queue.push(id, request.clone()) {
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

    /// Records a pause between two events of an answer and adjusts the
    /// concurrency limit.
    pub fn record_pause(
        &mut self,
        now: Instant,
        service: ServiceKey,
        pause: Duration,
        target: Duration,
    ) {
        self.pools[service.0].limit.observe(pause);
        let in_flight = self.in_flight(service);
        self.pools[service.0].limit.adjust(now, in_flight, target);
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

    /// Records that a server answers a request.
    pub fn record_answer(&mut self, now: Instant, content: &Content) {
        self.blame.record_answer(now, content);
    }

    /// Records that a server begins to write a stream.
    pub fn begin_stream(
        &mut self,
        now: Instant,
        service: ServiceKey,
        server: &Server,
        content: &Content,
    ) -> blame::Stream {
        let service = self.pools[service.0].digest;
        let server = backend::digest(&server.id);
        self.blame.begin_stream(now, service, server, content)
    }

    /// Forgets a stream that is no longer read.
    pub fn end_stream(&mut self, stream: blame::Stream) {
        self.blame.end_stream(stream);
    }

    /// Returns whether a stream that broke off may have crashed its server.
    pub fn may_have_crashed(&self, stream: blame::Stream) -> bool {
        self.blame.may_have_crashed(stream)
    }

    /// Records that a server crashed before it answered a request, or while it wrote
    /// the `stream` that answers it; returns whether more requests are quarantined.
    pub fn record_crash(
        &mut self,
        now: Instant,
        service: ServiceKey,
        server: &Server,
        content: &Content,
        stream: Option<blame::Stream>,
    ) -> bool {
        match stream {
            Some(stream) => self.blame.record_crash_in_stream(now, stream),
            None => {
                let service = self.pools[service.0].digest;
                let server = backend::digest(&server.id);
                self.blame.record_crash(now, service, server, content);
            }
        }
        self.update_quarantine(now)
    }

    /// Returns the time for which a request must not be sent because a server crashed
    /// under it, and it is the turn of another entry or no server would be left.
    pub fn hold(
        &mut self,
        now: Instant,
        service: ServiceKey,
        content: &Content,
    ) -> Option<Duration> {
        // What follows grows with the fleet; few requests are suspects.
        if !self.blame.is_whole_suspect(content) {
            return None;
        }
        let entries = self.peers.sharing_entries();
        let whole = content.whole() as u32;
        let turn = blame::Turn {
            position: self.peers.position(self.digest, whole),
            entries,
            length: SUSPECT_TURN.max(self.gossip_spacing() * 2),
        };
        let has_spare = self.has_spare_server(now, service);
        self.blame.hold(now, content, turn, has_spare)
    }

    /// Returns whether a server of the service would still run if one crashed. A
    /// service with a single server has none to spare at any time.
    pub fn has_spare_server(&self, now: Instant, service: ServiceKey) -> bool {
        let pool = &self.pools[service.0];
        let servers = self.servers.iter().flatten();
        let servers = servers
            .filter(|server| server.accepts_requests() && server.listed.service == pool.name);
        let (mut listed, mut running) = (0, 0);
        for server in servers {
            listed += 1;
            let crashed = self.blame.last_crash(now, pool.digest, server.digest);
            let restarting = crashed.is_some_and(|age| age < RESTART_TIME);
            running += usize::from(!restarting && server.health.is_available(now));
        }
        listed <= 1 || running > 1
    }

    /// Returns whether a request may have crashed the server that it was sent to.
    pub fn is_suspect(&self, content: &Content) -> bool {
        self.blame.is_suspect(content)
    }

    /// Merges the crashes of servers that another entry knows; returns whether more
    /// requests are quarantined.
    pub fn merge_crashes(&mut self, now: Instant, crashes: &[wire::Crash]) -> bool {
        for crash in crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let crash = blame::Crash {
                service: crash.service,
                age,
                server: crash.server,
                confirmed: crash.confirmed,
                unanswered: sorted(&crash.unanswered),
                answered: sorted(&crash.answered),
                cleared: sorted(&crash.cleared),
            };
            self.blame.merge(now, crash);
        }
        !crashes.is_empty() && self.update_quarantine(now)
    }

    /// Returns whether the known crashes of servers have changed recently.
    pub fn has_crash_news(&self, now: Instant) -> bool {
        self.blame.has_news(now)
    }

    /// Returns the known crashes of servers, for the datagrams to other entries.
    pub fn crash_report(&mut self, now: Instant) -> Vec<wire::Crash> {
        let crashes = self.blame.report(now).into_iter();
        let crashes = crashes.map(|crash| wire::Crash {
            service: crash.service,
            age_ms: crash.age.as_millis() as u32,
            server: crash.server,
            confirmed: crash.confirmed,
            unanswered: crash.unanswered,
            answered: crash.answered,
            cleared: crash.cleared,
        });
        crashes.collect()
    }

    /// Returns the time for which a request must not be sent because what it holds
    /// crashes servers, `None` if it may be sent.
    pub fn quarantine(&self, now: Instant, content: &Content) -> Option<Duration> {
        self.blame.quarantine(now, content)
    }

    fn update_quarantine(&mut self, now: Instant) -> bool {
        let quarantined = self.blame.quarantined(now);
        let mut more = false;
        for (digest, left) in &quarantined {
            if self.quarantined.binary_search(digest).is_err() {
                let (digest, left_ms) = (format!("{digest:x}"), left.as_millis() as u64);
                tracing::warn!(digest, left_ms, "requests that hold this are quarantined");
                more = true;
            }
        }
        self.quarantined = quarantined.into_iter().map(|known| known.0).collect();
        more
    }

    /// Counts a request of a client for a service.
    pub fn count_request(&mut self, now: Instant, service: ServiceKey) {
        let allowance = self.settings.retry.allowance();
        self.pools[service.0].retries.record_request(now, allowance);
    }

    /// Takes one retry from the budget; returns whether the budget allows it.
    pub fn take_retry(&mut self, now: Instant, service: ServiceKey) -> bool {
        let entries = self.peers.sharing_entries();
        let allowance = self.settings.retry.allowance();
        self.pools[service.0]
            .retries
            .try_repeat(now, allowance, entries)
    }

    /// Chooses a server of a service that is not in `tried`, and counts the
    /// request as in flight there. All entries choose the same server for suspects
    /// of crashes, so that these do not crash several at once.
    pub fn choose_server(
        &mut self,
        now: Instant,
        service: ServiceKey,
        tried: &[Arc<str>],
        content: &Content,
    ) -> Option<(ServerKey, Arc<Server>)> {
        let confined = self.blame.is_whole_suspect(content);
        let name = self.pools[service.0].name.clone();
        let limit = self.arrival_limit(&name);
        let homes = self.home_servers(now, &name);
        let mut keys = Vec::new();
        let mut candidates = Vec::new();
        for index in 0..self.servers.len() {
            let Some(server) = &mut self.servers[index] else {
                continue;
            };
            if !server.accepts_requests()
                || server.listed.service != name
                || tried.contains(&server.listed.id)
            {
                continue;
            }
            let cold = limit.is_some_and(|limit| !server.arrivals.allows(now, limit));
            let pausing = server.pause.left(now).is_some();
            if cold || pausing || !server.health.is_available(now) {
                continue;
            }
            let entries = self.peers.sharing_entries();
            let position = || self.peers.position(self.digest, server.process);
            if server.rate_limit.per_second(now).is_some()
                && !server.rate_limit.allows(now, entries, position())
            {
                continue;
            }
            let slots = server.listed.slots;
            keys.push(index);
            candidates.push(Candidate {
                in_flight: server.in_flight + self.peers.in_flight(server.digest),
                slots,
                same_domain: server.listed.domain == self.settings.domain,
                recovering: server.health.is_recovering(),
                home_slots: homes
                    .slots_at(server.digest, slots)
                    .saturating_sub(server.in_flight),
            });
        }
        let unseen = self.unseen_begins(now, service);
        let random = |below: usize| rand::random_range(0..below.max(1));
        let chosen = match confined {
            false => keys[selection::choose(&candidates, unseen, random)?],
            true => *keys.iter().min_by_key(|index| {
                let server = self.servers[**index].as_ref();
                server.map(|server| server.digest)
            })?,
        };
        let server = self.servers[chosen].as_mut()?;
        server.in_flight += 1;
        server.arrivals.try_acquire(now, usize::MAX);
        server.rate_limit.record_sent();
        Some((ServerKey(chosen), server.listed.clone()))
    }

    /// Records what an answer of a server says of the server; returns the subjects of
    /// which something changed, for the metrics.
    pub fn record_notice(
        &mut self,
        now: Instant,
        key: ServerKey,
        notice: Notice,
    ) -> Vec<&'static str> {
        let mut changed = Vec::new();
        if self.record_rate_limit(now, key, notice.rate_limit) {
            changed.push("limit");
        }
        if self.extend_pause(now, key, notice.pause) {
            changed.push("pause");
        }
        if notice.leaving && self.mark_leaving(key, "answer", Duration::ZERO) {
            changed.push("leaving");
        }
        if let Some(server) = &mut self.servers[key.0]
            && notice.leaving
        {
            server.leaving_heard.get_or_insert(now);
        }
        changed
    }

    fn record_rate_limit(&mut self, now: Instant, key: ServerKey, value: Value) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        let per_second = match value {
            Value::Absent => None,
            Value::Number(number) if number >= 0.0 => Some(number),
            Value::Number(_) | Value::Unreadable => {
                let in_force = server.rate_limit.per_second(now);
                let server = &server.listed.id;
                tracing::warn!(%server, ?value, in_force, "rate limit ignored: not a rate");
                return false;
            }
        };
        if per_second.is_none() && server.rate_limit.per_second(now).is_none() {
            return false;
        }
        server.rate_limit_heard = Some(now);
        let changed = server.rate_limit.hear(now, per_second);
        if changed {
            let server = &server.listed.id;
            tracing::info!(%server, per_second, source = "answer", "rate limit changed");
        }
        changed
    }

    fn extend_pause(&mut self, now: Instant, key: ServerKey, value: Value) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        let seconds = match value {
            Value::Absent => return false,
            Value::Number(seconds) => seconds,
            Value::Unreadable => f64::NAN,
        };
        let change = server.pause.extend(now, seconds);
        let left_ms = server.pause.left(now).map(|left| left.as_millis() as u64);
        let server = &server.listed.id;
        match change {
            pause::Change::Extended => tracing::info!(%server, seconds, "server pauses"),
            pause::Change::None => {}
            pause::Change::Implausible => {
                tracing::warn!(%server, ?value, left_ms, "pause ignored: implausible")
            }
        }
        change == pause::Change::Extended
    }

    /// Marks a server as leaving; returns whether it was not before.
    fn mark_leaving(&mut self, key: ServerKey, source: &str, age: Duration) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        if std::mem::replace(&mut server.leaving, true) {
            return false;
        }
        let Server {
            id, born, draining, ..
        } = &*server.listed;
        let (in_flight, age_ms) = (server.in_flight, age.as_millis() as u64);
        tracing::info!(server = %id, source, age_ms, draining, in_flight, "server leaves");
        self.left.record(id.clone(), *born);
        if self.left_processes.len() >= MAX_LEFT_PROCESSES {
            self.left_processes.clear();
        }
        if let (Some(_), Err(at)) = (born, self.left_processes.binary_search(&server.process)) {
            self.left_processes.insert(at, server.process);
        }
        self.update_ceilings();
        true
    }

    /// Applies what another entry has heard of servers that leave; returns how many
    /// were not known to.
    pub fn merge_leaving(&mut self, processes: &[u32]) -> u64 {
        let mut marked = 0;
        for process in processes {
            if self.left_processes.binary_search(process).is_ok() {
                continue;
            }
            let of_process = |server: &Option<ServerState>| {
                server
                    .as_ref()
                    .is_some_and(|server| server.process == *process)
            };
            let Some(index) = self.servers.iter().position(of_process) else {
                continue;
            };
            marked += u64::from(self.mark_leaving(ServerKey(index), "peer", Duration::ZERO));
        }
        marked
    }

    /// Returns the servers that have told this entry that they leave, for the
    /// datagrams to other entries: all in periodic ones, else those that they may not
    /// know.
    pub fn leaving_report(&self, now: Instant, periodic: bool) -> Vec<u32> {
        let servers = self.servers.iter().flatten();
        let mut leaving: Vec<(Duration, u32)> = servers
            .filter_map(|server| Some((now.since(server.leaving_heard?), server.process)))
            .filter(|(age, _)| periodic || *age < LEAVING_NEWS)
            .collect();
        leaving.sort_unstable();
        leaving.truncate(MAX_LEAVING_REPORTED);
        leaving.into_iter().map(|(_, process)| process).collect()
    }

    /// Returns whether a request that was assigned to a server may still be sent.
    pub fn may_send(&self, now: Instant, key: ServerKey) -> bool {
        let server = self.servers[key.0].as_ref();
        server.is_some_and(|server| !server.leaving && server.pause.left(now).is_none())
    }

    /// Returns whether a service can take requests.
    pub fn readiness(&self, now: Instant, service: ServiceKey) -> Readiness {
        let name = &self.pools[service.0].name;
        let servers = self.servers.iter().flatten();
        let servers =
            servers.filter(|server| server.accepts_requests() && server.listed.service == *name);
        let mut shortest: Option<Duration> = None;
        for server in servers {
            let Some(left) = server.pause.left(now) else {
                return Readiness::Ready;
            };
            shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
        }
        match shortest {
            Some(left) => Readiness::Pausing(left),
            None => Readiness::NoServer,
        }
    }

    /// Applies the rate limits that another entry has heard.
    pub fn merge_rate_limits(&mut self, now: Instant, limits: &[wire::RateLimit]) {
        for heard in limits {
            let of_process = |server: &&mut ServerState| server.process == heard.process;
            let Some(server) = self.servers.iter_mut().flatten().find(of_process) else {
                continue;
            };
            let age = Duration::from_millis(heard.age_ms.into());
            let at = Instant::ORIGIN + now.since(Instant::ORIGIN).saturating_sub(age);
            if server.rate_limit.hear(at, heard.per_second) {
                let (server, per_second) = (&server.listed.id, heard.per_second);
                tracing::info!(%server, per_second, source = "peer", "rate limit changed");
            }
        }
    }

    /// Returns the rate limits that servers have named to this entry, for the
    /// datagrams to other entries.
    pub fn rate_limit_report(&self, now: Instant) -> Vec<wire::RateLimit> {
        let mut limits = Vec::new();
        for server in self.servers.iter().flatten() {
            let Some(heard) = server.rate_limit_heard else {
                continue;
            };
            let per_second = server.rate_limit.per_second(now);
            let age = now.since(heard);
            if per_second.is_none() && age >= RATE_LIMIT_END_REPORTED {
                continue;
            }
            limits.push(wire::RateLimit {
                process: server.process,
                age_ms: age.as_millis() as u32,
                per_second,
            });
        }
        limits
    }

    /// Returns the order of the service's servers and of the live entries in the
    /// own failure domain, on which the entries of that domain agree.
    fn home_servers(&self, now: Instant, service: &str) -> Homes {
        let domain = &self.settings.domain;
        let servers = self.servers.iter().flatten();
        let near = servers.filter(|server| {
            let listed = &server.listed;
            server.accepts_requests() && *listed.service == *service && listed.domain == *domain
        });
        let mut servers: Vec<u32> = near.map(|server| server.digest).collect();
        servers.sort_unstable();
        let live = self.peers.live(now);
        let near = live.filter(|peer| peer.domain == *domain && !peer.leaving);
        let (mut entries, mut entry) = (1, 0);
        for peer in near {
            entries += 1;
            entry += usize::from(*peer.name < *self.settings.name);
        }
        Homes {
            servers,
            entries,
            entry,
        }
    }

    /// Returns the number of requests that other entries are expected to have
    /// begun since their last reports, if they begin as many as this one.
    fn unseen_begins(&mut self, now: Instant, service: ServiceKey) -> f64 {
        let others = self.peers.sharing_entries() - 1;
        let recent = self.pools[service.0].admitted.count(now);
        let per_second = recent as f64 / arrival::WINDOW.as_secs_f64();
        per_second * others as f64 * self.gossip_spacing().as_secs_f64()
    }

    /// Returns this entry's share of the arrivals per second at one server,
    /// `None` if there is no limit.
    fn arrival_limit(&self, service: &str) -> Option<usize> {
        let service = self.view.configuration.value.service(service)?;
        if service.cold_rate <= 0.0 {
            return None;
        }
        let cold = self.settings.cold;
        let allowed = service.cold_rate * cold.overshoot + cold.slack;
        Some(arrival::share(allowed, self.peers.sharing_entries()))
    }

    /// Records that a request is no longer in flight at a server.
    pub fn finish_request(&mut self, key: ServerKey) {
        if let Some(server) = &mut self.servers[key.0] {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Returns the outlier detection record of a server.
    pub fn health(&mut self, key: ServerKey) -> Option<&mut health::Record> {
        self.servers[key.0]
            .as_mut()
            .map(|server| &mut server.health)
    }

    /// Returns the requests in flight by server and the concurrency limits by
    /// service, for the datagrams to other entries.
    pub fn load_report(&self) -> (Vec<wire::Load>, Vec<wire::Bound>) {
        let busy = self
            .servers
            .iter()
            .flatten()
            .filter(|server| server.in_flight > 0);
        let loads = busy.map(|server| wire::Load {
            server: server.digest,
            in_flight: server.in_flight,
        });
        let limits = self.pools.iter().filter(|pool| pool.held_permits > 0);
        let limits = limits.map(|pool| wire::Bound {
            service: pool.digest,
            places: pool.limit.permits() as u32,
        });
        (loads.collect(), limits.collect())
    }

    /// Sets the gauges of concurrency limits and requests in flight.
    pub fn export_gauges(&self, metrics: &Metrics) {
        for index in 0..self.pools.len() {
            let key = ServiceKey(index);
            let labels = [&*self.pools[index].name];
            let limit = self.concurrency_limit(key) as i64;
            let in_flight = self.in_flight(key) as i64;
            metrics
                .concurrency_limit
                .with_label_values(&labels)
                .set(limit);
            metrics.in_flight.with_label_values(&labels).set(in_flight);
        }
    }

    /// Returns the shortest time between two rounds of datagrams of this entry.
    pub fn gossip_spacing(&self) -> Duration {
        GOSSIP_SPACING * self.peers.sharing_entries() as u32
    }
}

/// Share of the usable concurrency limit, which is smaller for late requests,
/// below which a request is admitted at the end of its wait regardless of the
/// pacer, so that none is refused while many permits are free.
const PACING_OVERRIDE_MAX_LOAD: f64 = 0.85;

/// Share of the concurrency limit below which the pacer is not applied.
const PACING_MIN_LOAD: f64 = 0.6;

fn is_unpaced(in_flight: usize, limit: usize) -> bool {
    (in_flight as f64) < PACING_MIN_LOAD * limit as f64
}

fn sorted<T: Copy + Ord>(list: &[T]) -> Vec<T> {
    let mut list = list.to_vec();
    list.sort_unstable();
    list.dedup();
    list
}

fn running_of(running: &[(Arc<str>, usize)], account: &str) -> usize {
    let found = running.iter().find(|(name, _)| **name == *account);
    found.map_or(0, |(_, permits)| *permits)
}

fn is_eligible(server: &Server, evacuated: &[Arc<str>]) -> bool {
    !server.draining && evacuated.binary_search(&server.domain).is_err()
}
