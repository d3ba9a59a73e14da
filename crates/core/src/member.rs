//! Liveness of entries, exchanged by gossip.
//!
//! The platform's host list lags, does not report a process that died and is
//! unavailable in an outage. Entries therefore exchange their own observations;
//! the newest observation of an entry wins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::host::Entry;

/// Time for which a state change is sent to other entries.
const GOSSIP_DURATION: Duration = Duration::from_secs(30);

/// Maximum number of observations in one message; more would exceed the control
/// traffic allowed per entry when a failure domain of 100 entries fails.
const GOSSIP_COUNT: usize = 16;

/// State of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It answered.
    Open,
    /// It is shutting down.
    Leaving,
    /// It did not answer.
    Down,
}

/// State of an entry as observed by one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Incarnation of the process, 0 if unknown.
    pub incarnation: u64,
    /// Address for callers.
    pub address: SocketAddr,
    /// Observed state.
    pub state: State,
    /// Time of the observation.
    pub at: Instant,
}

/// The newest observation of each entry.
#[derive(Clone, Debug, Default)]
pub struct Table {
    // Sorted by name; the second value is the time of the last change of state.
    records: Vec<(Observation, Instant)>,
}

impl Table {
    /// Merges an observation; returns whether the state of the entry changed.
    ///
    /// A process that is leaving stays in that state even if it still answers;
    /// only another incarnation or address replaces it.
    pub fn merge(&mut self, now: Instant, observed: Observation) -> bool {
        let by_name = |record: &(Observation, Instant)| record.0.name.cmp(&observed.name);
        let index = match self.records.binary_search_by(by_name) {
            Ok(index) => index,
            Err(index) => {
                let changed = observed.state != State::Open;
                self.records.insert(index, (observed, now));
                return changed;
            }
        };
        let (known, changed_at) = &mut self.records[index];
        let same_process = known.address == observed.address
            && (known.incarnation == observed.incarnation || observed.incarnation == 0);
        if same_process && known.state == State::Leaving {
            return false;
        }
        let starts_leaving = same_process && observed.state == State::Leaving;
        if observed.at <= known.at && !starts_leaving {
            return false;
        }
        let changed = known.state != observed.state || known.address != observed.address;
        let incarnation = match observed.incarnation {
            0 => known.incarnation,
            incarnation => incarnation,
        };
        *known = Observation {
            incarnation,
            at: observed.at.max(known.at),
            ..observed
        };
        if changed {
            *changed_at = now;
        }
        changed
    }

    /// Returns the state of the process that the sheet lists as `entry`.
    ///
    /// Ignores observations of a process at another address. An entry without an
    /// observation is taken as open.
    pub fn state(&self, entry: &Entry) -> State {
        match self.get(&entry.name) {
            Some(known) if known.address == entry.address => known.state,
            _ => State::Open,
        }
    }

    /// Returns whether a process answered at the listed address of `entry`.
    pub fn has_answered(&self, entry: &Entry) -> bool {
        let known = self.get(&entry.name);
        known.is_some_and(|known| known.address == entry.address && known.state == State::Open)
    }

    /// Returns the observations to send to another entry: the latest state
    /// changes, newest first.
    pub fn recent_changes(&self, now: Instant) -> Vec<Observation> {
        let fresh = |at: Instant| now.since(at) < GOSSIP_DURATION;
        let mut recent: Vec<_> = self.records.iter().filter(|(_, at)| fresh(*at)).collect();
        recent.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        recent.truncate(GOSSIP_COUNT);
        recent
            .into_iter()
            .map(|(observed, _)| observed.clone())
            .collect()
    }

    /// Removes entries that the sheet does not list; `entries` is sorted by name.
    pub fn retain(&mut self, entries: &[Entry]) {
        let is_listed = |name: &str| {
            let found = entries.binary_search_by(|entry| (*entry.name).cmp(name));
            found.is_ok()
        };
        self.records
            .retain(|(observed, _)| is_listed(&observed.name));
    }

    fn get(&self, name: &str) -> Option<&Observation> {
        let index = self
            .records
            .binary_search_by(|(observed, _)| (*observed.name).cmp(name));
        index.ok().map(|index| &self.records[index].0)
    }
}
