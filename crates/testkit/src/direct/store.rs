//! A fake of the platform's store of versioned objects.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, Request, State};
use axum::http::header::CONTENT_LENGTH;
use axum::http::{Method, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::any;
use axum::{Json, Router};
use futures_util::TryStreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Treatment of the calls at one of the store's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Answers.
    Open,
    /// Refuses with 503.
    Refusing,
    /// Accepts calls and never answers.
    Silent,
    /// Carries out calls, also updates, and never answers.
    AnswerLost,
}

/// A store with one address for each process that uses it.
#[derive(Clone, Debug, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

/// A state of the store that it may return to.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Number of times that it returned from a copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
    /// Revision up to which changes are compacted: a watch from before fails.
    forgotten: u64,
    /// Whether watches report no changes, while reads work.
    stalled: bool,
    /// Time after which a waiting watch is cut off.
    cut_after: Option<Duration>,
    calls: u64,
    /// Values that no JSON value can hold, by the text that stands for each.
    raw: Vec<(String, Vec<u8>)>,
    /// Most objects of a page of a list, if they are limited.
    page_length: Option<usize>,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Parameters {
    watch: Option<u64>,
    wait_ms: u64,
    after: Option<String>,
}

#[derive(Clone)]
struct Access {
    store: Store,
    treatment: watch::Receiver<Treatment>,
}

impl Store {
    /// Listens on loopback; the sender sets the treatment of calls at this
    /// address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn listen(&self) -> io::Result<(SocketAddr, watch::Sender<Treatment>)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, treatment) = watch::channel(Treatment::Open);
        let access = Access {
            store: self.clone(),
            treatment,
        };
        let router = Router::new()
            .route("/v1/objects/{kind}", any(kind))
            .route("/v1/objects/{kind}/{name}", any(object))
            .layer(middleware::from_fn_with_state(access.clone(), lose_answer))
            .layer(middleware::from_fn_with_state(self.clone(), write_raw))
            .layer(middleware::from_fn_with_state(self.clone(), name_era))
            .with_state(access);
        tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                tracing::error!(%error, "store failed");
            }
        });
        Ok((address, sender))
    }

    /// Writes an object as the operator or a backend server would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let mut inner = self.lock();
        inner.write(kind, name, spec);
        let revision = inner.revision;
        drop(inner);
        self.changed.send_replace(revision);
        revision
    }

    /// Writes an object if `condition` holds for the known one, at one point in time.
    fn put_if(
        &self,
        kind: &str,
        name: &str,
        spec: Value,
        condition: impl Fn(Option<&Value>) -> bool,
    ) -> Result<Value, Option<Value>> {
        let mut inner = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = inner.objects.get(&key);
        if !condition(known) {
            return Err(known.cloned());
        }
        let written = inner.write(kind, name, spec);
        let revision = inner.revision;
        drop(inner);
        self.changed.send_replace(revision);
        Ok(written)
    }

    /// Returns the value of an object, `None` if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let object = self.lock().objects.get(&key).cloned()?;
        Some(object["Spec"].clone())
    }

    /// Writes an object whose value is sent as it is here, well formed or not.
    pub fn put_raw(&self, kind: &str, name: &str, value: &[u8]) -> u64 {
        let stand_in = format!("raw value of {kind}/{name}");
        let quoted = format!("\"{stand_in}\"");
        self.lock().raw.push((quoted, value.to_vec()));
        self.put(kind, name, json!(stand_in))
    }

    /// Writes an object whose revision cannot be read in a list.
    pub fn put_without_revision(&self, kind: &str, name: &str) {
        let mut inner = self.lock();
        inner.write(kind, name, Value::Null);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = inner.objects.get_mut(&key) {
            object["Metadata"]["Revision"] = json!("unreadable");
        }
    }

    /// Limits the objects of a page of a list.
    pub fn set_page_length(&self, objects: usize) {
        self.lock().page_length = Some(objects);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.lock();
        inner.delete(kind, name);
        let revision = inner.revision;
        drop(inner);
        self.changed.send_replace(revision);
    }

    /// Stops or resumes the reports of watches. On resumption, the changes made
    /// meanwhile are compacted, so that the watches fail.
    pub fn stall_watches(&self, stalled: bool) {
        let mut inner = self.lock();
        inner.stalled = stalled;
        if !stalled {
            inner.forgotten = inner.revision;
        }
        let revision = inner.revision;
        drop(inner);
        self.changed.send_replace(revision);
    }

    /// Cuts off all watches that begin from now on after they have waited for `after`.
    pub fn cut_watches(&self, after: Duration) {
        self.lock().cut_after = Some(after);
    }

    /// Copies the objects, for [`Store::restore`].
    pub fn copy(&self) -> Copy {
        let inner = self.lock();
        Copy {
            revision: inner.revision,
            objects: inner.objects.clone(),
            history: inner.history.clone(),
        }
    }

    /// Returns to the state of a copy. All changes since are lost, and their
    /// revisions are given again.
    pub fn restore(&self, copy: Copy) {
        let mut inner = self.lock();
        inner.era += 1;
        inner.revision = copy.revision;
        inner.objects = copy.objects;
        inner.history = copy.history;
        let revision = inner.revision;
        drop(inner);
        self.changed.send_replace(revision);
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let inner = self.lock();
        let keys = inner.objects.keys().filter(|key| key.0 == kind);
        keys.map(|key| key.1.clone()).collect()
    }

    /// Returns the number of calls accepted since the start.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            let stalled = {
                let inner = self.lock();
                let missing = after < inner.forgotten || after > inner.revision;
                if !inner.stalled && missing {
                    return StatusCode::GONE.into_response();
                }
                let events = inner.events(kind, after);
                if !inner.stalled && !events.is_empty() {
                    let at = inner.revision;
                    return Json(json!({ "events": events, "At": at })).into_response();
                }
                inner.stalled
            };
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
                && !stalled
            {
                let at = self.lock().revision;
                return Json(json!({ "events": [], "At": at })).into_response();
            }
        }
    }
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        self.revision += 1;
        let metadata = json!({ "Name": name, "Revision": self.revision });
        let object = json!({ "Metadata": metadata, "Spec": spec });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.record(kind, object.clone(), false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.remove(&key)?;
        self.revision += 1;
        self.record(kind, object.clone(), true);
        Some(object)
    }

    fn record(&mut self, kind: &str, object: Value, deleted: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            deleted,
        });
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Value> {
        let newer = self.history.iter().filter(|change| change.revision > after);
        let newer = newer.filter(|change| change.kind == kind);
        newer
            .map(|change| json!({ "Object": change.object, "Deleted": change.deleted }))
            .collect()
    }
}

/// Withholds the answers of calls that were carried out.
async fn lose_answer(State(access): State<Access>, request: Request, next: Next) -> Response {
    let response = next.run(request).await;
    let treatment = *access.treatment.borrow();
    match treatment {
        Treatment::AnswerLost => std::future::pending().await,
        _ => response,
    }
}

/// Adds the era to each answer.
async fn name_era(State(store): State<Store>, request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    let era = store.lock().era;
    response.headers_mut().insert("store-era", era.into());
    response
}

/// Puts the values of [`Store::put_raw`] into each answer.
async fn write_raw(State(store): State<Store>, request: Request, next: Next) -> Response {
    let response = next.run(request).await;
    let raw = store.lock().raw.clone();
    if raw.is_empty() {
        return response;
    }
    let (mut parts, body) = response.into_parts();
    let Ok(body) = axum::body::to_bytes(body, usize::MAX).await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let mut body = body.to_vec();
    for (stand_in, value) in &raw {
        let mut from = 0;
        while let Some(at) = position(&body[from..], stand_in.as_bytes()) {
            body.splice(from + at..from + at + stand_in.len(), value.iter().copied());
            from += at + value.len();
        }
    }
    parts.headers.remove(CONTENT_LENGTH);
    Response::from_parts(parts, body.into())
}

fn position(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

async fn intercept(access: &Access) -> Option<Response> {
    let treatment = *access.treatment.borrow();
    match treatment {
        Treatment::Open | Treatment::AnswerLost => {
            access.store.lock().calls += 1;
            None
        }
        Treatment::Refusing => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        Treatment::Silent => std::future::pending().await,
    }
}

/// Waits until a call is no longer answered; returns whether it then gets no
/// answer at all.
async fn became_silent(treatment: &mut watch::Receiver<Treatment>) -> bool {
    let changed = treatment.wait_for(|treatment| *treatment != Treatment::Open);
    // The sender ends with the test.
    changed
        .await
        .is_ok_and(|treatment| *treatment != Treatment::Refusing)
}

async fn kind(
    State(access): State<Access>,
    Path(kind): Path<String>,
    Query(parameters): Query<Parameters>,
    method: Method,
    body: String,
) -> Response {
    if let Some(refusal) = intercept(&access).await {
        return refusal;
    }
    if method == Method::POST {
        return create(&access.store, &kind, &body);
    }
    if let Some(after) = parameters.watch {
        let wait = Duration::from_millis(parameters.wait_ms);
        let mut treatment = access.treatment.clone();
        let cut_after = access.store.lock().cut_after;
        return tokio::select! {
            answer = access.store.watch(&kind, after, wait) => answer,
            () = tokio::time::sleep(cut_after.unwrap_or(Duration::MAX)) => broken_off(),
            silent = became_silent(&mut treatment) => match silent {
                // Nothing is sent on the connection, not even an error.
                true => std::future::pending().await,
                false => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            },
        };
    }
    let inner = access.store.lock();
    let after = parameters.after.unwrap_or_default();
    let objects = inner.objects.iter();
    let mut objects = objects.filter(|((of, name), _)| *of == kind && *name > after);
    let length = inner.page_length.unwrap_or(usize::MAX);
    let page = objects.by_ref().take(length);
    let items: Vec<&Value> = page.map(|object| object.1).collect();
    let more = objects.next().is_some();
    Json(json!({ "Items": items, "More": more, "At": inner.revision })).into_response()
}

/// Returns an answer that ends with the connection before its body.
fn broken_off() -> Response {
    let body = futures_util::stream::once(async { Err::<String, _>(io::ErrorKind::BrokenPipe) });
    axum::body::Body::from_stream(body.map_err(io::Error::from)).into_response()
}

fn create(store: &Store, kind: &str, body: &str) -> Response {
    let Ok(object) = serde_json::from_str::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let name = object["Metadata"]["Name"].as_str().unwrap_or_default();
    match store.put_if(kind, name, object["Spec"].clone(), |known| known.is_none()) {
        Ok(written) => Json(written).into_response(),
        Err(known) => (StatusCode::CONFLICT, Json(known)).into_response(),
    }
}

async fn object(
    State(access): State<Access>,
    Path((kind, name)): Path<(String, String)>,
    method: Method,
    body: String,
) -> Response {
    if let Some(refusal) = intercept(&access).await {
        return refusal;
    }
    let store = &access.store;
    let known = store
        .lock()
        .objects
        .get(&(kind.clone(), name.clone()))
        .cloned();
    let Some(known) = known else {
        return StatusCode::NOT_FOUND.into_response();
    };
    match method {
        Method::PUT => match serde_json::from_str::<Value>(&body) {
            Ok(object) => {
                let revision = object["Metadata"]["Revision"].as_u64().unwrap_or(0);
                let matches = |known: Option<&Value>| {
                    known.is_some_and(|known| {
                        revision == 0 || known["Metadata"]["Revision"] == revision
                    })
                };
                match store.put_if(&kind, &name, object["Spec"].clone(), matches) {
                    Ok(written) => Json(written).into_response(),
                    Err(known) => (StatusCode::CONFLICT, Json(known)).into_response(),
                }
            }
            Err(_) => StatusCode::BAD_REQUEST.into_response(),
        },
        Method::DELETE => {
            store.remove(&kind, &name);
            Json(known).into_response()
        }
        _ => Json(known).into_response(),
    }
}
