//! Observation and control of the local rank.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::expert::Map;
use berylgw_core::expert::switch::Armed;
use berylgw_runtime::clock::uptime;
use berylgw_wire::rank as wire;
use bytes::Bytes;
use prost::Message;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::deputy;
use crate::engine::{Action, Counts, Engine, Order, State};
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::pace;
use crate::plan::{self, Parts, Plan};

/// Time between two samples of the counts, about one pass of a fully loaded group.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two observations of a rank without a leader.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last datagram of a leader for which its group counts as led;
/// several datagrams may be lost in it.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two steps of a plan; several times the response time of a rank.
const STEP_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two steps of a plan after an order that was not accepted: shorter
/// than a pass, and long enough to limit the number of log lines.
const NOT_ACCEPTED_INTERVAL: Duration = Duration::from_millis(50);

/// Upper bound on the time in which a rank copies experts. An accepted prepare
/// order is not repeated within it.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of the known state at which the sampling loop reads it again.
const MAX_STATE_AGE: Duration = Duration::from_millis(180);

/// Time after the last part of an incomplete map at which its missing parts are
/// reported; several times the distance of two parts on the link.
const REPAIR_INTERVAL: Duration = Duration::from_millis(40);

/// Maps that a member keeps: the one in use, the one that the group switches to,
/// and an abandoned one.
const MAX_MAPS: usize = 3;

/// Largest number of sets of a map, against invalid datagrams.
const MAX_SETS: u32 = 1_024;

/// Size of the receive buffer for datagrams, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// The local rank as its sidecar knows it.
#[derive(Debug)]
pub struct Member {
    /// Calls to ranks.
    pub engine: Rc<Engine>,
    /// Metrics of the sidecar.
    pub metrics: Metrics,
    rank: SocketAddr,
    /// Sends to the other hosts; also receives the datagrams of leaders.
    pub outbox: Outbox,
    inner: RefCell<Inner>,
    plan_changed: Notify,
    /// Notified after each read of the rank's state.
    pub observed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    state: Option<(State, Instant)>,
    leader: Option<(SocketAddr, Instant)>,
    /// Whether the leader requests samples.
    sample_requested: bool,
    /// Whether the leader requests the experts that the rank holds.
    experts_requested: bool,
    counts: Option<Counts>,
    sample_interval: Duration,
    parts: Option<Parts>,
    /// Whether the missing parts were reported since the last part arrived.
    missing_reported: bool,
    /// Epoch of `maps`.
    map_epoch: u64,
    /// Maps that are known whole, by version, newest last.
    maps: Vec<(u64, Arc<Vec<Map>>)>,
    plan: Option<Plan>,
    /// Addresses of the entries that get reports of the pace.
    entries: Vec<SocketAddr>,
    reporter: pace::Reporter,
}

impl Inner {
    fn map(&self, version: u64) -> Option<Arc<Vec<Map>>> {
        let found = self.maps.iter().find(|(known, _)| *known == version);
        found.map(|(_, maps)| maps.clone())
    }

    /// Replaces the entries that get reports, unless `hosts` is empty: without a leader
    /// that reaches the store, the last known ones are used.
    fn set_entries(&mut self, hosts: &[u32], port: u16) {
        let hosts = hosts.iter().take(pace::MAX_ENTRIES);
        let address = |host: &u32| SocketAddr::new(Ipv4Addr::from(*host).into(), port);
        let entries: Vec<SocketAddr> = hosts.map(address).collect();
        if entries.is_empty() || entries == self.entries {
            return;
        }
        tracing::info!(?entries, "pace reported to entries");
        self.entries = entries;
        self.reporter.reset();
    }

    fn add_part(&mut self, part: &wire::Plan) {
        if self.map(part.version).is_some() {
            return;
        }
        let base = part.base.map(|version| (version, self.map(version)));
        let base = match base {
            None => None,
            Some((_, Some(maps))) => Some(maps),
            Some((base, None)) => {
                tracing::info!(version = part.version, base, "base of the map not known");
                return;
            }
        };
        let known = self.parts.take();
        let known = known.filter(|parts| parts.version == part.version);
        let mut parts = known.unwrap_or_else(|| Parts::new(part));
        self.missing_reported = false;
        match parts.add(part, base.as_ref().map(|maps| maps.as_slice())) {
            Ok(Some(maps)) => {
                if self.maps.len() >= MAX_MAPS {
                    self.maps.remove(0);
                }
                self.maps.push((part.version, Arc::new(maps)));
            }
            Ok(None) => self.parts = Some(parts),
            Err(error) => {
                tracing::warn!(%error, version = part.version, "map not decoded");
                self.parts = Some(parts);
            }
        }
    }
}

impl Member {
    /// Creates a member for the rank at address `rank` that receives messages on
    /// the socket of `outbox`.
    pub fn new(engine: Rc<Engine>, metrics: Metrics, rank: SocketAddr, outbox: Outbox) -> Self {
        Member {
            engine,
            metrics,
            rank,
            outbox,
            inner: RefCell::default(),
            plan_changed: Notify::new(),
            observed: Notify::new(),
        }
    }

    /// Returns the address of the rank.
    pub fn rank(&self) -> SocketAddr {
        self.rank
    }

    /// Returns the last read state of the rank.
    pub fn state(&self) -> Option<State> {
        self.inner.borrow().state.map(|(state, _)| state)
    }

    /// Reads the state of the rank.
    pub async fn observe(&self) -> Option<State> {
        let (started_at, started_up) = (Instant::now(), uptime());
        let read = (self.engine.state)(self.rank, ()).await;
        let mut inner = self.inner.borrow_mut();
        let before = inner.state.map(|(state, _)| state);
        // The reply to a later read has overtaken this one.
        if inner
            .state
            .is_some_and(|(_, known_at)| known_at > started_at)
        {
            return before;
        }
        match read {
            Ok(state) => {
                inner.state = Some((state, started_at));
                self.report_pace(&mut inner, &state, started_up);
                let changed = before.is_none_or(|before| {
                    (before.report.epoch, before.report.open)
                        != (state.report.epoch, state.report.open)
                });
                if changed {
                    let State { rank, report, .. } = state;
                    let (epoch, open) = (report.epoch, report.open);
                    tracing::info!(rank, epoch, open, "group of the rank");
                }
            }
            Err(error) => {
                if before.is_some() {
                    tracing::warn!(%error, "rank does not answer");
                }
                inner.state = None;
            }
        }
        self.observed.notify_one();
        inner.state.map(|(state, _)| state)
    }

    /// Reports the pace of the rank, which was read at the uptime `read`, to entries if
    /// that is due.
    fn report_pace(&self, inner: &mut Inner, state: &State, read: berylgw_core::clock::Instant) {
        self.metrics.pace.set(state.pace);
        let now = uptime();
        if inner.entries.is_empty() || !inner.reporter.is_due(now, state) {
            return;
        }
        let message = pace::message(self.rank, state, read, now).encode_to_vec();
        for entry in &inner.entries {
            self.outbox.send(*entry, &message);
        }
        let reports = inner.entries.len() as u64;
        self.metrics.pace_reports.inc_by(reports);
    }

    /// Sends an order to the local rank; returns whether it was accepted.
    pub async fn order(&self, epoch: u64, action: Action) -> bool {
        send_order(&self.engine, &self.metrics, self.rank, epoch, action).await
    }

    /// Receives the datagrams of leaders, forever.
    pub async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let receive = self.outbox.socket.recv_from(&mut buffer);
            let received = match timeout(REPAIR_INTERVAL, receive).await {
                Ok(received) => received,
                Err(_) => {
                    self.request_missing_parts().await;
                    continue;
                }
            };
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    tracing::debug!(%error, "no datagram received");
                    sleep(STEP_INTERVAL).await;
                    continue;
                }
            };
            match wire::Hello::decode(&buffer[..length]) {
                Ok(hello) => self.handle_hello(from, hello).await,
                Err(error) => tracing::warn!(%from, %error, "datagram not decoded"),
            }
        }
    }

    /// Reports the missing parts of a map if no further part has arrived for
    /// [`REPAIR_INTERVAL`].
    async fn request_missing_parts(&self) {
        let incomplete = {
            let mut inner = self.inner.borrow_mut();
            let incomplete = inner.parts.is_some() && !inner.missing_reported;
            inner.missing_reported = true;
            incomplete
        };
        if incomplete {
            self.send_status(None).await;
        }
    }

    async fn handle_hello(&self, from: SocketAddr, hello: wire::Hello) {
        // The group of a rank does not change while the rank responds.
        if self.state().is_some_and(|state| state.group != hello.group) {
            return;
        }
        let is_current =
            |state: State| (state.group, state.report.epoch) == (hello.group, hello.epoch);
        if !self.state().is_some_and(is_current) && !self.observe().await.is_some_and(is_current) {
            return;
        }
        if hello.plan.as_ref().is_some_and(|plan| plan.sets > MAX_SETS) {
            tracing::warn!(%from, "map with too many sets");
            return;
        }
        let Ok(leader) = hello.leader.parse::<SocketAddr>() else {
            tracing::warn!(%from, leader = hello.leader, "invalid address of the leader");
            return;
        };
        self.forward(&hello);
        {
            let mut inner = self.inner.borrow_mut();
            inner.leader = Some((leader, Instant::now()));
            inner.sample_requested = hello.sample;
            let interval = Duration::from_millis(hello.sample_interval_ms.into());
            inner.sample_interval = interval.max(SAMPLE_INTERVAL);
            inner.experts_requested |= hello.lists;
            inner.set_entries(&hello.entries, leader.port());
        }
        match hello.plan {
            Some(plan) => self.accept_plan(hello.epoch, plan),
            None => self.send_status(None).await,
        }
    }

    /// Forwards a datagram to the listed hosts, so that the leader's link does
    /// not carry a copy of the map for each rank of a large group.
    fn forward(&self, hello: &wire::Hello) {
        if hello.pass_on.is_empty() {
            return;
        }
        let port = match self.outbox.socket.local_addr() {
            Ok(address) => address.port(),
            Err(error) => {
                tracing::warn!(%error, "local address not available");
                return;
            }
        };
        let copy = wire::Hello {
            pass_on: Vec::new(),
            ..hello.clone()
        };
        let bytes = Bytes::from(copy.encode_to_vec());
        for ip in &hello.pass_on {
            let address = SocketAddr::new(Ipv4Addr::from(*ip).into(), port);
            self.outbox.queue(address, bytes.clone());
        }
    }

    fn accept_plan(&self, epoch: u64, part: wire::Plan) {
        let mut inner = self.inner.borrow_mut();
        let newer = |plan: &Plan| plan.epoch == epoch && plan.version > part.version;
        if inner.plan.as_ref().is_some_and(newer) {
            // A part of an abandoned map, which arrives late.
            return;
        }
        if inner.map_epoch != epoch {
            inner.map_epoch = epoch;
            inner.maps.clear();
            inner.parts = None;
        }
        if !part.held.is_empty() || part.base.is_some() {
            inner.add_part(&part);
        }
        let maps = inner.map(part.version);
        let pass = Some(part.pass).filter(|pass| *pass > 0);
        // A restarted sidecar can arm its rank without the map.
        if maps.is_none() && pass.is_none() {
            return;
        }
        inner.plan = Some(Plan {
            epoch,
            version: part.version,
            maps,
            pass,
        });
        drop(inner);
        self.plan_changed.notify_one();
    }

    /// Executes plans, forever.
    pub async fn execute_plans(&self) {
        loop {
            self.plan_changed.notified().await;
            let mut reported = None;
            let mut last_pass = (0, Instant::now());
            let mut acted_at: Option<Instant> = None;
            let mut prepared_at: Option<(u64, Instant)> = None;
            loop {
                let Some(plan) = self.inner.borrow().plan.clone() else {
                    break;
                };
                let Some(mut state) = self.observe().await else {
                    break;
                };
                if state.report.pass != last_pass.0 {
                    last_pass = (state.report.pass, Instant::now());
                }
                let last_message_at = self.inner.borrow().leader.map_or(last_pass.1, |(_, at)| at);
                let acted_lately = acted_at.is_some_and(|at| at.elapsed() < deputy::RETRY_INTERVAL);
                if deputy::must_act(state.rank, last_pass.1, last_message_at) && !acted_lately {
                    deputy::continue_switch(self, plan.epoch).await;
                    acted_at = Some(Instant::now());
                }
                let copying = prepared_at.is_some_and(|(version, at)| {
                    version == plan.version && at.elapsed() < COPY_TIMEOUT
                });
                let step = next_step(&state, &plan);
                let done = matches!(step, Step::Done);
                let action = match step {
                    Step::Order(Action::Prepare { .. }) if copying => None,
                    Step::Order(action) => Some(action),
                    Step::Wait | Step::Done => None,
                };
                let mut not_accepted = false;
                if let Some(action) = action {
                    let prepares = matches!(action, Action::Prepare { .. });
                    let accepted = self.order(plan.epoch, action).await;
                    not_accepted = !accepted;
                    if prepares && accepted {
                        prepared_at = Some((plan.version, Instant::now()));
                    }
                    state = self.observe().await.unwrap_or(state);
                }
                let progress = (plan.version, state.report.prepared, state.report.armed);
                if reported != Some(progress) || done {
                    reported = Some(progress);
                    self.send_status(None).await;
                }
                if done {
                    break;
                }
                // An immediate retry of an order that was not accepted would fail
                // again.
                let pause = if not_accepted {
                    NOT_ACCEPTED_INTERVAL
                } else {
                    STEP_INTERVAL
                };
                tokio::select! {
                    () = sleep(pause) => {}
                    // A new plan, or one resent because the last status was lost.
                    () = self.plan_changed.notified() => reported = None,
                }
            }
        }
    }

    /// Observes the rank and reports samples, forever.
    pub async fn report_samples(&self) {
        loop {
            let interval = if self.has_leader() {
                self.inner.borrow().sample_interval.max(SAMPLE_INTERVAL)
            } else {
                IDLE_INTERVAL
            };
            sleep(interval).await;
            let age = self.inner.borrow().state.map(|(_, read)| read.elapsed());
            if age.is_none_or(|age| age >= MAX_STATE_AGE) {
                let before = self.state().map(|state| state.pace);
                let after = self.observe().await.map(|state| state.pace);
                if before != after && self.has_leader() {
                    self.send_status(None).await;
                }
            }
            if !self.has_leader() || !self.inner.borrow().sample_requested {
                continue;
            }
            if let Some(sample) = self.sample().await {
                self.send_status(Some(sample)).await;
            }
        }
    }

    fn has_leader(&self) -> bool {
        let leader = self.inner.borrow().leader;
        leader.is_some_and(|(_, received_at)| received_at.elapsed() < LEADER_TIMEOUT)
    }

    async fn sample(&self) -> Option<wire::Sample> {
        let counts = self.count().await?;
        let mut inner = self.inner.borrow_mut();
        if let Some((state, _)) = &mut inner.state
            && state.report.epoch == counts.epoch
        {
            state.report.pass = state.report.pass.max(counts.pass);
        }
        let before = inner.counts.replace(counts.clone())?;
        let is_comparable =
            before.epoch == counts.epoch && before.choices.len() == counts.choices.len();
        if !is_comparable {
            return None;
        }
        let pairs = counts.choices.iter().zip(&before.choices);
        // The counts of a restarted rank begin at zero.
        let new: Option<Vec<u64>> = pairs.map(|(now, then)| now.checked_sub(*then)).collect();
        let new = new?;
        let max = *new.iter().max()?;
        if max == 0 {
            return None;
        }
        let scaled = |count: &u64| (*count as f64 / max as f64 * f64::from(u8::MAX)).round();
        let counts = new.iter().map(|count| scaled(count) as u8);
        Some(wire::Sample {
            counts: counts.collect::<Vec<u8>>().into(),
        })
    }

    async fn count(&self) -> Option<Counts> {
        match (self.engine.counts)(self.rank, ()).await {
            Ok(counts) => Some(counts),
            Err(error) => {
                tracing::debug!(%error, "counts not read");
                None
            }
        }
    }

    /// Sends a status to the leader.
    async fn send_status(&self, sample: Option<wire::Sample>) {
        let lists = if self.inner.borrow().experts_requested {
            self.held_experts().await
        } else {
            Vec::new()
        };
        if self.inner.borrow().counts.is_none() {
            let counts = self.count().await;
            self.inner.borrow_mut().counts = counts;
        }
        let inner = self.inner.borrow();
        let (Some((state, _)), Some((leader, _))) = (&inner.state, inner.leader) else {
            return;
        };
        let incoming = inner.parts.as_ref();
        let status = wire::Status {
            planned: inner.plan.as_ref().map_or(0, |plan| plan.version),
            maps: inner.maps.iter().map(|(version, _)| *version).collect(),
            incoming: incoming.map_or(0, |parts| parts.version),
            missing: incoming.map_or_else(Vec::new, |parts| parts.missing().collect()),
            lists,
            sample,
            ..plan::status(state)
        };
        self.outbox.send(leader, &status.encode_to_vec());
    }

    async fn held_experts(&self) -> Vec<wire::Set> {
        self.inner.borrow_mut().experts_requested = false;
        let held = match (self.engine.held_experts)(self.rank, ()).await {
            Ok(held) => held,
            Err(error) => {
                tracing::debug!(%error, "experts of the rank not read");
                return Vec::new();
            }
        };
        let sets = held.sets.iter();
        let numbers = |set: &Vec<_>| {
            set.iter()
                .map(|expert| u32::from(u16::from(*expert)))
                .collect()
        };
        sets.map(|set| wire::Set {
            experts: numbers(set),
        })
        .collect()
    }
}

/// Next step of a plan.
#[derive(Clone, Debug)]
pub enum Step {
    /// The plan is complete or no longer valid.
    Done,
    /// Wait until the state of the rank changes.
    Wait,
    /// Send an order to the rank.
    Order(Action),
}

/// Returns the next step of `plan` for a rank in `state`.
pub fn next_step(state: &State, plan: &Plan) -> Step {
    let report = &state.report;
    if report.epoch != plan.epoch || !report.open || report.version >= plan.version {
        return Step::Done;
    }
    if report.armed.is_some() {
        return Step::Wait;
    }
    if report.prepared != Some(plan.version) {
        let version = plan.version;
        return match plan.maps.clone() {
            Some(maps) => Step::Order(Action::Prepare { version, maps }),
            None => Step::Wait,
        };
    }
    match plan.pass {
        // The switch cannot be armed for a pass that has begun.
        Some(pass) if pass > report.pass => Step::Order(Action::Arm(Armed {
            version: plan.version,
            pass,
        })),
        _ => Step::Wait,
    }
}

/// Sends an order to the rank at `address`; returns whether it was accepted. The
/// state of the rank shows whether it was executed.
pub async fn send_order(
    engine: &Engine,
    metrics: &Metrics,
    address: SocketAddr,
    epoch: u64,
    action: Action,
) -> bool {
    let name = match action {
        Action::Prepare { .. } => "prepare",
        Action::Arm(_) => "arm",
        Action::Hold { .. } => "hold",
        Action::Release { .. } => "release",
    };
    let sent = (engine.order)(address, Order { epoch, action }).await;
    let accepted = sent.is_ok();
    let outcome = if accepted { "accepted" } else { "not accepted" };
    metrics.orders.with_label_values(&[name, outcome]).inc();
    match sent {
        Ok(()) => tracing::info!(%address, epoch, order = name, "order accepted"),
        Err(error) => tracing::info!(%address, epoch, order = name, %error, "order not accepted"),
    }
    accepted
}
