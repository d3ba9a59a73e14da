//! TLS credentials of the entry and the names of its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use berylgw_core::config::Snapshot;
use berylgw_runtime::settings::Finding;
use berylgw_runtime::tls::{CallerCredentials, Error, PeerCredentials, Reload};

use crate::settings::Tls;

/// TLS credentials; connections without them are plain.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    pub callers: Option<Arc<CallerCredentials>>,
    pub peers: Option<Arc<PeerCredentials>>,
}

impl Credentials {
    pub fn load(tls: &Tls) -> Result<Self, Error> {
        let callers = tls
            .callers
            .as_ref()
            .map(CallerCredentials::load)
            .transpose()?;
        let peers = tls.peers.as_ref().map(PeerCredentials::load).transpose()?;
        Ok(Credentials {
            callers: callers.map(Arc::new),
            peers: peers.map(Arc::new),
        })
    }

    pub fn reloads(&self) -> Vec<Arc<dyn Reload>> {
        let callers = self.callers.clone().map(|files| files as Arc<dyn Reload>);
        let peers = self.peers.clone().map(|files| files as Arc<dyn Reload>);
        callers.into_iter().chain(peers).collect()
    }
}

/// Returns findings about unusable files and settings.
pub fn check(tls: &Tls) -> Vec<Finding> {
    let mut findings = Vec::new();
    let callers = tls.callers.as_ref().map(CallerCredentials::load);
    if let Some(Err(error)) = callers {
        findings.push(Finding::new("tls.callers", error.to_string()));
    }
    let peers = tls.peers.as_ref().map(PeerCredentials::load);
    if let Some(Err(error)) = peers {
        findings.push(Finding::new("tls.peers", error.to_string()));
    }
    if tls.reload_ms == 0 {
        findings.push(Finding::new("tls.reload_ms", "must be greater than 0"));
    }
    findings
}

/// Returns the name of the entry or server that the sheet has at `address`.
pub fn name_at(snapshot: &Snapshot, address: SocketAddr) -> Option<Arc<str>> {
    let sheet = &snapshot.sheet;
    let entry = sheet
        .entries
        .iter()
        .find(|entry| entry.peer_address == address);
    let server = || {
        sheet
            .servers
            .iter()
            .find(|server| server.address == address)
    };
    entry
        .map(|entry| entry.name.clone())
        .or_else(|| server().map(|server| server.name.clone()))
}

/// Returns whether a process with this name may connect; before the first sheet
/// is received, any process with a certificate may.
pub fn is_known(snapshot: &Snapshot, name: &str) -> bool {
    let entries = &snapshot.sheet.entries;
    let by_name = |entry: &berylgw_core::host::Entry| (*entry.name).cmp(name);
    entries.is_empty()
        || entries.binary_search_by(by_name).is_ok()
        || snapshot.server(name).is_some()
}
