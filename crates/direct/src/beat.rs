//! Gossip between entries: datagrams with the load, limits and view revisions
//! of the sender.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_wire::direct::Beat;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::entry::Status;
use crate::gateway::Gateway;
use crate::view::Publisher;

/// Time between two datagrams of an idle entry, a sixth of
/// [`crate::peer::SILENCE`], after which it counts as failed.
const INTERVAL: Duration = Duration::from_millis(400);

/// One in this many load datagrams is also sent to entries in other failure
/// domains, where traffic costs more.
const FAR_INTERVAL: u64 = 2;

/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 16 << 10;

/// State shared by the sending and receiving tasks.
pub struct Exchange {
    /// The traffic side of the entry.
    pub gateway: Rc<Gateway>,
    /// Bound to the address for other entries.
    pub socket: UdpSocket,
    /// Random number of this process, which distinguishes it from an earlier
    /// one of the same name.
    pub incarnation: u64,
    /// Addresses of registered entries, whether or not a datagram has arrived
    /// from them.
    pub members: watch::Receiver<Arc<[SocketAddr]>>,
    /// Publishes the entries that callers may use.
    pub status: watch::Sender<Arc<Status>>,
    /// The view and the state of the store's connections.
    pub views: Publisher,
    /// Publishes whether this entry watches the store itself.
    pub observing: watch::Sender<bool>,
    /// Queue of the addresses of entries to pull a newer view from.
    pub ahead: mpsc::Sender<SocketAddr>,
}

impl Exchange {
    /// Receives datagrams; never returns.
    pub async fn receive(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, address) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    tracing::debug!(%error, "receiving a datagram failed");
                    tokio::time::sleep(INTERVAL).await;
                    continue;
                }
            };
            match Beat::decode(&buffer[..length]) {
                Ok(beat) => self.hear(address, beat),
                Err(error) => tracing::warn!(%address, %error, "datagram could not be decoded"),
            }
        }
    }

    fn hear(&self, address: SocketAddr, beat: Beat) {
        if *beat.name == *self.gateway.settings.name {
            return;
        }
        self.gateway.with(|state, now| {
            if state.peers.hear(now, address, beat) {
                state.grant(now);
            }
        });
        self.catch_up(true);
    }

    /// Sends datagrams to live entries when the load changes, and to all known
    /// entries in fixed intervals; never returns.
    pub async fn send(&self) {
        let mut sequence = 0;
        let mut due = tokio::time::Instant::now();
        loop {
            let changed = self.gateway.load_changed.notified();
            let periodic = tokio::time::timeout_at(due, changed).await.is_err();
            sequence += 1;
            self.send_beat(sequence, periodic).await;
            if periodic {
                due = tokio::time::Instant::now() + INTERVAL;
                self.catch_up(false);
                self.observe();
                self.publish();
            }
            let spacing = self.gateway.with(|state, now| state.beat_spacing(now));
            tokio::time::sleep(spacing).await;
        }
    }

    async fn send_beat(&self, sequence: u64, to_all: bool) {
        let settings = &self.gateway.settings;
        let far_too = to_all || sequence.is_multiple_of(FAR_INTERVAL);
        let (loads, bounds, revisions, live) = self.gateway.with(|state, now| {
            let (loads, bounds) = state.loads();
            let live = state.peers.live(now);
            let live = live.filter(|peer| far_too || peer.domain == settings.domain);
            let live: Vec<SocketAddr> = live.map(|peer| peer.address).collect();
            (loads, bounds, state.view.revisions(), live)
        });
        let beat = Beat {
            name: settings.name.to_string(),
            incarnation: self.incarnation,
            sequence,
            callers: settings.listen.callers.to_string(),
            domain: settings.domain.to_string(),
            leaving: self.gateway.leaving_since().is_some(),
            configuration: revisions.configuration,
            servers: revisions.servers,
            evacuations: revisions.evacuations,
            loads,
            bounds,
            store_lost: !self.views.store_answers(),
        };
        let bytes = beat.encode_to_vec();
        let mut targets = live;
        if to_all {
            targets.extend(self.members.borrow().iter());
            targets.sort_unstable();
            targets.dedup();
        }
        for target in targets {
            if target == settings.listen.peers {
                continue;
            }
            if let Err(error) = self.socket.send_to(&bytes, target).await {
                tracing::debug!(%target, %error, "sending a datagram failed");
            }
        }
    }

    /// Requests the view of an entry whose view is newer, preferring entries in
    /// the same failure domain.
    fn catch_up(&self, near_only: bool) {
        let domain = &self.gateway.settings.domain;
        let ahead = self.gateway.with(|state, now| {
            let own = state.view.revisions();
            let ahead = state.peers.live(now);
            let ahead = ahead.filter(|peer| own.behind(peer.revisions));
            // Picks at random, so that not all entries pull from the same one.
            let ahead = ahead.map(|peer| {
                let far = peer.domain != *domain;
                (far, rand::random::<u32>(), peer.address)
            });
            ahead.min()
        });
        let Some((far, _, address)) = ahead else {
            return;
        };
        if far && near_only {
            return;
        }
        if self.ahead.try_send(address).is_err() {
            tracing::debug!("pull skipped: another one is pending");
        }
    }

    /// Decides whether this entry watches the store itself.
    fn observe(&self) {
        let name = &self.gateway.settings.name;
        let observing = self
            .gateway
            .with(|state, now| state.peers.observes(now, name));
        if *self.observing.borrow() != observing {
            tracing::info!(observing, "following the store changed");
            self.observing.send_replace(observing);
        }
    }

    /// Publishes the entries that callers may use, and exports the gauges.
    pub fn publish(&self) {
        let gateway = &self.gateway;
        let settings = &gateway.settings;
        let mut status = Status {
            ready: gateway.with(|state, _| state.view.is_ready()),
            leaving: gateway.leaving_since().is_some(),
            entries: Vec::new(),
        };
        if !status.leaving {
            let own = (settings.domain.clone(), settings.listen.callers);
            status.entries.push(own);
        }
        let live = gateway.with(|state, now| {
            state.grant(now);
            let live = state.peers.live(now).filter(|peer| !peer.leaving);
            let live = live.map(|peer| (peer.domain.clone(), peer.callers));
            live.collect::<Vec<_>>()
        });
        gateway.metrics.peers.set(live.len() as i64);
        status.entries.extend(live);
        status.entries.sort_unstable();
        if **self.status.borrow() != status {
            let entries = status.entries.len();
            tracing::info!(entries, ready = status.ready, "directory changed");
            self.status.send_replace(Arc::new(status));
        }
        gateway.with(|state, now| state.export(now, &gateway.metrics));
        gateway.metrics.export_ages(&self.views.store_ages());
    }
}
