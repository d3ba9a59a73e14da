//! Client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, IF_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::name::encode_name;
use crate::object::{Host, List, Object};
use crate::watch::Watch;

/// Idle time before the first TCP keep-alive probe and between probes. Without
/// probes, this client would keep a watch open whose platform end is dead.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBE_LIMIT: u32 = 2;

/// Outcome of a conditional update.
#[derive(Clone, Debug)]
pub enum Update {
    /// The update took effect; the object has this version.
    Applied(u64),
    /// Another write changed the object first; it has this version, 0 if it
    /// does not exist.
    Conflict(u64),
    /// The update had no effect, for example because of the rate limit, an
    /// outage or a failed connection.
    Refused(Error),
    /// The update may have taken effect; read the object back to find out.
    Unknown(Error),
}

/// A client of one platform address.
///
/// Cloning is cheap and shares connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

impl Client {
    /// Creates a client that waits at most `timeout` for each response.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBE_LIMIT));
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        Client {
            address,
            timeout,
            http,
        }
    }

    /// Returns a client of the same platform that uses no connection of this one, for
    /// when these may have fallen silent.
    pub fn with_new_connections(&self) -> Self {
        Self::new(self.address, self.timeout)
    }

    /// Reads one object, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = object_path(kind, name);
        let (status, body) = self.call(Method::GET, &path, None, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(&path, status, &body).map(Some)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time.
    pub async fn list(&self, kind: &str) -> Result<List> {
        let path = format!("/v1/objects/{kind}");
        let (status, body) = self.call(Method::GET, &path, None, Bytes::new()).await?;
        decode(&path, status, &body)
    }

    /// Writes an object if its version is still `expected`; 0 requires that the
    /// object does not exist.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &T,
    ) -> Update {
        let path = object_path(kind, name);
        match serde_json::to_vec(value) {
            Ok(body) => self.update(Method::PUT, &path, expected, body.into()).await,
            Err(error) => Update::Refused(Error::new(Kind::Protocol, path, error)),
        }
    }

    /// Deletes an object if its version is still `expected`.
    pub async fn delete(&self, kind: &str, name: &str, expected: u64) -> Update {
        let path = object_path(kind, name);
        self.update(Method::DELETE, &path, expected, Bytes::new())
            .await
    }

    /// Watches a kind for writes after `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time; with
    /// [`Kind::Compacted`] if the platform no longer has the writes after
    /// `revision`.
    pub async fn watch(&self, kind: &str, revision: u64) -> Result<Watch> {
        let path = format!("/v1/objects/{kind}?watch={revision}");
        let response = self.send(Method::GET, &path, None, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => Ok(Watch::new(path, response.into_body())),
            status => Err(status_error(&path, status, &response)),
        }
    }

    /// Reads the list of hosts, which may lag behind their actual state.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time.
    pub async fn hosts(&self) -> Result<Vec<Host>> {
        let (status, body) = self
            .call(Method::GET, "/v1/hosts", None, Bytes::new())
            .await?;
        decode::<Hosts>("/v1/hosts", status, &body).map(|list| list.hosts)
    }

    /// Sends a request to any path of the platform and returns the status and
    /// body of the response. Waits `extra_timeout` longer than the client's
    /// timeout.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let answer = self.request_with_headers(method, path, body, extra_timeout);
        answer.await.map(|(status, _, body)| (status, body))
    }

    /// Sends a request like [`Client::request`], and also returns the headers of the
    /// response.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the call or does not answer in time.
    pub async fn request_with_headers(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_timeout: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes)> {
        let client = Client {
            timeout: self.timeout + extra_timeout,
            ..self.clone()
        };
        client.call_with_headers(method, path, None, body).await
    }

    async fn update(&self, method: Method, path: &str, expected: u64, body: Bytes) -> Update {
        let (status, body) = match self.call(method, path, Some(expected), body).await {
            Ok(answer) => answer,
            Err(error) if error.kind() == Kind::NoAnswer => return Update::Unknown(error),
            Err(error) => return Update::Refused(error),
        };
        let version = serde_json::from_slice::<Version>(&body).map(|body| body.version);
        match (status, version) {
            (StatusCode::OK, Ok(version)) => Update::Applied(version),
            (StatusCode::CONFLICT, Ok(version)) => Update::Conflict(version),
            (StatusCode::NOT_FOUND, _) => Update::Conflict(0),
            (status, _) => Update::Unknown(Error::new(Kind::Protocol, path, status)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes)> {
        let answer = self.call_with_headers(method, path, expected, body);
        answer.await.map(|(status, _, body)| (status, body))
    }

    async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Bytes,
    ) -> Result<(StatusCode, HeaderMap, Bytes)> {
        let answer = async {
            let response = self.send(method, path, expected, body).await?;
            let status = response.status();
            if let Some(error) = refusal_error(path, status, &response) {
                return Err(error);
            }
            let (parts, body) = response.into_parts();
            let body = body.collect().await;
            let body = body.map_err(|error| Error::new(Kind::NoAnswer, path, error))?;
            Ok((status, parts.headers, body.to_bytes()))
        };
        let timed_out = |_| {
            Error::new(
                Kind::NoAnswer,
                path,
                format!("timed out after {:?}", self.timeout),
            )
        };
        tokio::time::timeout(self.timeout, answer)
            .await
            .map_err(timed_out)?
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(expected) = expected {
            request = request.header(IF_MATCH, expected);
        }
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::new(Kind::Protocol, path, error))?;
        let answer = tokio::time::timeout(self.timeout, self.http.request(request)).await;
        match answer {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Error::new(Kind::Unreachable, path, error)),
            Ok(Err(error)) => Err(Error::new(Kind::NoAnswer, path, error)),
            Err(_) => Err(Error::new(
                Kind::NoAnswer,
                path,
                format!("timed out after {:?}", self.timeout),
            )),
        }
    }
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/v1/objects/{kind}/{}", encode_name(name))
}

fn refusal_error(path: &str, status: StatusCode, response: &Response<Incoming>) -> Option<Error> {
    let refusal_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PAYLOAD_TOO_LARGE,
        StatusCode::GONE,
    ];
    refusal_statuses
        .contains(&status)
        .then(|| status_error(path, status, response))
}

fn status_error(path: &str, status: StatusCode, response: &Response<Incoming>) -> Error {
    let kind = match status {
        StatusCode::TOO_MANY_REQUESTS => Kind::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => Kind::Unavailable,
        StatusCode::PAYLOAD_TOO_LARGE => Kind::TooLarge,
        StatusCode::GONE => Kind::Compacted,
        _ => Kind::Protocol,
    };
    let seconds = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let retry_after = seconds
        .and_then(|value| value.parse().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Error::new(kind, path, status).with_retry_after(retry_after)
}

fn decode<T: DeserializeOwned>(path: &str, status: StatusCode, body: &[u8]) -> Result<T> {
    if status != StatusCode::OK {
        return Err(Error::new(Kind::Protocol, path, status));
    }
    serde_json::from_slice(body).map_err(|error| Error::new(Kind::Protocol, path, error))
}
