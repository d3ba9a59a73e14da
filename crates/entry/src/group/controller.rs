//! Controller of one rank group, active while this entry holds the lease.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::backend::Server;
use berylgw_core::clock::Instant;
use berylgw_core::expert::{Layout, Load, Rank, greedy, incremental, pace::Pacer};
use berylgw_core::order;
use berylgw_core::step::{Action, Group, Number, Order, Progress, Report};
use berylgw_platform::Client;
use berylgw_wire as wire;
use futures_util::future::join_all;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use wire::engine_client::EngineClient;

use super::map::{self, Known};
use super::role::Role;
use super::servers;
use crate::settings::Groups;
use crate::shared::Shared;

/// Timeout of a rank report.
const RANK_TIMEOUT: Duration = Duration::from_secs(2);

/// Poll intervals for which a report stays valid, in addition to
/// [`RANK_TIMEOUT`].
const REPORT_POLLS: u32 = 4;

/// Controller of one group.
pub struct Controller {
    shared: Arc<Shared>,
    settings: Arc<Groups>,
    client: Client,
    group: Arc<str>,
}

/// State of a controller while it holds the lease with one fencing token.
struct Leadership {
    token: u64,
    sequence: u64,
    ranks: Group,
    load: Option<Load>,
    known: Option<Known>,
    /// The map before `known`, if `known` was written under this token.
    previous: Option<Known>,
    read_at: Option<Instant>,
    decide_at: Instant,
    pacer: Pacer,
    /// Ranks with an order in flight.
    busy: Vec<Rank>,
    orders: JoinSet<OrderResult>,
}

/// Result of an order.
struct OrderResult {
    rank: Rank,
    /// Bytes fetched from the weight store, if the order was carried out.
    bytes: Option<u64>,
}

#[derive(Serialize)]
struct OrderBody {
    object_version: u64,
    #[serde(flatten)]
    action: order::Action,
}

impl Controller {
    /// Creates the controller of a group.
    pub fn new(
        shared: Arc<Shared>,
        settings: Arc<Groups>,
        client: Client,
        group: Arc<str>,
    ) -> Self {
        Controller {
            shared,
            settings,
            client,
            group,
        }
    }

    /// Reconciles the ranks with the expert map while the lease is held.
    pub async fn run(&self, role: &Role) {
        let poll = Duration::from_millis(self.settings.poll_ms);
        let mut leadership: Option<Leadership> = None;
        loop {
            sleep(poll).await;
            let Some(token) = role.token() else {
                // Dropping the state also drops orders that have not been sent.
                leadership = None;
                continue;
            };
            let servers = servers(&self.shared.current().snapshot, &self.group);
            if servers.is_empty() {
                continue;
            }
            let same = |leadership: &Leadership| {
                leadership.token == token && leadership.ranks.ranks() == servers.len()
            };
            if !leadership.as_ref().is_some_and(same) {
                leadership = Some(self.begin(token, servers.len()));
            }
            if let Some(leadership) = &mut leadership {
                self.reconcile(leadership, role, &servers).await;
            }
        }
    }

    fn begin(&self, token: u64, ranks: usize) -> Leadership {
        let settings = &self.settings;
        let poll = Duration::from_millis(settings.poll_ms);
        let rate = settings.fetch_rate;
        Leadership {
            token,
            sequence: 0,
            ranks: Group::new(ranks, poll * REPORT_POLLS + RANK_TIMEOUT),
            load: None,
            known: None,
            previous: None,
            read_at: None,
            decide_at: self.shared.now() + Duration::from_millis(settings.decide_ms),
            pacer: Pacer::new(rate / 4, rate, rate / 100),
            busy: Vec::new(),
            orders: JoinSet::new(),
        }
    }

    async fn reconcile(&self, leadership: &mut Leadership, role: &Role, servers: &[Server]) {
        while let Some(ended) = leadership.orders.try_join_next() {
            let Ok(result) = ended else { continue };
            leadership.busy.retain(|rank| *rank != result.rank);
            if let Some(bytes) = result.bytes.filter(|bytes| *bytes > 0) {
                leadership.pacer.succeeded(bytes);
            }
        }
        self.poll_ranks(leadership, servers).await;
        self.refresh_map(leadership).await;
        self.decide(leadership, role).await;
        self.send_orders(leadership, role, servers);
    }

    /// Polls the state and expert load of all ranks.
    async fn poll_ranks(&self, leadership: &mut Leadership, servers: &[Server]) {
        let asked = self.shared.now();
        let calls = servers.iter().map(|server| self.fetch_report(server));
        let mut expert_tokens: Vec<f64> = Vec::new();
        for (index, reply) in join_all(calls).await.into_iter().enumerate() {
            let Some(reply) = reply else { continue };
            let report = Report {
                incarnation: reply.engine_incarnation,
                loaded: reply.loaded.into_iter().map(Number::from).collect(),
                stamp: reply.stamp.into(),
                begun: reply.begun.into(),
            };
            leadership
                .ranks
                .report(Rank::from(index as u16), report, asked);
            if reply.expert_tokens.len() != usize::from(self.settings.experts) {
                continue;
            }
            expert_tokens.resize(reply.expert_tokens.len(), 0.0);
            for (total, added) in expert_tokens.iter_mut().zip(reply.expert_tokens) {
                *total += added as f64;
            }
        }
        if expert_tokens.iter().sum::<f64>() == 0.0 {
            return;
        }
        let sample = Load::new(expert_tokens);
        match &mut leadership.load {
            Some(load) => load.smooth(&sample, self.settings.smoothing),
            None => leadership.load = Some(sample),
        }
    }

    async fn fetch_report(&self, server: &Server) -> Option<wire::RankReply> {
        let request = wire::RankRequest {
            sender: Some(self.shared.sender()),
        };
        let call = async {
            let channel = self.shared.pool.get(server.address).await.ok()?;
            let reply = EngineClient::new(channel).rank(request).await;
            reply
                .map_err(|error| tracing::debug!(%error, "rank report failed"))
                .ok()
        };
        let reply = timeout(RANK_TIMEOUT, call).await.ok()??.into_inner();
        self.shared
            .record_sender(server.address, reply.sender.as_ref());
        reply.refusal.is_none().then_some(reply)
    }

    /// Reads the map after the lease is acquired and then once per interval,
    /// because operators may write it too.
    async fn refresh_map(&self, leadership: &mut Leadership) {
        let now = self.shared.now();
        let interval = Duration::from_millis(self.settings.read_ms);
        if leadership
            .read_at
            .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        if let Some(known) = map::read(&self.client, &self.group).await {
            leadership.known = known;
            leadership.read_at = Some(now);
        }
    }

    /// Writes the next map if the group has settled and the change is worth its
    /// cost.
    async fn decide(&self, leadership: &mut Leadership, role: &Role) {
        let now = self.shared.now();
        if leadership.read_at.is_none() || now < leadership.decide_at {
            return;
        }
        let Some(load) = &leadership.load else { return };
        let placement = match &leadership.known {
            None => self.initial_map(leadership.ranks.ranks(), load),
            Some(known) => {
                if leadership.ranks.progress(known.stored.number, now) != Progress::Settled {
                    return;
                }
                let rule = self.settings.rule();
                let change = incremental::improve(&known.stored.placement, load, &rule);
                change.map(|change| change.map)
            }
        };
        leadership.decide_at = now + Duration::from_millis(self.settings.decide_ms);
        let Some(placement) = placement else { return };
        if role.token() != Some(leadership.token) {
            return;
        }
        let known = leadership.known.as_ref();
        let written = map::write(&self.client, &self.group, known, placement).await;
        let Some(written) = written else {
            // The store may hold another map, so it is read again.
            leadership.read_at = None;
            return;
        };
        tracing::info!(group = %self.group, map = %written.stored.number, "expert map written");
        leadership.previous = leadership.known.replace(written);
    }

    fn initial_map(&self, ranks: usize, load: &Load) -> Option<berylgw_core::expert::Map> {
        let settings = &self.settings;
        let layout = Layout::new(ranks as u16, settings.experts, settings.slots);
        match layout {
            Ok(layout) => Some(greedy::place(layout, load)),
            Err(error) => {
                tracing::error!(%error, group = %self.group, "no expert map fits the group");
                None
            }
        }
    }

    fn send_orders(&self, leadership: &mut Leadership, role: &Role, servers: &[Server]) {
        let Some(known) = leadership.known.clone() else {
            return;
        };
        let now = self.shared.now();
        for planned in leadership.ranks.plan(known.stored.number, now) {
            if leadership.busy.contains(&planned.rank) || role.token() != Some(leadership.token) {
                continue;
            }
            leadership.busy.push(planned.rank);
            leadership.sequence += 1;
            let bytes = self.fetch_bytes(leadership, &known, planned);
            let start = match bytes {
                0 => now,
                bytes => leadership.pacer.reserve(bytes, now),
            };
            let body = OrderBody {
                object_version: known.version,
                action: action(planned.action, &known),
            };
            let request = wire::OrderRequest {
                sender: Some(self.shared.sender()),
                id: format!("{}.{}", leadership.token, leadership.sequence),
                role: format!("group/{}", self.group),
                token: leadership.token,
                order: serde_json::to_vec(&body).unwrap_or_default().into(),
            };
            let address = servers[planned.rank.index()].address;
            let shared = self.shared.clone();
            let limit = Duration::from_millis(self.settings.order_ms);
            let rank = planned.rank;
            leadership.orders.spawn(async move {
                sleep(shared.clock.until(start)).await;
                let done = send(&shared, address, request, limit).await;
                let bytes = done.then_some(bytes);
                OrderResult { rank, bytes }
            });
        }
    }

    /// Returns the bytes that a rank fetches from the weight store for an order.
    fn fetch_bytes(&self, leadership: &Leadership, known: &Known, order: Order) -> u64 {
        if !matches!(order.action, Action::Load(_)) {
            return 0;
        }
        let new = known.stored.placement.experts(order.rank);
        let previous = leadership.previous.as_ref();
        let held =
            |expert| previous.is_some_and(|known| known.stored.placement.holds(order.rank, expert));
        let fetched = new.iter().filter(|expert| !held(**expert)).count();
        fetched as u64 * self.settings.expert_bytes
    }
}

fn action(action: Action, known: &Known) -> order::Action {
    match action {
        Action::Load(map) => order::Action::LoadMap {
            map,
            placement: known.stored.placement.clone(),
        },
        Action::Stamp(map) => order::Action::StampMap { map },
        Action::Unload(map) => order::Action::UnloadMap { map },
    }
}

/// Sends an order and returns whether it was carried out. If not, the next
/// reports lead to a new order.
async fn send(
    shared: &Shared,
    address: std::net::SocketAddr,
    request: wire::OrderRequest,
    limit: Duration,
) -> bool {
    let id = request.id.clone();
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        EngineClient::new(channel).order(request).await.ok()
    };
    let Some(reply) = timeout(limit, call).await.ok().flatten() else {
        tracing::info!(id, %address, "order not answered by the agent");
        return false;
    };
    let reply = reply.into_inner();
    shared.record_sender(address, reply.sender.as_ref());
    if let Some(refusal) = &reply.refusal {
        tracing::info!(id, %address, reason = refusal.reason, "order refused");
    }
    reply.done
}
