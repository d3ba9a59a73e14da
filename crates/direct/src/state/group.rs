//! Limits of the groups of a service.
//!
//! Load pattern: one group of a service is slower than the others. A limit for the whole
//! service would fall for the sound groups too, and half of the requests would still be
//! sent to the slow one. The group of each rank is known from the reports of its pace.
//!
//! A service whose servers belong to one group, or to no known one, has a single limit.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::concurrency::{Delay, Limit, Tolerance};

use super::{ServerKey, ServerState, ServiceKey, State};
use crate::backend;
use crate::config::{Configuration, Route};
use crate::pool::{GroupLimit, Pool};
use crate::settings::Capacity;

/// Shortest pause after which callers give up a stream.
const MIN_GIVE_UP: Duration = Duration::from_secs(2);

/// Pause after which callers give up a stream, in targets of the first event.
const GIVE_UP_LATENCY_TARGETS: u32 = 4;

/// Pause after which callers give up a stream, in accepted pauses.
const GIVE_UP_PAUSE_TARGETS: u32 = 8;

/// Requests in flight at a group from all entries, and how many may be.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupLoad {
    /// Key of the group.
    pub(super) key: Option<u32>,
    pub(super) in_flight: usize,
    /// Of them, those of this entry.
    pub(super) own: usize,
    pub(super) limit: usize,
    /// Whether no response of the group can be on time.
    pub(super) is_late: bool,
}

impl GroupLoad {
    /// Returns how well the group can take a request, lower is better: it can be on time,
    /// there is a free permit, or neither.
    pub(super) fn rank(&self) -> u8 {
        match (self.in_flight < self.limit, self.is_late) {
            (true, false) => 0,
            (true, true) => 1,
            (false, _) => 2,
        }
    }
}

impl Pool {
    /// Returns the key under which the limit of a server's group is found.
    pub(super) fn key_of(&self, server: &ServerState) -> Option<u32> {
        match self.is_split() {
            // Ranks that have not reported count as one more group.
            true => Some(server.group.unwrap_or_default()),
            false => None,
        }
    }
}

impl State {
    /// Takes the groups of the servers from the reports of their paces. A rank does not
    /// change its group while its process runs, so the group outlasts the reports.
    pub(super) fn update_groups(&mut self, now: Instant) {
        if self.settings.group.capacity == Capacity::Fixed {
            return;
        }
        for server in self.servers.iter_mut().flatten() {
            if let Some((report, _)) = self.paces.report(now, server.address_digest) {
                server.group = Some(report.group);
            }
        }
        for index in 0..self.pools.len() {
            let pool = &self.pools[index];
            let servers = self.servers.iter().flatten();
            let servers = servers
                .filter(|server| server.accepts_requests() && server.listed.service == pool.name);
            let mut slots: Vec<(u32, f64)> = Vec::new();
            for server in servers {
                let key = server.group.unwrap_or_default();
                let added = f64::from(server.listed.slots);
                match slots.binary_search_by_key(&key, |sum| sum.0) {
                    Ok(at) => slots[at].1 += added,
                    Err(at) => slots.insert(at, (key, added)),
                }
            }
            let known = slots.iter().filter(|(key, _)| *key != 0).count();
            self.divide(index, if known >= 2 { &slots } else { &[] });
        }
    }

    /// Divides the limit of a service among groups, given by key with their slots; merges
    /// the limits if there are none.
    fn divide(&mut self, index: usize, slots: &[(u32, f64)]) {
        let tuning = self.settings.group.tuning();
        let pool = &mut self.pools[index];
        let keys = slots.iter().map(|(key, _)| Some(*key));
        let same = match slots.is_empty() {
            true => !pool.is_split(),
            false => keys.eq(pool.groups.iter().map(|group| group.key)),
        };
        if same {
            return;
        }
        let permits: f64 = pool.groups.iter().map(|group| group.limit.exact()).sum();
        let total: f64 = slots.iter().map(|(_, slots)| slots).sum();
        let was_split = pool.is_split();
        let known = std::mem::take(&mut pool.groups);
        let mut groups = Vec::new();
        for &(key, slots) in slots {
            let digest = backend::digest(&format!("{} {key}", pool.name));
            let found = known.iter().find(|group| group.key == Some(key));
            let limit = match found {
                Some(group) => group.limit.clone(),
                None if was_split => Limit::new(tuning, slots),
                None => Limit::new(tuning, slots).with_permits(permits * slots / total.max(1.0)),
            };
            let key = Some(key);
            groups.push(GroupLimit { key, digest, limit });
        }
        if groups.is_empty() {
            let ceiling = self.capacity(&self.pools[index].name).max(1.0);
            let digest = self.pools[index].digest;
            let limit = Limit::new(tuning, ceiling).with_permits(permits);
            groups.push(GroupLimit {
                key: None,
                digest,
                limit,
            });
        }
        let pool = &mut self.pools[index];
        pool.groups = groups;
        let (service, groups) = (&pool.name, pool.groups.len());
        tracing::info!(%service, groups, permits, "groups of the service changed");
        self.update_ceilings();
    }

    /// Sets the delays of the groups by the reported paces, and how long the callers of
    /// their services wait.
    pub(super) fn update_delays(&mut self) {
        let view = self.view.clone();
        let configuration = &view.configuration.value;
        let fixed = self.settings.group.capacity == Capacity::Fixed;
        for index in 0..self.pools.len() {
            let name = self.pools[index].name.clone();
            let Some((accepted, tolerance)) = expectations(configuration, &name) else {
                continue;
            };
            let step = configuration
                .service(&name)
                .and_then(|service| service.step);
            for group in 0..self.pools[index].groups.len() {
                let key = self.pools[index].groups[group].key;
                let key = key.or_else(|| self.only_group(&name));
                let delay = match (step, key) {
                    (Some(step), Some(key)) if !fixed => self.paces.delay(key, step),
                    _ => Delay::default(),
                };
                let limit = &mut self.pools[index].groups[group].limit;
                limit.set_tolerance(tolerance);
                let before = limit.permits();
                if limit.set_delay(delay, accepted) {
                    let shortest_ms = delay.shortest.as_millis() as u64;
                    let accepted_ms = accepted.as_millis() as u64;
                    tracing::info!(
                        service = %name, group = key, late = limit.is_late(), shortest_ms,
                        accepted_ms, before, limit = limit.permits(),
                        "lateness of a group changed"
                    );
                }
            }
        }
    }

    /// Returns the group of a service that has a single one.
    fn only_group(&self, service: &str) -> Option<u32> {
        let mut servers = self.servers.iter().flatten();
        let found = servers.find(|server| {
            server.accepts_requests()
                && *server.listed.service == *service
                && server.group.is_some()
        });
        found.and_then(|server| server.group)
    }

    /// Records the number of events of a response of a server that has ended.
    pub fn record_response(&mut self, service: ServiceKey, server: ServerKey, events: u32) {
        let pool = &mut self.pools[service.0];
        let key = match &self.servers[server.0] {
            Some(server) => pool.key_of(server),
            None => return,
        };
        if let Some(group) = pool.groups.iter_mut().find(|group| group.key == key) {
            group.limit.record_response(events);
        }
    }

    /// Returns the load of each group of a service, in the order of the pool's limits.
    pub(super) fn group_loads(&self, service: ServiceKey) -> Vec<GroupLoad> {
        let pool = &self.pools[service.0];
        let load = |group: &GroupLimit| GroupLoad {
            key: group.key,
            in_flight: 0,
            own: 0,
            limit: self.group_limit(group),
            is_late: group.limit.is_late(),
        };
        let mut loads: Vec<GroupLoad> = pool.groups.iter().map(load).collect();
        let servers = self.servers.iter().flatten();
        for server in servers.filter(|server| server.listed.service == pool.name) {
            let own = server.in_flight as usize;
            let key = pool.key_of(server);
            let Some(load) = loads.iter_mut().find(|load| load.key == key) else {
                continue;
            };
            load.own += own;
            load.in_flight += own + self.peers.in_flight(server.digest) as usize;
        }
        loads
    }

    /// Returns the limit of a group, the mean of those of this entry and of the live
    /// entries that reported one.
    pub(super) fn group_limit(&self, group: &GroupLimit) -> usize {
        let (sum, entries) = self.peers.concurrency_limits(group.digest);
        (sum as usize + group.limit.permits()) / (entries + 1)
    }
}

/// Returns the pause that callers of a service accept and how long they wait for late
/// responses, of the strictest of its routes; `None` if none has a target for pauses.
fn expectations(configuration: &Configuration, service: &str) -> Option<(Duration, Tolerance)> {
    let mut strictest: Option<(Duration, Tolerance)> = None;
    let targets = |route: &&Route| {
        let mut targets = route.targets.iter();
        targets.any(|target| *target.service == *service)
    };
    for route in configuration.routes.iter().filter(targets) {
        let Some(accepted) = route.pause_target else {
            continue;
        };
        let max_pause = MIN_GIVE_UP
            .max(route.latency_target * GIVE_UP_LATENCY_TARGETS)
            .max(accepted * GIVE_UP_PAUSE_TARGETS);
        let time_limit = route.timeout;
        strictest = Some(match strictest {
            None => (
                accepted,
                Tolerance {
                    time_limit,
                    max_pause,
                },
            ),
            Some((known, tolerance)) => (
                known.min(accepted),
                Tolerance {
                    time_limit: tolerance.time_limit.min(time_limit),
                    max_pause: tolerance.max_pause.min(max_pause),
                },
            ),
        });
    }
    strictest
}
