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
use slot::{Group, Slot};

/// Time for which a server is skipped after it reported that it drains.
const DRAIN_LIFETIME: Duration = Duration::from_secs(2);

/// Initial and maximum time for which an unreachable server is skipped.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Identifies a backend server in a [`Table`]; remains valid across updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
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
    pub tried: &'a [Key],
}

/// Routing table of one entry: load estimates of all backend servers.
#[derive(Clone, Debug)]
pub struct Table {
    domain: Arc<str>,
    policy: Policy,
    slots: Vec<Slot>,
    free: Vec<u32>,
    groups: Vec<Group>,
}

impl Table {
    /// Makes an empty table for an entry in `domain`.
    pub fn new(domain: &str) -> Self {
        Table {
            domain: domain.into(),
            policy: Policy::default(),
            slots: Vec::new(),
            free: Vec::new(),
            groups: Vec::new(),
        }
    }

    /// Sets the policy.
    pub fn with_policy(self, policy: Policy) -> Self {
        Table { policy, ..self }
    }

    /// Applies a configuration change; keeps the estimates of remaining servers.
    pub fn update(&mut self, snapshot: &Snapshot) {
        self.retire();
        let region = region_of(snapshot, &self.domain);
        let mut names: Vec<(Arc<str>, u32)> = Vec::new();
        for (index, slot) in self.slots.iter().enumerate() {
            if !slot.name.is_empty() {
                names.push((slot.name.clone(), index as u32));
            }
        }
        names.sort();
        let earlier = std::mem::take(&mut self.groups);
        for service in &snapshot.sheet.services {
            self.groups.push(Group {
                service: service.name.clone(),
                ..Group::default()
            });
        }
        for server in &snapshot.sheet.servers {
            if snapshot.is_out(&server.domain) {
                continue;
            }
            let by_name = |group: &Group| group.service.cmp(&server.service);
            let Ok(group) = self.groups.binary_search_by(by_name) else {
                continue;
            };
            let known = names
                .iter()
                .skip(names.partition_point(|(name, _)| *name < server.name))
                .take_while(|(name, _)| *name == server.name)
                .map(|(_, index)| *index)
                .find(|&index| self.slots[index as usize].address == server.address);
            let index = known.unwrap_or_else(|| self.allocate(server));
            let slot = &mut self.slots[index as usize];
            slot.present = true;
            slot.group = group;
            slot.limit = server.limit.max(1);
            if !std::mem::replace(&mut slot.before, true) {
                slot.reported = None;
                slot.counted = slot.outstanding;
                // A server that joins a service with other servers is assumed
                // to be cold. After the start of the entry or of a service, the
                // state of every server is unknown, and all start with their
                // warm limit.
                let joins = earlier.iter().any(|group| {
                    let same = group.service == server.service;
                    same && !(group.region.is_empty() && group.remote.is_empty())
                });
                slot.assumed = if joins { server.cold_limit } else { slot.limit };
            }
            slot.local = *server.domain == *self.domain;
            let key = Key {
                index,
                generation: slot.generation,
            };
            let same_region = region.is_some() && region_of(snapshot, &server.domain) == region;
            slot.near = slot.local || same_region;
            let (local, near, counted) = (slot.local, slot.near, slot.counted);
            let place = &mut self.groups[group];
            if local {
                place.local.push(key);
            }
            if near {
                let hash = first_word(&Sha256::digest(server.name.as_bytes()));
                place.region.push((hash, key));
                place.load += u64::from(counted);
                place.highest = place.highest.max(server.limit.max(1));
            } else {
                place.remote.push(key);
            }
        }
        for group in &mut self.groups {
            group.region.sort_unstable();
        }
        self.release_absent();
    }

    /// Records the start of an attempt at the server.
    pub fn dispatched(&mut self, key: Key) {
        self.change(key, |slot| slot.outstanding += 1);
        let group = self.slot(key).map(|slot| slot.group);
        if let Some(group) = group.and_then(|group| self.groups.get_mut(group)) {
            group.used = true;
            group.turn = group.turn.wrapping_add(1);
        }
    }

    /// Records the end of an attempt at the server.
    pub fn finished(&mut self, key: Key) {
        self.change(key, |slot| {
            slot.outstanding = slot.outstanding.saturating_sub(1)
        });
    }

    /// Records a load report of the server's agent and ends any backoff, since
    /// the report proves that the agent is reachable.
    pub fn reported(&mut self, key: Key, load: Load, now: Instant) {
        let Some(slot) = self.slot(key).filter(|slot| slot.present) else {
            return;
        };
        let (group, sample) = (slot.group, load.service_time.as_secs_f64());
        if let Some(group) = self.groups.get_mut(group).filter(|_| sample > 0.0) {
            let smooth = group.service_time * 0.95 + sample * 0.05;
            group.service_time = if group.service_time == 0.0 {
                sample
            } else {
                smooth
            };
        }
        self.change(key, |slot| {
            slot.failures = 0;
            // Not `now`: another thread may decide with a slightly earlier time
            // and would find the server still in backoff.
            slot.backoff_until = Instant::ORIGIN;
            slot.draining_until = if load.draining {
                now + DRAIN_LIFETIME
            } else {
                Instant::ORIGIN
            };
            slot.reported = Some((now, load));
        });
    }

    /// Records that the server was unreachable or stopped answering, and starts
    /// a backoff.
    pub fn failed(&mut self, key: Key, now: Instant) {
        self.change(key, |slot| {
            let wait = BACKOFF_MIN * (1 << slot.failures.min(6));
            slot.failures += 1;
            slot.backoff_until = now + wait.min(BACKOFF_MAX);
        });
    }

    /// Records that the server refused a request because it is full or drains.
    pub fn refused(&mut self, key: Key, draining: bool, now: Instant) {
        self.change(key, |slot| {
            if draining {
                slot.draining_until = now + DRAIN_LIFETIME;
                return;
            }
            let mut load = slot.reported.map(|(_, load)| load).unwrap_or_default();
            load.limit = if load.limit == 0 {
                slot.assumed
            } else {
                load.limit
            };
            load.in_flight = load.in_flight.max(load.limit);
            slot.reported = Some((now, load));
        });
    }

    /// Returns the backend server with this name, usable or not.
    pub fn find(&self, name: &str) -> Option<Key> {
        let index = self
            .slots
            .iter()
            .position(|slot| slot.present && *slot.name == *name)?;
        Some(Key {
            index: index as u32,
            generation: self.slots[index].generation,
        })
    }

    /// Returns the name and agent address of a server.
    pub fn server(&self, key: Key) -> Option<(&Arc<str>, SocketAddr)> {
        self.slot(key).map(|slot| (&slot.name, slot.address))
    }

    /// Draws `count` random servers to probe from each service used since the
    /// last call, at most `limit` in total.
    pub fn probe_targets(&mut self, count: usize, limit: usize, rng: &mut impl Rng) -> Vec<Key> {
        let mut keys = Vec::new();
        let groups = self.groups.len();
        let first = rng.random_range(0..groups.max(1));
        for offset in 0..groups {
            let group = &mut self.groups[(first + offset) % groups];
            if !std::mem::take(&mut group.used) {
                continue;
            }
            for _ in 0..count.min(group.region.len()) {
                keys.push(group.region[rng.random_range(0..group.region.len())].1);
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

    fn change(&mut self, key: Key, act: impl FnOnce(&mut Slot)) {
        let Some(slot) = self.slots.get_mut(key.index as usize) else {
            return;
        };
        if slot.generation != key.generation {
            return;
        }
        act(slot);
        let reported = slot.reported.map_or(0, |(_, load)| load.in_flight);
        let before = std::mem::replace(&mut slot.counted, reported.max(slot.outstanding));
        let (after, place) = (slot.counted, slot.group);
        if !slot.present || !slot.near {
            return;
        }
        if let Some(group) = self.groups.get_mut(place) {
            group.load = (group.load + u64::from(after)).saturating_sub(u64::from(before));
        }
    }

    fn slot(&self, key: Key) -> Option<&Slot> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation).then_some(slot)
    }

    fn group(&self, service: &str) -> Option<&Group> {
        let index = self
            .groups
            .binary_search_by(|group| (*group.service).cmp(service))
            .ok()?;
        Some(&self.groups[index])
    }

    fn retire(&mut self) {
        for slot in &mut self.slots {
            slot.before = std::mem::take(&mut slot.present);
        }
    }

    fn allocate(&mut self, server: &crate::backend::Server) -> u32 {
        let fresh = |generation| Slot {
            generation,
            present: true,
            before: false,
            name: server.name.clone(),
            address: server.address,
            group: 0,
            local: false,
            near: false,
            limit: server.limit.max(1),
            assumed: server.limit.max(1),
            outstanding: 0,
            reported: None,
            counted: 0,
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
