//! What an entry knows of the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire::direct::Beat;

use crate::view::Revisions;

/// Silence after which an entry is not named to callers and its load is not
/// counted. Several lost datagrams, and below the time that callers are
/// allowed to be sent to a dead entry.
pub const SILENCE: Duration = Duration::from_millis(2_500);

/// Time for which a silent entry still counts where a bound is shared, as it
/// may go on without being heard.
const SHARING: Duration = Duration::from_secs(30);

/// Entries that follow the store themselves and tell the others, so that the
/// calls of the store do not grow with the fleet. One may be dead and another
/// cut off without its changes being late.
const OBSERVERS: usize = 3;

/// An entry that was heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of its host.
    pub name: Arc<str>,
    /// Number of its process.
    pub incarnation: u64,
    sequence: u64,
    /// Where it sends datagrams from, and accepts calls.
    pub address: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Whether it stops.
    pub leaving: bool,
    /// Revisions of its view.
    pub revisions: Revisions,
    /// Requests in flight by server digest, sorted.
    pub loads: Vec<(u32, u32)>,
    /// Bound in force by service digest.
    pub bounds: Vec<(u32, u32)>,
    /// Whether the store does not answer it.
    pub store_lost: bool,
    /// When it was heard last.
    pub heard: Instant,
}

/// The entries that were heard, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: Vec<Peer>,
}

impl Table {
    /// Takes in a datagram; returns whether it was newer than what is known.
    pub fn hear(&mut self, now: Instant, address: SocketAddr, beat: Beat) -> bool {
        let Ok(callers) = beat.callers.parse() else {
            tracing::warn!(peer = %address, callers = beat.callers, "beat without an address");
            return false;
        };
        let found = self
            .peers
            .binary_search_by(|peer| (*peer.name).cmp(&beat.name));
        if let Ok(index) = found {
            let known = &self.peers[index];
            let same = known.incarnation == beat.incarnation;
            if same && known.sequence >= beat.sequence {
                return false;
            }
        }
        let mut loads: Vec<(u32, u32)> = beat
            .loads
            .iter()
            .map(|load| (load.server, load.in_flight))
            .collect();
        loads.sort_unstable();
        let bounds = beat
            .bounds
            .iter()
            .map(|bound| (bound.service, bound.places));
        let peer = Peer {
            name: beat.name.into(),
            incarnation: beat.incarnation,
            sequence: beat.sequence,
            address,
            callers,
            domain: beat.domain.into(),
            leaving: beat.leaving,
            revisions: Revisions {
                configuration: beat.configuration,
                servers: beat.servers,
                evacuations: beat.evacuations,
            },
            loads,
            bounds: bounds.collect(),
            store_lost: beat.store_lost,
            heard: now,
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

    /// Entries that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.heard) < SILENCE)
    }

    /// Whether the entry `name` follows the store itself.
    ///
    /// The first few do by name, of those that the store answers. An entry that
    /// hears no other does so too.
    pub fn observes(&self, now: Instant, name: &str) -> bool {
        let before = self.live(now).filter(|peer| *peer.name < *name);
        let able = before.filter(|peer| !peer.store_lost && !peer.leaving);
        able.count() < OBSERVERS
    }

    /// Entries that may be running, this one included.
    pub fn sharing(&self, now: Instant) -> usize {
        let others = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.heard) < SHARING);
        1 + others.count()
    }

    /// Requests in flight at a server from entries heard lately.
    pub fn load(&self, now: Instant, server: u32) -> u32 {
        let of_peer = |peer: &Peer| {
            let found = peer.loads.binary_search_by_key(&server, |load| load.0);
            found.map_or(0, |index| peer.loads[index].1)
        };
        self.live(now).map(of_peer).sum()
    }
}
