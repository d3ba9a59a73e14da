//! What an entry knows of one backend server and of one service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Key, Load};
use crate::clock::Instant;

/// Age after which a reported load is no longer believed.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub generation: u32,
    pub present: bool,
    /// Whether it took work in the configuration before this one.
    pub before: bool,
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub group: usize,
    pub local: bool,
    pub near: bool,
    pub limit: u32,
    /// Limit until the first report.
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
    /// Near servers with the hash of their name, sorted.
    pub region: Vec<(u64, Key)>,
    pub local: Vec<Key>,
    pub remote: Vec<Key>,
    /// Highest limit of a near server in the sheet.
    pub highest: u32,
    pub load: u64,
    pub service_time: f64,
    pub used: bool,
    /// Dispatches so far, the position of the next one in turn.
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

    /// Share of the prefixes: the last limit known, however old it is, so that
    /// a server without traffic keeps its prefixes.
    pub fn weight(&self) -> u32 {
        let known = self.reported.map_or(self.assumed, |(_, load)| load.limit);
        known.clamp(1, self.limit)
    }
}
