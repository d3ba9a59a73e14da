//! Poison requests as an entry knows them.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::quarantine::{Suspect, Table, Verdict};
use berylgw_wire as wire;
use berylgw_wire::agent_client::AgentClient;
use futures_util::future::join_all;

use crate::shared::Shared;
use crate::sync;

/// Time for which a conviction holds without a further crash.
const CONVICTION: Duration = Duration::from_secs(600);

/// Fingerprints kept.
const CAPACITY: usize = 1_024;

/// Longest wait for an agent's suspects after a crash of its server.
const ASK_LIMIT: Duration = Duration::from_millis(250);

/// Version that no object is newer than.
const NO_OBJECTS: u64 = u64::MAX;

/// An empty table.
pub fn table() -> Table {
    Table::new(CONVICTION, CAPACITY)
}

/// Merges what another process knows.
pub fn merge(shared: &Shared, suspects: &[wire::Suspect]) {
    let now = shared.now();
    let mut table = shared.quarantine();
    for suspect in suspects {
        let suspect = Suspect {
            fingerprint: suspect.fingerprint,
            crashes: suspect.crashes,
            quarantined: Duration::from_millis(suspect.convicted_ms),
        };
        table.merge(now, suspect);
    }
}

/// Everything known, for other processes.
pub fn known(shared: &Shared) -> Vec<wire::Suspect> {
    let now = shared.now();
    let suspects = shared.quarantine().suspects(now);
    let encode = |suspect: &Suspect| wire::Suspect {
        fingerprint: suspect.fingerprint,
        crashes: suspect.crashes,
        convicted_ms: suspect.quarantined.as_millis() as u64,
    };
    suspects.iter().map(encode).collect()
}

/// Whether the request has to run alone.
///
/// # Errors
///
/// Fails if the request is quarantined.
pub fn check(shared: &Shared, fingerprint: u64) -> Result<bool, Refusal> {
    let now = shared.now();
    match shared.quarantine().verdict(now, fingerprint) {
        Verdict::Clear => Ok(false),
        Verdict::Suspected => Ok(true),
        Verdict::Quarantined(rest) => {
            let message = "the request crashed the backend servers that ran it";
            Err(Refusal::not_run(Reason::Quarantined, rest).with_message(message))
        }
    }
}

/// Suspects a request whose server failed, and asks the agent what it knows.
///
/// Only agents count crashes: the entry cannot tell whether this request or
/// another one in flight was the cause. The next attempt waits for the answer,
/// because an attempt without it could cost a third server.
pub async fn server_failed(shared: &Shared, address: SocketAddr, fingerprint: u64) {
    let now = shared.now();
    let suspect = Suspect {
        fingerprint,
        crashes: 1,
        quarantined: Duration::ZERO,
    };
    shared.quarantine().merge(now, suspect);
    let ask = async {
        let channel = shared.pool.get(address).await.ok()?;
        let sender = Some(shared.sender());
        let mut client = AgentClient::new(channel);
        let reply = client.probe(wire::ProbeRequest { sender }).await;
        reply.ok().map(tonic::Response::into_inner)
    };
    // Without an answer the next probe brings the suspects.
    if let Ok(Some(reply)) = tokio::time::timeout(ASK_LIMIT, ask).await {
        merge(shared, &reply.suspects);
    }
    inform_peers(shared).await;
}

/// Tells all other entries what this one knows.
///
/// The caller may send the request again to another entry as soon as it has its
/// answer, and regular pulls take up to a second to reach every entry.
async fn inform_peers(shared: &Shared) {
    let snapshot = shared.current().snapshot;
    let others = snapshot.sheet.entries.iter();
    let others = others.filter(|entry| entry.name != shared.settings.name);
    let calls = others.map(|entry| {
        let call = sync::pull(shared, entry.peer_address, NO_OBJECTS);
        tokio::time::timeout(ASK_LIMIT, call)
    });
    // An entry that cannot be reached learns it by its own pulls.
    let _ = join_all(calls).await;
}
