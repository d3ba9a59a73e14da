//! Choice of the backend server for a request, and what other entries are told of it.

use std::sync::Arc;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::Content;
use berylgw_core::group::selection::{self, Candidate};
use berylgw_core::group::{arrival, health};
use berylgw_wire::direct as wire;

use super::capacity::PROBE_INTERVAL;
use super::group::GroupLoad;
use super::{ServerKey, ServiceKey, State};
use crate::backend::Server;

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

impl State {
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
                slowdown: server.slowdown_now(now),
            });
        }
        if self.pools[service.0].is_split() {
            self.retain_best_groups(service, &mut keys, &mut candidates);
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
        if server.response_factor > 1.0 && server.probe_at <= now {
            let interval = PROBE_INTERVAL * self.peers.sharing_entries() as u32;
            server.probe_at = now + interval.mul_f64(rand::random_range(0.5..1.5));
        }
        server.arrivals.try_acquire(now, usize::MAX);
        server.rate_limit.record_sent();
        Some((ServerKey(chosen), server.listed.clone()))
    }

    /// Removes the servers of groups that are full or late if there are others.
    fn retain_best_groups(
        &self,
        service: ServiceKey,
        keys: &mut Vec<usize>,
        candidates: &mut Vec<Candidate>,
    ) {
        let loads = self.group_loads(service);
        let pool = &self.pools[service.0];
        let rank = |index: &usize| {
            let key = self.servers[*index]
                .as_ref()
                .and_then(|server| pool.key_of(server));
            let load = loads.iter().find(|load| load.key == key);
            load.map_or(0, GroupLoad::rank)
        };
        let ranks: Vec<u8> = keys.iter().map(rank).collect();
        let Some(best) = ranks.iter().min() else {
            return;
        };
        let mut kept = ranks.iter().map(|rank| rank == best);
        keys.retain(|_| kept.next().unwrap_or(true));
        let mut kept = ranks.iter().map(|rank| rank == best);
        candidates.retain(|_| kept.next().unwrap_or(true));
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
        let mut limits = Vec::new();
        for pool in self.pools.iter().filter(|pool| pool.held_permits > 0) {
            let groups = pool.groups.iter();
            let places = groups.clone().map(|group| group.limit.permits() as u32);
            // For entries that do not know the groups yet.
            if pool.is_split() {
                limits.push(wire::Bound {
                    service: pool.digest,
                    places: places.sum(),
                });
            }
            limits.extend(groups.map(|group| wire::Bound {
                service: group.digest,
                places: group.limit.permits() as u32,
            }));
        }
        (loads.collect(), limits)
    }
}
