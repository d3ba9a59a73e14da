//! Pulling a newer view from another entry.
//!
//! An entry that cannot reach the store thus still receives changes.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylgw_core::revision::Revision;
use berylgw_wire::direct as wire;
use berylgw_wire::direct::peer_client::PeerClient;
use berylgw_wire::direct::peer_server::{Peer, PeerServer};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::view::{Listing, Part, Publisher, Source};

/// Time to connect to another entry. One that was cut off does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a pull of the parts other than the configuration, which are small.
const URGENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a pull of the configuration. Several entries that pull a large one
/// share the link of the same host.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest accepted view in bytes, above the store's largest value for each
/// part.
const VIEW_BYTES: usize = 8 << 20;

/// Capacity of a queue of entries to pull from.
const QUEUE_LENGTH: usize = 1;

/// Revision of a part that the caller does not ask for.
const NOT_WANTED: Revision = Revision::new(u64::MAX, u64::MAX).with_version(u64::MAX);

/// Parts of the view that are pulled together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Subject {
    /// The server list and the evacuations, which must not wait for a large
    /// configuration: leaving servers get no further requests.
    #[display("servers")]
    Urgent,
    /// The configuration.
    #[display("configuration")]
    Configuration,
}

/// Queues of the entries to pull from, by subject.
#[derive(Clone, Debug)]
pub struct Queues {
    urgent: mpsc::Sender<SocketAddr>,
    configuration: mpsc::Sender<SocketAddr>,
}

/// Receiving ends of [`Queues`].
#[derive(Debug)]
pub struct Targets {
    urgent: mpsc::Receiver<SocketAddr>,
    configuration: mpsc::Receiver<SocketAddr>,
}

impl Queues {
    /// Creates empty queues.
    pub fn new() -> (Self, Targets) {
        let (urgent, urgent_targets) = mpsc::channel(QUEUE_LENGTH);
        let (configuration, configuration_targets) = mpsc::channel(QUEUE_LENGTH);
        let queues = Queues {
            urgent,
            configuration,
        };
        let targets = Targets {
            urgent: urgent_targets,
            configuration: configuration_targets,
        };
        (queues, targets)
    }

    /// Requests a pull from the entry at `address`, unless one is pending.
    pub fn request(&self, subject: Subject, address: SocketAddr) {
        let queue = match subject {
            Subject::Urgent => &self.urgent,
            Subject::Configuration => &self.configuration,
        };
        if queue.try_send(address).is_err() {
            tracing::debug!(%subject, "pull skipped: another one is pending");
        }
    }
}

/// Encoded parts of the current view with their revision, by part and whether
/// compressed. Hundreds of entries pull the same revision.
#[derive(Debug, Default)]
struct Cache {
    parts: [[Option<(Revision, wire::Part)>; 2]; 3],
}

/// What a caller knows of a part.
#[derive(Clone, Copy, Debug)]
struct Known {
    at: Option<Revision>,
    /// Number of the change, all that some callers tell.
    number: u64,
}

impl Known {
    fn new(at: Option<wire::Revision>, number: u64) -> Self {
        let at = at.map(from_wire);
        Known { at, number }
    }

    fn is_older(self, revision: Revision) -> bool {
        match self.at {
            Some(at) => at < revision,
            None => self.number < revision.number(),
        }
    }
}

/// Returns a revision as other entries send it.
pub fn from_wire(at: wire::Revision) -> Revision {
    let revision = Revision::new(at.era, at.number);
    revision.with_version(at.version).with_step(at.step)
}

/// Returns a revision as it is sent to other entries.
pub fn to_wire(revision: Revision) -> wire::Revision {
    wire::Revision {
        version: revision.version(),
        era: revision.era(),
        number: revision.number(),
        step: revision.step(),
    }
}

impl Cache {
    fn encode<T: Serialize>(
        &mut self,
        index: usize,
        part: &Part<T>,
        changes: &[u64],
        known: Known,
        compressed: bool,
    ) -> Result<Option<wire::Part>, Status> {
        if !known.is_older(part.revision) {
            return Ok(None);
        }
        let cached = &mut self.parts[index][usize::from(compressed)];
        let current = cached
            .as_ref()
            .filter(|(revision, _)| *revision == part.revision);
        if let Some((_, cached)) = current {
            return Ok(Some(cached.clone()));
        }
        let internal = |error: &dyn std::fmt::Display| Status::internal(error.to_string());
        let mut value = serde_json::to_vec(&*part.value).map_err(|error| internal(&error))?;
        if compressed {
            let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
            encoder
                .write_all(&value)
                .map_err(|error| internal(&error))?;
            value = encoder.finish().map_err(|error| internal(&error))?;
        }
        let encoded = wire::Part {
            revision: part.revision.number(),
            value: value.into(),
            compressed,
            at: Some(to_wire(part.revision)),
            changes: changes.to_vec(),
        };
        *cached = Some((part.revision, encoded.clone()));
        Ok(Some(encoded))
    }

    fn encode_list<T: Serialize>(
        &mut self,
        index: usize,
        list: &Listing<T>,
        known: Known,
        compressed: bool,
    ) -> Result<Option<wire::Part>, Status> {
        self.encode(index, &list.part, &list.changes, known, compressed)
    }
}

struct Service {
    views: Publisher,
    cache: Mutex<Cache>,
}

#[tonic::async_trait]
impl Peer for Service {
    async fn pull(
        &self,
        request: Request<wire::PullRequest>,
    ) -> Result<Response<wire::PullReply>, Status> {
        let known = request.into_inner();
        let compressed = known.accepts_compressed;
        let view = self.views.view();
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let configuration = Known::new(known.configuration_at, known.configuration);
        let servers = Known::new(known.servers_at, known.servers);
        let evacuations = Known::new(known.evacuations_at, known.evacuations);
        Ok(Response::new(wire::PullReply {
            configuration: cache.encode(0, &view.configuration, &[], configuration, compressed)?,
            servers: cache.encode_list(1, &view.listed_servers, servers, compressed)?,
            evacuations: cache.encode_list(2, &view.listed_evacuations, evacuations, compressed)?,
        }))
    }
}

/// Serves pulls of other entries; returns only on failure.
///
/// # Errors
///
/// Fails if the listener fails.
pub async fn serve(listener: TcpListener, views: Publisher) -> Result<(), tonic::transport::Error> {
    let cache = Mutex::default();
    let service = PeerServer::new(Service { views, cache });
    Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}

/// Pulls the view of each entry whose address `targets` yields, both subjects at
/// the same time.
pub async fn follow(targets: Targets, views: Publisher) {
    let urgent = follow_subject(Subject::Urgent, targets.urgent, &views);
    let configuration = follow_subject(Subject::Configuration, targets.configuration, &views);
    tokio::join!(urgent, configuration);
}

async fn follow_subject(
    subject: Subject,
    mut targets: mpsc::Receiver<SocketAddr>,
    views: &Publisher,
) {
    let timeout = match subject {
        Subject::Urgent => URGENT_TIMEOUT,
        Subject::Configuration => CONFIGURATION_TIMEOUT,
    };
    while let Some(peer) = targets.recv().await {
        let known = views.view().revisions();
        let (configuration, servers, evacuations) = match subject {
            Subject::Urgent => (NOT_WANTED, known.servers, known.evacuations),
            Subject::Configuration => (known.configuration, NOT_WANTED, NOT_WANTED),
        };
        let request = wire::PullRequest {
            configuration: configuration.number(),
            servers: servers.number(),
            evacuations: evacuations.number(),
            accepts_compressed: true,
            configuration_at: Some(to_wire(configuration)),
            servers_at: Some(to_wire(servers)),
            evacuations_at: Some(to_wire(evacuations)),
        };
        match tokio::time::timeout(timeout, pull(peer, request)).await {
            Ok(Ok(reply)) => merge(views, reply),
            Ok(Err(error)) => tracing::warn!(%peer, %subject, %error, "pulling a view failed"),
            Err(_) => tracing::warn!(%peer, %subject, ?timeout, "pulling a view timed out"),
        }
    }
}

async fn pull(
    address: SocketAddr,
    request: wire::PullRequest,
) -> Result<wire::PullReply, Box<dyn std::error::Error>> {
    let endpoint: Endpoint = Channel::from_shared(format!("http://{address}"))?;
    let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await?;
    let mut client = PeerClient::new(channel).max_decoding_message_size(VIEW_BYTES);
    Ok(client.pull(request).await?.into_inner())
}

fn merge(views: &Publisher, reply: wire::PullReply) {
    if let Some(part) = decode(reply.configuration) {
        views.set_configuration(part, Source::Peer);
    }
    if let Some(list) = decode_list(reply.servers) {
        views.set_servers(list, Source::Peer);
    }
    if let Some(list) = decode_list(reply.evacuations) {
        views.set_evacuations(list, Source::Peer);
    }
}

/// Decodes a list. Entries of a version without numbers of changes tell none; a change of
/// unknown number counts as the newest one.
fn decode_list<T: DeserializeOwned>(mut part: Option<wire::Part>) -> Option<Listing<T>> {
    let changes = part.as_mut().map(|part| std::mem::take(&mut part.changes));
    let part: Part<Vec<T>> = decode(part)?;
    let changes = changes.filter(|changes| changes.len() == part.value.len());
    Some(match changes {
        Some(changes) => Listing::new(part, changes),
        None => part.into(),
    })
}

fn decode<T: DeserializeOwned>(part: Option<wire::Part>) -> Option<Part<T>> {
    let part = part?;
    match read(&part) {
        Ok(value) => Some(Part {
            revision: part.at.map_or(part.revision.into(), from_wire),
            value: Arc::new(value),
        }),
        Err(error) => {
            tracing::error!(%error, "part of a pulled view could not be decoded");
            None
        }
    }
}

fn read<T: DeserializeOwned>(part: &wire::Part) -> Result<T, Box<dyn std::error::Error>> {
    if !part.compressed {
        return Ok(serde_json::from_slice(&part.value)?);
    }
    let mut value = Vec::new();
    // A few compressed bytes can stand for gigabytes.
    let mut decoder = ZlibDecoder::new(&*part.value).take(VIEW_BYTES as u64 + 1);
    decoder.read_to_end(&mut value)?;
    if value.len() > VIEW_BYTES {
        return Err(format!("part has more than {VIEW_BYTES} bytes").into());
    }
    Ok(serde_json::from_slice(&value)?)
}
