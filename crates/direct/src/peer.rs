//! The other entries, as known from their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::freshness::Turn;
use berylgw_core::group::capacity::{self, Total};
use berylgw_core::group::share::Report;
use berylgw_core::revision::Revision;
use berylgw_core::transit::Transit;
use berylgw_wire::direct::{self as wire, Beat};

use crate::backend;
use crate::pull::from_wire;
use crate::share;
use crate::view::Revisions;

/// Time without a datagram after which an entry counts as failed: callers are
/// no longer directed to it and its load is not counted. It allows for several
/// lost datagrams, and is below the time for which callers may be directed to a
/// failed entry.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a datagram after which an entry no longer counts for the
/// division of shared limits. It is longer than [`FAILURE_TIMEOUT`], as an
/// entry whose datagrams are lost may still send requests.
const SHARING_TIMEOUT: Duration = Duration::from_secs(30);

/// Least number of entries that watch the store themselves; the others get the
/// view from them, so that calls to the store hardly grow with the fleet. With
/// three, changes still arrive in time when one has failed and another is
/// partitioned.
const MIN_OBSERVERS: usize = 3;

/// Entries for each observer in a large fleet, so that the others do not all
/// take a change over from the same three links.
const ENTRIES_PER_OBSERVER: usize = 30;

/// Entries that may watch the store for each observer, if those before them do
/// not reach it.
const CANDIDATES_PER_OBSERVER: usize = 4;

/// Most requests in flight at one server that one entry is taken to have. Sums of all
/// entries thus fit their type, whatever a datagram says.
const MAX_IN_FLIGHT: u32 = 1 << 16;

/// Time after which response times from another entry no longer count: three of its
/// periodic datagrams.
const RESPONSES_VALIDITY: Duration = Duration::from_millis(1_200);

/// Time between two checks for entries that have become silent.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// How an entry takes part in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// Whether it follows the store.
    pub observing: bool,
    /// Its place among the entries that read the store when a confirmation is overdue.
    pub turn: Turn,
}

impl Default for Role {
    /// Returns the role of an entry that has not heard another one.
    fn default() -> Self {
        let turn = Turn {
            position: 0,
            entries: 1,
        };
        Role {
            observing: true,
            turn,
        }
    }
}

/// A live entry that may read the store.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    domain: &'a str,
    name: &'a str,
    /// Digest of the name.
    digest: u32,
    store_lost: bool,
    is_self: bool,
}

impl<'a> Candidate<'a> {
    fn of(peer: &'a Peer) -> Self {
        Candidate {
            domain: &peer.domain,
            name: &peer.name,
            digest: peer.digest,
            store_lost: peer.store_lost,
            is_self: false,
        }
    }
}

/// Another entry, as of its last datagram.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of its host.
    pub name: Arc<str>,
    /// Digest of the name.
    digest: u32,
    /// Random number of its process.
    pub incarnation: u64,
    sequence: u64,
    /// Of its datagrams, from the first one on that told when it was sent.
    transit: Option<Transit>,
    /// Address that it sends datagrams from and accepts calls at.
    pub address: SocketAddr,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Whether it drains.
    pub leaving: bool,
    /// Revisions of its view.
    pub revisions: Revisions,
    /// Its requests in flight by server digest, sorted.
    pub loads: Vec<(u32, u32)>,
    /// Its concurrency limit by service digest.
    pub concurrency_limits: Vec<(u32, u32)>,
    /// Response times that it has observed, and when they arrived. Only some datagrams
    /// have them.
    responses: (Vec<Total>, Instant),
    /// Its shares by service digest.
    shares: Vec<(u32, Report)>,
    /// Whether its calls to the store fail.
    pub store_lost: bool,
    /// Whether it counts usage.
    pub metering: bool,
    /// Its fencing token while it holds the usage duty.
    pub duty_token: Option<u64>,
    /// Arrival time of its last datagram.
    pub updated: Instant,
    /// Whether its report is part of the sums.
    counted: bool,
    /// Whether it counts for the division of shared limits.
    sharing: bool,
}

/// The other entries, sorted by name, and sums of what the live ones report.
///
/// Each request reads the sums several times. They are updated with each
/// datagram, so that a read does not grow with the fleet.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
    /// Requests in flight by server digest, sorted.
    in_flight: Vec<(u32, u32)>,
    /// Sum and number of the concurrency limits by service digest, sorted.
    limits: Vec<(u32, (u64, usize))>,
    /// Number of entries that count for the division of shared limits.
    sharing: usize,
    expired_at: Instant,
}

impl Peers {
    /// Applies a datagram; returns whether it was newer than the known state.
    pub fn apply(&mut self, now: Instant, address: SocketAddr, datagram: Beat) -> bool {
        let Ok(callers) = datagram.callers.parse() else {
            tracing::warn!(
                peer = %address, callers = datagram.callers,
                "datagram has an invalid caller address"
            );
            return false;
        };
        let found = self
            .peers
            .binary_search_by(|peer| (*peer.name).cmp(&datagram.name));
        let known = found.ok().map(|index| &self.peers[index]);
        let same = known.filter(|known| known.incarnation == datagram.incarnation);
        if same.is_some_and(|known| known.sequence >= datagram.sequence) {
            return false;
        }
        let transit = same.and_then(|known| known.transit);
        let total = |response: &wire::Response| {
            let sum = f64::from(response.ratio_sum);
            Total::from_parts(response.process, response.samples, sum)
        };
        let responses: Vec<Total> = datagram.responses.iter().filter_map(total).collect();
        let responses = match same {
            Some(known) if responses.is_empty() => known.responses.clone(),
            _ => (responses, now),
        };
        let mut loads: Vec<(u32, u32)> = datagram
            .loads
            .iter()
            .map(|load| (load.server, load.in_flight.min(MAX_IN_FLIGHT)))
            .collect();
        loads.sort_unstable();
        loads.dedup_by_key(|load| load.0);
        let concurrency_limits = datagram
            .bounds
            .iter()
            .map(|limit| (limit.service, limit.places));
        let peer = Peer {
            digest: backend::digest(&datagram.name),
            name: datagram.name.into(),
            incarnation: datagram.incarnation,
            sequence: datagram.sequence,
            transit,
            address,
            callers,
            domain: datagram.domain.into(),
            leaving: datagram.leaving,
            revisions: Revisions {
                configuration: revision(datagram.configuration_at, datagram.configuration),
                servers: revision(datagram.servers_at, datagram.servers),
                evacuations: revision(datagram.evacuations_at, datagram.evacuations),
            },
            loads,
            concurrency_limits: concurrency_limits.collect(),
            responses,
            shares: share::reports(&datagram.shares),
            store_lost: datagram.store_lost,
            metering: datagram.usage.is_some(),
            duty_token: datagram.usage.and_then(|usage| usage.token),
            updated: now,
            counted: false,
            sharing: false,
        };
        let index = match found {
            Ok(index) => {
                self.remove_from_sums(index);
                self.sharing -= usize::from(self.peers[index].sharing);
                self.peers[index] = peer;
                index
            }
            Err(index) => {
                tracing::info!(peer = %peer.name, address = %address, "peer heard first");
                self.peers.insert(index, peer);
                index
            }
        };
        self.add_to_sums(index);
        self.peers[index].sharing = true;
        self.sharing += 1;
        true
    }

    /// Returns how long a datagram of the process `incarnation` at the host `name` waited,
    /// which was sent at `sent` by its clock. `None` if that is not known: the process is
    /// not, or this is the first one of it.
    pub fn delay(
        &mut self,
        name: &str,
        incarnation: u64,
        sent: Instant,
        received: Instant,
    ) -> Option<Duration> {
        let found = self.peers.binary_search_by(|peer| (*peer.name).cmp(name));
        let peer = &mut self.peers[found.ok()?];
        if peer.incarnation != incarnation {
            return None;
        }
        match &mut peer.transit {
            Some(transit) => Some(transit.delay(sent, received)),
            None => {
                peer.transit = Some(Transit::new(sent, received));
                None
            }
        }
    }

    /// Takes entries whose last datagram is too old out of the sums.
    pub fn expire(&mut self, now: Instant) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        for index in 0..self.peers.len() {
            let silent = now.since(self.peers[index].updated);
            if silent >= FAILURE_TIMEOUT {
                self.remove_from_sums(index);
            }
            if silent >= SHARING_TIMEOUT && self.peers[index].sharing {
                self.peers[index].sharing = false;
                self.sharing -= 1;
            }
        }
    }

    fn add_to_sums(&mut self, index: usize) {
        let peer = &mut self.peers[index];
        peer.counted = true;
        for &(server, count) in &peer.loads {
            match self.in_flight.binary_search_by_key(&server, |sum| sum.0) {
                Ok(at) => self.in_flight[at].1 += count,
                Err(at) => self.in_flight.insert(at, (server, count)),
            }
        }
        for &(service, limit) in &peer.concurrency_limits {
            let limit = u64::from(limit);
            match self.limits.binary_search_by_key(&service, |sum| sum.0) {
                Ok(at) => {
                    let (sum, entries) = &mut self.limits[at].1;
                    *sum += limit;
                    *entries += 1;
                }
                Err(at) => self.limits.insert(at, (service, (limit, 1))),
            }
        }
    }

    fn remove_from_sums(&mut self, index: usize) {
        let peer = &mut self.peers[index];
        if !std::mem::take(&mut peer.counted) {
            return;
        }
        for &(server, count) in &peer.loads {
            if let Ok(at) = self.in_flight.binary_search_by_key(&server, |sum| sum.0) {
                self.in_flight[at].1 -= count;
                if self.in_flight[at].1 == 0 {
                    self.in_flight.remove(at);
                }
            }
        }
        for &(service, limit) in &peer.concurrency_limits {
            if let Ok(at) = self.limits.binary_search_by_key(&service, |sum| sum.0) {
                let (sum, entries) = &mut self.limits[at].1;
                *sum -= u64::from(limit);
                *entries -= 1;
                if *entries == 0 {
                    self.limits.remove(at);
                }
            }
        }
    }

    /// Returns the entries whose last datagram is newer than
    /// [`FAILURE_TIMEOUT`].
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.updated) < FAILURE_TIMEOUT)
    }

    /// Returns how an entry takes part in reading the store.
    ///
    /// The observers are the first live entries by name of each failure domain,
    /// then the second ones, and so on. Entries that do not reach the store are
    /// passed over, up to a limit: in an outage of the whole store, all others
    /// would take a turn. An entry without live peers watches the store.
    ///
    /// Observers have the last turns: when the others miss a confirmation, those are
    /// lost, and a turn of theirs would pass in vain.
    pub fn role(&self, now: Instant, name: &str, domain: &str) -> Role {
        let live = self.live(now).filter(|peer| !peer.leaving);
        let mut entries: Vec<Candidate> = live.map(Candidate::of).collect();
        entries.push(Candidate {
            domain,
            name,
            digest: backend::digest(name),
            store_lost: false,
            is_self: true,
        });
        entries.sort_unstable_by_key(|entry| (entry.domain, entry.name));
        // By place in their domain, then by domain.
        let mut places: Vec<(usize, usize)> = Vec::with_capacity(entries.len());
        for index in 0..entries.len() {
            let same_domain = index > 0 && entries[index - 1].domain == entries[index].domain;
            let place = match same_domain {
                true => places[index - 1].0 + 1,
                false => 0,
            };
            places.push((place, index));
        }
        places.sort_unstable();
        let observers = MIN_OBSERVERS.max((entries.len() - 1) / ENTRIES_PER_OBSERVER);
        let candidates = observers * CANDIDATES_PER_OBSERVER;
        let (mut able_before, mut observing) = (0, false);
        let mut turns: Vec<(bool, (u64, u32), bool)> = Vec::with_capacity(entries.len());
        for (before, (_, index)) in places.into_iter().enumerate() {
            let entry = &entries[index];
            let observes = able_before < observers && before < candidates;
            able_before += usize::from(!entry.store_lost);
            observing |= observes && entry.is_self;
            turns.push((observes, order(entry.digest, 0), entry.is_self));
        }
        turns.sort_unstable();
        let position = turns.iter().position(|(.., is_self)| *is_self);
        let turn = Turn {
            position: position.unwrap_or(0),
            entries: turns.len(),
        };
        Role { observing, turn }
    }

    /// Returns the shares of a service that live entries report, with their ages.
    pub fn shares(&self, now: Instant, service: u32) -> Vec<(Duration, &Report)> {
        let mut shares = Vec::with_capacity(self.peers.len());
        for peer in self.live(now) {
            let found = peer.shares.iter().find(|known| known.0 == service);
            if let Some((_, report)) = found {
                shares.push((now.since(peer.updated), report));
            }
        }
        shares
    }

    /// Returns the number of entries that may send requests, this one included.
    pub fn sharing_entries(&self) -> usize {
        1 + self.sharing
    }

    /// Returns the position of the entry with the digest `own` among those that may
    /// send requests, in an order that differs by server and on which all agree.
    pub fn position(&self, own: u32, server: u32) -> usize {
        let own = order(own, server);
        let sharing = self.peers.iter().filter(|peer| peer.sharing);
        sharing
            .filter(|peer| order(peer.digest, server) < own)
            .count()
    }

    /// Returns the response times that the other entries have observed lately, by server.
    pub fn responses(&self, now: Instant) -> Vec<Total> {
        let live = self.live(now);
        let recent = live.filter(|peer| now.since(peer.responses.1) < RESPONSES_VALIDITY);
        capacity::sum(recent.flat_map(|peer| peer.responses.0.clone()).collect())
    }

    /// Returns the requests in flight at a server from live entries, as of the
    /// last [`Peers::expire`].
    pub fn in_flight(&self, server: u32) -> u32 {
        let found = self.in_flight.binary_search_by_key(&server, |sum| sum.0);
        found.map_or(0, |index| self.in_flight[index].1)
    }

    /// Returns the sum and the number of the live entries' concurrency limits of
    /// a service, as of the last [`Peers::expire`].
    pub fn concurrency_limits(&self, service: u32) -> (u64, usize) {
        let found = self.limits.binary_search_by_key(&service, |sum| sum.0);
        found.map_or((0, 0), |index| self.limits[index].1)
    }
}

fn revision(at: Option<wire::Revision>, number: u64) -> Revision {
    at.map_or(number.into(), from_wire)
}

/// Mixes the digests of an entry and a server, so that the order of the entries
/// differs by server.
fn order(entry: u32, server: u32) -> (u64, u32) {
    // An odd factor with bits all over spreads each bit of the input.
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    let both = u64::from(entry) << 32 | u64::from(server);
    let mixed = (both ^ both >> 29).wrapping_mul(FACTOR);
    ((mixed ^ mixed >> 32).wrapping_mul(FACTOR), entry)
}
