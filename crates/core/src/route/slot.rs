//! Routing state of one backend server and of the servers of one service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Key, Load};
use crate::clock::Instant;

/// Age after which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub generation: u32,
    pub present: bool,
    /// Whether it was in service in the previous configuration.
    pub before: bool,
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub group: usize,
    pub local: bool,
    pub near: bool,
    pub limit: u32,
    /// Limit assumed until the first report.
    pub assumed: u32,
    pub outstanding: u32,
    pub reported: Option<(Instant, Load)>,
    pub counted: u32,
    pub draining_until: Instant,
    pub backoff_until: Instant,
    pub failures: u32,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    pub service: Arc<str>,
    /// Servers of the entry's region with the hash of their name, sorted by hash.
    pub region: Vec<(u64, Key)>,
    pub local: Vec<Key>,
    pub remote: Vec<Key>,
    /// Highest configured limit of a server of the region.
    pub highest: u32,
    pub load: u64,
    pub service_time: f64,
    pub used: bool,
    /// Number of attempts so far; the round-robin position.
    pub turn: usize,
}

impl Slot {
    fn report(&self, now: Instant) -> Option<Load> {
        let (at, load) = self.reported?;
        (now.since(at) <= REPORT_LIFETIME).then_some(load)
    }

    pub fn held(&self, now: Instant) -> u32 {
        let reported = self.report(now).map_or(0, |load| load.in_flight);
        reported.max(self.outstanding)
    }

    pub fn bound(&self, now: Instant) -> u32 {
        let unreported = if self.reported.is_some() {
            self.limit
        } else {
            self.assumed
        };
        let reported = self.report(now).map_or(unreported, |load| load.limit);
        reported.clamp(1, self.limit)
    }

    /// Returns the weight in rendezvous hashing: the last reported limit of any
    /// age, so that a server without traffic keeps its prefixes.
    pub fn weight(&self) -> u32 {
        let known = self.reported.map_or(self.assumed, |(_, load)| load.limit);
        known.clamp(1, self.limit)
    }
}
