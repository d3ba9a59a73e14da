//! The other entries, as known from their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire::direct::Beat;

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

/// Entries that watch the store themselves; the others get the view from them,
/// so that calls to the store do not grow with the fleet. With three, changes
/// still arrive in time when one has failed and another is partitioned.
const MAX_OBSERVERS: usize = 3;

/// Another entry, as of its last datagram.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of its host.
    pub name: Arc<str>,
    /// Random number of its process.
    pub incarnation: u64,
    sequence: u64,
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
    /// Whether its calls to the store fail.
    pub store_lost: bool,
    /// Arrival time of its last datagram.
    pub updated: Instant,
}

/// The other entries, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
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
        if let Ok(index) = found {
            let known = &self.peers[index];
            let same = known.incarnation == datagram.incarnation;
            if same && known.sequence >= datagram.sequence {
                return false;
            }
        }
        let mut loads: Vec<(u32, u32)> = datagram
            .loads
            .iter()
            .map(|load| (load.server, load.in_flight))
            .collect();
        loads.sort_unstable();
        let concurrency_limits = datagram
            .bounds
            .iter()
            .map(|limit| (limit.service, limit.places));
        let peer = Peer {
            name: datagram.name.into(),
            incarnation: datagram.incarnation,
            sequence: datagram.sequence,
            address,
            callers,
            domain: datagram.domain.into(),
            leaving: datagram.leaving,
            revisions: Revisions {
                configuration: datagram.configuration,
                servers: datagram.servers,
                evacuations: datagram.evacuations,
            },
            loads,
            concurrency_limits: concurrency_limits.collect(),
            store_lost: datagram.store_lost,
            updated: now,
        };
        match found {
            Ok(index) => self.peers[index] = peer,
            Err(index) => {
                tracing::info!(peer = %peer.name, address = %address, "peer heard first");
                self.peers.insert(index, peer);
            }
        }
        true
    }

    /// Returns the entries whose last datagram is newer than
    /// [`FAILURE_TIMEOUT`].
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.updated) < FAILURE_TIMEOUT)
    }

    /// Returns whether the entry `name` watches the store itself.
    ///
    /// True if fewer than `MAX_OBSERVERS` live entries with smaller names
    /// reach the store and do not drain. An entry without live peers watches
    /// the store.
    pub fn is_observer(&self, now: Instant, name: &str) -> bool {
        let before = self.live(now).filter(|peer| *peer.name < *name);
        let able = before.filter(|peer| !peer.store_lost && !peer.leaving);
        able.count() < MAX_OBSERVERS
    }

    /// Returns the number of entries that may send requests, this one included.
    pub fn sharing_entries(&self, now: Instant) -> usize {
        let others = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.updated) < SHARING_TIMEOUT);
        1 + others.count()
    }

    /// Returns the requests in flight at a server from live entries.
    pub fn in_flight(&self, now: Instant, server: u32) -> u32 {
        let of_peer = |peer: &Peer| {
            let found = peer.loads.binary_search_by_key(&server, |load| load.0);
            found.map_or(0, |index| peer.loads[index].1)
        };
        self.live(now).map(of_peer).sum()
    }
}
