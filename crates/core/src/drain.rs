//! Graceful shutdown of a process and withdrawal of a backend server.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::config::Snapshot;

/// Whether a backend server may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts work.
    Open,
    /// The configuration does not list it or has its failure domain out.
    Withdrawn,
    /// Its agent is shutting down.
    Leaving,
}

/// State of the backend server `name` in failure domain `domain`.
///
/// The failure domain of the settings and that of the sheet both count: a
/// server that either of them places in a domain out of service gets no work.
pub fn state(snapshot: &Snapshot, name: &str, domain: &str, leaving: bool) -> State {
    if leaving {
        return State::Leaving;
    }
    let Some(server) = snapshot.server(name) else {
        return State::Withdrawn;
    };
    if snapshot.is_domain_out(domain) || snapshot.is_domain_out(&server.domain) {
        return State::Withdrawn;
    }
    State::Open
}

/// Stop of an entry: until when it accepts callers.
///
/// Callers keep a directory answer for its lifetime, so that an entry which
/// stops has to accept them until the last answer with its address has expired.
/// Every process that hands out answers is told of the stop and says for how
/// long its last one is valid.
#[derive(Clone, Debug)]
pub struct Leave {
    until: Instant,
    untold_until: Instant,
    waiting: Vec<Arc<str>>,
    told: Vec<Arc<str>>,
}

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Shortest time for which a stopping entry accepts callers.
    pub least: Duration,
    /// Longest wait for a process that cannot be told.
    pub tell: Duration,
    /// Lifetime of a directory answer of a process that cannot be told.
    pub lifetime: Duration,
}

impl Leave {
    /// Starts the stop; `valid` is the time for which this entry's own last
    /// answer with its address is valid.
    pub fn new(now: Instant, times: Times, valid: Duration) -> Self {
        Leave {
            until: now + times.least.max(valid),
            untold_until: now + times.tell + times.lifetime,
            waiting: Vec::new(),
            told: Vec::new(),
        }
    }

    /// Adds processes that may hand out the address.
    pub fn add(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        for name in names {
            if !self.told.contains(&name) && !self.waiting.contains(&name) {
                self.waiting.push(name);
            }
        }
    }

    /// Processes that do not know of the stop yet.
    pub fn waiting(&self) -> &[Arc<str>] {
        &self.waiting
    }

    /// A process knows of the stop; its last answer is valid for `valid`.
    pub fn told(&mut self, now: Instant, name: &str, valid: Duration) {
        let Some(index) = self.waiting.iter().position(|own| **own == *name) else {
            return;
        };
        self.told.push(self.waiting.swap_remove(index));
        self.until = self.until.max(now + valid);
    }

    /// When the entry may stop accepting callers, as far as is known now.
    pub fn end(&self) -> Instant {
        if self.waiting.is_empty() {
            self.until
        } else {
            self.until.max(self.untold_until)
        }
    }
}
