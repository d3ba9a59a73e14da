//! A fake group of ranks, which begin each pass in lock-step and do not check
//! that their expert maps match.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::direct::site::Failure;

/// Time between two passes.
const PASS: Duration = Duration::from_millis(20);

/// Time that a rank takes to load experts.
const COPY: Duration = Duration::from_millis(60);

/// Time that a group takes to form again after a restart of a rank.
const FORM: Duration = Duration::from_millis(200);

/// Longest time that [`Hold::begun`] waits.
const HOLD_WAIT: Duration = Duration::from_secs(30);

/// Expert choices of each rank in a pass.
const CHOICES: f64 = 10_000.0;

/// Size of a group and of its expert maps.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of sets of layers.
    pub sets: usize,
    /// Number of experts of a set.
    pub experts: usize,
    /// Experts of a set that a rank holds.
    pub slots: usize,
}

/// A running group.
#[derive(Clone, Debug)]
pub struct Group {
    /// Addresses of the ranks, each on a host of its own.
    pub addresses: Vec<SocketAddr>,
    shape: Shape,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    shape: Shape,
    epoch: u64,
    open: bool,
    pass: u64,
    held: Option<u64>,
    ranks: Vec<Rank>,
    /// Share of each expert in the choices of a pass.
    demand: Vec<f64>,
    /// First pass that began with different maps at the ranks.
    mixed: Option<u64>,
    /// One in this many orders gets no answer and is carried out late.
    lost_each: u64,
    orders: u64,
    late: Duration,
    awaited_hold: Option<AwaitedHold>,
}

/// The next hold of a group, see [`Group::next_hold`].
#[derive(Debug)]
pub struct Hold {
    group: Group,
    begun: oneshot::Receiver<()>,
    _answer: oneshot::Sender<()>,
}

/// The group's end of a [`Hold`].
#[derive(Debug)]
struct AwaitedHold {
    begun: oneshot::Sender<()>,
    answer: oneshot::Receiver<()>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    version: u64,
    map: Map,
    highest: u64,
    copying: Option<(u64, Map)>,
    prepared: Option<(u64, Map)>,
    armed: Option<(u64, u64, Map)>,
    counts: Vec<f64>,
    /// Pace that it states, if any.
    pace: Option<f64>,
}

/// Experts by set and rank.
type Map = Vec<Vec<Vec<usize>>>;

#[derive(Clone)]
struct Access {
    group: Group,
    rank: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Order {
    op: String,
    #[serde(rename = "epoch")]
    epoch: u64,
    version: Option<u64>,
    #[serde(rename = "step")]
    step: Option<u64>,
    mapping: Option<Map>,
}

impl Group {
    /// Starts a group with one host for each rank, numbered from `host`. The
    /// number is the last two bytes of a loopback address.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(shape: Shape, host: u16) -> std::io::Result<Group> {
        let in_turn = |rank: usize| (rank..shape.experts).step_by(shape.ranks).collect();
        let first: Map = vec![(0..shape.ranks).map(in_turn).collect(); shape.sets];
        let rank = Rank {
            map: first,
            counts: vec![0.0; shape.sets * shape.experts],
            ..Rank::default()
        };
        let inner = Inner {
            name: format!("group-{host}"),
            shape,
            epoch: 1,
            open: true,
            pass: 0,
            held: None,
            ranks: vec![rank; shape.ranks],
            demand: vec![1.0 / shape.experts as f64; shape.experts],
            mixed: None,
            lost_each: u64::MAX,
            orders: 0,
            late: Duration::ZERO,
            awaited_hold: None,
        };
        let mut group = Group {
            addresses: Vec::new(),
            shape,
            inner: Arc::new(Mutex::new(inner)),
        };
        let mut listeners = Vec::new();
        for rank in 0..shape.ranks as u16 {
            let [high, low] = (host + rank).to_be_bytes();
            let ip = IpAddr::V4(Ipv4Addr::new(127, 7, high, low));
            let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
            group.addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        for (rank, listener) in listeners.into_iter().enumerate() {
            let access = Access {
                group: group.clone(),
                rank,
            };
            let router = Router::new()
                .route("/v1/report", get(report))
                .route("/v1/picked", get(picked))
                .route("/v1/order", post(order))
                .with_state(access);
            tokio::spawn(async move {
                if let Err(error) = axum::serve(listener, router).await {
                    tracing::error!(%error, "rank failed");
                }
            });
        }
        let running = group.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(PASS).await;
                running.lock().begin();
            }
        });
        Ok(group)
    }

    /// Sets the demand: the share of an expert falls with its distance from
    /// `hot`.
    pub fn set_demand(&self, hot: usize) {
        let experts = self.shape.experts;
        let weight = |expert: usize| 1.0 / ((expert + experts - hot) % experts + 1) as f64;
        let total: f64 = (0..experts).map(weight).sum();
        self.lock().demand = (0..experts).map(|expert| weight(expert) / total).collect();
    }

    /// Sets the pace that a rank states.
    pub fn set_pace(&self, rank: usize, pace: f64) {
        self.lock().ranks[rank].pace = Some(pace);
    }

    /// Leaves one in `each` orders without an answer and carries it out after
    /// `late`.
    pub fn lose_orders(&self, each: u64, late: Duration) {
        let mut inner = self.lock();
        inner.lost_each = each;
        inner.late = late;
    }

    /// Restarts a rank; returns when the group is formed again.
    pub async fn restart(&self) {
        self.lock().open = false;
        tokio::time::sleep(FORM).await;
        self.lock().form();
    }

    /// Returns the next hold of the group. The order that holds it gets no answer until
    /// the returned value is dropped, so that its sender cannot end the hold before.
    pub fn next_hold(&self) -> Hold {
        let (begin, begun) = oneshot::channel();
        let (send_answer, answer) = oneshot::channel();
        self.lock().awaited_hold = Some(AwaitedHold {
            begun: begin,
            answer,
        });
        Hold {
            group: self.clone(),
            begun,
            _answer: send_answer,
        }
    }

    /// Returns the first pass that began with different maps at the ranks.
    pub fn first_mixed_pass(&self) -> Option<u64> {
        self.lock().mixed
    }

    /// Returns the state of the group as text, for failure reports.
    pub fn describe(&self) -> String {
        let inner = self.lock();
        let rank = |rank: &Rank| {
            let prepared = rank.prepared.as_ref().map(|(version, _)| version);
            let armed = rank
                .armed
                .as_ref()
                .map(|(version, pass, _)| (version, pass));
            format!("{} {prepared:?} {armed:?}", rank.version)
        };
        let ranks: Vec<String> = inner.ranks.iter().map(rank).collect();
        let Inner {
            epoch,
            open,
            pass,
            held,
            ..
        } = &*inner;
        format!("epoch {epoch} open {open} pass {pass} held {held:?} ranks {ranks:?}")
    }

    /// Returns the number of passes that began.
    pub fn passes(&self) -> u64 {
        self.lock().pass
    }

    /// Returns the version of the map in use, and the ratio of the highest load
    /// of a rank to the mean.
    pub fn skew(&self) -> (u64, f64) {
        let inner = self.lock();
        let rank = &inner.ranks[0];
        (rank.version, inner.skew(&rank.map))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hold {
    /// Waits until the group is held.
    ///
    /// # Errors
    ///
    /// Fails if it is not held within 30 s.
    pub async fn begun(&mut self) -> Result<(), Failure> {
        let begun = tokio::time::timeout(HOLD_WAIT, &mut self.begun).await;
        if let Ok(Ok(())) = begun {
            return Ok(());
        }
        let state = self.group.describe();
        Err(format!("group not held within {HOLD_WAIT:?}: {state}").into())
    }
}

impl Inner {
    fn begin(&mut self) {
        if !self.open || self.held == Some(self.pass + 1) {
            return;
        }
        self.pass += 1;
        for rank in &mut self.ranks {
            if let Some((version, _, map)) = rank.armed.take_if(|armed| armed.1 == self.pass) {
                rank.version = version;
                rank.map = map;
                rank.prepared = None;
            }
            for (index, count) in rank.counts.iter_mut().enumerate() {
                *count += self.demand[index % self.shape.experts] * CHOICES;
            }
        }
        let first = &self.ranks[0];
        let same = |rank: &Rank| rank.version == first.version && rank.map == first.map;
        if self.mixed.is_none() && !self.ranks.iter().all(same) {
            self.mixed = Some(self.pass);
        }
    }

    fn form(&mut self) {
        let shape = self.shape;
        let in_turn = |rank: usize| (rank..shape.experts).step_by(shape.ranks).collect();
        let first: Map = vec![(0..shape.ranks).map(in_turn).collect(); shape.sets];
        for rank in &mut self.ranks {
            let counts = std::mem::take(&mut rank.counts);
            *rank = Rank {
                map: first.clone(),
                counts,
                pace: rank.pace,
                ..Rank::default()
            };
        }
        self.epoch += 1;
        self.held = None;
        self.open = true;
    }

    fn copied(&mut self, rank: usize, epoch: u64) {
        let rank = &mut self.ranks[rank];
        if epoch == self.epoch && rank.copying.is_some() {
            rank.prepared = rank.copying.take();
        }
    }

    fn skew(&self, map: &Map) -> f64 {
        let set = &map[0];
        let holders = |expert: &usize| set.iter().filter(|rank| rank.contains(expert)).count();
        let load = |rank: &Vec<usize>| -> f64 {
            let share = |expert: &usize| self.demand[*expert] / holders(expert) as f64;
            rank.iter().map(share).sum()
        };
        set.iter().map(load).fold(0.0, f64::max) * set.len() as f64
    }

    fn apply(&mut self, index: usize, order: &Order) -> StatusCode {
        if order.epoch != self.epoch {
            return StatusCode::CONFLICT;
        }
        let (pass, step) = (self.pass, order.step.unwrap_or(0));
        let rank = &mut self.ranks[index];
        let version = order.version.unwrap_or(0);
        match (&*order.op, &order.mapping) {
            ("prepare", Some(map)) => {
                if version <= rank.highest || rank.armed.is_some() {
                    return StatusCode::CONFLICT;
                }
                rank.highest = version;
                rank.copying = Some((version, map.clone()));
                rank.prepared = None;
                return StatusCode::ACCEPTED;
            }
            ("arm", _) => {
                if step <= pass {
                    return StatusCode::CONFLICT;
                }
                let prepared = rank.prepared.clone();
                let Some((_, map)) = prepared.filter(|(known, _)| *known == version) else {
                    return StatusCode::CONFLICT;
                };
                rank.armed = Some((version, step, map));
            }
            ("Retention", _) => {
                if step <= pass || self.held.is_some_and(|held| held != step) {
                    return StatusCode::CONFLICT;
                }
                self.held = Some(step);
            }
            ("go", _) => {
                if self.held != Some(step) {
                    return StatusCode::CONFLICT;
                }
                self.held = None;
            }
            _ => return StatusCode::BAD_REQUEST,
        }
        StatusCode::OK
    }
}

async fn report(State(access): State<Access>) -> Json<Value> {
    let inner = access.group.lock();
    let rank = &inner.ranks[access.rank];
    let armed = rank.armed.as_ref();
    Json(json!({
        "group": {
            "Name": inner.name, "epoch": inner.epoch, "rank": access.rank,
            "State": if inner.open { "open" } else { "broken" },
        },
        "size": inner.shape.ranks, "Busy": false, "step": inner.pass, "Mapping": rank.version,
        "Prepared": rank.prepared.as_ref().map(|(version, _)| version),
        "Armed": armed.map(|(version, step, _)| json!({ "Version": version, "step": step })),
        "held": inner.held.filter(|_| access.rank == 0), "pace": rank.pace,
    }))
}

async fn picked(
    State(access): State<Access>,
    Query(question): Query<std::collections::HashMap<String, String>>,
) -> Json<Value> {
    let inner = access.group.lock();
    let rank = &inner.ranks[access.rank];
    if question.contains_key("Lists") {
        let own: Vec<&Vec<usize>> = rank.map.iter().map(|set| &set[access.rank]).collect();
        let mapping = json!({ "Version": rank.version, "Experts": own });
        return Json(json!({ "epoch": inner.epoch, "Mapping": mapping, "Prepared": null }));
    }
    let counts: Vec<u64> = rank.counts.iter().map(|count| *count as u64).collect();
    Json(json!({ "step": inner.pass, "epoch": inner.epoch, "Counts": counts }))
}

async fn order(State(access): State<Access>, Json(order): Json<Order>) -> Response {
    let (lost, late) = {
        let mut inner = access.group.lock();
        inner.orders += 1;
        (inner.orders.is_multiple_of(inner.lost_each), inner.late)
    };
    if lost {
        // Carried out even if the caller has closed the connection.
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            access.carry_out(&order);
        });
        std::future::pending::<()>().await;
        return StatusCode::OK.into_response();
    }
    let status = access.carry_out(&order);
    if status == StatusCode::OK && &*order.op == "Retention" {
        let awaited = access.group.lock().awaited_hold.take();
        if let Some(AwaitedHold { begun, answer }) = awaited
            && begun.send(()).is_ok()
        {
            // Ends with an error, as the other end is dropped and never sends.
            drop(answer.await);
        }
    }
    status.into_response()
}

impl Access {
    fn carry_out(&self, order: &Order) -> StatusCode {
        let status = self.group.lock().apply(self.rank, order);
        if status == StatusCode::ACCEPTED {
            let access = self.clone();
            let epoch = order.epoch;
            tokio::spawn(async move {
                tokio::time::sleep(COPY).await;
                access.group.lock().copied(access.rank, epoch);
            });
        }
        status
    }
}
