//! Connections of callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use berylgw_runtime::tls::{CallerCredentials, HANDSHAKE_TIMEOUT, Stream};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tower::Service;

use crate::callers;
use crate::shared::Shared;
use crate::write_timeout::WriteTimeout;

/// Accepts and serves connections of callers until dropped.
pub async fn run(listener: &TcpListener, shared: &Arc<Shared>, connections: &GracefulShutdown) {
    let router = callers::router(shared.clone());
    let permits = Arc::new(Semaphore::new(shared.settings.limits.connections));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Usually out of file descriptors; running requests need time to
                // finish and release theirs.
                tracing::warn!(%error, "connection not accepted");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // Closing immediately lets the caller try another address.
            shared.metrics.connections_refused.inc();
            continue;
        };
        let connection = Connection {
            shared: shared.clone(),
            router: router.clone(),
            watcher: connections.watcher(),
        };
        tokio::spawn(async move {
            if let Err(error) = connection.serve(stream, permit).await {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}

struct Connection {
    shared: Arc<Shared>,
    router: axum::Router,
    watcher: Watcher,
}

impl Connection {
    async fn serve(
        self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        // A failure to set the option affects latency only.
        let _ = stream.set_nodelay(true);
        let callers = self.shared.tls.callers.as_deref();
        let stream = timeout(HANDSHAKE_TIMEOUT, handshake(stream, callers)).await??;
        let limits = &self.shared.settings.limits;
        let write_timeout = Duration::from_millis(limits.request_ms);
        let stream = WriteTimeout::new(stream.with_permit(permit), write_timeout);
        let head_timeout = Duration::from_millis(limits.head_ms);
        let builder = builder(limits.header_bytes, limits.streams, head_timeout);
        let request_received = Arc::new(AtomicBool::new(false));
        let (router, received) = (self.router, request_received.clone());
        let service = hyper::service::service_fn(move |request| {
            received.store(true, Ordering::Relaxed);
            let answer = router.clone().call(request);
            async move { Ok::<_, Infallible>(answer.await.unwrap_or_else(|never| match never {})) }
        });
        let stream = WriteTimeout::new(stream, Duration::from_millis(limits.request_ms));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = self.watcher.watch(connection.into_owned());
        let mut connection = std::pin::pin!(connection);
        // hyper's header timeout covers neither the detection of HTTP/1 or
        // HTTP/2 nor an HTTP/2 connection without requests.
        tokio::select! {
            ended = &mut connection => return ended,
            () = sleep(head_timeout) => {}
        }
        if !request_received.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        connection.await
    }
}

async fn handshake(stream: TcpStream, callers: Option<&CallerCredentials>) -> io::Result<Stream> {
    let Some(callers) = callers else {
        return Ok(Stream::plain(stream));
    };
    let acceptor = TlsAcceptor::from(callers.current());
    Ok(Stream::server(acceptor.accept(stream).await?))
}

fn builder(header_bytes: usize, streams: u32, head: Duration) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(head)
        .max_concurrent_streams(streams)
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX));
    builder
}
