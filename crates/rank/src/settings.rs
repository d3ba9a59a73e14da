//! Settings of the sidecar of a rank.

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
    /// Address of the rank on this host.
    pub engine: SocketAddr,
    /// Listen address for messages of leaders; the port is the same on all hosts.
    pub listen: SocketAddr,
    /// Listen address for status messages, if the rank leads the group.
    pub lead: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Rate of the host's link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Conditions for a change of the map.
    #[serde(default)]
    pub map: Map,
}

fn default_link_mbps() -> f64 {
    100.0
}

/// Conditions for a change of the map.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Map {
    /// Ratio of the maximum to the mean load of the ranks at which no more
    /// experts are copied. Copying experts makes passes longer.
    pub target: f64,
    /// Minimum reduction of that ratio, averaged over the sets, for a change.
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
    /// Returns findings about values that are well formed but not allowed.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut require = |field: &str, allowed: bool, expected: &str| {
            if !allowed {
                findings.push(Finding::new(field, expected));
            }
        };
        let listeners = self.listen != self.lead || self.listen.port() == 0;
        require("lead", listeners, "must differ from listen");
        require("link_mbps", self.link_mbps > 0.0, "must be above 0");
        require("map.target", self.map.target >= 1.0, "must be at least 1");
        require("map.gain", self.map.gain > 0.0, "must be above 0");
        findings
    }
}
