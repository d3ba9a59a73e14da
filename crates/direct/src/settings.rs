//! Settings of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::freshness::Schedule;
use berylgw_core::group::concurrency::Tuning;
use berylgw_core::retry::Allowance;
use berylgw_core::usage;
use berylgw_runtime::settings::Finding;
use serde::Deserialize;

use crate::view::Section;

/// Settings of an entry, as a section of a settings file in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Listener addresses.
    pub listen: Listen,
    /// Retry budget.
    pub retry: Retry,
    /// Limit on the arrivals at servers in cold start.
    pub cold: Cold,
    /// Seconds between the stop signal and the kill signal.
    pub stop_s: f64,
    /// Time within which changes must be in force.
    #[serde(default)]
    pub freshness: Freshness,
    /// Concurrency limit of model groups.
    #[serde(default)]
    pub group: Group,
    /// Duties that one entry of the fleet performs at a time; off if absent.
    pub duties: Option<Duties>,
}

/// Duties that one entry of the fleet performs at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Length of a usage window in seconds.
    pub window_s: u64,
    /// Seconds after the end of a window at which its report is due.
    #[serde(default = "default_late_s")]
    pub late_s: f64,
    /// Term of the lease of the duties in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// What is done about numbers of servers.
    #[serde(default)]
    pub scaling: Scaling,
}

/// What the holder of the duties does about numbers of servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Scaling {
    /// Nothing.
    #[default]
    #[display("off")]
    Off,
    /// Decides, logs and exports, and orders nothing.
    #[display("observe")]
    Observe,
    /// Orders what it decides.
    #[display("order")]
    Order,
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_late_s() -> f64 {
    10.0
}

impl Duties {
    /// Returns the term of the lease.
    pub fn lease(self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Converts the times of the windows to the type of `berylgw_core`.
    pub fn usage(self) -> usage::Settings {
        usage::Settings {
            window: Duration::from_secs(self.window_s),
            due: Duration::from_secs_f64(self.late_s),
        }
    }
}

/// Listener addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For other entries, over TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Time within which a change in the store must be in force, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Freshness {
    /// Of the configuration.
    pub configuration_ms: u64,
    /// Of the backend servers.
    pub servers_ms: u64,
    /// Of the evacuated failure domains.
    pub evacuations_ms: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Freshness {
            configuration_ms: 2_000,
            servers_ms: 2_000,
            evacuations_ms: 5_000,
        }
    }
}

impl Freshness {
    /// Returns when copies of a part of the view are confirmed.
    pub fn schedule(self, section: Section) -> Schedule {
        let bound_ms = match section {
            Section::Configuration => self.configuration_ms,
            Section::Servers => self.servers_ms,
            Section::Evacuations => self.evacuations_ms,
        };
        Schedule::new(Duration::from_millis(bound_ms))
    }
}

/// Retry budget of all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Length of the window in which requests and retries are counted, in
    /// seconds.
    pub window_s: u64,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in a window regardless of the number of requests.
    pub extra: f64,
}

impl Retry {
    /// Converts the budget to the type of `berylgw_core`.
    pub fn allowance(self) -> Allowance {
        Allowance {
            window: Duration::from_secs(self.window_s),
            ratio: self.ratio,
            extra: self.extra,
        }
    }
}

/// Limit on the arrivals at a server in cold start, of all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor on the cold-start rate that the service declares.
    pub overshoot: f64,
    /// Arrivals per second allowed in addition.
    pub slack: f64,
}

/// Parameters of the adaptive concurrency limit of a model group.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Group {
    /// Share of the target for the pause between events that observed pauses
    /// may take up. The rest covers passes that are longer than the recent
    /// ones.
    pub pause_share: f64,
    /// Quantile of the observed pauses that is compared with the target.
    pub quantile: f64,
    /// Part of the distance to the predicted limit covered in one adjustment.
    pub gain: f64,
    /// Share of a pass's duration that grows with the number of requests.
    pub load_share: f64,
    /// Factor on the target while no answer can be on time.
    pub late_factor: f64,
    /// Longest wait for a permit, as a share of the target for the first event.
    pub wait_share: f64,
    /// Share of the concurrency limit open to requests whose answer is late
    /// already, so that they do not displace those that can be on time.
    pub late_share: f64,
    /// Factor by which an entry may exceed its own recent admission rate.
    pub pace_headroom: f64,
    /// How the capacity of a server is determined.
    pub capacity: Capacity,
    /// How permits are shared where the routes of a service have different priorities.
    pub shares: Shares,
}

/// How the capacity of a server is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Capacity {
    /// From its reported pace or its response times.
    #[default]
    Measured,
    /// Its slots.
    Fixed,
}

/// How permits are shared where the routes of a service have different priorities.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Shares {
    /// By priority and account over all entries.
    #[default]
    ByPriority,
    /// By the order of each entry's own queue.
    Off,
}

impl Shares {
    /// Returns whether permits are shared by priority.
    pub fn by_priority(self) -> bool {
        self == Shares::ByPriority
    }
}

impl Default for Group {
    fn default() -> Self {
        // docs/MEASUREMENTS.md compares these values with others.
        Group {
            pause_share: 0.85,
            quantile: 0.9,
            gain: 0.2,
            load_share: 0.6,
            late_factor: 2.0,
            wait_share: 0.125,
            late_share: 0.9,
            pace_headroom: 1.2,
            capacity: Capacity::Measured,
            shares: Shares::ByPriority,
        }
    }
}

/// Lowest concurrency limit: a group needs some requests for its pauses to be
/// observed.
const MIN_CONCURRENCY: f64 = 8.0;

impl Group {
    /// Converts the parameters to the type of `berylgw_core`.
    pub fn tuning(self) -> Tuning {
        Tuning {
            pause_share: self.pause_share,
            quantile: self.quantile,
            gain: self.gain,
            load_share: self.load_share,
            floor: MIN_CONCURRENCY,
            late_factor: self.late_factor,
        }
    }
}

impl Settings {
    /// Returns a finding for each value that is well formed but not allowed.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut require = |field: &str, allowed: bool, expected: &str| {
            if !allowed {
                findings.push(Finding::new(field, expected));
            }
        };
        require("name", !self.name.is_empty(), "must not be empty");
        require("domain", !self.domain.is_empty(), "must not be empty");
        require("stop_s", self.stop_s >= 1.0, "must be at least 1");
        require("retry.window_s", self.retry.window_s > 0, "must be above 0");
        require(
            "retry.ratio",
            self.retry.ratio >= 0.0,
            "must not be negative",
        );
        require(
            "retry.extra",
            self.retry.extra >= 0.0,
            "must not be negative",
        );
        require(
            "cold.overshoot",
            self.cold.overshoot > 0.0,
            "must be above 0",
        );
        require("cold.slack", self.cold.slack >= 0.0, "must not be negative");
        let freshness = self.freshness;
        let expected = "must be above 0";
        require(
            "freshness.configuration_ms",
            freshness.configuration_ms > 0,
            expected,
        );
        require("freshness.servers_ms", freshness.servers_ms > 0, expected);
        require(
            "freshness.evacuations_ms",
            freshness.evacuations_ms > 0,
            expected,
        );
        if let Some(duties) = self.duties {
            // At most a day, so that the numbers of windows stay exact.
            let window = (1..=86_400).contains(&duties.window_s);
            require("duties.window_s", window, "must be 1 to 86,400 s");
            // A window is not decided before 2.5 s after its end, and must be before
            // three fifths of this time.
            let late = (5.0..=3_600.0).contains(&duties.late_s);
            require("duties.late_s", late, "must be 5 to 3,600 s");
            // A call takes up to 0.6 s, and a renewal that gets no answer another 0.5 s.
            let lease = (2_000..=60_000).contains(&duties.lease_ms);
            require("duties.lease_ms", lease, "must be 2,000 to 60,000 ms");
            // Nothing observes the servers for it yet.
            let scaling = duties.scaling == Scaling::Off;
            require("duties.scaling", scaling, "must be off in this version");
        }
        let group = self.group;
        let share = |value: f64| value > 0.0 && value <= 1.0;
        let expected = "must be above 0 and at most 1";
        require("group.pause_share", share(group.pause_share), expected);
        require("group.quantile", share(group.quantile), expected);
        require("group.gain", share(group.gain), expected);
        require("group.load_share", share(group.load_share), expected);
        require("group.wait_share", share(group.wait_share), expected);
        require("group.late_share", share(group.late_share), expected);
        let late = group.late_factor;
        require("group.late_factor", late >= 1.0, "must be at least 1");
        let headroom = group.pace_headroom;
        require("group.pace_headroom", headroom >= 1.0, "must be at least 1");
        findings
    }
}
