//! Gossip between entries: datagrams with the load, limits and view revisions
//! of the sender.

mod usage;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::revision::Revision;
use berylgw_runtime::clock::uptime;
use berylgw_wire::direct::Beat;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::entry::Status;
use crate::gateway::Gateway;
use crate::peer::Role;
use crate::pull::{Queues, Subject, from_wire, to_wire};
use crate::share;
use crate::usage::Meter;
use crate::view::{Publisher, Revisions, Section};

/// Time after which an entry whose load does not change sends a datagram, a
/// sixth of [`crate::peer::FAILURE_TIMEOUT`], after which it counts as failed.
const INTERVAL: Duration = Duration::from_millis(400);

/// One in this many load datagrams is also sent to entries in other failure
/// domains, where traffic costs more.
const CROSS_DOMAIN_EVERY: u64 = 2;

/// Live entries of the same failure domain to which an entry announces a new
/// view at once. With four, the announcement reaches hundreds of entries in a
/// few steps, and some of its datagrams may be lost.
const SAME_DOMAIN_ANNOUNCEMENTS: usize = 4;

/// Live entries of other failure domains to which an entry announces a new view
/// at once.
const CROSS_DOMAIN_ANNOUNCEMENTS: usize = 2;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What a datagram tells of the store.
#[derive(Debug)]
struct Told {
    /// Name of the sender's host.
    by: Arc<str>,
    incarnation: u64,
    /// By the time since the sender's host booted.
    sent: Option<Instant>,
    /// Revisions and the milliseconds since the store confirmed them, in the order of
    /// [`Section::ALL`].
    confirmed: [(Option<Revision>, Option<u32>); Section::ALL.len()],
}

impl Told {
    fn of(datagram: &Beat) -> Self {
        let revisions = [
            datagram.configuration_at,
            datagram.servers_at,
            datagram.evacuations_at,
        ];
        let ages_ms = [
            datagram.configuration_age_ms,
            datagram.servers_age_ms,
            datagram.evacuations_age_ms,
        ];
        Told {
            by: Arc::from(&*datagram.name),
            incarnation: datagram.incarnation,
            sent: datagram.sent_us.map(Instant::from_micros),
            confirmed: std::array::from_fn(|part| (revisions[part].map(from_wire), ages_ms[part])),
        }
    }
}

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
    /// Publishes how this entry takes part in reading the store.
    pub role: watch::Sender<Role>,
    /// Queues of the entries to pull a newer view from.
    pub pulls: Queues,
    /// Sequence number of the last datagram.
    pub sequence: Cell<u64>,
    /// Rounds of load datagrams so far.
    pub rounds: Cell<u64>,
    /// Longest time that a datagram waited since the gauges were exported.
    pub longest_delay: Cell<Duration>,
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

    fn apply(&self, address: SocketAddr, mut datagram: Beat) {
        if *datagram.name == *self.gateway.settings.name {
            return;
        }
        let received = uptime();
        self.receive_batches(address, &mut datagram);
        let (usage, usage_ack) = (datagram.usage.clone(), datagram.usage_ack);
        let told = Told::of(&datagram);
        let paces = std::mem::take(&mut datagram.paces);
        let (more_quarantined, newer, known, delay) = self.gateway.with_state(|state, now| {
            let more_quarantined = state.merge_crashes(now, &datagram.crashes);
            state.merge_rate_limits(now, &datagram.rate_limits);
            let left = state.merge_leaving(&datagram.leaving_servers);
            let metrics = &self.gateway.metrics;
            metrics.count_notice("leaving", "peer", left);
            let returns = share::returns(now, &datagram.shares);
            let newer = state.peers.apply(now, address, datagram);
            if newer {
                state.hear_returns(now, &returns);
                state.grant_permits(now);
            }
            let delay = told.sent.and_then(|sent| {
                let peers = &mut state.peers;
                peers.delay(&told.by, told.incarnation, sent, received)
            });
            let came = received.before(delay.unwrap_or_default());
            for pace in &paces {
                let outcome = state.merge_pace(received, came, pace);
                metrics.count_pace("entry", outcome);
            }
            state.evaluate_capacity(received);
            (more_quarantined, newer, state.view.revisions(), delay)
        });
        if newer {
            let came = received.before(delay.unwrap_or_default());
            self.receive_usage(told.incarnation, usage, usage_ack, came);
        }
        if more_quarantined {
            self.gateway.quarantine_changed.notify_waiters();
        }
        if let Some(delay) = delay {
            self.longest_delay.set(self.longest_delay.get().max(delay));
            self.take_confirmations(&known, &told, received.before(delay));
        }
        self.request_newer_view();
    }

    /// Takes over what the store has confirmed to the sender itself, for the parts that
    /// are not newer than the `known` ones, as of the time at which the datagram came.
    fn take_confirmations(&self, known: &Revisions, told: &Told, came: Instant) {
        for (section, &(at, age_ms)) in Section::ALL.into_iter().zip(&told.confirmed) {
            let (Some(at), Some(age_ms)) = (at, age_ms) else {
                continue;
            };
            if at <= known.of(section) {
                let age = Duration::from_millis(age_ms.into());
                self.views.report(section, came.before(age), &told.by);
            }
        }
    }

    /// Sends datagrams to live entries when the load changes, and to all known
    /// entries every `INTERVAL`; never returns.
    pub async fn send(&self) {
        let mut due = tokio::time::Instant::now();
        loop {
            let changed = self.gateway.state_changed.notified();
            let timed_out = tokio::time::timeout_at(due, changed).await.is_err();
            // In a large fleet the spacing exceeds `INTERVAL`, and the load has
            // always changed when it ends. The deadline decides even then.
            let periodic = timed_out || tokio::time::Instant::now() >= due;
            self.send_load(periodic);
            if periodic {
                due = tokio::time::Instant::now() + INTERVAL;
            }
            let spacing = self.gateway.with_state(|state, _| state.gossip_spacing());
            tokio::time::sleep(spacing).await;
        }
    }

    /// Re-evaluates the other entries every `INTERVAL`, however long sending
    /// takes; never returns.
    pub async fn evaluate(&self) {
        loop {
            self.request_newer_view();
            self.update_role();
            self.evaluate_usage();
            self.publish_status();
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Announces each new view to a few entries at once, which take it over and
    /// announce it in turn; never returns.
    pub async fn announce(&self) {
        loop {
            self.gateway.view_changed.notified().await;
            let near = &self.gateway.settings.domain;
            let mut live = self.gateway.with_state(|state, now| {
                let live = state.peers.live(now);
                let live = live.map(|peer| (peer.domain == *near, rand::random(), peer.address));
                live.collect::<Vec<(bool, u32, SocketAddr)>>()
            });
            live.sort_unstable();
            let same_domain = live.partition_point(|(near, ..)| !near);
            let (other, same) = live.split_at(same_domain);
            let targets = same.iter().take(SAME_DOMAIN_ANNOUNCEMENTS);
            let targets = targets.chain(other.iter().take(CROSS_DOMAIN_ANNOUNCEMENTS));
            self.send_beat(
                targets.map(|(.., address)| *address).collect(),
                false,
                false,
            );
        }
    }

    /// Tells all live entries at once that the store has confirmed a part of the view to
    /// this one; never returns.
    pub async fn announce_confirmations(&self) {
        loop {
            self.views.confirmation_announced().await;
            let targets = self.gateway.with_state(|state, now| {
                let live = state.peers.live(now);
                live.map(|peer| peer.address).collect()
            });
            self.send_beat(targets, false, false);
        }
    }

    fn send_load(&self, to_all: bool) {
        let settings = &self.gateway.settings;
        let rounds = self.rounds.get() + 1;
        self.rounds.set(rounds);
        let cross_domain = to_all || rounds.is_multiple_of(CROSS_DOMAIN_EVERY);
        let mut targets = self.gateway.with_state(|state, now| {
            let live = state.peers.live(now);
            let live = live.filter(|peer| cross_domain || peer.domain == settings.domain);
            live.map(|peer| peer.address).collect::<Vec<_>>()
        });
        if to_all {
            targets.extend(self.members.borrow().iter());
            targets.sort_unstable();
            targets.dedup();
        }
        // Crashes change rarely, and each datagram would repeat them.
        let news = self
            .gateway
            .with_state(|state, now| state.has_crash_news(now));
        self.send_beat(targets, to_all || news, to_all);
    }

    fn send_beat(&self, targets: Vec<SocketAddr>, with_crashes: bool, periodic: bool) {
        let bytes = self.beat(with_crashes, periodic).encode_to_vec();
        let failed = targets
            .into_iter()
            .filter(|target| !self.send_bytes(&bytes, *target));
        let failed = failed.count() as u64;
        self.gateway.metrics.unsent_datagrams.inc_by(failed);
    }

    /// Sends a datagram; returns whether the host took it.
    fn send_bytes(&self, bytes: &[u8], target: SocketAddr) -> bool {
        if target == self.gateway.settings.listen.peers {
            return true;
        }
        // Does not wait for a full or blocked link, where the datagram
        // would be outdated once it is sent.
        match self.socket.try_send_to(bytes, target) {
            Ok(_) => true,
            Err(error) => {
                tracing::debug!(%target, %error, "sending a datagram failed");
                false
            }
        }
    }

    /// Returns the next datagram.
    fn beat(&self, with_crashes: bool, periodic: bool) -> Beat {
        let settings = &self.gateway.settings;
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let (loads, limits, crashes, rate_limits, leaving_servers, reports, revisions) =
            self.gateway.with_state(|state, now| {
                let (loads, limits) = state.load_report();
                let crashes = if with_crashes {
                    state.crash_report(now)
                } else {
                    Vec::new()
                };
                let rate_limits = state.rate_limit_report(now);
                let leaving = state.leaving_report(now, periodic);
                let paces = state.pace_report(uptime(), periodic);
                let responses = match periodic {
                    true => state.response_report(now),
                    false => Vec::new(),
                };
                let revisions = state.view.revisions();
                let shares = state.share_report(now);
                (
                    loads,
                    limits,
                    crashes,
                    rate_limits,
                    leaving,
                    (paces, responses, shares),
                    revisions,
                )
            });
        let (paces, responses, shares) = reports;
        let [configuration_age_ms, servers_age_ms, evacuations_age_ms] =
            self.views.told_ages_ms(&revisions);
        Beat {
            name: settings.name.to_string(),
            incarnation: self.incarnation,
            sequence,
            callers: settings.listen.callers.to_string(),
            domain: settings.domain.to_string(),
            leaving: self.gateway.stop().is_some(),
            configuration: revisions.configuration.number(),
            servers: revisions.servers.number(),
            evacuations: revisions.evacuations.number(),
            configuration_at: Some(to_wire(revisions.configuration)),
            servers_at: Some(to_wire(revisions.servers)),
            evacuations_at: Some(to_wire(revisions.evacuations)),
            loads,
            bounds: limits,
            store_lost: !self.views.store_reachable(),
            crashes,
            rate_limits,
            leaving_servers,
            configuration_age_ms,
            servers_age_ms,
            evacuations_age_ms,
            sent_us: Some(uptime().as_micros()),
            paces,
            responses,
            usage: self.gateway.meter.as_ref().map(Meter::head),
            usage_ack: None,
            shares,
        }
    }

    /// Requests the newer parts of the view from entries that have them.
    fn request_newer_view(&self) {
        let known = self.gateway.with_state(|state, _| state.view.revisions());
        self.request_pull(Subject::Urgent, |newer| {
            known.servers < newer.servers || known.evacuations < newer.evacuations
        });
        self.request_pull(Subject::Configuration, |newer| {
            known.configuration < newer.configuration
        });
    }

    /// Requests a pull from a live entry whose revisions match, preferring those
    /// in the same failure domain.
    fn request_pull(&self, subject: Subject, is_newer: impl Fn(Revisions) -> bool) {
        let domain = &self.gateway.settings.domain;
        let newer = self.gateway.with_state(|state, now| {
            let newer = state.peers.live(now);
            let newer = newer.filter(|peer| is_newer(peer.revisions));
            // Picks at random, so that not all entries pull from the same one.
            let newer = newer.map(|peer| {
                let other_domain = peer.domain != *domain;
                (other_domain, rand::random::<u32>(), peer.address)
            });
            newer.min()
        });
        if let Some((.., address)) = newer {
            self.pulls.request(subject, address);
        }
    }

    /// Decides how this entry takes part in reading the store.
    fn update_role(&self) {
        let settings = &self.gateway.settings;
        let role = self
            .gateway
            .with_state(|state, now| state.peers.role(now, &settings.name, &settings.domain));
        let known = *self.role.borrow();
        if known.observing != role.observing {
            tracing::info!(observing = role.observing, "following the store changed");
        }
        if known != role {
            self.role.send_replace(role);
        }
    }

    /// Publishes the entries that callers may use, and exports the gauges.
    pub fn publish_status(&self) {
        let gateway = &self.gateway;
        let settings = &gateway.settings;
        let mut status = Status {
            ready: gateway.with_state(|state, _| state.view.is_ready()),
            leaving: gateway.stop().is_some(),
            entries: Vec::new(),
        };
        if !status.leaving {
            let own = (settings.domain.clone(), settings.listen.callers);
            status.entries.push(own);
        }
        let live = gateway.with_state(|state, now| {
            state.update_shares(now);
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
        gateway.with_state(|state, now| {
            state.evaluate_capacity(uptime());
            state.evaluate_responses(now);
            state.log_capacity(uptime());
            state.export_capacities(&gateway.metrics);
            state.export_gauges(&gateway.metrics);
        });
        let delay = self.longest_delay.take();
        gateway.metrics.datagram_delay.set(delay.as_millis() as i64);
        gateway.metrics.export_ages(&self.views.store_ages());
        for section in Section::ALL {
            if let Some(age) = self.views.confirmation_age(section) {
                gateway.metrics.export_confirmation_age(section, age);
            }
        }
    }
}
