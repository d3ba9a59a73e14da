//! Leader of a group, in the sidecar of the first rank: adapts the maps to
//! demand.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::expert::Map;
use berylgw_core::expert::demand::Demand;
use berylgw_core::expert::rebalance::{Limits, imbalance, rebalance};
use berylgw_core::expert::switch::{self, Armed};
use berylgw_wire::rank as wire;
use bytes::Bytes;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::engine::{Action, State};
use crate::member::{self, MAX_DATAGRAM_BYTES, Member, SAMPLE_INTERVAL};
use crate::pace;
use crate::plan;
use crate::settings::{Map as MapSettings, Settings};
use crate::view::{Hold, Sidecar, View};

/// Maximum time between two steps of a switch.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two datagrams to an idle rank; a quarter of the time without a
/// datagram after which a rank stops reporting.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the expected arrival at which unconfirmed maps are sent again.
const PLAN_INTERVAL: Duration = Duration::from_millis(120);

/// Time after which an unconfirmed pass number is sent again; shorter because
/// the group is held.
const ARM_INTERVAL: Duration = Duration::from_millis(40);

/// Time after arming began at which the leader sends the order itself to a rank
/// whose sidecar has not reported since. It is long enough for several resends,
/// and well below the time for which a held group does harm.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a map that some rank has not prepared may be replaced by
/// another one; several times the duration of the copies.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of experts of a set that a rank loads for one switch. More
/// take longer and hardly improve the balance after a shift.
const MAX_LOADS_PER_SET: usize = 1;

/// Time after which the leader sends the order to an unarmed rank itself even if
/// its sidecar reports.
const ARM_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of hold requests to holders in one switch before the leader holds the
/// group itself. It tolerates two holders that are frozen or unreachable.
const HOLDER_ATTEMPTS: usize = 3;

/// Time after which the hold of the same pass is requested from another holder:
/// many times the latency of a datagram and an order.
const HOLD_INTERVAL: Duration = Duration::from_millis(150);

/// Time from the datagram to a holder until its order is executed, within one
/// region.
const HOLD_DELAY: Duration = Duration::from_millis(8);

/// Time between two reads of the service until all ranks have reported.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the service after all ranks have reported. Holders
/// may join and leave. Until the next read, requests to a holder that is gone are
/// repeated to another one.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of ranks that get a map in one step without forwarding.
const MAX_DIRECT_RANKS: usize = 16;

/// Backlog of the link at which no further maps are queued, so that a newer map
/// does not wait for long behind an older one.
const MAX_PLAN_BACKLOG: Duration = Duration::from_millis(60);

/// Leads the group while the local rank is the first.
pub struct Leader {
    member: Rc<Member>,
    socket: UdpSocket,
    /// Address that status messages are sent to.
    address: SocketAddr,
    /// Port of the sidecars on all hosts.
    port: u16,
    settings: MapSettings,
    link_mbps: f64,
    view: Option<View>,
    service_read_at: Option<Instant>,
}

impl Leader {
    /// Creates a leader that uses `socket`, which is bound to `settings.lead`.
    pub fn new(member: Rc<Member>, socket: UdpSocket, settings: &Settings) -> Self {
        Leader {
            member,
            socket,
            address: settings.lead,
            port: settings.listen.port(),
            settings: settings.map,
            link_mbps: settings.link_mbps,
            view: None,
            service_read_at: None,
        }
    }

    /// Leads the group whenever the local rank is the first, forever.
    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Some(state) = self.leading_state() else {
                self.view = None;
                self.member.observed.notified().await;
                continue;
            };
            if !self.ensure_view(state).await {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                continue;
            }
            let received = self.socket.recv_from(&mut buffer);
            match tokio::time::timeout(STEP_INTERVAL, received).await {
                Ok(Ok((length, from))) => self.handle_status(from, &buffer[..length]),
                Ok(Err(error)) => tracing::debug!(%error, "no status received"),
                Err(_) => {}
            }
            while let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) {
                self.handle_status(from, &buffer[..length]);
            }
            self.step().await;
        }
    }

    /// Returns the state of the local rank if it leads a running group.
    fn leading_state(&self) -> Option<State> {
        let state = self.member.state()?;
        (state.rank == 0 && state.report.open && state.size > 1).then_some(state)
    }

    /// Starts leading in the current epoch, or refreshes the service's addresses;
    /// returns whether this process leads.
    async fn ensure_view(&mut self, state: State) -> bool {
        let current = |view: &View| {
            let same_epoch =
                (view.group_id, view.switch.epoch()) == (state.group, state.report.epoch);
            same_epoch && view.switch.ranks() == state.size
        };
        let is_current = self.view.as_ref().is_some_and(current);
        let is_complete = is_current && self.view.as_ref().is_some_and(View::is_complete);
        // A slow or unavailable store must not delay a switch.
        let idle = |view: &View| view.next.is_none() && view.switch.settled_version().is_some();
        if is_complete && !self.view.as_ref().is_some_and(idle) {
            return true;
        }
        let interval = if is_complete {
            REFRESH_INTERVAL
        } else {
            DISCOVERY_INTERVAL
        };
        let due = self
            .service_read_at
            .is_none_or(|at| at.elapsed() >= interval);
        if !due {
            return is_current;
        }
        self.service_read_at = Some(Instant::now());
        let service = match (self.member.engine.service)().await {
            Ok(service) => service,
            Err(error) => {
                tracing::warn!(%error, "group not read");
                return is_current;
            }
        };
        match &mut self.view {
            Some(view) if is_current => view.service = service,
            _ => {
                let (epoch, ranks) = (state.report.epoch, state.size);
                tracing::info!(
                    epoch,
                    ranks,
                    addresses = service.ranks.len(),
                    "leading the group"
                );
                self.view = Some(View::new(state, service, self.link_mbps));
            }
        }
        true
    }

    fn handle_status(&mut self, from: SocketAddr, datagram: &[u8]) {
        let Some(view) = &mut self.view else {
            return;
        };
        match wire::Status::decode(datagram) {
            Ok(status) => view.handle_status(from, status),
            Err(error) => tracing::warn!(%from, %error, "status not decoded"),
        }
    }

    async fn step(&mut self) {
        let Some(mut view) = self.view.take() else {
            return;
        };
        self.send_hellos(&mut view);
        view.adopt_next_maps(&self.member.metrics);
        view.assemble_maps();
        if view.checked_at.elapsed() >= SAMPLE_INTERVAL {
            view.checked_at = Instant::now();
            self.decide(&mut view);
        }
        self.advance(&mut view).await;
        self.distribute_maps(&mut view);
        self.view = Some(view);
    }

    /// Sends a hello to all sidecars, which requests their status.
    fn send_hellos(&self, view: &mut View) {
        if view
            .hello_sent_at
            .is_some_and(|at| at.elapsed() < HELLO_INTERVAL)
        {
            return;
        }
        view.hello_sent_at = Some(Instant::now());
        for (index, host) in view.hosts().into_iter().enumerate() {
            let address = SocketAddr::new(host, self.port);
            let at_address = |sidecar: &Option<Sidecar>| {
                sidecar.is_some_and(|sidecar| sidecar.address == address)
            };
            let rank = view.sidecars.iter().position(at_address);
            let unknown_experts = rank.is_none_or(|rank| view.held_experts[rank].is_none());
            let hello = wire::Hello {
                sample: rank.is_some_and(|rank| view.is_sampled(rank)),
                sample_interval_ms: view.sample_interval().as_millis() as u32,
                lists: unknown_experts && view.maps.is_none(),
                entries: pace::entries(&view.service.holders, index),
                ..self.hello(view)
            };
            self.send(address, &hello);
        }
        let reporting = view.sidecars.iter().flatten();
        let reporting =
            reporting.filter(|sidecar| sidecar.reported_at.elapsed() < HELLO_INTERVAL * 2);
        self.member.metrics.ranks.set(reporting.count() as i64);
    }

    fn send(&self, address: SocketAddr, hello: &wire::Hello) {
        self.send_bytes(address, &hello.encode_to_vec());
    }

    fn send_bytes(&self, address: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.try_send_to(datagram, address) {
            tracing::debug!(%address, %error, "datagram not sent");
        }
    }

    /// Begins a switch if new maps reduce the skew by the required gain.
    fn decide(&self, view: &mut View) {
        let Some((_, maps)) = view.maps.clone() else {
            return;
        };
        let shares = std::mem::take(&mut view.shares);
        if shares.is_empty() {
            return;
        }
        let experts = usize::from(view.service.experts);
        let demand = view
            .demand
            .get_or_insert_with(|| Demand::new(maps.len(), experts));
        if demand.add(&shares) {
            self.member.metrics.shifts.inc();
            tracing::info!(epoch = view.switch.epoch(), "demand shifted");
        }
        let demands: Vec<_> = (0..maps.len()).map(|set| demand.load(set)).collect();
        let mean = |maps: &[Map]| {
            let skews = maps.iter().zip(&demands);
            let skews = skews.map(|(map, demand)| imbalance(map, demand, &view.paces));
            skews.sum::<f64>() / maps.len() as f64
        };
        let before = mean(&maps);
        self.member.metrics.skew.set(before);
        // A map that some rank refuses must not block further switches.
        let stuck = view.switch.is_preparing()
            && view
                .decided_at
                .is_some_and(|at| at.elapsed() >= PREPARE_TIMEOUT);
        let idle = view.next.is_none() && view.switch.settled_version().is_some();
        if !demand.is_settled() || !(idle || stuck) {
            return;
        }
        let started = Instant::now();
        let limits = Limits {
            loads_per_rank: view.service.max_loads.min(MAX_LOADS_PER_SET),
            target: self.settings.target,
        };
        let next = maps.iter().zip(&demands);
        let next: Vec<Map> = next
            .map(|(map, demand)| rebalance(map, demand, &view.paces, limits))
            .collect();
        let after = mean(&next);
        if before - after < self.settings.gain {
            return;
        }
        let version = view.next_version();
        if !view.switch.set_target(version) {
            return;
        }
        let copies = maps.iter().zip(&next);
        let copies: usize = copies.map(|(old, new)| new.transfers_from(old)).sum();
        self.member.metrics.copies.inc_by(copies as u64);
        let took_us = started.elapsed().as_micros() as u64;
        let epoch = view.switch.epoch();
        tracing::info!(
            epoch,
            version,
            before,
            after,
            copies,
            took_us,
            "map decided"
        );
        view.next = Some((version, Arc::new(next)));
        view.decided_at = Some(Instant::now());
    }

    /// Executes the next action of the switch.
    async fn advance(&self, view: &mut View) {
        let epoch = view.switch.epoch();
        match view.switch.next_action() {
            switch::Action::Wait => {}
            switch::Action::Prepare { version } => {
                let Some((next, maps)) = view.next.clone() else {
                    return;
                };
                if next != version {
                    return;
                }
                let base = view.maps.clone();
                self.send_maps(view, version, &maps, base.as_ref());
            }
            switch::Action::Hold { .. } => {
                // The pass depends on the current state of the rank.
                let Some(state) = self.member.observe().await else {
                    return;
                };
                view.switch.report(0, state.report);
                if let switch::Action::Hold { pass } = view.switch.next_action() {
                    view.switch.mark_hold_sent();
                    self.request_hold(view, pass).await;
                    self.observe_local(view).await;
                }
                if let switch::Action::Arm(goal) = view.switch.next_action() {
                    self.arm(view, goal).await;
                }
            }
            switch::Action::Arm(goal) => self.arm(view, goal).await,
            switch::Action::Release { pass } => {
                view.hold = None;
                self.member.order(epoch, Action::Release { pass }).await;
                self.observe_local(view).await;
            }
        }
    }

    /// Requests a hold from a holder, or holds the group itself after all
    /// attempts failed.
    async fn request_hold(&self, view: &mut View, pass: u64) {
        let epoch = view.switch.epoch();
        let previous = view.hold;
        let is_pending = previous
            .is_some_and(|hold| hold.pass == pass && hold.requested_at.elapsed() < HOLD_INTERVAL);
        if is_pending {
            return;
        }
        let attempts = previous.map_or(0, |hold| hold.attempts);
        view.hold = Some(Hold {
            pass,
            requested_at: Instant::now(),
            attempts: attempts + 1,
        });
        let holders = &view.service.holders;
        if attempts >= HOLDER_ATTEMPTS.min(holders.len()) {
            self.member.order(epoch, Action::Hold { pass }).await;
            return;
        }
        // Rotates by pass to spread the requests over all holders.
        let holder = holders[(pass as usize + attempts) % holders.len()];
        let address = SocketAddr::new(holder, self.address.port());
        let hold = wire::Hold {
            epoch,
            rank: self.member.rank().to_string(),
            pass,
        };
        tracing::info!(%address, epoch, pass, tries = attempts, "holder asked");
        self.send_bytes(address, &hold.encode_to_vec());
        tokio::time::sleep(HOLD_DELAY).await;
    }

    async fn observe_local(&self, view: &mut View) {
        if let Some(state) = self.member.observe().await {
            view.switch.report(0, state.report);
        }
    }

    async fn arm(&self, view: &mut View, goal: Armed) {
        self.send_pass(view, goal);
        let (epoch, now) = (view.switch.epoch(), Instant::now());
        let since = match view.arming {
            Some((current, since)) if current == goal => since,
            _ => {
                view.arming = Some((goal, now));
                now
            }
        };
        if since.elapsed() < STATUS_TIMEOUT {
            return;
        }
        for rank in 0..view.switch.ranks() {
            let armed = view
                .switch
                .last_report(rank)
                .is_some_and(|report| report.armed.is_some());
            let late = since.elapsed() >= ARM_TIMEOUT;
            let overdue =
                view.sidecars[rank].filter(|sidecar| late || sidecar.reported_at <= since);
            let (false, Some(sidecar)) = (armed, overdue) else {
                continue;
            };
            let mut addresses = view.service.ranks.iter();
            let address = addresses.find(|address| address.ip() == sidecar.address.ip());
            let Some(&address) = address else { continue };
            tracing::warn!(rank, late, "rank is not armed");
            let engine = &self.member.engine;
            let action = Action::Arm(goal);
            member::send_order(engine, &self.member.metrics, address, epoch, action).await;
            match (engine.state)(address, ()).await {
                Ok(state) => view.switch.report(rank, state.report),
                Err(error) => tracing::warn!(rank, %error, "rank does not answer"),
            }
        }
    }

    /// Sends the maps in use to the sidecars that do not have them, so that the
    /// next switch takes only the changes.
    fn distribute_maps(&self, view: &mut View) {
        let Some((version, maps)) = view.maps.clone() else {
            return;
        };
        let is_idle = view.next.is_none() && view.switch.settled_version() == Some(version);
        if is_idle && !plan::fits_at_once(&maps) {
            self.send_maps(view, version, &maps, None);
        }
    }

    /// Sends maps to the sidecars that have not confirmed them, paced to the link
    /// and at most once per [`PLAN_INTERVAL`] after their expected arrival.
    ///
    /// A sidecar that has the maps `base` gets the changes.
    fn send_maps(
        &self,
        view: &mut View,
        version: u64,
        maps: &Arc<Vec<Map>>,
        base: Option<&(u64, Arc<Vec<Map>>)>,
    ) {
        let outbox = &self.member.outbox;
        if outbox.backlog() > MAX_PLAN_BACKLOG {
            return;
        }
        let confirmed = |view: &View, rank: usize, sidecar: Sidecar| {
            sidecar.planned_version == version
                || view.switch.has_prepared(rank, version)
                || view.progress[rank].maps.contains(&version)
        };
        let due = due_ranks(view, version, None, PLAN_INTERVAL, confirmed);
        if due.is_empty() {
            return;
        }
        let base = base.filter(|_| !plan::fits_at_once(maps));
        let has_base =
            |rank: usize| base.is_some_and(|(base, _)| view.progress[rank].maps.contains(base));
        let (with_base, without): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(rank, _)| has_base(*rank));
        if let Some((base_version, base)) = base
            && !with_base.is_empty()
        {
            let parts = plan::encode_changes(version, maps, *base_version, base);
            self.send_parts(view, version, &parts, &with_base);
        }
        if !without.is_empty() {
            let parts = plan::encode(version, maps);
            self.send_parts(view, version, &parts, &without);
        }
    }

    /// Sends parts of maps to ranks.
    ///
    /// Parts are forwarded only when they are sent for the first time. Later, each
    /// due rank gets those that it misses directly, because the forwarding sidecar
    /// may be the failed one.
    fn send_parts(
        &self,
        view: &mut View,
        version: u64,
        parts: &[wire::Plan],
        due: &[(usize, SocketAddr)],
    ) {
        let outbox = &self.member.outbox;
        let sent = |rank: usize| view.planned_at[rank].is_some_and(|(sent, ..)| sent == version);
        let first_time = due.iter().all(|(rank, _)| !sent(*rank));
        let (fan_out, max_ranks) = if first_time && due.len() > MAX_DIRECT_RANKS {
            (due.len().isqrt(), due.len())
        } else {
            (1, MAX_DIRECT_RANKS)
        };
        for chunk in due[..due.len().min(max_ranks)].chunks(fan_out) {
            let (first, address) = chunk[0];
            let others: Vec<u32> = chunk[1..].iter().filter_map(ipv4).collect();
            let mut bytes = 0;
            for (index, part) in parts.iter().enumerate() {
                let end = parts
                    .get(index + 1)
                    .map_or(part.sets, |next| next.first_set);
                if fan_out == 1 && !view.progress[first].needs(version, part.first_set, end) {
                    continue;
                }
                let hello = wire::Hello {
                    sample: view.is_sampled(first),
                    sample_interval_ms: view.sample_interval().as_millis() as u32,
                    plan: Some(part.clone()),
                    pass_on: others.clone(),
                    ..self.hello(view)
                };
                let datagram = Bytes::from(hello.encode_to_vec());
                bytes += datagram.len();
                outbox.queue(address, datagram);
            }
            let forwarding = outbox.duration(bytes * others.len());
            let arrival = Instant::now() + outbox.backlog() + forwarding;
            for (rank, _) in chunk {
                view.planned_at[*rank] = Some((version, None, arrival));
            }
        }
    }

    /// Sends the pass of a switch to the ranks that are not armed for it, at most
    /// once per [`ARM_INTERVAL`].
    fn send_pass(&self, view: &mut View, goal: Armed) {
        let armed = |view: &View, rank: usize, _| {
            let report = view.switch.last_report(rank);
            report.is_some_and(|report| report.armed.is_some())
        };
        let pass = Some(goal.pass);
        for (rank, address) in due_ranks(view, goal.version, pass, ARM_INTERVAL, armed) {
            view.planned_at[rank] = Some((goal.version, pass, Instant::now()));
            let hello = wire::Hello {
                sample: view.is_sampled(rank),
                sample_interval_ms: view.sample_interval().as_millis() as u32,
                plan: Some(wire::Plan {
                    version: goal.version,
                    pass: goal.pass,
                    ..Default::default()
                }),
                ..self.hello(view)
            };
            self.send(address, &hello);
        }
    }

    fn hello(&self, view: &View) -> wire::Hello {
        wire::Hello {
            group: view.group_id,
            epoch: view.switch.epoch(),
            leader: self.address.to_string(),
            ..Default::default()
        }
    }
}

/// Returns the ranks, with the addresses of their sidecars, that have not
/// confirmed a plan and were not sent it within `interval`.
fn due_ranks(
    view: &View,
    version: u64,
    pass: Option<u64>,
    interval: Duration,
    confirmed: impl Fn(&View, usize, Sidecar) -> bool,
) -> Vec<(usize, SocketAddr)> {
    let mut due = Vec::new();
    for rank in 0..view.switch.ranks() {
        let Some(sidecar) = view.sidecars[rank] else {
            continue;
        };
        let recent = view.planned_at[rank].is_some_and(|(sent_version, sent_pass, at)| {
            (sent_version, sent_pass) == (version, pass) && at.elapsed() < interval
        });
        if !recent && !confirmed(view, rank, sidecar) {
            due.push((rank, sidecar.address));
        }
    }
    due
}

fn ipv4((_, address): &(usize, SocketAddr)) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => Some(u32::from(ip)),
        IpAddr::V6(_) => None,
    }
}
