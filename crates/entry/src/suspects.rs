//! Requests suspected of crashing backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::quarantine::{Table, Verdict};
use berylgw_wire as wire;
use berylgw_wire::agent_client::AgentClient;
use futures_util::future::join_all;

use crate::shared::Shared;
use crate::sync;

/// Time for which a request stays quarantined without a further crash.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of fingerprints kept.
const MAX_FINGERPRINTS: usize = 1_024;

/// Timeout of the calls made after a crash of a server.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Version that requests no objects, because none is newer.
const NO_OBJECTS: u64 = u64::MAX;

/// Returns an empty table.
pub fn table() -> Table {
    Table::new(QUARANTINE_LIFETIME, MAX_FINGERPRINTS)
}

/// Merges the suspects of another process.
pub fn merge(shared: &Shared, suspects: &[wire::Suspect]) {
    let now = shared.now();
    let mut table = shared.quarantine();
    for suspect in suspects {
        table.merge(now, suspect.into());
    }
}

/// Returns all suspects for transmission to other processes.
pub fn to_wire(shared: &Shared) -> Vec<wire::Suspect> {
    let now = shared.now();
    let suspects = shared.quarantine().suspects(now);
    suspects.into_iter().map(wire::Suspect::from).collect()
}

/// Returns for how long the request is still suspected and must run alone, `None` if it
/// is not.
///
/// # Errors
///
/// Fails if the request is quarantined.
pub fn check(shared: &Shared, fingerprint: u64) -> Result<Option<Duration>, Refusal> {
    let now = shared.now();
    match shared.quarantine().verdict(now, fingerprint) {
        Verdict::Clear => Ok(None),
        Verdict::Suspected(remaining) => Ok(Some(remaining)),
        Verdict::Quarantined(remaining) => {
            let message = "the request crashed the backend servers that ran it";
            Err(Refusal::not_run(Reason::Quarantined, remaining).with_message(message))
        }
    }
}

/// Records as a suspect the request whose server failed, then fetches the
/// agent's suspects.
///
/// The entry records at most one crash, because it cannot tell whether this
/// request or another one in flight was the cause; agents count further ones.
/// The next attempt waits for the reply, because an attempt made without the
/// reply could crash another server.
pub async fn server_failed(shared: &Shared, address: SocketAddr, fingerprint: u64) {
    let now = shared.now();
    shared.quarantine().suspect(now, fingerprint);
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let sender = Some(shared.sender());
        let mut client = AgentClient::new(channel);
        let reply = client.probe(wire::ProbeRequest { sender }).await;
        reply.ok().map(tonic::Response::into_inner)
    };
    // After a timeout the next probe delivers the suspects.
    if let Ok(Some(reply)) = tokio::time::timeout(CALL_TIMEOUT, call).await {
        merge(shared, &reply.suspects);
    }
    notify_peers(shared).await;
}

/// Sends the suspects to all other entries.
///
/// The caller may resend the request to another entry immediately after its
/// answer, and periodic pulls take up to a second to reach every entry.
async fn notify_peers(shared: &Shared) {
    let snapshot = shared.current().snapshot;
    let others = snapshot.sheet.entries.iter();
    let others = others.filter(|entry| entry.name != shared.settings.name);
    let calls = others.map(|entry| {
        let call = sync::pull(shared, entry.peer_address, NO_OBJECTS);
        tokio::time::timeout(CALL_TIMEOUT, call)
    });
    // An unreachable entry receives the suspects with its own pulls.
    let _ = join_all(calls).await;
}
