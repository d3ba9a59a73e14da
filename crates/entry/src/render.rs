//! Answers to callers.

use std::convert::Infallible;
use std::io;

use axum::body::Body;
use axum::http::{HeaderName, HeaderValue, Response, StatusCode, header};
use berylgw_core::outcome::{Outcome, Refusal};
use berylgw_wire as wire;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use serde::Serialize;

use crate::answer::{Item, Source};
use crate::dispatch::{Answer, Mode};
use crate::scope;
use crate::shared::Shared;

const OUTCOME: HeaderName = HeaderName::from_static("berylgw-outcome");
const REQUEST_ID: HeaderName = HeaderName::from_static("berylgw-request-id");

#[derive(Serialize)]
struct Envelope<'a> {
    error: Explanation<'a>,
}

#[derive(Serialize)]
struct Explanation<'a> {
    reason: &'static str,
    outcome: Outcome,
    retry_after_ms: u64,
    request_id: &'a str,
    message: &'a str,
}

/// Returns the JSON body of a refusal.
fn body(refusal: &Refusal, id: &str) -> String {
    let envelope = Envelope {
        error: Explanation {
            reason: refusal.reason.label(),
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after.as_millis() as u64,
            request_id: id,
            message: &refusal.message,
        },
    };
    serde_json::to_string(&envelope).unwrap_or_default()
}

/// Renders a refusal before the answer has started.
pub fn refusal(shared: &Shared, refusal: &Refusal, id: &str) -> Response<Body> {
    count(shared, refusal);
    scope::current().log_refused(refusal, id);
    let mut response = Response::new(Body::from(body(refusal, id)));
    let status = StatusCode::from_u16(refusal.reason.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let seconds = refusal.retry_after.as_millis().div_ceil(1_000) as u64;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(header::RETRY_AFTER, seconds.into());
    headers.insert(OUTCOME, outcome(refusal.outcome));
    insert_id(&mut response, id);
    response
}

/// Renders an answer, streaming its payload.
pub fn answer(answer: Answer, id: &str) -> Response<Body> {
    let mode = answer.mode;
    let payload = payload(answer.payload, mode, id.to_owned());
    let mut response = Response::new(Body::from_stream(payload));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(&answer.headers, &mut response, mode);
    if mode == Mode::Collect {
        response
            .headers_mut()
            .insert(OUTCOME, outcome(Outcome::Done));
    }
    insert_id(&mut response, id);
    response
}

fn outcome(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

fn insert_id(response: &mut Response<Body>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

fn copy_headers(headers: &[wire::Header], response: &mut Response<Body>, mode: Mode) {
    for field in headers {
        let Ok(name) = HeaderName::from_bytes(field.name.as_bytes()) else {
            continue;
        };
        let length = name == header::CONTENT_LENGTH && mode != Mode::Relay;
        // What a server says of the outcome is no promise of the entry.
        let own = name == OUTCOME || name == REQUEST_ID;
        if length || own || is_hop_by_hop(&name) {
            continue;
        }
        if let Ok(value) = HeaderValue::from_bytes(&field.value) {
            response.headers_mut().append(name, value);
        }
    }
}

/// Returns whether the header is hop-by-hop (RFC 9110, section 7.6.1).
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    let names = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    names.contains(&name.as_str())
}

/// Counts a refusal by its reason.
pub fn count(shared: &Shared, refusal: &Refusal) {
    let refusals = &shared.metrics.refusals;
    refusals.with_label_values(&[refusal.reason.label()]).inc();
}

/// Returns the payload stream of an answer. A failure ends event streams with an
/// error event and other answers by breaking the connection.
fn payload(source: Source, mode: Mode, id: String) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let ended = stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        // The queue closes without a final item only if the driver task ended
        // abnormally.
        let item = source.next().await;
        match item {
            Some(Item::End) => None,
            Some(Item::Data(data)) => Some((Ok(data), Some(source))),
            Some(Item::Failed(refusal)) => Some((Err(Some(refusal)), None)),
            None => Some((Err(None), None)),
        }
    });
    ended.map(move |item| match item {
        Ok(data) => Ok(data),
        Err(Some(refusal)) => {
            if mode == Mode::Events {
                let event = format!("event: error\ndata: {}\n\n", body(&refusal, &id));
                return Ok(event.into());
            }
            Err(io::Error::other(refusal))
        }
        Err(None) => Err(io::Error::other("answer abandoned")),
    })
}

/// Renders a value as JSON; serializing it must not fail.
pub fn json(value: &impl Serialize) -> Result<Response<Body>, Infallible> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}
