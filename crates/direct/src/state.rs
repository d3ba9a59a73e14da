//! State of the traffic thread: servers, services and their requests.
//!
//! The modules below hold its decisions, one load or failure each.

mod admission;
mod capacity;
mod crash;
mod group;
mod notice;
mod placement;
mod share;

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::capacity::{Paces, Responses, Slowdown, UsualTimes};
use berylgw_core::group::concurrency::Limit;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::Queue;
use berylgw_core::group::share::Share;
use berylgw_core::group::{
    arrival, blame, client_timeout, drained, health, outage, pause, rate, retry_after,
};
use berylgw_core::retry::Window;

use crate::backend::{self, Server};
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::pool::{GroupLimit, Pool};
use crate::settings::Settings;
use crate::view::View;

pub use admission::Admission;
pub use notice::{Notice, Readiness, Value};
pub use share::{Ruling, label};

/// Requests that may queue for a permit at one entry and service. At the rate
/// at which a full group frees permits, more would be refused after their wait
/// anyway.
const MAX_QUEUED: usize = 32;

/// Shortest time between two rounds of datagrams of an entry, per entry in the
/// fleet: it is multiplied by their number, so that an entry receives at most a
/// few hundred datagrams a second in a fleet of any size.
const GOSSIP_SPACING: Duration = Duration::from_millis(3);

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
    /// Digest of its address, under which a rank reports its pace.
    address_digest: u32,
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
    /// Digest of the name of its group, if it has reported one.
    group: Option<u32>,
    slowdown: Slowdown,
    /// Slowdown factor by its response times, 1 if it is usual.
    response_factor: f64,
    /// When it may get the next request although it is slow.
    probe_at: Instant,
    /// Whether it was listed after this entry had begun, so that it may be in cold start.
    is_new: bool,
    /// Time of its first response.
    first_response: Option<Instant>,
    /// Ratio to the usual pace that was logged last, and when.
    logged: Option<(f64, Instant)>,
}

impl ServerState {
    fn accepts_requests(&self) -> bool {
        self.eligible && !self.superseded && !self.leaving
    }
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
    paces: Paces,
    /// When an invalid report of a pace was logged last.
    invalid_pace_logged: Option<Instant>,
    usual_times: UsualTimes,
    responses: Responses,
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
            paces: Paces::default(),
            invalid_pace_logged: None,
            usual_times: UsualTimes::default(),
            responses: Responses::default(),
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
        let is_new = !self.servers.is_empty();
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
                address_digest: backend::digest(&server.address.to_string()),
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
                group: None,
                slowdown: Slowdown::default(),
                response_factor: 1.0,
                probe_at: Instant::ORIGIN,
                is_new,
                first_response: None,
                logged: None,
            };
            match self.servers.iter_mut().find(|known| known.is_none()) {
                Some(free) => *free = Some(added),
                None => self.servers.push(Some(added)),
            }
        }
        self.mark_superseded();
        self.update_slowdowns();
        self.update_ceilings();
        self.update_delays();
        self.update_shared_targets();
    }

    /// Limits the requests at each service to the slots of its servers.
    fn update_ceilings(&mut self) {
        let view = self.view.clone();
        for index in 0..view.configuration.value.services.len() {
            let name = view.configuration.value.services[index].name.clone();
            let key = self.service_key(&name);
            for group in 0..self.pools[key.0].groups.len() {
                let pool = &self.pools[key.0];
                let wanted = pool.groups[group].key;
                let servers = self.servers.iter().flatten();
                let servers = servers.filter(|server| {
                    server.accepts_requests()
                        && server.listed.service == pool.name
                        && pool.key_of(server) == wanted
                });
                let slots = servers.map(|server| f64::from(server.listed.slots));
                let ceiling = slots.sum::<f64>().max(1.0);
                self.pools[key.0].groups[group].limit.set_ceiling(ceiling);
            }
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
                groups: vec![GroupLimit {
                    key: None,
                    digest: backend::digest(service),
                    limit,
                }],
                queue: Queue::new(MAX_QUEUED),
                shared_target: None,
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
                share: Share::default(),
                returns: retry_after::Returns::default(),
                schedules: Vec::new(),
                logged_cutoff: (None, Instant::ORIGIN),
            });
            self.update_shared_targets();
            self.pools.len() - 1
        });
        ServiceKey(index)
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

fn is_eligible(server: &Server, evacuated: &[Arc<str>]) -> bool {
    !server.draining && evacuated.binary_search(&server.domain).is_err()
}
