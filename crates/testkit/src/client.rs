//! A caller that speaks the callers' HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::outcome::{Outcome, Reason, Refusal};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Time for which an idle connection is used again. It is shorter than the 10 s after
/// which an entry closes one: a request that crosses the close would seem lost.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const SENDING: &str = "berylgw-sending";
const TICKET: &str = "berylgw-ticket";

/// Why a call has no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call was refused or given up on.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The connection broke or could not be made.
    #[error("broken: {0}")]
    Broken(String),
    /// The answer does not follow the protocol.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

impl Error {
    /// The refusal, if there is one.
    pub fn refusal(&self) -> Option<&Refusal> {
        match self {
            Error::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}

/// Addresses that a caller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Directory {
    /// Addresses, nearest failure domain first.
    pub addresses: Vec<Address>,
    /// Time for which the answer may be kept.
    pub lifetime_ms: u64,
}

/// One address of a directory.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Address {
    /// Address of an entry.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: Arc<str>,
}

/// A ticket for one non-idempotent call.
#[derive(Clone, Debug, Deserialize)]
pub struct Ticket {
    /// Text to send with the call.
    pub ticket: String,
    /// Time until the ticket expires.
    pub expires_ms: u64,
}

/// Answer of a chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Id of the completion.
    pub id: String,
    /// Whole text.
    pub text: String,
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Service name.
    pub service: &'a str,
    /// Method, for example `POST`.
    pub method: Method,
    /// Path within the service, without a leading slash.
    pub path: &'a str,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Number of this sending of the key, from 1, if the caller tells it.
    pub sending: Option<u32>,
    /// Ticket.
    pub ticket: Option<&'a str>,
    /// JSON body.
    pub body: Value,
}

/// A caller with the token of its client account.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    token: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a caller of the entry at `address`.
    pub fn new(address: SocketAddr, token: impl Into<String>) -> Self {
        Client {
            address,
            token: token.into(),
            http: HttpClient::builder(TokioExecutor::new())
                .pool_idle_timeout(IDLE_LIMIT)
                .pool_timer(TokioTimer::new())
                .build_http(),
        }
    }

    /// Asks which entries to use.
    ///
    /// # Errors
    ///
    /// Fails if the call is refused or broken.
    pub async fn directory(&self, domain: &str) -> Result<Directory, Error> {
        let path = format!("/v1/directory?domain={domain}");
        let request = self.request(Method::GET, &path);
        decode(self.send(request, Bytes::new()).await?).await
    }

    /// Gets a ticket for a call with `key`.
    ///
    /// # Errors
    ///
    /// Fails if the call is refused or broken.
    pub async fn ticket(&self, service: &str, key: &str) -> Result<Ticket, Error> {
        let request = self.request(Method::POST, "/v1/tickets");
        let body = json!({"service": service, "key": key});
        decode(self.send(request, bytes(&body)).await?).await
    }

    /// Calls a plain service and reads its JSON answer.
    ///
    /// # Errors
    ///
    /// Fails if the call is refused or broken.
    pub async fn call<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, Error> {
        let path = format!("/services/{}/{}", call.service, call.path);
        let mut request = self.request(call.method, &path);
        if let Some(key) = call.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        if let Some(sending) = call.sending {
            request = request.header(SENDING, sending);
        }
        if let Some(ticket) = call.ticket {
            request = request.header(TICKET, ticket);
        }
        let body = if call.body.is_null() {
            Bytes::new()
        } else {
            bytes(&call.body)
        };
        decode(self.send(request, body).await?).await
    }

    /// Sends a prompt and reads the answer as one JSON object.
    ///
    /// # Errors
    ///
    /// Fails if the call is refused or broken.
    pub async fn chat(&self, model: &str, prompt: &str, max_tokens: u32) -> Result<Answer, Error> {
        let body = chat_body(model, prompt, max_tokens, false);
        let request = self.request(Method::POST, "/v1/chat/completions");
        let whole: Value = decode(self.send(request, bytes(&body)).await?).await?;
        let text = whole["choices"][0]["message"]["content"].as_str();
        match (whole["id"].as_str(), text) {
            (Some(id), Some(text)) => Ok(Answer {
                id: id.to_owned(),
                text: text.to_owned(),
            }),
            _ => Err(Error::Unexpected(whole.to_string())),
        }
    }

    /// Sends a prompt and opens the stream of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the call is refused or broken before the stream starts.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Stream, Error> {
        let body = chat_body(model, prompt, max_tokens, true);
        let request = self.request(Method::POST, "/v1/chat/completions");
        let response = self.send(request, bytes(&body)).await?;
        Ok(Stream {
            body: response.into_body(),
            buffer: BytesMut::new(),
            id: None,
            stopped: false,
        })
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = request.body(Full::new(body));
        let request = request.map_err(|error| Error::Unexpected(error.to_string()))?;
        let response = self.http.request(request).await.map_err(broken)?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let body = response.into_body().collect().await.map_err(broken)?;
        Err(refusal(status, &body.to_bytes()))
    }
}

/// A running answer stream.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    buffer: BytesMut,
    id: Option<String>,
    stopped: bool,
}

impl Stream {
    /// Reads the next token, `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without `[DONE]` or with an error event.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            let event = self.event().await?;
            let field = |name: &str| {
                let mut lines = event.lines();
                lines
                    .find_map(|line| line.strip_prefix(name))
                    .map(str::trim_start)
            };
            let Some(data) = field("data:") else { continue };
            if field("event:") == Some("error") {
                return Err(refusal(StatusCode::OK, data.as_bytes()));
            }
            if data == "[DONE]" && self.stopped {
                return Ok(None);
            }
            if let Some(token) = self.token(data)? {
                return Ok(Some(token));
            }
        }
    }

    /// Reads the rest of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without `[DONE]` or with an error event.
    pub async fn rest(mut self) -> Result<Answer, Error> {
        let mut text = String::new();
        while let Some(token) = self.next().await? {
            text.push_str(&token);
        }
        let id = self.id.unwrap_or_default();
        Ok(Answer { id, text })
    }

    fn token(&mut self, data: &str) -> Result<Option<String>, Error> {
        let unexpected = || Error::Unexpected(data.to_owned());
        let chunk: Value = serde_json::from_str(data).map_err(|_| unexpected())?;
        let id = chunk["id"].as_str().ok_or_else(unexpected)?;
        if self.stopped || self.id.as_deref().is_some_and(|own| own != id) {
            return Err(unexpected());
        }
        self.id = Some(id.to_owned());
        let choice = &chunk["choices"][0];
        self.stopped = choice["finish_reason"] == "stop";
        Ok(choice["delta"]["content"].as_str().map(str::to_owned))
    }

    async fn event(&mut self) -> Result<String, Error> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n");
            if let Some(end) = end {
                let event = self.buffer.split_to(end + 2);
                return Ok(String::from_utf8_lossy(&event).into_owned());
            }
            let frame = self.body.frame().await;
            let ended = || Error::Broken("the stream ended early".to_owned());
            let frame = frame.ok_or_else(ended)?.map_err(broken)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

fn chat_body(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

fn bytes(value: &Value) -> Bytes {
    value.to_string().into()
}

fn broken(error: impl std::error::Error) -> Error {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message = format!("{message}: {cause}");
        source = cause.source();
    }
    Error::Broken(message)
}

async fn decode<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T, Error> {
    let body = response.into_body().collect().await.map_err(broken)?;
    let body = body.to_bytes();
    serde_json::from_slice(&body)
        .map_err(|error| Error::Unexpected(format!("{error}: {}", String::from_utf8_lossy(&body))))
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalFields,
}

#[derive(Deserialize)]
struct RefusalFields {
    reason: Reason,
    outcome: Outcome,
    retry_after_ms: u64,
    message: Arc<str>,
}

fn refusal(status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(RefusalBody { error }) => Error::Refused(Refusal {
            reason: error.reason,
            outcome: error.outcome,
            retry_after: Duration::from_millis(error.retry_after_ms),
            message: error.message,
        }),
        Err(_) => Error::Unexpected(format!("{status} {}", String::from_utf8_lossy(body))),
    }
}
