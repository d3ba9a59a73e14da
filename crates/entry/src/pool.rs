//! Pooled gRPC channels to agents and peers.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylgw_runtime::tls::{Connector, NameLookup, PeerCredentials};
use tokio::runtime::Handle;
use tonic::transport::{Channel, Endpoint, Error};

/// Interval of HTTP/2 pings on a connection with running calls.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Channels by address, sorted.
pub struct Pool {
    connect_timeout: Duration,
    peers: Option<Arc<PeerCredentials>>,
    expected: NameLookup,
    runtime: Handle,
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl Pool {
    /// Creates an empty pool whose connections belong to the current runtime. A
    /// connection is refused if the name that `expected` has for its address
    /// differs from the name in the certificate.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    pub fn new(
        connect_timeout: Duration,
        peers: Option<Arc<PeerCredentials>>,
        expected: NameLookup,
    ) -> Self {
        Pool {
            connect_timeout,
            peers,
            expected,
            runtime: Handle::current(),
            channels: Mutex::new(Vec::new()),
        }
    }

    /// Returns the channel to `address`, connecting if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made; nothing was sent in that case.
    pub async fn get(&self, address: SocketAddr) -> Result<Channel, Error> {
        if let Some(channel) = self.cached(address) {
            return Ok(channel);
        }
        let connector = Connector::new(address, self.peers.clone(), self.expected.clone());
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(self.connect_timeout)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL);
        let connecting = endpoint.connect_with_connector(connector);
        let channel = poll_in_runtime(&self.runtime, connecting).await?;
        let mut channels = self.lock();
        let by_address = |(known, _): &(SocketAddr, Channel)| known.cmp(&address);
        if let Err(index) = channels.binary_search_by(by_address) {
            channels.insert(index, (address, channel.clone()));
        }
        Ok(channel)
    }

    /// Removes the channel to `address`, so that the next call reconnects.
    pub fn evict(&self, address: SocketAddr) {
        self.lock().retain(|(known, _)| *known != address);
    }

    fn cached(&self, address: SocketAddr) -> Option<Channel> {
        let channels = self.lock();
        let index = channels
            .binary_search_by(|(known, _)| known.cmp(&address))
            .ok()?;
        Some(channels[index].1.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Channel)>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Polls a future in the context of a runtime, so that the tasks and sockets it
/// creates belong to that runtime.
///
/// The control thread opens connections as well. Otherwise their tasks would run
/// on that thread and carry the traffic of all requests to the same address.
async fn poll_in_runtime<T>(runtime: &Handle, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    poll_fn(|context| {
        let _entered = runtime.enter();
        future.as_mut().poll(context)
    })
    .await
}
