//! Exchange of configuration and membership with peers and agents.

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::config::{Object, Version};
use berylgw_runtime::tls;
use berylgw_wire as wire;
use futures_util::{Stream, stream};
use tonic::{Code, Request, Response, Status};

use crate::members;
use crate::secure;
use crate::shared::{Current, Shared};
use crate::suspects;

/// Longest pause between replies of a follow stream.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum entry addresses in a reply; the addresses of all entries of a large
/// fleet (380) would exceed the control traffic allowed per host.
const MAX_ENTRY_ADDRESSES: usize = 8;

/// The `Sync` service of an entry.
pub struct Service(pub Arc<Shared>);

impl Service {
    /// Rejects a sender whose name is unknown or does not match its certificate.
    fn check(&self, request: &Request<wire::PullRequest>) -> Result<(), Status> {
        let snapshot = self.0.current().snapshot;
        let sender = request.get_ref().sender.as_ref();
        let name = sender.map(|sender| &*sender.name);
        tls::check_sender(request.extensions(), name, |name| {
            secure::is_known(&snapshot, name)
        })
    }

    /// Records the sender; requests a pull from it if its configuration is newer.
    fn record_version(&self, sender: Option<&wire::Sender>) {
        let Some(sender) = sender else { return };
        let snapshot = self.0.current().snapshot;
        let by_name = |entry: &berylgw_core::host::Entry| (*entry.name).cmp(&sender.name);
        let entries = &snapshot.sheet.entries;
        let address = match entries.binary_search_by(by_name) {
            Ok(index) => Some(entries[index].peer_address),
            Err(_) => snapshot.server(&sender.name).map(|server| server.address),
        };
        if let Some(address) = address {
            self.0.record_sender(address, Some(sender));
        }
    }
}

/// Returns whether the sender may report entry and host states; agents may not,
/// once the sheet has entries.
fn may_report_members(current: &Current, sender: Option<&wire::Sender>) -> bool {
    let entries = &current.snapshot.sheet.entries;
    let name = sender.map_or("", |sender| &sender.name);
    entries.is_empty()
        || entries
            .binary_search_by(|entry| (*entry.name).cmp(name))
            .is_ok()
}

fn reply(shared: &Shared, current: &Current, since: u64) -> wire::PullReply {
    let lifetime = shared.settings.limits.directory();
    let valid = shared.members().answer_validity(shared.now(), lifetime);
    let objects = current.view.newer_than(Version::from(since));
    wire::PullReply {
        sender: Some(shared.sender()),
        version: current.view.version().into(),
        objects: objects.iter().map(encode).collect(),
        entries: entry_addresses(current, &shared.settings.name),
        suspects: suspects::to_wire(shared),
        members: members::to_wire(shared),
        directory_ms: valid.as_millis() as u64,
    }
}

/// Returns peer addresses of entries that an agent may follow, starting with
/// this entry.
fn entry_addresses(current: &Current, own: &str) -> Vec<String> {
    let snapshot = &current.snapshot;
    let entries = &snapshot.sheet.entries;
    let first = entries.partition_point(|entry| &*entry.name < own);
    let (before, from) = entries.split_at(first);
    let staying = from.iter().chain(before).filter(|entry| {
        let leaving = current.leaving.binary_search(&entry.name).is_ok();
        !leaving && !snapshot.is_domain_out(&entry.domain)
    });
    staying
        .take(MAX_ENTRY_ADDRESSES)
        .map(|entry| entry.peer_address.to_string())
        .collect()
}

fn encode(object: &Object) -> wire::Object {
    wire::Object {
        name: object.name.to_string(),
        version: object.version.into(),
        value: object.value.as_bytes().to_vec().into(),
    }
}

fn decode(object: wire::Object) -> Option<Object> {
    Some(Object {
        name: object.name.into(),
        version: object.version.into(),
        value: String::from_utf8(object.value.to_vec()).ok()?.into(),
    })
}

#[tonic::async_trait]
impl wire::sync_server::Sync for Service {
    type FollowStream = Pin<Box<dyn Stream<Item = Result<wire::PullReply, Status>> + Send>>;

    async fn pull(
        &self,
        request: Request<wire::PullRequest>,
    ) -> Result<Response<wire::PullReply>, Status> {
        self.check(&request)?;
        let request = request.into_inner();
        self.record_version(request.sender.as_ref());
        suspects::merge(&self.0, &request.suspects);
        // Merged before the reply states the validity of the last directory
        // answer, so that later answers omit the address of a leaving entry.
        let current = self.0.current();
        if may_report_members(&current, request.sender.as_ref()) {
            members::merge(&self.0, &request.members);
            if let Some(hosts) = &request.hosts {
                members::merge_hosts(&self.0, hosts);
            }
        }
        Ok(Response::new(reply(&self.0, &current, request.since)))
    }

    async fn follow(
        &self,
        request: Request<wire::PullRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        self.check(&request)?;
        let request = request.into_inner();
        self.record_version(request.sender.as_ref());
        let mut changes = self.0.current.clone();
        changes.mark_changed();
        let versions_only = request.versions_only;
        let start = (self.0.clone(), changes, request.since);
        let replies = stream::unfold(start, move |(shared, mut changes, since)| async move {
            let mut stopping = shared.stopping.clone();
            let stopped = async move {
                let _ = stopping.wait_for(|stopping| *stopping).await;
            };
            tokio::select! {
                _ = tokio::time::timeout(FOLLOW_INTERVAL, changes.changed()) => {}
                () = stopped => return None,
            }
            let current = changes.borrow_and_update().clone();
            let from = if versions_only { u64::MAX } else { since };
            let reply = reply(&shared, &current, from);
            let since = since.max(reply.version);
            Some((Ok(reply), (shared, changes, since)))
        });
        Ok(Response::new(Box::pin(replies)))
    }
}

/// Builds a pull request with the suspects and member states of this entry.
pub fn request(shared: &Shared, since: u64) -> wire::PullRequest {
    wire::PullRequest {
        sender: Some(shared.sender()),
        since,
        suspects: suspects::to_wire(shared),
        members: members::to_wire(shared),
        ..wire::PullRequest::default()
    }
}

/// Pulls the objects of a peer that are newer than `since`.
pub async fn pull(shared: &Shared, peer: SocketAddr, since: u64) -> Result<Delta, Status> {
    let reply = exchange(shared, peer, request(shared, since)).await?;
    let objects: Option<Vec<_>> = reply.objects.into_iter().map(decode).collect();
    let objects = objects.ok_or_else(|| Status::data_loss("object value is not UTF-8"))?;
    Ok(Delta {
        version: reply.version,
        objects,
        sender: reply.sender,
    })
}

/// Sends a pull request to a peer and merges the suspects and members of its
/// reply.
pub async fn exchange(
    shared: &Shared,
    peer: SocketAddr,
    request: wire::PullRequest,
) -> Result<wire::PullReply, Status> {
    let limit = shared.settings.limits.progress();
    let call = async {
        let unreachable = |error: tonic::transport::Error| Status::unavailable(error.to_string());
        let channel = shared.pool.get(peer).await.map_err(unreachable)?;
        let mut client =
            wire::sync_client::SyncClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
        let reply = client.pull(request).await?;
        Ok::<_, Status>(reply.into_inner())
    };
    let timed_out =
        |_| Status::deadline_exceeded("no answer from peer within the progress timeout");
    let reply = tokio::time::timeout(limit, call).await;
    let reply = reply.map_err(timed_out).flatten().inspect_err(|status| {
        if !is_refusal(status) {
            shared.pool.evict(peer);
        }
    })?;
    suspects::merge(shared, &reply.suspects);
    members::merge(shared, &reply.members);
    Ok(reply)
}

/// Returns whether the status comes from the process itself, which shows that
/// the connection works.
pub fn is_refusal(status: &Status) -> bool {
    let failed = matches!(status.code(), Code::DeadlineExceeded | Code::Unavailable);
    !failed && status.source().is_none()
}

/// Largest reply accepted from a peer; platform values reach 1 MiB each.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Objects pulled from a peer and the version that they bring the view to.
pub struct Delta {
    pub version: u64,
    pub objects: Vec<Object>,
    pub sender: Option<wire::Sender>,
}
