//! Settings of the entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::expert::incremental;
use berylgw_core::route::Policy;
use berylgw_runtime::settings::Finding;
use berylgw_runtime::tls::{CallerFiles, PeerFiles};
use serde::Deserialize;

use crate::secure;

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host in the sheet.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Addresses to bind.
    pub listen: Listen,
    /// The platform object API.
    pub platform: Platform,
    /// Peer addresses to pull the configuration from at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits and timeouts.
    #[serde(default)]
    pub limits: Limits,
    /// Choice of backend servers.
    #[serde(default)]
    pub routing: Routing,
    /// Claims of idempotency keys.
    #[serde(default)]
    pub ledger: Ledger,
    /// Control of rank groups; without it this entry holds no group role.
    #[serde(default)]
    pub groups: Option<Groups>,
    /// Certificate and key files; connections are plain without them.
    #[serde(default)]
    pub tls: Tls,
}

/// Choice of backend servers.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Selection policy; all but `affinity` exist only for comparison.
    pub policy: Policy,
}

/// Claims of idempotency keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ledger {
    /// Number of partitions. It must be the same at all entries: otherwise a
    /// key has several owners, and a resend could run again.
    pub partitions: u32,
    /// Term of a partition's lease.
    pub term_ms: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            partitions: 16,
            term_ms: 6_000,
        }
    }
}

/// Certificate and key files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// For connections of callers.
    pub callers: Option<CallerFiles>,
    /// For connections with other berylgw processes, in both directions.
    pub peers: Option<PeerFiles>,
    /// Interval of checks for changed files; SIGHUP triggers one immediately.
    pub reload_ms: u64,
}

impl Default for Tls {
    fn default() -> Self {
        Tls {
            callers: None,
            peers: None,
            reload_ms: 10_000,
        }
    }
}

/// Addresses to bind; port 0 lets the system choose.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// gRPC for other berylgw processes.
    pub peers: SocketAddr,
    /// Prometheus endpoint.
    pub metrics: SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    #[serde(default = "platform_timeout_ms")]
    pub timeout_ms: u64,
}

fn platform_timeout_ms() -> u64 {
    1_000
}

/// Limits and timeouts; each has a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body_bytes: usize,
    /// Largest request head.
    pub header_bytes: usize,
    /// Largest answer that is collected before it is sent.
    pub answer_bytes: usize,
    /// Bytes buffered for one slow reader.
    pub stream_buffer_bytes: usize,
    /// Bytes buffered for all slow readers.
    pub buffer_bytes: usize,
    /// Longest wait for a slow reader of an answer that cannot be resumed.
    pub slow_reader_ms: u64,
    /// Longest silence of an agent that runs a request.
    pub progress_ms: u64,
    /// Longest wait for a connection to an agent or peer.
    pub connect_ms: u64,
    /// Longest time a request may take.
    pub request_ms: u64,
    /// Shortest time for which a stopping entry still accepts callers.
    pub leave_ms: u64,
    /// Longest wait of a stopping entry for entries that it cannot notify.
    pub tell_ms: u64,
    /// Lifetime of a directory answer.
    pub directory_ms: u64,
    /// Backend servers probed per service and second.
    pub probes: usize,
    /// Connections of callers that are open at the same time.
    pub connections: usize,
    /// Connections of other processes that are open at the same time.
    pub peer_connections: usize,
    /// Requests that run at the same time on one HTTP/2 connection.
    pub streams: u32,
    /// Longest time until a request head has arrived.
    pub head_ms: u64,
    /// Longest time until a request body has arrived.
    pub body_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1 << 20,
            header_bytes: 32 << 10,
            answer_bytes: 16 << 20,
            stream_buffer_bytes: 64 << 10,
            buffer_bytes: 64 << 20,
            slow_reader_ms: 5_000,
            progress_ms: 2_000,
            connect_ms: 500,
            request_ms: 300_000,
            leave_ms: 1_000,
            tell_ms: 5_000,
            directory_ms: 10_000,
            probes: 3,
            connections: 8_192,
            peer_connections: 8_192,
            streams: 100,
            head_ms: 10_000,
            body_ms: 60_000,
        }
    }
}

/// Control of rank groups.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Groups {
    /// Experts of the layer that maps are made for.
    pub experts: u16,
    /// Expert slots of each rank.
    pub slots: u16,
    /// Weights of one expert, in bytes.
    pub expert_bytes: u64,
    /// Rate at which a group may fetch weights, in bytes per second.
    pub fetch_rate: u64,
    /// Term of the lease of a group.
    #[serde(default = "group_term_ms")]
    pub term_ms: u64,
    /// Interval at which the ranks are polled.
    #[serde(default = "group_poll_ms")]
    pub poll_ms: u64,
    /// Interval at which the map object is read.
    #[serde(default = "group_read_ms")]
    pub read_ms: u64,
    /// Interval between decisions about a new map.
    #[serde(default = "group_decide_ms")]
    pub decide_ms: u64,
    /// Timeout of an order.
    #[serde(default = "group_order_ms")]
    pub order_ms: u64,
    /// Time for which the present load is expected to last.
    #[serde(default = "group_horizon_ms")]
    pub horizon_ms: u64,
    /// Share of a load report that enters the smoothed load.
    #[serde(default = "group_smoothing")]
    pub smoothing: f64,
    /// Share of a step that scales with the load of the slowest rank.
    #[serde(default = "group_expert_share")]
    pub expert_share: f64,
    /// Share by which steps are slower while a slot is being fetched.
    #[serde(default = "group_fetch_slowdown")]
    pub fetch_slowdown: f64,
    /// Largest number of slots that one change may load.
    #[serde(default = "group_max_transfers")]
    pub max_transfers: usize,
}

fn group_term_ms() -> u64 {
    6_000
}

fn group_poll_ms() -> u64 {
    1_000
}

fn group_read_ms() -> u64 {
    10_000
}

fn group_decide_ms() -> u64 {
    60_000
}

fn group_order_ms() -> u64 {
    120_000
}

fn group_horizon_ms() -> u64 {
    600_000
}

fn group_smoothing() -> f64 {
    0.3
}

fn group_expert_share() -> f64 {
    0.4
}

fn group_fetch_slowdown() -> f64 {
    0.1
}

fn group_max_transfers() -> usize {
    64
}

impl Groups {
    /// Returns the rule that decides whether a map change is worth its cost.
    pub fn rule(&self) -> incremental::Rule {
        incremental::Rule {
            horizon: Duration::from_millis(self.horizon_ms),
            expert_share: self.expert_share,
            expert_bytes: self.expert_bytes,
            fetch_rate: self.fetch_rate,
            fetch_slowdown: self.fetch_slowdown,
            max_transfers: self.max_transfers,
        }
    }
}

impl Limits {
    /// Returns the longest silence of an agent that runs a request.
    pub fn progress(&self) -> Duration {
        Duration::from_millis(self.progress_ms)
    }

    /// Returns the lifetime of a directory answer.
    pub fn directory(&self) -> Duration {
        Duration::from_millis(self.directory_ms)
    }

    /// Returns the longest wait for a connection.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }
}

impl Settings {
    /// Returns findings about values that are well formed but not allowed.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let positive = [
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("limits.body_bytes", self.limits.body_bytes as u64),
            ("limits.answer_bytes", self.limits.answer_bytes as u64),
            (
                "limits.stream_buffer_bytes",
                self.limits.stream_buffer_bytes as u64,
            ),
            ("limits.buffer_bytes", self.limits.buffer_bytes as u64),
            ("limits.progress_ms", self.limits.progress_ms),
            ("limits.connect_ms", self.limits.connect_ms),
            ("limits.request_ms", self.limits.request_ms),
            ("ledger.partitions", self.ledger.partitions.into()),
            ("ledger.term_ms", self.ledger.term_ms),
            ("limits.connections", self.limits.connections as u64),
            (
                "limits.peer_connections",
                self.limits.peer_connections as u64,
            ),
            ("limits.streams", u64::from(self.limits.streams)),
            ("limits.head_ms", self.limits.head_ms),
            ("limits.body_ms", self.limits.body_ms),
        ];
        for (field, value) in positive {
            if value == 0 {
                findings.push(Finding::new(field, "must be greater than 0"));
            }
        }
        if self.limits.header_bytes < 8_192 {
            findings.push(Finding::new("limits.header_bytes", "must be at least 8192"));
        }
        for (field, value) in [("name", &self.name), ("domain", &self.domain)] {
            if value.is_empty() {
                findings.push(Finding::new(field, "must not be empty"));
            }
        }
        findings.extend(secure::check(&self.tls));
        findings
    }
}
