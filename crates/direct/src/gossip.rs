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

/// Time after which an entry whose load does not change sends a datagram, a
/// sixth of [`crate::peer::FAILURE_TIMEOUT`], after which it counts as failed.
const INTERVAL: Duration = Duration::from_millis(400);

/// One in this many load datagrams is also sent to entries in other failure
/// domains, where traffic costs more.
const CROSS_DOMAIN_EVERY: u64 = 2;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// State shared by the sending and receiving tasks.
pub struct Gossip {
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
    pub pulls: mpsc::Sender<SocketAddr>,
}

impl Gossip {
    /// Receives datagrams; never returns.
    pub async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
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
                Ok(datagram) => self.apply(address, datagram),
                Err(error) => tracing::warn!(%address, %error, "datagram could not be decoded"),
            }
        }
    }

    fn apply(&self, address: SocketAddr, datagram: Beat) {
        if *datagram.name == *self.gateway.settings.name {
            return;
        }
        self.gateway.with_state(|state, now| {
            if state.peers.apply(now, address, datagram) {
                state.grant_permits(now);
            }
        });
        self.request_newer_view(true);
    }

    /// Sends datagrams to live entries when the load changes, and to all known
    /// entries once `INTERVAL` has passed and the load has not changed; never
    /// returns.
    pub async fn send(&self) {
        let mut sequence = 0;
        let mut due = tokio::time::Instant::now();
        loop {
            let changed = self.gateway.state_changed.notified();
            let periodic = tokio::time::timeout_at(due, changed).await.is_err();
            sequence += 1;
            self.send_state(sequence, periodic).await;
            if periodic {
                due = tokio::time::Instant::now() + INTERVAL;
                self.request_newer_view(false);
                self.update_observer_role();
                self.publish_status();
            }
            let spacing = self
                .gateway
                .with_state(|state, now| state.gossip_spacing(now));
            tokio::time::sleep(spacing).await;
        }
    }

    async fn send_state(&self, sequence: u64, to_all: bool) {
        let settings = &self.gateway.settings;
        let cross_domain = to_all || sequence.is_multiple_of(CROSS_DOMAIN_EVERY);
        let (loads, limits, revisions, live) = self.gateway.with_state(|state, now| {
            let (loads, limits) = state.load_report();
            let live = state.peers.live(now);
            let live = live.filter(|peer| cross_domain || peer.domain == settings.domain);
            let live: Vec<SocketAddr> = live.map(|peer| peer.address).collect();
            (loads, limits, state.view.revisions(), live)
        });
        let datagram = Beat {
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
            bounds: limits,
            store_lost: !self.views.store_reachable(),
        };
        let bytes = datagram.encode_to_vec();
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
    fn request_newer_view(&self, same_domain_only: bool) {
        let domain = &self.gateway.settings.domain;
        let newer = self.gateway.with_state(|state, now| {
            let known = state.view.revisions();
            let newer = state.peers.live(now);
            let newer = newer.filter(|peer| known.is_behind(peer.revisions));
            // Picks at random, so that not all entries pull from the same one.
            let newer = newer.map(|peer| {
                let other_domain = peer.domain != *domain;
                (other_domain, rand::random::<u32>(), peer.address)
            });
            newer.min()
        });
        let Some((other_domain, _, address)) = newer else {
            return;
        };
        if other_domain && same_domain_only {
            return;
        }
        if self.pulls.try_send(address).is_err() {
            tracing::debug!("pull skipped: another one is pending");
        }
    }

    /// Decides whether this entry watches the store itself.
    fn update_observer_role(&self) {
        let name = &self.gateway.settings.name;
        let observing = self
            .gateway
            .with_state(|state, now| state.peers.is_observer(now, name));
        if *self.observing.borrow() != observing {
            tracing::info!(observing, "following the store changed");
            self.observing.send_replace(observing);
        }
    }

    /// Publishes the entries that callers may use, and exports the gauges.
    pub fn publish_status(&self) {
        let gateway = &self.gateway;
        let settings = &gateway.settings;
        let mut status = Status {
            ready: gateway.with_state(|state, _| state.view.is_ready()),
            leaving: gateway.leaving_since().is_some(),
            entries: Vec::new(),
        };
        if !status.leaving {
            let own = (settings.domain.clone(), settings.listen.callers);
            status.entries.push(own);
        }
        let live = gateway.with_state(|state, now| {
            state.grant_permits(now);
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
        gateway.with_state(|state, now| state.export_gauges(now, &gateway.metrics));
        gateway.metrics.export_ages(&self.views.store_ages());
    }
}
