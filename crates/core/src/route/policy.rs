//! Ways to choose among the servers of a region.

use serde::Deserialize;

/// How a server is chosen among the usable ones of the region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Prefix affinity within a load bound, otherwise the cheaper of a few
    /// sampled servers.
    #[default]
    Affinity,
    /// Any server; only for comparison.
    Random,
    /// The servers in turn; only for comparison.
    RoundRobin,
    /// The server with the fewest requests in flight by its last report; only
    /// for comparison, since all entries pick the same one until the next report.
    LeastInFlight,
}
