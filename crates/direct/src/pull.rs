//! Pulling a newer view from another entry.
//!
//! An entry that cannot reach the store thus still receives changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_wire::direct as wire;
use berylgw_wire::direct::peer_client::PeerClient;
use berylgw_wire::direct::peer_server::{Peer, PeerServer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::view::{Part, Publisher, Revisions, Source};

/// Timeout of a pull. A view with a thousand routes has half a megabyte. A
/// dozen entries that pull it from one peer over links of 40 Mbit/s need more
/// than a second; with a shorter timeout they would all start again.
const TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest accepted view in bytes, above the store's largest value for each
/// part.
const VIEW_BYTES: usize = 8 << 20;

struct Service(Publisher);

#[tonic::async_trait]
impl Peer for Service {
    async fn pull(
        &self,
        request: Request<wire::PullRequest>,
    ) -> Result<Response<wire::PullReply>, Status> {
        let known = request.into_inner();
        let view = self.0.view();
        Ok(Response::new(wire::PullReply {
            configuration: encode(&view.configuration, known.configuration)?,
            servers: encode(&view.servers, known.servers)?,
            evacuations: encode(&view.evacuations, known.evacuations)?,
        }))
    }
}

fn encode<T: Serialize>(part: &Part<T>, known: u64) -> Result<Option<wire::Part>, Status> {
    if part.revision <= known {
        return Ok(None);
    }
    let value = serde_json::to_vec(&*part.value);
    let value = value.map_err(|error| Status::internal(error.to_string()))?;
    Ok(Some(wire::Part {
        revision: part.revision,
        value: value.into(),
    }))
}

/// Serves pulls of other entries; returns only on failure.
///
/// # Errors
///
/// Fails if the listener fails.
pub async fn serve(listener: TcpListener, views: Publisher) -> Result<(), tonic::transport::Error> {
    let service = PeerServer::new(Service(views));
    Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}

/// Pulls the view of each entry whose address `targets` yields.
pub async fn follow(mut targets: mpsc::Receiver<SocketAddr>, views: Publisher) {
    while let Some(address) = targets.recv().await {
        match tokio::time::timeout(TIMEOUT, pull(address, views.view().revisions())).await {
            Ok(Ok(reply)) => merge(&views, reply),
            Ok(Err(error)) => tracing::warn!(peer = %address, %error, "pulling a view failed"),
            Err(_) => tracing::warn!(peer = %address, "pulling a view timed out"),
        }
    }
}

async fn pull(
    address: SocketAddr,
    known: Revisions,
) -> Result<wire::PullReply, Box<dyn std::error::Error>> {
    let endpoint: Endpoint = Channel::from_shared(format!("http://{address}"))?;
    let channel = endpoint.connect().await?;
    let mut client = PeerClient::new(channel).max_decoding_message_size(VIEW_BYTES);
    let request = wire::PullRequest {
        configuration: known.configuration,
        servers: known.servers,
        evacuations: known.evacuations,
    };
    let reply = client.pull(request).await?;
    Ok(reply.into_inner())
}

fn merge(views: &Publisher, reply: wire::PullReply) {
    if let Some(part) = decode(reply.configuration) {
        views.set_configuration(part, Source::Peer);
    }
    if let Some(part) = decode(reply.servers) {
        views.set_servers(part, Source::Peer);
    }
    if let Some(part) = decode(reply.evacuations) {
        views.set_evacuations(part, Source::Peer);
    }
}

fn decode<T: DeserializeOwned>(part: Option<wire::Part>) -> Option<Part<T>> {
    let part = part?;
    match serde_json::from_slice(&part.value) {
        Ok(value) => Some(Part {
            revision: part.revision,
            value: Arc::new(value),
        }),
        Err(error) => {
            tracing::error!(%error, "part of a pulled view could not be decoded");
            None
        }
    }
}
