//! Sending one request to one backend server.
//!
//! Each request has a connection of its own. A failure to connect thus proves
//! that the request has not run, and surplus bytes after an answer cannot be
//! taken for the next one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout for connecting: many round trips, and short enough to try another
/// server before the answer is late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without a TCP acknowledgement after which a connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A response whose body has not been read yet.
///
/// Dropping it closes the connection, which cancels the server's work.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    _connection: Connection,
}

/// Reason why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection was made; the request has not run.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// The server must not get the request any more; it was not sent.
    #[error("not sent")]
    Withheld,
    /// The connection failed after the request was sent; it may have run.
    #[error("connection failed: {0}")]
    Broken(#[from] hyper::Error),
}

/// The task that drives a connection, aborted on drop.
#[derive(Debug)]
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request to `address` over a new connection, if `may_send` still allows it
/// once the connection is made.
///
/// # Errors
///
/// Fails if no connection can be made, the request may not be sent or the connection
/// ends before the response's head.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    may_send: impl Fn() -> bool,
) -> Result<Exchange, Failure> {
    let stream = connect(address).await.map_err(Failure::Unreachable)?;
    if !may_send() {
        return Err(Failure::Withheld);
    }
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            // The sender of the request gets and reports the failure too.
            tracing::debug!(%address, %error, "connection to a backend server failed");
        }
    });
    let connection = Connection(task.abort_handle());
    let response = sender.send_request(request).await?;
    Ok(Exchange {
        response,
        _connection: connection,
    })
}

/// Returns whether `address` refuses connections, as after a crash of its
/// process. One that does not answer at all may be cut off instead.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = connect(address).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    Ok(stream)
}
