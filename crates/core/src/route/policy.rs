//! Load balancing policies within a region.

use serde::Deserialize;

/// Policy that selects one of the usable servers of the region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Prefix affinity within a load bound, otherwise the cheaper of a few
    /// sampled servers.
    #[default]
    Affinity,
    /// A random server; a baseline for comparison.
    Random,
    /// The servers in rotation; a baseline for comparison.
    RoundRobin,
    /// The server with the fewest requests in flight by its last report; a
    /// baseline for comparison, since all entries select the same server until
    /// the next report.
    LeastInFlight,
}
