//! The `Ledger` gRPC service.

use std::sync::Arc;

use berylgw_core::ledger::Digest;
use berylgw_wire as wire;
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status};

use super::{Command, OWNER_TIMEOUT, RETRY_AFTER, convert, object_name, owner_of};
use crate::shared::Shared;

/// `Ledger` service for the partitions that this entry owns.
pub struct Service(pub Arc<Shared>);

#[tonic::async_trait]
impl wire::ledger_server::Ledger for Service {
    async fn claim(
        &self,
        request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimReply>, Status> {
        Ok(Response::new(claim(&self.0, request.into_inner()).await))
    }

    async fn complete(
        &self,
        request: Request<wire::CompleteRequest>,
    ) -> Result<Response<wire::CompleteReply>, Status> {
        Ok(Response::new(complete(&self.0, request.into_inner()).await))
    }
}

fn loop_of<'a>(shared: &'a Shared, name: &str) -> Option<&'a mpsc::Sender<Command>> {
    let partitions = &shared.ledger.partitions;
    let index = (0..).zip(partitions);
    let mut found = index.filter(|(index, _)| object_name(*index) == name);
    found.next().map(|(_, sender)| sender)
}

/// Processes a claim at a partition of this entry.
pub async fn claim(shared: &Arc<Shared>, request: wire::ClaimRequest) -> wire::ClaimReply {
    request_check(shared, &request.partition);
    let reply = async {
        let (reply, answered) = oneshot::channel();
        let command = Command::Claim {
            key: Digest::from_bytes(&request.key)?,
            body: Digest::from_bytes(&request.body_digest)?,
            target: convert::target(&request),
            reply,
        };
        // A claim that finds the queue full is refused like one for a partition
        // that this entry does not hold.
        loop_of(shared, &request.partition)?
            .try_send(command)
            .ok()?;
        answered.await.ok()
    };
    let reply = tokio::time::timeout(OWNER_TIMEOUT, reply)
        .await
        .ok()
        .flatten();
    let kind = match reply {
        Some(reply) => convert::kind(reply, &request),
        None => convert::refused(
            "this entry takes no claims for the ledger partition",
            RETRY_AFTER,
        ),
    };
    wire::ClaimReply {
        sender: Some(shared.sender()),
        kind: Some(kind),
    }
}

/// Requests a check of the preferred owner if it is another entry: the sender
/// of the claim may have found it unreachable.
fn request_check(shared: &Shared, partition: &str) {
    let owner = owner_of(shared, partition);
    if let Some(owner) = owner.filter(|owner| *owner != shared.settings.name) {
        // If the queue is full, a later claim repeats the request.
        let _ = shared.ledger.check_requests.try_send(owner);
    }
}

/// Processes a completion at a partition of this entry.
pub async fn complete(shared: &Arc<Shared>, request: wire::CompleteRequest) -> wire::CompleteReply {
    let accepted = async {
        let claim = request.claim.as_ref()?;
        let (accepted, answered) = oneshot::channel();
        let command = Command::Complete {
            grant: convert::grant(claim)?,
            completion: convert::completion(&request)?,
            accepted,
        };
        loop_of(shared, &claim.partition)?.try_send(command).ok()?;
        answered.await.ok()
    };
    let accepted = tokio::time::timeout(OWNER_TIMEOUT, accepted).await;
    wire::CompleteReply {
        sender: Some(shared.sender()),
        accepted: accepted.ok().flatten().unwrap_or_default(),
    }
}
