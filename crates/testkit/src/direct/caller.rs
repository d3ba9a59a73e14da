//! Requests of callers of direct entries.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of this attempt; no id is sent if it is empty.
    pub id: String,
    /// Path on the host of the test configuration.
    pub path: String,
    /// API key.
    pub key: Option<String>,
    /// Milliseconds that the caller waits.
    pub deadline_ms: u64,
}

/// What the caller received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// `Retry-After` in seconds.
    pub retry_after: Option<f64>,
    /// Signature of the server.
    pub signature: Option<String>,
    /// The body, as far as it was received.
    pub body: String,
    /// Whether the answer was received to its end.
    pub complete: bool,
    /// Whether the connection closes after the answer.
    pub closes: bool,
}

/// How fast a caller sends and reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Pause in the middle of the body of a request.
    pub body: Duration,
    /// Pause before each part of an answer is read.
    pub read: Duration,
}

/// An open connection, which can be used for one request after another.
#[derive(Debug)]
pub struct Channel {
    sender: http1::SendRequest<UnsyncBoxBody<Bytes, Infallible>>,
    connection: JoinHandle<hyper::Result<()>>,
}

/// How far a request came on a connection that ended.
#[derive(Debug)]
pub enum Failure {
    /// The request was not written.
    Unsent,
    /// It was written, and no head of an answer came.
    Unanswered,
}

impl Channel {
    /// Connects. A small buffer for received bytes makes the other side wait for
    /// a slow reader.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made.
    pub async fn open(address: SocketAddr, buffer: Option<u32>) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let connection = tokio::spawn(connection);
        Ok(Channel { sender, connection })
    }

    /// Whether another request can be sent.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the head of an answer.
    pub async fn ask(
        &mut self,
        call: &Call,
        headers: &[(&str, &str)],
        pace: Pace,
    ) -> Result<Answer, Failure> {
        let request = request(call, headers, pace.body).map_err(|_| Failure::Unsent)?;
        let answered = self.sender.send_request(request).await;
        let mut response = answered.map_err(|error| match error.is_canceled() {
            true => Failure::Unsent,
            false => Failure::Unanswered,
        })?;
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let retry_after = text("retry-after").and_then(|seconds| seconds.parse().ok());
        let signature = text("berylgw-server-seal");
        let closes = text("connection").is_some_and(|value| value == "close");
        let status = response.status();
        let mut body = Vec::new();
        let complete = loop {
            if !pace.read.is_zero() {
                tokio::time::sleep(pace.read).await;
            }
            match response.body_mut().frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => body.extend(frame.into_data().unwrap_or_default()),
            }
        };
        Ok(Answer {
            status,
            retry_after,
            signature,
            body: String::from_utf8_lossy(&body).into_owned(),
            complete,
            closes,
        })
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

fn request(
    call: &Call,
    headers: &[(&str, &str)],
    pause: Duration,
) -> Result<Request<UnsyncBoxBody<Bytes, Infallible>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(&call.path)
        .header("host", "desk.example")
        .header("berylgw-deadline-ms", call.deadline_ms)
        .header("berylgw-token-count", "800,80")
        .header("berylgw-tenant", "forged");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    if !call.id.is_empty() {
        request = request.header("berylgw-attempt-id", &call.id);
    }
    if let Some(key) = &call.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    if pause.is_zero() {
        let body = Full::new(Bytes::from_static(b"a question"));
        return request.body(UnsyncBoxBody::new(body));
    }
    let parts = [(Duration::ZERO, "a "), (pause, "question")];
    let parts = stream::iter(parts).then(|(pause, part)| async move {
        tokio::time::sleep(pause).await;
        Ok(Frame::data(Bytes::from_static(part.as_bytes())))
    });
    request.body(UnsyncBoxBody::new(StreamBody::new(parts)))
}

/// Sends a request on a connection of its own and reads the answer.
///
/// # Errors
///
/// Fails if the connection ends before the head of an answer.
pub async fn send(
    address: SocketAddr,
    call: &Call,
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    send_with(address, call, &[]).await
}

/// Like [`send`], with additional headers.
///
/// # Errors
///
/// Fails if the connection ends before the head of an answer.
pub async fn send_with(
    address: SocketAddr,
    call: &Call,
    headers: &[(&str, &str)],
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    let mut channel = Channel::open(address, None).await?;
    let answer = channel.ask(call, headers, Pace::default()).await;
    answer.map_err(|failure| format!("{failure:?}: {}", call.id).into())
}
