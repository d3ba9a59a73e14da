//! The settings file `agent.yaml`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use berylgw_core::fair::Discipline;
use berylgw_runtime::settings::{Error, Finding};
use berylgw_runtime::tls::{PeerCredentials, PeerFiles};
use serde::Deserialize;

use crate::call::MAX_RESULT_BYTES;

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of its backend server in the configuration sheet.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Listener addresses.
    pub listen: Listen,
    /// Peer addresses of entries to follow.
    pub entries: Vec<SocketAddr>,
    /// The local engine or service.
    pub server: Server,
    /// Bounds of the queue.
    #[serde(default)]
    pub queue: Queue,
    /// Register of claims.
    #[serde(default)]
    pub claims: Claims,
    /// Tickets.
    #[serde(default)]
    pub tickets: Tickets,
    /// Quarantine of requests that crash the server.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Orders to the engine.
    #[serde(default)]
    pub orders: Orders,
    /// Certificate and key files; without them, connections are unencrypted.
    #[serde(default)]
    pub tls: Tls,
}

/// Certificate and key files.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tls {
    /// For connections with entries, in both directions.
    pub peers: Option<PeerFiles>,
    /// Interval of checks for changed files, in milliseconds; SIGHUP triggers a
    /// check at once.
    pub reload_ms: u64,
}

impl Default for Tls {
    fn default() -> Self {
        Tls {
            peers: None,
            reload_ms: 10_000,
        }
    }
}

/// Listener addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// gRPC.
    pub agent: SocketAddr,
    /// Prometheus.
    pub metrics: SocketAddr,
}

/// The local engine or service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Greatest age of a load report, in milliseconds.
    #[serde(default = "report_lag_ms")]
    pub report_lag_ms: u64,
    /// Longest time for which it works on a request, in milliseconds, even after
    /// the connection has closed. Guard this time has passed since the agent's
    /// start, the server holds no work of an earlier agent.
    #[serde(default = "longest_ms")]
    pub longest_ms: u64,
}

fn report_lag_ms() -> u64 {
    1_000
}

/// Returns the default of `server.longest_ms`, equal to the default of
/// `limits.request_ms` of entries.
fn longest_ms() -> u64 {
    300_000
}

/// Bounds of the queue.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// Maximum number of queued requests in total.
    pub total: usize,
    /// Maximum number of queued requests of one client account.
    pub per_account: usize,
    /// Queueing discipline; `arrival` lets one account starve the others and
    /// serves only for comparison.
    pub order: Discipline,
}

impl Default for Queue {
    fn default() -> Self {
        Queue {
            total: 256,
            per_account: 64,
            order: Discipline::Fair,
        }
    }
}

/// Register of claims.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claims {
    /// Minimum time for which an ended or sealed claim is retained, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Maximum number of claims retained at the same time.
    pub capacity: usize,
    /// Maximum memory of retained results, in bytes.
    pub result_bytes: usize,
}

impl Default for Claims {
    fn default() -> Self {
        Claims {
            retention_ms: 600_000,
            capacity: 65_536,
            result_bytes: 32 << 20,
        }
    }
}

/// Tickets.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tickets {
    /// Time from issue to expiry, in milliseconds.
    pub lifetime_ms: u64,
    /// Maximum number of tickets retained at the same time.
    pub capacity: usize,
}

impl Default for Tickets {
    fn default() -> Self {
        Tickets {
            lifetime_ms: 300_000,
            capacity: 65_536,
        }
    }
}

/// Quarantine of requests that crash the server.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quarantine {
    /// Time for which a convicted request is refused, in milliseconds.
    pub conviction_ms: u64,
    /// Maximum number of fingerprints retained at the same time.
    pub capacity: usize,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine {
            conviction_ms: 600_000,
            capacity: 1_024,
        }
    }
}

/// Orders to the engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// Longest time from sending an order to its end at the engine, in
    /// milliseconds. All agents of one backend server need the same value.
    pub longest_ms: u64,
    /// Interval at which a running order is polled, in milliseconds.
    pub poll_ms: u64,
    /// Maximum number of queued orders.
    pub capacity: usize,
}

impl Default for Orders {
    fn default() -> Self {
        Orders {
            longest_ms: 30_000,
            poll_ms: 50,
            capacity: 16,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with all findings if the file cannot be used.
pub fn load(path: &Path) -> Result<Settings, Error> {
    berylgw_runtime::settings::load(path, check)
}

fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    if settings.name.is_empty() {
        findings.push(Finding::new("name", "must not be empty"));
    }
    if settings.entries.is_empty() {
        findings.push(Finding::new("entries", "at least one address is needed"));
    }
    if settings.claims.result_bytes < MAX_RESULT_BYTES {
        let message = format!("must be at least {MAX_RESULT_BYTES}");
        findings.push(Finding::new("claims.result_bytes", message));
    }
    for (field, value) in [
        ("server.longest_ms", settings.server.longest_ms as usize),
        ("queue.total", settings.queue.total),
        ("queue.per_account", settings.queue.per_account),
        ("claims.capacity", settings.claims.capacity),
        ("tickets.capacity", settings.tickets.capacity),
        ("quarantine.capacity", settings.quarantine.capacity),
        ("orders.longest_ms", settings.orders.longest_ms as usize),
        ("orders.poll_ms", settings.orders.poll_ms as usize),
        ("orders.capacity", settings.orders.capacity),
    ] {
        if value == 0 {
            findings.push(Finding::new(field, "must be at least 1"));
        }
    }
    if let Some(Err(error)) = settings.tls.peers.as_ref().map(PeerCredentials::load) {
        findings.push(Finding::new("tls.peers", error.to_string()));
    }
    if settings.tls.reload_ms == 0 {
        findings.push(Finding::new("tls.reload_ms", "must be at least 1"));
    }
    findings
}
