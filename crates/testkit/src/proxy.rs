//! TCP proxy that injects faults between two processes.

mod relay;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::control::patched;

const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Faults that can be switched on and off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Delay of bytes in each direction in milliseconds.
    pub delay_ms: u64,
    /// All connections are closed and new ones refused.
    pub cut: bool,
    /// Connections that are open when this is set go silent for good, in both
    /// directions and without closing.
    pub freeze: bool,
    /// With `freeze`: new connections are silent too.
    pub freeze_new: bool,
    /// Bytes go upstream but never back; the connection closes after the first
    /// bytes that would have gone back.
    pub drop_answer: bool,
}

/// Faults with the number of freezes, so that a connection learns of one that
/// was set and cleared between two looks.
#[derive(Clone, Debug, Default)]
struct Switch {
    fault: Fault,
    freezes: u64,
}

/// A fault-injecting proxy; clones share their state.
#[derive(Clone, Debug)]
pub struct Proxy {
    upstream: SocketAddr,
    switch: Arc<watch::Sender<Switch>>,
    accepted: Arc<AtomicU64>,
    relayed: Arc<AtomicU64>,
}

impl Proxy {
    /// A proxy to `upstream` without faults.
    pub fn new(upstream: SocketAddr) -> Self {
        Proxy {
            upstream,
            switch: Arc::new(watch::Sender::new(Switch::default())),
            accepted: Arc::default(),
            relayed: Arc::default(),
        }
    }

    /// Switches to these faults.
    pub fn set(&self, fault: Fault) {
        self.switch.send_modify(|switch| {
            switch.freezes += u64::from(fault.freeze);
            switch.fault = fault;
        });
    }

    /// Bytes relayed so far, in both directions.
    pub fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Binds an address and relays its connections until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        tokio::spawn(accept(self.clone(), listener, bound));
        Ok(bound)
    }
}

/// Routes of the `control` interface; `POST /fault` with `{"clear":true}`
/// switches all faults off and `GET /accepted` counts connections.
pub fn control_router(proxy: Proxy) -> Router {
    Router::new()
        .route("/fault", post(set_fault))
        .route("/accepted", get(accepted))
        .with_state(proxy)
}

async fn set_fault(State(proxy): State<Proxy>, Json(patch): Json<Value>) -> Response {
    let current = proxy.switch.borrow().fault.clone();
    let fault = if patch == json!({"clear": true}) {
        Ok(Fault::default())
    } else {
        patched(&current, &patch)
    };
    let fault = match fault {
        Ok(fault) => fault,
        Err(message) => return (StatusCode::BAD_REQUEST, message).into_response(),
    };
    proxy.set(fault.clone());
    Json(fault).into_response()
}

async fn accepted(State(proxy): State<Proxy>) -> Json<u64> {
    Json(proxy.accepted.load(Ordering::SeqCst))
}

async fn accept(proxy: Proxy, mut listener: TcpListener, address: SocketAddr) {
    let mut switch = proxy.switch.subscribe();
    loop {
        if switch.borrow_and_update().fault.cut {
            // Dropping the listener makes the kernel refuse connections.
            drop(listener);
            if switch.wait_for(|switch| !switch.fault.cut).await.is_err() {
                return;
            }
            listener = rebind(address).await;
        }
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((caller, _)) = accepted else { continue };
                let start = proxy.switch.borrow().clone();
                proxy.accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(connection(proxy.clone(), caller, start));
            }
            changed = switch.changed() => {
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

async fn connection(proxy: Proxy, caller: TcpStream, start: Switch) {
    let mut switch = proxy.switch.subscribe();
    let relay = async {
        if start.fault.freeze && start.fault.freeze_new {
            return std::future::pending().await;
        }
        let upstream = TcpStream::connect(proxy.upstream).await?;
        let relay = relay::Relay {
            switch: proxy.switch.subscribe(),
            freezes: start.freezes,
            relayed: proxy.relayed.clone(),
        };
        relay::run(caller, upstream, relay).await
    };
    tokio::select! {
        biased;
        _ = switch.wait_for(|switch| switch.fault.cut) => {}
        result = relay => {
            if let Err(error) = result {
                tracing::debug!(%error, "connection ended");
            }
        }
    }
}
