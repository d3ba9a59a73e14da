//! Ledger partitions owned by this entry, and calls to the owners of others.

mod convert;
mod handle;
mod owner;
mod service;

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::ledger::{Digest, partition_index, preferred_owner};
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_wire as wire;
use berylgw_wire::ledger_client::LedgerClient;

use crate::shared::{Current, Shared};

pub use handle::{Command, Handle, Inbox, channel};
pub use owner::run;
pub use service::Service;

/// Timeout of a call to an owner; the owner answers within [`CLAIM_TIMEOUT`] unless
/// its process is paused.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that a claim waits at its owner.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Owners tried for one claim: the preferred one and the next one.
const MAX_OWNERS: usize = 2;

/// Returns the name of the platform object of a partition.
pub fn object_name(index: u32) -> String {
    format!("p{index}")
}

/// Returns the index of the partition of a key.
pub fn index_of(shared: &Shared, key: &Digest) -> u32 {
    partition_index(key, shared.settings.ledger.partitions)
}

/// Returns the entries that may own partitions.
fn candidates(current: &Current, unresponsive: &[Arc<str>]) -> Vec<Arc<str>> {
    let entries = &current.snapshot.sheet.entries;
    let staying = entries.iter().filter(|entry| {
        let leaving = current.leaving.binary_search(&entry.name).is_ok();
        // Without a host list, every entry of the sheet counts as live.
        let live = current.live.is_empty() || current.live.binary_search(&entry.name).is_ok();
        let silent = unresponsive.contains(&entry.name);
        live && !leaving && !silent && !current.snapshot.is_domain_out(&entry.domain)
    });
    staying.map(|entry| entry.name.clone()).collect()
}

/// Returns the preferred owner of the partition according to this entry's view.
fn owner_of(shared: &Shared, name: &str) -> Option<Arc<str>> {
    let current = shared.current();
    let candidates = candidates(&current, &shared.ledger.unresponsive());
    preferred_owner(name, &candidates).cloned()
}

/// Requests a claim from the owner of the partition.
///
/// # Errors
///
/// Fails if no owner answers. An owner may have granted the claim, but nobody
/// holds that grant.
pub async fn claim(
    shared: &Arc<Shared>,
    request: wire::ClaimRequest,
) -> Result<wire::claim_reply::Kind, Refusal> {
    for _ in 0..MAX_OWNERS {
        let Some(owner) = owner_of(shared, &request.partition) else {
            break;
        };
        let reply = if owner == shared.settings.name {
            Some(service::claim(shared, request.clone()).await)
        } else {
            let asked = request.clone();
            call(shared, &owner, async |mut client| client.claim(asked).await).await
        };
        match reply.and_then(|reply| reply.kind) {
            Some(kind) => return Ok(kind),
            None => shared.ledger.mark_unresponsive(&owner),
        }
    }
    let refusal = Refusal::unknown(Reason::LedgerUnavailable, RETRY_AFTER);
    Err(refusal.with_message("the ledger partition has no reachable owner"))
}

/// Reports the outcome of a claim; returns whether the owner accepted it.
pub async fn complete(shared: &Arc<Shared>, request: wire::CompleteRequest) -> bool {
    let name = request.claim.as_ref().map(|claim| claim.partition.as_str());
    let Some(owner) = name.and_then(|name| owner_of(shared, name)) else {
        return false;
    };
    if owner == shared.settings.name {
        return service::complete(shared, request).await.accepted;
    }
    let reply = call(shared, &owner, async |mut client| {
        client.complete(request).await
    });
    reply.await.is_some_and(|reply| reply.accepted)
}

type Client = LedgerClient<tonic::transport::Channel>;

async fn call<T>(
    shared: &Shared,
    owner: &str,
    act: impl AsyncFnOnce(Client) -> Result<tonic::Response<T>, tonic::Status>,
) -> Option<T> {
    let snapshot = shared.current().snapshot;
    let entries = &snapshot.sheet.entries;
    let found = entries.iter().find(|entry| *entry.name == *owner)?;
    let address = found.peer_address;
    let answer = async {
        let channel = shared.pool.get(address).await.ok()?;
        act(LedgerClient::new(channel)).await.ok()
    };
    match tokio::time::timeout(OWNER_TIMEOUT, answer).await {
        Ok(Some(reply)) => Some(reply.into_inner()),
        _ => {
            shared.pool.evict(address);
            None
        }
    }
}
