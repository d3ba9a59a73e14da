//! HTTP interface of a rank, apart from chat, and the control interface.

use std::time::Instant;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};

use super::group::{Engine, Group};
use super::order::{Order, Report, Start};
use super::{Fault, Load, Stats, Steps, chat};

const BODY_LIMIT_BYTES: usize = 16 << 20;

/// One rank of an engine.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub engine: Engine,
    pub rank: usize,
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Deserialize)]
struct Map {
    version: u64,
    #[serde(default)]
    activate: bool,
}

/// Routes of the `engine` interface of one rank.
pub fn router(engine: Engine, rank: usize) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::complete))
        .route("/cancel/{id}", post(cancel))
        .route("/load", get(load))
        .route("/events", get(events))
        .route("/orders", get(orders).post(order))
        .route("/map", get(map).post(load_map))
        .route("/steps", get(steps))
        .route("/stats", get(stats))
        .layer(DefaultBodyLimit::max(BODY_LIMIT_BYTES))
        .with_state(Target { engine, rank })
}

/// Routes of the `control` interface.
pub fn control_router(engine: Engine) -> Router {
    Router::new()
        .route("/fault", post(fault))
        .with_state(engine)
}

async fn fault(State(engine): State<Engine>, Json(fault): Json<Fault>) -> Response {
    match engine.fault(&fault) {
        Ok(()) => Json(fault).into_response(),
        Err(message) => (StatusCode::BAD_REQUEST, message).into_response(),
    }
}

async fn cancel(State(target): State<Target>, Path(id): Path<String>) -> Json<Value> {
    let cancelled = target.engine.group().ranks[target.rank].cancel(&id);
    Json(json!({ "cancelled": cancelled }))
}

async fn load(State(target): State<Target>) -> Json<Load> {
    let group = target.engine.group();
    Json(group.ranks[target.rank].load(&group.settings, Instant::now()))
}

async fn events(State(target): State<Target>, Query(query): Query<EventQuery>) -> Json<Value> {
    let group = target.engine.group();
    let cache = &group.ranks[target.rank].cache;
    Json(json!({ "events": cache.events(query.after, Instant::now()) }))
}

async fn orders(State(target): State<Target>) -> Json<Report> {
    let group = target.engine.group();
    Json(group.ranks[target.rank].orders.report(Instant::now()))
}

async fn order(State(target): State<Target>, Json(order): Json<Order>) -> Response {
    let mut group = target.engine.group();
    let group = &mut *group;
    let now = Instant::now();
    let orders = &mut group.ranks[target.rank].orders;
    match orders.accept(order.clone(), &group.settings, now) {
        Ok(start) => {
            if start.is_some_and(|start| !carry_out(group, target.rank, &order, &start, now)) {
                group.ranks[target.rank].orders.fail_last();
            }
            (StatusCode::ACCEPTED, Json(json!({}))).into_response()
        }
        Err(token) => (StatusCode::CONFLICT, Json(json!({ "token": token }))).into_response(),
    }
}

/// Carries out an order for an expert map; `false` if it has no effect.
fn carry_out(group: &mut Group, rank: usize, order: &Order, start: &Start, now: Instant) -> bool {
    let map = order.rest["map"].as_u64();
    match (&*order.action, map) {
        ("load_map", Some(map)) => {
            let placement = order.rest["placement"].clone();
            let Ok(placement) = serde_json::from_value(placement) else {
                return false;
            };
            let experts = &mut group.experts;
            if !experts
                .as_mut()
                .is_none_or(|experts| experts.store(map, placement))
            {
                return false;
            }
            let maps = &mut group.ranks[rank].maps;
            maps.entry(map).or_insert(start.done_at);
            true
        }
        ("stamp_map", Some(map)) => group.stamp(rank, map, now),
        ("unload_map", Some(map)) => group.unload(rank, map),
        ("load_map" | "stamp_map" | "unload_map", None) => false,
        _ => true,
    }
}

async fn map(State(target): State<Target>) -> Json<Value> {
    let group = target.engine.group();
    let now = Instant::now();
    let maps = &group.ranks[target.rank].maps;
    let ready = |loaded: bool| -> Vec<u64> {
        let chosen = maps.iter().filter(|(_, at)| (**at <= now) == loaded);
        chosen.map(|(version, _)| *version).collect()
    };
    Json(json!({
        "incarnation": group.ranks[target.rank].incarnation,
        "active": group.active_map,
        "begun": group.begun,
        "placement": group.experts.as_ref().and_then(|experts| experts.placement(group.active_map)),
        "loaded": ready(true),
        "loading": ready(false),
    }))
}

async fn load_map(State(target): State<Target>, Json(map): Json<Map>) -> Response {
    let mut group = target.engine.group();
    let now = Instant::now();
    if !map.activate {
        let ready_at = now + group.settings.map_load;
        let maps = &mut group.ranks[target.rank].maps;
        maps.entry(map.version).or_insert(ready_at);
        return (StatusCode::ACCEPTED, Json(json!({}))).into_response();
    }
    if target.rank != 0 {
        return (
            StatusCode::BAD_REQUEST,
            "only the first rank activates a map",
        )
            .into_response();
    }
    if !group.stamp(target.rank, map.version, now) {
        return (StatusCode::CONFLICT, "map is not loaded or older").into_response();
    }
    Json(json!({})).into_response()
}

async fn steps(State(target): State<Target>) -> Json<Steps> {
    Json(target.engine.group().steps())
}

async fn stats(State(target): State<Target>) -> Json<Stats> {
    Json(target.engine.group().ranks[target.rank].stats())
}
