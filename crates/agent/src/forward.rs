//! HTTP client of the local engine or service.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::admission::Report;
use berylgw_wire as wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::Value;

/// Largest load report or answer to a cancel call that is read, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error of a call to the server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established; the request did not reach the server.
    #[error("no connection to the backend server: {0}")]
    Connect(#[source] hyper_util::client::legacy::Error),
    /// The connection broke before the head of the answer.
    #[error("connection to the backend server broke: {0}")]
    Broken(#[source] hyper_util::client::legacy::Error),
    /// The request is not valid HTTP or not the expected JSON.
    #[error("request cannot be passed on: {0}")]
    Invalid(String),
    /// The server's answer is malformed or has an unexpected status.
    #[error("unexpected answer: {0}")]
    Answer(String),
}

/// Client of the local engine or service.
///
/// Clones are cheap and share connections. The HTTP client closes a connection
/// whose answer was not read to its end.
#[derive(Clone, Debug)]
pub struct ServerClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct Load {
    in_flight: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    cold: bool,
    as_of_ms: u64,
}

impl ServerClient {
    /// Creates a client of the server at `address`, for use in one runtime: its
    /// connections are tasks of the runtime that opened them.
    pub fn new(address: SocketAddr) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build_http();
        ServerClient { address, http }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached or breaks the connection.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(error)
            } else {
                Error::Broken(error)
            }
        })
    }

    /// Reads the server's load report.
    ///
    /// # Errors
    ///
    /// Fails if the server does not answer with a load report.
    pub async fn load(&self) -> Result<Report, Error> {
        let (status, body) = self.call(Method::GET, "/load").await?;
        if status != StatusCode::OK {
            return Err(Error::Answer(format!("status {status} for a load report")));
        }
        let load: Load =
            serde_json::from_slice(&body).map_err(|error| Error::Answer(error.to_string()))?;
        Ok(Report {
            in_flight: load.in_flight.saturating_add(load.queued),
            cold: load.cold,
            as_of_ms: load.as_of_ms,
        })
    }

    /// Cancels a request at an engine.
    ///
    /// # Errors
    ///
    /// Fails unless the engine confirms that it no longer runs the request.
    pub async fn cancel(&self, engine_id: &str) -> Result<(), Error> {
        let (status, _) = self
            .call(Method::POST, &format!("/cancel/{engine_id}"))
            .await?;
        // An engine that does not know the request is not running it.
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(Error::Answer(format!("status {status} for a cancel call")))
    }

    /// Builds the request to a plain service.
    ///
    /// # Errors
    ///
    /// Fails if method, path or a header is not valid in HTTP.
    pub fn plain_request(
        &self,
        request: &wire::DispatchRequest,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let mut built = self.request(method, &request.path, request.body.clone())?;
        for header in &request.headers {
            let (name, value) = header_of(header)?;
            if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
                built.headers_mut().append(name, value);
            }
        }
        Ok(built)
    }

    /// Builds the request to a model engine: the caller's JSON with added fields.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a JSON object.
    pub fn model_request(
        &self,
        request: &wire::DispatchRequest,
        engine_id: &str,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let invalid = |error: serde_json::Error| Error::Invalid(error.to_string());
        let mut body: serde_json::Map<String, Value> =
            serde_json::from_slice(&request.body).map_err(invalid)?;
        body.insert("request_id".to_owned(), engine_id.into());
        body.insert("response_id".to_owned(), request.request_id.clone().into());
        body.insert("resume_from".to_owned(), request.resume_from.into());
        let bytes = serde_json::to_vec(&body).map_err(invalid)?;
        let mut built = self.request(Method::POST, "/v1/chat/completions", bytes.into())?;
        let json = HeaderValue::from_static("application/json");
        built.headers_mut().insert(CONTENT_TYPE, json);
        Ok(built)
    }

    async fn call(&self, method: Method, path: &str) -> Result<(StatusCode, Bytes), Error> {
        let request = self.request(method, path, Bytes::new())?;
        self.exchange(request, MAX_REPORT_BYTES).await
    }

    /// Sends a request and reads an answer of at most `limit` bytes.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), Error> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), limit)
            .collect()
            .await
            .map_err(|error| Error::Answer(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    pub(crate) fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let path = if path.starts_with('/') { path } else { "/" };
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| Error::Invalid(error.to_string()))?;
        Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|error| Error::Invalid(error.to_string()))
    }
}

/// Returns the head of an answer without the headers that apply to the
/// connection only.
pub fn head_of(response: &Response<Incoming>) -> wire::AnswerHead {
    let kept = response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    wire::AnswerHead {
        status: u32::from(response.status().as_u16()),
        headers: kept
            .map(|(name, value)| wire::Header {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect(),
    }
}

fn header_of(header: &wire::Header) -> Result<(HeaderName, HeaderValue), Error> {
    let name = HeaderName::from_bytes(header.name.as_bytes())
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let value = HeaderValue::from_bytes(&header.value)
        .map_err(|error| Error::Invalid(error.to_string()))?;
    Ok((name, value))
}
