//! HTTP listeners whose connections can be broken on purpose.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::{Extension, Router};
use berylgw_runtime::signal::Stop;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Pause between attempts to bind the address of a reopened listener again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Opens and closes a listener.
#[derive(Clone, Debug)]
pub struct Gate(watch::Sender<State>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    open: bool,
    closings: u64,
}

impl Default for Gate {
    fn default() -> Self {
        Gate::new()
    }
}

impl Gate {
    /// An open gate.
    pub fn new() -> Self {
        Gate(watch::Sender::new(State {
            open: true,
            closings: 0,
        }))
    }

    /// Breaks all connections and refuses new ones.
    pub fn close(&self) {
        self.0.send_modify(|state| {
            state.open = false;
            state.closings += 1;
        });
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.0.send_modify(|state| state.open = true);
    }
}

/// Breaks the connection that a request came on.
#[derive(Clone, Debug)]
pub struct Hangup(Arc<Notify>);

impl Hangup {
    /// Breaks the connection without an answer; never returns.
    pub async fn hang_up<T>(&self) -> T {
        self.0.notify_one();
        std::future::pending().await
    }
}

/// Binds an address and serves `router` on it until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(address: SocketAddr, router: Router, gate: Gate) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(accept(listener, bound, router, gate));
    Ok(bound)
}

/// Like [`listen`], and logs the `listening` line of the interface.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn announce(interface: &str, address: SocketAddr, router: Router) -> io::Result<()> {
    let bound = listen(address, router, Gate::new()).await?;
    berylgw_runtime::log::listening(interface, bound);
    Ok(())
}

/// Installs the handlers of SIGTERM and SIGINT and returns a future that waits
/// for either.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn stop_signal() -> io::Result<impl Future<Output = ()>> {
    let mut stop = Stop::install()?;
    Ok(async move { stop.requested().await })
}

async fn accept(mut listener: TcpListener, address: SocketAddr, router: Router, gate: Gate) {
    let mut state = gate.0.subscribe();
    loop {
        if !state.borrow_and_update().open {
            // Dropping the listener makes the kernel refuse connections.
            drop(listener);
            if state.wait_for(|state| state.open).await.is_err() {
                return;
            }
            listener = rebind(address).await;
        }
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(connection(stream, router.clone(), gate.0.subscribe()));
            }
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => tracing::warn!(%address, %error, "cannot bind again"),
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

async fn connection(stream: TcpStream, router: Router, mut state: watch::Receiver<State>) {
    let opened = *state.borrow();
    if !opened.open {
        return;
    }
    // Tokens are small; without this each would wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let hangup = Hangup(Arc::new(Notify::new()));
    let service = TowerToHyperService::new(router.layer(Extension(hangup.clone())));
    let builder = Builder::new(TokioExecutor::new());
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let closed = state.wait_for(|state| state.closings != opened.closings);
    // Closing comes first, so that no answer is written after it.
    tokio::select! {
        biased;
        _ = closed => {}
        _ = hangup.0.notified() => {}
        _ = serving => {}
    }
}
