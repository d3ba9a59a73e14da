//! Incoming connections from other berylgw processes.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_stream::wrappers::ReceiverStream;

use super::HANDSHAKE_TIMEOUT;
use super::files::PeerCredentials;
use super::stream::Stream;

/// Accepted connections, for `tonic`'s `serve_with_incoming`.
pub type Incoming = ReceiverStream<io::Result<Stream>>;

/// Capacity of the queue of connections that have completed the handshake.
const READY_CONNECTIONS: usize = 16;

/// Pause after a connection was not accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections, with mutual TLS if there are credentials.
///
/// At most `connections` are open at the same time; further ones wait in the
/// listener's backlog. The listener closes when the result is dropped.
pub fn incoming(
    listener: TcpListener,
    credentials: Option<Arc<PeerCredentials>>,
    connections: usize,
) -> Incoming {
    let (sender, receiver) = mpsc::channel(READY_CONNECTIONS);
    tokio::spawn(accept(listener, credentials, connections, sender));
    ReceiverStream::new(receiver)
}

async fn accept(
    listener: TcpListener,
    credentials: Option<Arc<PeerCredentials>>,
    connections: usize,
    sender: mpsc::Sender<io::Result<Stream>>,
) {
    let permits = Arc::new(Semaphore::new(connections));
    loop {
        let next = async {
            // The semaphore is never closed.
            let permit = permits.clone().acquire_owned().await.ok()?;
            Some((permit, listener.accept().await))
        };
        let next = tokio::select! {
            next = next => next,
            () = sender.closed() => return,
        };
        let Some((permit, accepted)) = next else {
            return;
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Usually out of file descriptors; the pause lets some connections
                // close.
                tracing::warn!(%error, "connection from a process not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (credentials, sender) = (credentials.clone(), sender.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, handshake(stream, credentials)).await {
                // A send error means that the server is stopping.
                Ok(Ok(stream)) => drop(sender.send(Ok(stream.with_permit(permit))).await),
                Ok(Err(error)) => tracing::debug!(%error, "connection from a process refused"),
                Err(_) => tracing::debug!("handshake with a process timed out"),
            }
        });
    }
}

async fn handshake(
    stream: TcpStream,
    credentials: Option<Arc<PeerCredentials>>,
) -> io::Result<Stream> {
    // Nagle's algorithm delays frames of a stream by up to 40 ms, until the
    // receiver's delayed acknowledgement arrives.
    stream.set_nodelay(true)?;
    let Some(credentials) = credentials else {
        return Ok(Stream::plain(stream));
    };
    let acceptor = TlsAcceptor::from(credentials.current().server.clone());
    Ok(Stream::server(acceptor.accept(stream).await?))
}
