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

/// Poll intervals for which a report stays valid.
const REPORT_POLLS: u32 = 4;

/// Controller of one group.
pub struct Controller {
    shared: Arc<Shared>,
    settings: Arc<Groups>,
    client: Client,
    group: Arc<str>,
}

/// State of a controller while it holds the lease with one fencing token.
struct Tenure {
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
    orders: JoinSet<Sent>,
}

/// Result of an order.
struct Sent {
    rank: Rank,
    /// Bytes fetched from the weight store, if the order was carried out.
    bytes: Option<u64>,
}

#[derive(Serialize)]
struct Body {
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
        let mut tenure: Option<Tenure> = None;
        loop {
            sleep(poll).await;
            let Some(token) = role.token() else {
                // Dropping the state also drops orders that have not been sent.
                tenure = None;
                continue;
            };
            let servers = servers(&self.shared.current().snapshot, &self.group);
            if servers.is_empty() {
                continue;
            }
            let same =
                |known: &Tenure| known.token == token && known.ranks.ranks() == servers.len();
            if !tenure.as_ref().is_some_and(same) {
                tenure = Some(self.begin(token, servers.len()));
            }
            if let Some(tenure) = &mut tenure {
                self.act(tenure, role, &servers).await;
            }
        }
    }

    fn begin(&self, token: u64, ranks: usize) -> Tenure {
        let settings = &self.settings;
        let poll = Duration::from_millis(settings.poll_ms);
        let rate = settings.fetch_rate;
        Tenure {
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

    async fn act(&self, tenure: &mut Tenure, role: &Role, servers: &[Server]) {
        while let Some(ended) = tenure.orders.try_join_next() {
            let Ok(sent) = ended else { continue };
            tenure.busy.retain(|rank| *rank != sent.rank);
            if let Some(bytes) = sent.bytes.filter(|bytes| *bytes > 0) {
                tenure.pacer.succeeded(bytes);
            }
        }
        self.observe(tenure, servers).await;
        self.refresh(tenure).await;
        self.decide(tenure, role).await;
        self.order(tenure, role, servers);
    }

    /// Polls the state and expert load of all ranks.
    async fn observe(&self, tenure: &mut Tenure, servers: &[Server]) {
        let asked = self.shared.now();
        let calls = servers.iter().map(|server| self.rank(server));
        let mut tokens: Vec<f64> = Vec::new();
        for (index, reply) in join_all(calls).await.into_iter().enumerate() {
            let Some(reply) = reply else { continue };
            let report = Report {
                incarnation: reply.engine_incarnation,
                loaded: reply.loaded.into_iter().map(Number::from).collect(),
                stamp: reply.stamp.into(),
                begun: reply.begun.into(),
            };
            tenure.ranks.report(Rank::from(index as u16), report, asked);
            if reply.expert_tokens.len() != usize::from(self.settings.experts) {
                continue;
            }
            tokens.resize(reply.expert_tokens.len(), 0.0);
            for (total, added) in tokens.iter_mut().zip(reply.expert_tokens) {
                *total += added as f64;
            }
        }
        if tokens.iter().sum::<f64>() == 0.0 {
            return;
        }
        let sample = Load::new(tokens);
        match &mut tenure.load {
            Some(load) => load.smooth(&sample, self.settings.smoothing),
            None => tenure.load = Some(sample),
        }
    }

    async fn rank(&self, server: &Server) -> Option<wire::RankReply> {
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
        self.shared.saw(server.address, reply.sender.as_ref());
        reply.refusal.is_none().then_some(reply)
    }

    /// Reads the map after the lease is acquired and then once per interval,
    /// because operators may write it too.
    async fn refresh(&self, tenure: &mut Tenure) {
        let now = self.shared.now();
        let interval = Duration::from_millis(self.settings.read_ms);
        if tenure.read_at.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        if let Some(known) = map::read(&self.client, &self.group).await {
            tenure.known = known;
            tenure.read_at = Some(now);
        }
    }

    /// Writes the next map if the group has settled and the change is worth its
    /// cost.
    async fn decide(&self, tenure: &mut Tenure, role: &Role) {
        let now = self.shared.now();
        if tenure.read_at.is_none() || now < tenure.decide_at {
            return;
        }
        let Some(load) = &tenure.load else { return };
        let placement = match &tenure.known {
            None => self.first(tenure.ranks.ranks(), load),
            Some(known) => {
                if tenure.ranks.progress(known.stored.number, now) != Progress::Settled {
                    return;
                }
                let rule = self.settings.rule();
                let change = incremental::improve(&known.stored.placement, load, &rule);
                change.map(|change| change.map)
            }
        };
        tenure.decide_at = now + Duration::from_millis(self.settings.decide_ms);
        let Some(placement) = placement else { return };
        if role.token() != Some(tenure.token) {
            return;
        }
        let known = tenure.known.as_ref();
        let written = map::write(&self.client, &self.group, known, placement).await;
        let Some(written) = written else {
            // The store may hold another map, so it is read again.
            tenure.read_at = None;
            return;
        };
        tracing::info!(group = %self.group, map = %written.stored.number, "expert map written");
        tenure.previous = tenure.known.replace(written);
    }

    fn first(&self, ranks: usize, load: &Load) -> Option<berylgw_core::expert::Map> {
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

    fn order(&self, tenure: &mut Tenure, role: &Role, servers: &[Server]) {
        let Some(known) = tenure.known.clone() else {
            return;
        };
        let now = self.shared.now();
        for planned in tenure.ranks.plan(known.stored.number, now) {
            if tenure.busy.contains(&planned.rank) || role.token() != Some(tenure.token) {
                continue;
            }
            tenure.busy.push(planned.rank);
            tenure.sequence += 1;
            let bytes = self.bytes(tenure, &known, planned);
            let start = match bytes {
                0 => now,
                bytes => tenure.pacer.reserve(bytes, now),
            };
            let body = Body {
                object_version: known.version,
                action: action(planned.action, &known),
            };
            let request = wire::OrderRequest {
                sender: Some(self.shared.sender()),
                id: format!("{}.{}", tenure.token, tenure.sequence),
                role: format!("group/{}", self.group),
                token: tenure.token,
                order: serde_json::to_vec(&body).unwrap_or_default().into(),
            };
            let address = servers[planned.rank.index()].address;
            let shared = self.shared.clone();
            let limit = Duration::from_millis(self.settings.order_ms);
            let rank = planned.rank;
            tenure.orders.spawn(async move {
                sleep(shared.clock.until(start)).await;
                let done = send(&shared, address, request, limit).await;
                let bytes = done.then_some(bytes);
                Sent { rank, bytes }
            });
        }
    }

    /// Returns the bytes that a rank fetches from the weight store for an order.
    fn bytes(&self, tenure: &Tenure, known: &Known, order: Order) -> u64 {
        if !matches!(order.action, Action::Load(_)) {
            return 0;
        }
        let new = known.stored.placement.experts(order.rank);
        let previous = tenure.previous.as_ref();
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
    shared.saw(address, reply.sender.as_ref());
    if let Some(refusal) = &reply.refusal {
        tracing::info!(id, %address, reason = refusal.reason, "order refused");
    }
    reply.done
}
