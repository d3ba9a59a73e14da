//! Fake of the rate-limited weight store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};

use crate::bucket::{Bucket, retry_after_seconds};

const CHUNK_BYTES: u64 = 64 << 10;

static ZEROES: [u8; CHUNK_BYTES as usize] = [0; CHUNK_BYTES as usize];

/// A fake weight store; clones share their state.
#[derive(Clone, Debug)]
pub struct Store(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    bucket: Bucket,
    calls: Vec<Calls>,
}

/// Reads of one weight as `GET /calls` of the control listener reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Name of the weight.
    pub name: String,
    /// Reads that were answered.
    pub served: u64,
    /// Bytes in these answers.
    pub bytes: u64,
    /// Reads refused for the rate limit.
    pub refused: u64,
}

#[derive(Deserialize)]
struct Size {
    bytes: u64,
}

impl Store {
    /// A store with a rate limit in bytes per second.
    pub fn new(bytes_per_second: f64) -> Self {
        Store(Arc::new(Mutex::new(Inner {
            bucket: Bucket::new(bytes_per_second, Instant::now()),
            calls: Vec::new(),
        })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn calls(&mut self, name: &str) -> &mut Calls {
        let found = self.calls.binary_search_by(|calls| (*calls.name).cmp(name));
        let index = found.unwrap_or_else(|index| {
            let calls = Calls {
                name: name.to_owned(),
                ..Calls::default()
            };
            self.calls.insert(index, calls);
            index
        });
        &mut self.calls[index]
    }
}

/// Routes of the `store` interface.
pub fn router(store: Store) -> Router {
    Router::new()
        .route("/weights/{name}", get(read))
        .with_state(store)
}

/// Routes of the `control` interface.
pub fn control_router(store: Store) -> Router {
    Router::new().route("/calls", get(calls)).with_state(store)
}

async fn read(
    State(store): State<Store>,
    Path(name): Path<String>,
    Query(size): Query<Size>,
) -> Response {
    let mut inner = store.inner();
    // A read larger than one second's worth leaves a debt that later reads wait for.
    if let Err(wait) = inner.bucket.take(size.bytes as f64, Instant::now()) {
        inner.calls(&name).refused += 1;
        let header = [(RETRY_AFTER, retry_after_seconds(wait))];
        return (StatusCode::TOO_MANY_REQUESTS, header, "rate limit").into_response();
    }
    let calls = inner.calls(&name);
    calls.served += 1;
    calls.bytes += size.bytes;
    ([(CONTENT_LENGTH, size.bytes)], zeroes(size.bytes)).into_response()
}

/// A body of `bytes` zero bytes that is never held as a whole.
fn zeroes(bytes: u64) -> Body {
    Body::from_stream(stream::unfold(bytes, async |left| {
        let count = left.min(CHUNK_BYTES);
        let chunk = Bytes::from_static(&ZEROES[..count as usize]);
        (count > 0).then(|| (Ok::<_, std::io::Error>(chunk), left - count))
    }))
}

async fn calls(State(store): State<Store>) -> Json<Vec<Calls>> {
    Json(store.inner().calls.clone())
}
