//! Routing state of one backend server and of the servers of one service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Load, ServerKey};
use crate::clock::Instant;

/// Age after which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub generation: u32,
    pub present: bool,
    /// Whether it was in service in the previous configuration.
    pub was_present: bool,
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub pool: usize,
    pub local: bool,
    pub near: bool,
    pub limit: u32,
    /// Limit assumed until the first report.
    pub assumed_limit: u32,
    pub outstanding: u32,
    pub reported: Option<(Instant, Load)>,
    pub counted_load: u32,
    pub draining_until: Instant,
    pub backoff_until: Instant,
    pub failures: u32,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub service: Arc<str>,
    /// Servers of the entry's region with the hash of their name, sorted by hash.
    pub regional: Vec<(u64, ServerKey)>,
    pub local: Vec<ServerKey>,
    pub remote: Vec<ServerKey>,
    /// Highest configured limit of a server of the region.
    pub max_limit: u32,
    pub in_flight: u64,
    pub service_time: f64,
    pub used_since_probe: bool,
    /// Number of attempts so far; the round-robin position.
    pub round_robin: usize,
}

impl Slot {
    fn fresh_report(&self, now: Instant) -> Option<Load> {
        let (at, load) = self.reported?;
        (now.since(at) <= MAX_REPORT_AGE).then_some(load)
    }

    pub fn in_flight(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now).map_or(0, |load| load.in_flight);
        reported.max(self.outstanding)
    }

    pub fn effective_limit(&self, now: Instant) -> u32 {
        let unreported = if self.reported.is_some() {
            self.limit
        } else {
            self.assumed_limit
        };
        let reported = self.fresh_report(now).map_or(unreported, |load| load.limit);
        reported.clamp(1, self.limit)
    }

    /// Returns the weight in rendezvous hashing: the last reported limit of any
    /// age, so that a server without traffic keeps its prefixes.
    pub fn weight(&self) -> u32 {
        let limit = self
            .reported
            .map_or(self.assumed_limit, |(_, load)| load.limit);
        limit.clamp(1, self.limit)
    }
}
