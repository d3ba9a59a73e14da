//! Responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::metrics::End;

/// Reason why a response that has begun is not completed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response aborted: {0}")]
pub struct Abort(pub End);

/// Body of a response.
pub enum Body {
    /// All bytes at once.
    Buffered(Full<Bytes>),
    /// Bytes as they arrive.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, Abort>>>>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match self.get_mut() {
            Body::Buffered(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|result| result.map_err(|never| match never {})))
            }
            Body::Stream(stream) => {
                let item = stream.as_mut().poll_next(context);
                item.map(|item| item.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(body) => body.is_end_stream(),
            Body::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// A response of a server whose body has been read to its end.
#[derive(Clone, Debug)]
pub struct Buffered {
    /// Status that the server sent.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Buffered {
    /// Converts it to a response to the caller.
    pub fn into_response(self) -> Response<Body> {
        respond(
            self.status,
            self.headers,
            Body::Buffered(Full::new(self.body)),
        )
    }
}

/// Builds a response from its parts.
pub fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A response that the entry generates itself instead of a server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request ends.
    pub end: End,
    /// Time after which the client may retry, `None` if it must not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub fn new(end: End) -> Self {
        Refusal {
            end,
            retry_after: None,
        }
    }

    /// Sets `Retry-After`.
    pub fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Returns the status, which states whether the request may have run.
    ///
    /// 503 guarantees that it has not run and never will; 502 and 504
    /// guarantee nothing.
    pub fn status(&self) -> StatusCode {
        match self.end {
            End::NoRoute => StatusCode::NOT_FOUND,
            End::Unauthenticated => StatusCode::UNAUTHORIZED,
            End::Malformed => StatusCode::BAD_REQUEST,
            End::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            End::Timeout => StatusCode::GATEWAY_TIMEOUT,
            // A request that the entry failed at may have run.
            End::AnswerLost
            | End::BrokenOff
            | End::Answered
            | End::ClientLeft
            | End::Stopped
            | End::Internal => StatusCode::BAD_GATEWAY,
            End::NoConfiguration
            | End::NoPermit
            | End::GroupClosed
            | End::NoServer
            | End::ServersRefused
            | End::Quarantined
            | End::ServersPause
            | End::Suspected
            | End::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Converts the refusal to a response to the caller.
    pub fn into_response(self) -> Response<Body> {
        let body = serde_json::json!({ "error": { "reason": self.end.to_string() } });
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(time) = self.retry_after {
            let seconds = format!("{:.3}", time.as_secs_f64());
            match HeaderValue::from_str(&seconds) {
                Ok(value) => drop(headers.insert(RETRY_AFTER, value)),
                Err(error) => tracing::error!(%error, seconds, "invalid Retry-After value"),
            }
        }
        let body = Body::Buffered(Full::new(body.to_string().into()));
        respond(self.status(), headers, body)
    }
}

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    hyper::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// Removes the hop-by-hop headers and `Content-Length`, which the HTTP library
/// sets again for the next connection.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed = headers.get_all(hyper::header::CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let names = listed.flat_map(|value| value.split(','));
    let names: Vec<HeaderName> = names.filter_map(|name| name.trim().parse().ok()).collect();
    for name in names.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(hyper::header::CONTENT_LENGTH);
}
