//! The entry process: listeners, threads and graceful shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_runtime::{log, metrics as endpoint, tls};
use berylgw_wire::ledger_server::LedgerServer;
use berylgw_wire::sync_server::SyncServer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::metrics::Metrics;
use crate::secure::Credentials;
use crate::settings::Settings;
use crate::shared::{Current, NewerConfig, Shared};
use crate::{accept, control, group, leave, ledger, probe, register, sync};

/// Interval and timeout of HTTP/2 pings on connections of other processes.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum concurrent calls on one connection of another process.
const MAX_PEER_STREAMS: u32 = 64;

/// Largest request accepted from another process, in bytes.
const MAX_PEER_REQUEST_BYTES: usize = 64 << 10;

/// Capacity of the queue of hints about newer configurations; each further
/// frame repeats them.
const NEWER_CAPACITY: usize = 4;

/// An entry whose addresses are bound.
pub struct Entry {
    shared: Arc<Shared>,
    callers: TcpListener,
    peers: std::net::TcpListener,
    publish: watch::Sender<Current>,
    newer: mpsc::Receiver<NewerConfig>,
    inbox: ledger::Inbox,
    stopping: watch::Sender<bool>,
}

impl Entry {
    /// Binds the addresses for callers and peers.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a certificate file cannot be used.
    pub async fn bind(settings: Settings) -> io::Result<Self> {
        let callers = TcpListener::bind(settings.listen.callers).await?;
        let peers = std::net::TcpListener::bind(settings.listen.peers)?;
        peers.set_nonblocking(true)?;
        let (publish, current) = watch::channel(Current::default());
        let (sender, newer) = mpsc::channel(NEWER_CAPACITY);
        let (stopping, stopped) = watch::channel(false);
        let metrics = Metrics::new().map_err(io::Error::other)?;
        let tls = Credentials::load(&settings.tls).map_err(io::Error::other)?;
        let (ledger, inbox) = ledger::channel(settings.ledger.partitions);
        let shared = Shared::new(settings, tls, current, sender, stopped, metrics, ledger);
        shared.members().address = callers.local_addr()?;
        Ok(Entry {
            shared: Arc::new(shared),
            callers,
            peers,
            publish,
            newer,
            inbox,
            stopping,
        })
    }

    /// Returns the address of the callers' interface.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn callers(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address of the interface for other processes.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn peers(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }

    /// Returns the metrics registry of this entry.
    pub fn registry(&self) -> prometheus::Registry {
        self.shared.metrics.registry.clone()
    }

    /// Serves until `stop` resolves and running requests have finished.
    ///
    /// # Errors
    ///
    /// Fails if the metrics address cannot be bound or the control thread fails.
    pub async fn run(self, stop: impl Future<Output = ()>) -> io::Result<()> {
        let shared = self.shared;
        let address = self.callers.local_addr()?;
        let registry = shared.metrics.registry.clone();
        let (ending, ended) = watch::channel(false);
        log::listening("callers", address);
        log::listening("peers", self.peers.local_addr()?);
        let control = Control {
            shared: shared.clone(),
            publish: self.publish,
            newer: self.newer,
            inbox: self.inbox,
            peers: self.peers,
            ended: ended.clone(),
        };
        let thread = control.start()?;
        let metrics = shared.settings.listen.metrics;
        let scrape = tokio::spawn(endpoint::serve(metrics, registry, wait_until_set(ended)));
        let probes = tokio::spawn(probe::run(shared.clone()));
        let interval = Duration::from_millis(shared.settings.tls.reload_ms);
        let reloads = tokio::spawn(tls::reload_periodically(interval, shared.tls.reloads()));
        let registration = tokio::spawn(register_live(shared.clone(), address));

        let connections = GracefulShutdown::new();
        tokio::select! {
            () = accept::run(&self.callers, &shared, &connections) => {}
            () = drain(stop, &shared, &self.stopping, registration) => {}
        }
        drop(self.callers);
        connections.shutdown().await;
        probes.abort();
        reloads.abort();
        // Fails only if all receiving tasks have already ended.
        let _ = ending.send(true);
        let joined = tokio::task::spawn_blocking(move || thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            return Err(io::Error::other("the control thread failed"));
        }
        scrape.await.map_err(io::Error::other)??;
        tracing::info!("stopped");
        Ok(())
    }
}

async fn register_live(shared: Arc<Shared>, address: SocketAddr) {
    let mut backoff = Duration::from_millis(200);
    while !*shared.stopping.borrow() {
        if register::report(&shared.settings, address, "live").await {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = wait_until_set(shared.stopping.clone()) => return,
        }
        backoff = (backoff * 2).min(Duration::from_secs(10));
    }
}

/// Waits for a stop request or a takeover of the name, then until every
/// directory answer with this entry's address has expired.
async fn drain(
    stop: impl Future<Output = ()>,
    shared: &Arc<Shared>,
    stopping: &watch::Sender<bool>,
    registration: tokio::task::JoinHandle<()>,
) {
    tokio::select! {
        () = stop => {}
        () = wait_until_set(shared.superseded.subscribe()) => {}
    }
    tracing::info!("leaving");
    let _ = stopping.send(true);
    shared.members_changed.notify_one();
    // A late registration would undo the report that this entry leaves.
    let _ = registration.await;
    leave::run(shared).await;
}

async fn wait_until_set(mut ended: watch::Receiver<bool>) {
    // A dropped sender also means that the process is ending.
    let _ = ended.wait_for(|ended| *ended).await;
}

/// State of the control thread.
struct Control {
    shared: Arc<Shared>,
    publish: watch::Sender<Current>,
    newer: mpsc::Receiver<NewerConfig>,
    inbox: ledger::Inbox,
    peers: std::net::TcpListener,
    ended: watch::Receiver<bool>,
}

impl Control {
    fn start(self) -> io::Result<std::thread::JoinHandle<()>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(self.run()))
    }

    async fn run(self) {
        let peers = match TcpListener::from_std(self.peers) {
            Ok(peers) => tls::incoming(
                peers,
                self.shared.tls.peers.clone(),
                self.shared.settings.limits.peer_connections,
            ),
            Err(error) => {
                tracing::error!(%error, "peers cannot be served");
                return;
            }
        };
        let service = SyncServer::new(sync::Service(self.shared.clone()));
        let claims = LedgerServer::new(ledger::Service(self.shared.clone()));
        let server = tonic::transport::Server::builder()
            .max_concurrent_streams(MAX_PEER_STREAMS)
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .http2_keepalive_timeout(Some(PING_INTERVAL))
            .add_service(service.max_decoding_message_size(MAX_PEER_REQUEST_BYTES))
            .add_service(claims.max_decoding_message_size(MAX_PEER_REQUEST_BYTES))
            .serve_with_incoming_shutdown(peers, wait_until_set(self.ended.clone()));
        let served = tokio::spawn(server);
        let owners = ledger::run(self.shared.clone(), self.inbox, self.ended.clone());
        let owners = tokio::spawn(owners);
        tokio::select! {
            () = control::run(self.shared.clone(), self.publish, self.newer) => {}
            () = group::run(self.shared) => {}
            () = wait_until_set(self.ended) => {}
        }
        if let Err(error) = owners.await {
            tracing::error!(%error, "ledger loops ended");
        }
        if let Ok(Err(error)) = served.await {
            tracing::warn!(%error, "peer server ended");
        }
    }
}
