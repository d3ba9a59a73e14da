//! Settings of the process beside a rank.

use std::net::SocketAddr;
use std::sync::Arc;

use berylgw_runtime::settings::Finding;
use serde::Deserialize;

/// Settings, as a section of a settings file in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: Arc<str>,
    /// The rank on this host.
    pub engine: SocketAddr,
    /// Where the process is reached; the same port on all hosts.
    pub listen: SocketAddr,
    /// Where it leads the group from, if its rank is the first.
    pub lead: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// When the map is changed.
    #[serde(default)]
    pub map: Map,
}

/// When the map is changed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Map {
    /// Load of the most loaded rank over the mean down to which experts are
    /// copied. Copies are paid for by longer passes.
    pub target: f64,
    /// Least reduction of that ratio, as a mean over the sets, for a change.
    pub gain: f64,
}

impl Default for Map {
    fn default() -> Self {
        Map {
            target: 1.3,
            gain: 0.12,
        }
    }
}

impl Settings {
    /// Findings about values that are well formed but not allowed.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut require = |field: &str, allowed: bool, expected: &str| {
            if !allowed {
                findings.push(Finding::new(field, expected));
            }
        };
        let listeners = self.listen != self.lead || self.listen.port() == 0;
        require("lead", listeners, "must differ from listen");
        require("map.target", self.map.target >= 1.0, "must be at least 1");
        require("map.gain", self.map.gain > 0.0, "must be above 0");
        findings
    }
}
