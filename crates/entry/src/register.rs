//! Registration in the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_platform::Host;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::settings::Settings;

/// Reports the state of this host; returns whether the platform accepted it.
pub async fn report(settings: &Settings, address: SocketAddr, state: &str) -> bool {
    let host = Host {
        name: settings.name.clone(),
        address,
        domain: settings.domain.clone(),
        state: state.into(),
    };
    let Ok(body) = serde_json::to_vec(&host) else {
        return false;
    };
    let uri = format!(
        "http://{}/v1/hosts/{}",
        settings.platform.address, host.name
    );
    let request = Request::put(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return false };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    match tokio::time::timeout(timeout, client.request(request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => true,
        Ok(Ok(response)) => {
            tracing::warn!(status = %response.status(), state, "host state not registered");
            false
        }
        Ok(Err(error)) => {
            tracing::warn!(%error, state, "host state not registered");
            false
        }
        Err(_) => {
            tracing::warn!(state, "host state not registered: timed out");
            false
        }
    }
}
