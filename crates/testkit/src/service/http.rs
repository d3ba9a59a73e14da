//! HTTP interface of the fake service.

use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};

use super::state::{Ending, Place, Service};
use super::{Execution, Stats};
use crate::control::patched;
use crate::engine::answer;
use crate::serve::Hangup;

const SENDING: &str = "berylgw-sending";

/// One server of a service.
#[derive(Clone, Debug)]
struct Target {
    service: Service,
    server: usize,
}

#[derive(Deserialize)]
struct Booking {
    booking: String,
}

/// Routes of the `service` interface of one server.
pub fn router(service: Service, server: usize) -> Router {
    Router::new()
        .route("/bookings", post(book))
        .route("/payments", post(book))
        .route("/licences", post(book))
        .route("/stock/{item}", get(stock))
        .route("/load", get(load))
        .with_state(Target { service, server })
}

/// Routes of the `control` interface.
pub fn control_router(service: Service) -> Router {
    Router::new()
        .route("/fault", post(set_fault))
        .route("/executions", get(executions))
        .route("/servers", get(servers))
        .with_state(service)
}

async fn book(
    State(target): State<Target>,
    Extension(hangup): Extension<Hangup>,
    headers: HeaderMap,
    Json(request): Json<Booking>,
) -> Response {
    let Target { service, server } = target;
    let sending = headers.get(SENDING).and_then(|value| value.to_str().ok());
    let sending = sending.and_then(|value| value.parse().ok());
    let place = service.enter(server);
    let place = worked(&service, place).await;
    let ending = service
        .state()
        .run(&request.booking, sending.unwrap_or_default());
    match ending {
        Ending::Answer(serial) => {
            drop(place);
            let booking = request.booking;
            Json(json!({"booking": booking, "confirmed": true, "serial": serial})).into_response()
        }
        Ending::Crash => {
            service.crash(server);
            std::future::pending().await
        }
        Ending::Drop => hangup.hang_up().await,
        Ending::Hang => std::future::pending().await,
    }
}

async fn stock(State(target): State<Target>, Path(item): Path<String>) -> Json<Value> {
    let place = target.service.enter(target.server);
    let _place = worked(&target.service, place).await;
    let count = answer::token(&item, 0);
    let count = u32::from_str_radix(count.trim(), 16).unwrap_or_default();
    Json(json!({ "item": item, "count": count }))
}

/// Does the work of a place and gives the place back.
async fn worked(service: &Service, place: Place) -> Option<Place> {
    if !service.state().settings.run_abandoned {
        work(service).await;
        return Some(place);
    }
    let service = service.clone();
    let task = tokio::spawn(async move {
        work(&service).await;
        place
    });
    task.await.ok()
}

async fn work(service: &Service) {
    let time = {
        let state = service.state();
        state.settings.work + Duration::from_millis(state.fault.slow_ms)
    };
    // A request that overfilled its server ends here: its connection breaks.
    tokio::task::yield_now().await;
    tokio::time::sleep(time).await;
}

async fn load(State(target): State<Target>) -> Json<Value> {
    let state = target.service.state();
    let now = Instant::now();
    let as_of = now.checked_sub(state.settings.load_lag);
    let as_of = as_of.map_or(Duration::ZERO, |at| {
        at.saturating_duration_since(state.started)
    });
    Json(json!({
        "in_flight": state.lagging_load(target.server, now),
        "queued": 0,
        "capacity": state.settings.capacity,
        "cold": false,
        "as_of_ms": as_of.as_millis() as u64,
    }))
}

async fn set_fault(State(service): State<Service>, Json(patch): Json<Value>) -> Response {
    let mut state = service.state();
    match patched(&state.fault, &patch) {
        Ok(fault) => {
            state.fault = fault.clone();
            Json(fault).into_response()
        }
        Err(message) => (StatusCode::BAD_REQUEST, message).into_response(),
    }
}

async fn executions(State(service): State<Service>) -> Json<Vec<Execution>> {
    Json(service.state().executions())
}

async fn servers(State(service): State<Service>) -> Json<Vec<Stats>> {
    let state = service.state();
    Json(
        state
            .servers
            .iter()
            .map(|server| server.stats.clone())
            .collect(),
    )
}
