//! Start, operation and graceful shutdown of an agent.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use berylgw_runtime::tls::{self, PeerCredentials, Reload};
use berylgw_wire as wire;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tonic::transport;
use wire::agent_server::AgentServer;
use wire::engine_server::EngineServer;
use wire::sync_server::SyncServer;

use crate::admission::Controller;
use crate::control::{self, Published};
use crate::forward::ServerClient;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::{dispatch, engine, identity, orders, sync};

/// Capacity of the channel of version hints to the control thread.
const HINTS_BUFFERED: usize = 16;

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Maximum number of open connections: room for 380 entries and their replacements.
const MAX_CONNECTIONS: usize = 1_024;

/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 1_024;

/// Interval and timeout of HTTP/2 pings on connections of entries.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Error of starting or running an agent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener or thread could not be created.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The gRPC server failed.
    #[error("gRPC server failed: {0}")]
    Serve(#[from] transport::Error),
    /// A certificate or key file cannot be used.
    #[error("cannot use TLS: {0}")]
    Tls(#[from] tls::Error),
    /// A metric could not be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs an agent until `stop` resolves and all requests in flight have finished.
///
/// # Errors
///
/// Fails if a listener cannot be bound.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let listener = TcpListener::bind(settings.listen.agent).await?;
    serve(settings, listener, stop).await
}

/// Runs an agent as [`run`] does, on a gRPC listener that is already bound.
///
/// # Errors
///
/// Fails if another listener cannot be bound.
pub async fn serve(
    settings: Settings,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let peers = settings
        .tls
        .peers
        .as_ref()
        .map(PeerCredentials::load)
        .transpose()?;
    let peers = peers.map(Arc::new);
    let controller = Arc::new(Controller::new(&settings, rand::random()));
    let metrics = Arc::new(Metrics::new()?);
    let (publish, published) = watch::channel(Arc::new(Published::default()));
    let (hints, hint_receiver) = mpsc::channel(HINTS_BUFFERED);
    let (stopping, stopped) = watch::channel(false);
    let control = control::spawn(control::Inputs {
        name: settings.name.clone(),
        entries: settings.entries.clone(),
        controller: controller.clone(),
        server: settings.server.address,
        metrics: metrics.clone(),
        published: publish,
        hints: hint_receiver,
        stop: stopped.clone(),
        peers: peers.clone(),
    })?;
    let superseded = identity::superseded(identity::Inputs {
        name: settings.name.clone(),
        address: listener.local_addr()?,
        incarnation: controller.current_sender().incarnation,
        published: published.clone(),
        peers: peers.clone(),
        clock: controller.clock(),
    });
    let service = dispatch::Service {
        controller: controller.clone(),
        server: ServerClient::new(settings.server.address),
        metrics: metrics.clone(),
        published: published.clone(),
        hints,
    };
    let engine = engine::Service {
        controller: controller.clone(),
        orders: orders::spawn(
            ServerClient::new(settings.server.address),
            controller.clock(),
            settings.orders.clone(),
            published.clone(),
            settings.name.clone(),
        ),
        reader: engine::Reader::new(ServerClient::new(settings.server.address)),
        published: published.clone(),
        name: settings.name.clone(),
    };
    let sync = sync::Service {
        published,
        controller: controller.clone(),
    };
    let metrics_server = berylgw_runtime::metrics::serve(
        settings.listen.metrics,
        metrics.registry.clone(),
        stop_requested(stopped.clone()),
    );
    let metrics_server = tokio::spawn(metrics_server);
    berylgw_runtime::log::listening("agent", listener.local_addr()?);
    let interval = Duration::from_millis(settings.tls.reload_ms);
    let files = peers.clone().map(|files| files as Arc<dyn Reload>);
    let reloads = tokio::spawn(tls::reload_periodically(
        interval,
        files.into_iter().collect(),
    ));
    let agent = AgentServer::new(service).max_decoding_message_size(MAX_REQUEST_BYTES);
    let incoming = tls::incoming(listener, peers, MAX_CONNECTIONS);
    let served = transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_INTERVAL))
        .add_service(agent)
        .add_service(EngineServer::new(engine).max_decoding_message_size(MAX_REQUEST_BYTES))
        .add_service(SyncServer::new(sync))
        .serve_with_incoming_shutdown(incoming, stop_requested(stopped));
    let leave = async {
        tokio::select! {
            () = stop => {}
            () = superseded => {}
        }
        tracing::info!("leaving");
        controller.start_drain();
        controller.idle().await;
        stopping.send_replace(true);
    };
    let (served, ()) = tokio::join!(served, leave);
    served?;
    metrics_server.await.map_err(io::Error::other)??;
    control
        .join()
        .map_err(|_| io::Error::other("the control thread panicked"))?;
    reloads.abort();
    tracing::info!("stopped");
    Ok(())
}

async fn stop_requested(mut stopped: watch::Receiver<bool>) {
    // A closed channel also means that the process is stopping.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
