//! Prometheus metrics endpoint.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::routing::get;
use prometheus::{Registry, TextEncoder};
use tokio::net::TcpListener;

/// Serves `GET /metrics` until `stop` resolves.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    registry: Registry,
    stop: impl Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    crate::log::listening("metrics", listener.local_addr()?);
    let router = Router::new()
        .route("/metrics", get(render))
        .with_state(registry);
    axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await
}

async fn render(State(registry): State<Registry>) -> Result<String, String> {
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .map_err(|error| error.to_string())
}
