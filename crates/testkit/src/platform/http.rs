//! HTTP interface of the fake platform.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::header::{IF_MATCH, RETRY_AFTER};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Extension, Json, Router};
use berylgw_platform::Host;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::state::Platform;
use super::watch;
use crate::bucket::retry_after_seconds;
use crate::control::patched;
use crate::serve::Hangup;

const VALUE_LIMIT_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct ListQuery {
    watch: Option<u64>,
}

#[derive(Deserialize)]
struct Registration {
    address: std::net::SocketAddr,
    domain: std::sync::Arc<str>,
    state: std::sync::Arc<str>,
}

/// Routes of the `platform` interface.
pub fn router(platform: Platform) -> Router {
    let object = get(read).put(update).delete(update);
    Router::new()
        .route("/v1/objects/{kind}/{name}", object)
        .route("/v1/objects/{kind}", get(list))
        .route("/v1/hosts", get(hosts))
        .route("/v1/hosts/{name}", put(put_host))
        .layer(middleware::from_fn_with_state(platform.clone(), gate))
        .layer(DefaultBodyLimit::max(VALUE_LIMIT_BYTES))
        .with_state(platform)
}

/// Routes of the `control` interface.
pub fn control_router(platform: Platform) -> Router {
    Router::new()
        .route("/fault", post(set_fault))
        .route("/calls", get(calls))
        .with_state(platform)
}

/// Counts the call and applies faults and rate limits.
async fn gate(State(platform): State<Platform>, request: Request, next: Next) -> Response {
    let write = request.method() != Method::GET;
    let fault = {
        let mut state = platform.state();
        let (verb, kind) = verb_and_kind(&request);
        state.count(verb, &kind);
        state.fault.clone()
    };
    if fault.hang {
        return std::future::pending().await;
    }
    if fault.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    }
    if fault.outage {
        let header = [(RETRY_AFTER, 1)];
        return (StatusCode::SERVICE_UNAVAILABLE, header, "outage").into_response();
    }
    let taken = platform.state().take(write);
    if let Err(wait) = taken {
        let header = [(RETRY_AFTER, retry_after_seconds(wait))];
        return (StatusCode::TOO_MANY_REQUESTS, header, "rate limit").into_response();
    }
    next.run(request).await
}

fn verb_and_kind(request: &Request) -> (&'static str, String) {
    let mut parts = request.uri().path().split('/').skip(2);
    let collection = parts.next().unwrap_or_default();
    let kind = if collection == "objects" {
        parts.next().unwrap_or_default()
    } else {
        collection
    };
    let named = parts.next().is_some();
    let watching = request.uri().query().is_some();
    let verb = match *request.method() {
        Method::PUT => "put",
        Method::DELETE => "delete",
        _ if named => "get",
        _ if watching => "watch",
        _ => "list",
    };
    (verb, kind.to_owned())
}

async fn read(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    match platform.state().get(&kind, &name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list(
    State(platform): State<Platform>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    let Some(revision) = query.watch else {
        return Json(platform.state().list(&kind)).into_response();
    };
    if platform.state().events(&kind, revision).is_none() {
        return StatusCode::GONE.into_response();
    }
    Response::new(watch::body(platform, kind, revision))
}

async fn update(
    State(platform): State<Platform>,
    Path((kind, name)): Path<(String, String)>,
    Extension(hangup): Extension<Hangup>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let expected = headers.get(IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(expected) = expected.and_then(|value| value.parse().ok()) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let value = if method == Method::PUT {
        match serde_json::from_slice::<Box<RawValue>>(&body) {
            Ok(value) => Some(value),
            Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
        }
    } else {
        None
    };
    let (result, lost) = {
        let mut state = platform.state();
        let result = state.update(&kind, &name, expected, value);
        let lost = result.is_ok() && state.loses_answer();
        (result, lost)
    };
    platform.wake();
    if lost {
        return hangup.hang_up().await;
    }
    match result {
        Ok(version) => Json(json!({ "version": version })).into_response(),
        Err(version) => (StatusCode::CONFLICT, Json(json!({ "version": version }))).into_response(),
    }
}

async fn hosts(State(platform): State<Platform>) -> Json<Value> {
    let hosts = platform.state().hosts();
    Json(json!({ "hosts": hosts }))
}

async fn put_host(
    State(platform): State<Platform>,
    Path(name): Path<String>,
    Json(host): Json<Registration>,
) -> Json<Value> {
    platform.state().put_host(Host {
        name: name.into(),
        address: host.address,
        domain: host.domain,
        state: host.state,
    });
    Json(json!({}))
}

async fn set_fault(State(platform): State<Platform>, Json(patch): Json<Value>) -> Response {
    let fault = {
        let mut state = platform.state();
        let fault = match patched(&state.fault, &patch) {
            Ok(fault) => fault,
            Err(message) => return (StatusCode::BAD_REQUEST, message).into_response(),
        };
        if fault.silent_watches {
            state.silencings += 1;
        }
        state.fault = fault.clone();
        fault
    };
    platform.wake();
    Json(fault).into_response()
}

async fn calls(State(platform): State<Platform>) -> Response {
    let calls = platform.state().calls();
    Response::new(Body::from(json!(calls).to_string()))
}
