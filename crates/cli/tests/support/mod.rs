//! In-process platform with versioned objects of one kind, watches that replay
//! the event log, and queues of faults for the next calls.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use berylgw::Output;
use futures_util::stream;
use serde_json::{Value, json};

/// Fault of one call.
pub enum Fault {
    /// No fault.
    None,
    /// The update takes effect and its response is lost.
    AnswerLost,
    /// The call is lost before it takes effect.
    CallLost,
    /// The call is refused.
    Outage,
    /// Another writer puts this object before the update is checked.
    Race(&'static str, Value),
    /// The update takes effect, another writer replaces the object, and the
    /// response is lost.
    Overwritten(Value),
}

#[derive(Default)]
struct Store {
    revision: u64,
    objects: Vec<(String, u64, Value)>,
    log: Vec<Value>,
    puts: VecDeque<Fault>,
    gets: VecDeque<Fault>,
    lists: VecDeque<Fault>,
    put_count: u64,
}

impl Store {
    fn version(&self, name: &str) -> u64 {
        let found = self.objects.iter().find(|object| object.0 == name);
        found.map_or(0, |object| object.1)
    }

    fn put(&mut self, name: &str, value: Value) -> u64 {
        self.revision += 1;
        self.objects.retain(|object| object.0 != name);
        self.objects
            .push((name.to_owned(), self.revision, value.clone()));
        self.log
            .push(json!({"type": "put", "revision": self.revision, "name": name, "value": value}));
        self.revision
    }

    fn delete(&mut self, name: &str) -> u64 {
        self.revision += 1;
        self.objects.retain(|object| object.0 != name);
        self.log
            .push(json!({"type": "delete", "revision": self.revision, "name": name}));
        self.revision
    }

    fn items(&self) -> Vec<Value> {
        let mut items = Vec::new();
        for (name, version, value) in &self.objects {
            items.push(json!({"name": name, "version": version, "value": value}));
        }
        items
    }
}

/// A running platform.
pub struct Platform {
    address: SocketAddr,
    store: Shared,
}

type Shared = Arc<Mutex<Store>>;

impl Platform {
    pub async fn start() -> Self {
        let store = Shared::default();
        let router = Router::new()
            .route("/v1/objects/config", get(list))
            .route(
                "/v1/objects/config/{name}",
                get(read).put(write).delete(remove),
            )
            .with_state(store.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Platform { address, store }
    }

    pub fn put(&self, name: &str, value: Value) -> u64 {
        self.store.lock().unwrap().put(name, value)
    }

    pub fn get(&self, name: &str) -> Option<Value> {
        let store = self.store.lock().unwrap();
        let found = store.objects.iter().find(|object| object.0 == name);
        found.map(|object| object.2.clone())
    }

    pub fn names(&self) -> Vec<String> {
        let store = self.store.lock().unwrap();
        store
            .objects
            .iter()
            .map(|object| object.0.clone())
            .collect()
    }

    pub fn version(&self, name: &str) -> u64 {
        self.store.lock().unwrap().version(name)
    }

    /// Returns the number of updates received.
    pub fn put_count(&self) -> u64 {
        self.store.lock().unwrap().put_count
    }

    pub fn fail_puts(&self, faults: impl IntoIterator<Item = Fault>) {
        self.store.lock().unwrap().puts.extend(faults);
    }

    pub fn fail_gets(&self, faults: impl IntoIterator<Item = Fault>) {
        self.store.lock().unwrap().gets.extend(faults);
    }

    pub fn fail_lists(&self, faults: impl IntoIterator<Item = Fault>) {
        self.store.lock().unwrap().lists.extend(faults);
    }

    /// Runs the command line against this platform.
    pub async fn run(&self, line: &str) -> Output {
        let args = line.split(' ').map(Into::into).collect();
        berylgw::run(args, Some(self.address.to_string())).await
    }
}

fn broken_response() -> Response {
    let error = std::io::Error::other("connection cut by the test");
    let body = stream::once(async { Err::<Vec<u8>, _>(error) });
    Body::from_stream(body).into_response()
}

fn outage_response() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [("retry-after", "3")]).into_response()
}

fn json_response(value: &Value) -> Response {
    value.to_string().into_response()
}

async fn list(State(store): State<Shared>, Query(query): Query<Vec<(String, u64)>>) -> Response {
    let mut store = store.lock().unwrap();
    match store.lists.pop_front() {
        Some(Fault::Outage) => return outage_response(),
        Some(_) => return broken_response(),
        None => {}
    }
    let Some((_, since)) = query.first() else {
        return json_response(&json!({"revision": store.revision, "items": store.items()}));
    };
    let mut text = String::new();
    for event in &store.log {
        if event["revision"].as_u64() > Some(*since) {
            text.push_str(&format!("{event}\n"));
        }
    }
    let heartbeat = json!({"type": "heartbeat", "revision": store.revision});
    text.push_str(&format!("{heartbeat}\n"));
    text.into_response()
}

async fn read(State(store): State<Shared>, Path(name): Path<String>) -> Response {
    let mut store = store.lock().unwrap();
    match store.gets.pop_front() {
        Some(Fault::Outage) => return outage_response(),
        Some(Fault::CallLost) => return broken_response(),
        _ => {}
    }
    let items = store.items();
    match items.iter().find(|item| item["name"] == *name) {
        Some(item) => json_response(item),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(store): State<Shared>,
    Path(name): Path<String>,
    headers: HeaderMap,
    text: String,
) -> Response {
    let mut store = store.lock().unwrap();
    store.put_count += 1;
    let expected: u64 = headers["if-match"].to_str().unwrap().parse().unwrap();
    let value: Value = serde_json::from_str(&text).unwrap();
    if text.len() > 1 << 20 {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let fault = store.puts.pop_front().unwrap_or(Fault::None);
    match fault {
        Fault::Outage => return outage_response(),
        Fault::CallLost => return broken_response(),
        Fault::Race(other, ref value) => {
            store.put(other, value.clone());
        }
        _ => {}
    }
    let version = store.version(&name);
    if version != expected {
        let conflict = json!({ "version": version });
        return (StatusCode::CONFLICT, json_response(&conflict)).into_response();
    }
    let version = store.put(&name, value);
    match fault {
        Fault::AnswerLost => broken_response(),
        Fault::Overwritten(other) => {
            store.put(&name, other);
            broken_response()
        }
        _ => json_response(&json!({ "version": version })),
    }
}

async fn remove(
    State(store): State<Shared>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    let mut store = store.lock().unwrap();
    let expected: u64 = headers["if-match"].to_str().unwrap().parse().unwrap();
    let version = store.version(&name);
    if version != expected || version == 0 {
        let conflict = json!({ "version": version });
        return (StatusCode::CONFLICT, json_response(&conflict)).into_response();
    }
    json_response(&json!({ "version": store.delete(&name) }))
}
