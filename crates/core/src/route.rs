//! Selection of a backend server for a request.

mod affinity;
mod choice;
mod policy;
mod slot;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use sha2::{Digest, Sha256};

use crate::clock::Instant;
use crate::config::Snapshot;
use crate::directory::region_of;

pub use affinity::affinity;
pub use policy::Policy;

use affinity::first_word;
use slot::{Pool, Slot};

/// Time for which a server is skipped after it reported that it drains.
const DRAIN_EXCLUSION: Duration = Duration::from_secs(2);

/// Initial and maximum time for which an unreachable server is skipped.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Identifies a backend server in a [`Table`]; remains valid across updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey {
    index: u32,
    generation: u32,
}

/// Load of a backend server as its agent reported it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests running or queued.
    pub in_flight: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Whether the agent drains and accepts no new requests.
    pub draining: bool,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the requested service.
    pub service: &'a str,
    /// Hash of client account and prompt prefix, see [`affinity()`].
    pub affinity: Option<u64>,
    /// Servers that earlier attempts used.
    pub tried: &'a [ServerKey],
}

/// Routing table of one entry: load estimates of all backend servers.
#[derive(Clone, Debug)]
pub struct Table {
    domain: Arc<str>,
    policy: Policy,
    slots: Vec<Slot>,
    free: Vec<u32>,
    pools: Vec<Pool>,
}

impl Table {
    /// Makes an empty table for an entry in `domain`.
    pub fn new(domain: &str) -> Self {
        Table {
            domain: domain.into(),
            policy: Policy::default(),
            slots: Vec::new(),
            free: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// Replaces the default policy.
    pub fn with_policy(self, policy: Policy) -> Self {
        Table { policy, ..self }
    }

    /// Applies a configuration change; keeps the estimates of remaining servers.
    pub fn update(&mut self, snapshot: &Snapshot) {
        self.mark_absent();
        let region = region_of(snapshot, &self.domain);
        let mut known_names: Vec<(Arc<str>, u32)> = Vec::new();
        for (index, slot) in self.slots.iter().enumerate() {
            if !slot.name.is_empty() {
                known_names.push((slot.name.clone(), index as u32));
            }
        }
        known_names.sort();
        let previous = std::mem::take(&mut self.pools);
        for service in &snapshot.sheet.services {
            self.pools.push(Pool {
                service: service.name.clone(),
                ..Pool::default()
            });
        }
        for server in &snapshot.sheet.servers {
            if snapshot.is_domain_out(&server.domain) {
                continue;
            }
            let by_service = |pool: &Pool| pool.service.cmp(&server.service);
            let Ok(pool) = self.pools.binary_search_by(by_service) else {
                continue;
            };
            let known = known_names
                .iter()
                .skip(known_names.partition_point(|(name, _)| *name < server.name))
                .take_while(|(name, _)| *name == server.name)
                .map(|(_, index)| *index)
                .find(|&index| self.slots[index as usize].address == server.address);
            let index = known.unwrap_or_else(|| self.allocate(server));
            let slot = &mut self.slots[index as usize];
            slot.present = true;
            slot.pool = pool;
            slot.limit = server.limit.max(1);
            if !std::mem::replace(&mut slot.was_present, true) {
                slot.reported = None;
                slot.counted_load = slot.outstanding;
                // A server that joins a service with other servers is assumed
                // to be cold. After the start of the entry or of a service, the
                // state of every server is unknown, and all start with their
                // warm limit.
                let joins_others = previous.iter().any(|pool| {
                    let same = pool.service == server.service;
                    same && !(pool.regional.is_empty() && pool.remote.is_empty())
                });
                slot.assumed_limit = if joins_others {
                    server.cold_limit
                } else {
                    slot.limit
                };
            }
            slot.local = *server.domain == *self.domain;
            let key = ServerKey {
                index,
                generation: slot.generation,
            };
            let same_region = region.is_some() && region_of(snapshot, &server.domain) == region;
            slot.near = slot.local || same_region;
            let (local, near, counted_load) = (slot.local, slot.near, slot.counted_load);
            let pool = &mut self.pools[pool];
            if local {
                pool.local.push(key);
            }
            if near {
                let hash = first_word(&Sha256::digest(server.name.as_bytes()));
                pool.regional.push((hash, key));
                pool.in_flight += u64::from(counted_load);
                pool.max_limit = pool.max_limit.max(server.limit.max(1));
            } else {
                pool.remote.push(key);
            }
        }
        for pool in &mut self.pools {
            pool.regional.sort_unstable();
        }
        self.release_absent();
    }

    /// Records the start of an attempt at the server.
    pub fn dispatched(&mut self, key: ServerKey) {
        self.update_slot(key, |slot| slot.outstanding += 1);
        let pool = self.slot(key).map(|slot| slot.pool);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.used_since_probe = true;
            pool.round_robin = pool.round_robin.wrapping_add(1);
        }
    }

    /// Records the end of an attempt at the server.
    pub fn finished(&mut self, key: ServerKey) {
        self.update_slot(key, |slot| {
            slot.outstanding = slot.outstanding.saturating_sub(1)
        });
    }

    /// Records a load report of the server's agent and ends any backoff, since
    /// the report proves that the agent is reachable.
    pub fn reported(&mut self, key: ServerKey, load: Load, now: Instant) {
        let Some(slot) = self.slot(key).filter(|slot| slot.present) else {
            return;
        };
        let (pool, sample) = (slot.pool, load.service_time.as_secs_f64());
        if let Some(pool) = self.pools.get_mut(pool).filter(|_| sample > 0.0) {
            let smoothed = pool.service_time * 0.95 + sample * 0.05;
            pool.service_time = if pool.service_time == 0.0 {
                sample
            } else {
                smoothed
            };
        }
        self.update_slot(key, |slot| {
            slot.failures = 0;
            // Not `now`: another thread may decide with a slightly earlier time
            // and would find the server still in backoff.
            slot.backoff_until = Instant::ORIGIN;
            slot.draining_until = if load.draining {
                now + DRAIN_EXCLUSION
            } else {
                Instant::ORIGIN
            };
            slot.reported = Some((now, load));
        });
    }

    /// Records that the server was unreachable or stopped answering, and starts
    /// a backoff.
    pub fn failed(&mut self, key: ServerKey, now: Instant) {
        self.update_slot(key, |slot| {
            let backoff = BACKOFF_MIN * (1 << slot.failures.min(6));
            slot.failures += 1;
            slot.backoff_until = now + backoff.min(BACKOFF_MAX);
        });
    }

    /// Records that the server refused a request because it is full or drains.
    pub fn refused(&mut self, key: ServerKey, draining: bool, now: Instant) {
        self.update_slot(key, |slot| {
            if draining {
                slot.draining_until = now + DRAIN_EXCLUSION;
                return;
            }
            let mut load = slot.reported.map(|(_, load)| load).unwrap_or_default();
            load.limit = if load.limit == 0 {
                slot.assumed_limit
            } else {
                load.limit
            };
            load.in_flight = load.in_flight.max(load.limit);
            slot.reported = Some((now, load));
        });
    }

    /// Returns the backend server with this name, usable or not.
    pub fn find(&self, name: &str) -> Option<ServerKey> {
        let index = self
            .slots
            .iter()
            .position(|slot| slot.present && *slot.name == *name)?;
        Some(ServerKey {
            index: index as u32,
            generation: self.slots[index].generation,
        })
    }

    /// Returns the name and agent address of a server.
    pub fn server(&self, key: ServerKey) -> Option<(&Arc<str>, SocketAddr)> {
        self.slot(key).map(|slot| (&slot.name, slot.address))
    }

    /// Draws up to `count` random servers of this region to probe from each service
    /// used since the last call, at most `limit` in total.
    pub fn probe_targets(
        &mut self,
        count: usize,
        limit: usize,
        rng: &mut impl Rng,
    ) -> Vec<ServerKey> {
        let mut keys = Vec::new();
        let pools = self.pools.len();
        let first = rng.random_range(0..pools.max(1));
        for offset in 0..pools {
            let pool = &mut self.pools[(first + offset) % pools];
            if !std::mem::take(&mut pool.used_since_probe) {
                continue;
            }
            for _ in 0..count.min(pool.regional.len()) {
                keys.push(pool.regional[rng.random_range(0..pool.regional.len())].1);
            }
            if keys.len() >= limit {
                break;
            }
        }
        keys.truncate(limit);
        keys.sort();
        keys.dedup();
        keys
    }

    fn update_slot(&mut self, key: ServerKey, update: impl FnOnce(&mut Slot)) {
        let Some(slot) = self.slots.get_mut(key.index as usize) else {
            return;
        };
        if slot.generation != key.generation {
            return;
        }
        update(slot);
        let reported = slot.reported.map_or(0, |(_, load)| load.in_flight);
        let before = std::mem::replace(&mut slot.counted_load, reported.max(slot.outstanding));
        let (after, pool) = (slot.counted_load, slot.pool);
        if !slot.present || !slot.near {
            return;
        }
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.in_flight = (pool.in_flight + u64::from(after)).saturating_sub(u64::from(before));
        }
    }

    fn slot(&self, key: ServerKey) -> Option<&Slot> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot)
    }

    fn pool(&self, service: &str) -> Option<&Pool> {
        let index = self
            .pools
            .binary_search_by(|pool| (*pool.service).cmp(service))
            .ok()?;
        Some(&self.pools[index])
    }

    fn mark_absent(&mut self) {
        for slot in &mut self.slots {
            slot.was_present = std::mem::take(&mut slot.present);
        }
    }

    fn allocate(&mut self, server: &crate::backend::Server) -> u32 {
        let fresh = |generation| Slot {
            generation,
            present: true,
            was_present: false,
            name: server.name.clone(),
            address: server.address,
            pool: 0,
            local: false,
            near: false,
            limit: server.limit.max(1),
            assumed_limit: server.limit.max(1),
            outstanding: 0,
            reported: None,
            counted_load: 0,
            draining_until: Instant::ORIGIN,
            backoff_until: Instant::ORIGIN,
            failures: 0,
        };
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            *slot = fresh(slot.generation + 1);
            return index;
        }
        self.slots.push(fresh(0));
        (self.slots.len() - 1) as u32
    }

    fn release_absent(&mut self) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if slot.present || slot.outstanding > 0 || slot.name.is_empty() {
                continue;
            }
            slot.name = "".into();
            slot.generation += 1;
            self.free.push(index as u32);
        }
    }
}
