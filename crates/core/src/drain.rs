//! Graceful shutdown of an entry and withdrawal of a backend server.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::config::Snapshot;

/// Whether a backend server may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts work.
    Open,
    /// The configuration does not list it, or its failure domain is out of service.
    Withdrawn,
    /// Its agent is shutting down.
    Leaving,
}

/// Returns the state of the backend server `name`.
///
/// `domain` is the failure domain in the agent's settings. It counts as well as
/// the one in the sheet: a server receives no work if either is out of service.
pub fn state(snapshot: &Snapshot, name: &str, domain: &str, leaving: bool) -> State {
    if leaving {
        return State::Leaving;
    }
    let Some(server) = snapshot.server(name) else {
        return State::Withdrawn;
    };
    if snapshot.is_out(domain) || snapshot.is_out(&server.domain) {
        return State::Withdrawn;
    }
    State::Open
}

/// Shutdown of an entry: computes how long it must accept callers.
///
/// Callers cache a directory answer for its lifetime, so an entry that shuts down
/// must accept them until the last answer with its address has expired. Every
/// process that serves the directory is notified of the shutdown and replies with
/// the remaining validity of its last answer.
#[derive(Clone, Debug)]
pub struct Leave {
    until: Instant,
    untold_until: Instant,
    waiting: Vec<Arc<str>>,
    told: Vec<Arc<str>>,
}

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Minimum time for which the entry accepts callers.
    pub least: Duration,
    /// Maximum time for notifying a process that cannot be reached.
    pub tell: Duration,
    /// Lifetime of a directory answer, assumed for a process that cannot be
    /// reached.
    pub lifetime: Duration,
}

impl Leave {
    /// Starts the shutdown; `valid` is the remaining validity of the last directory
    /// answer in which this entry listed its own address.
    pub fn new(now: Instant, times: Times, valid: Duration) -> Self {
        Leave {
            until: now + times.least.max(valid),
            untold_until: now + times.tell + times.lifetime,
            waiting: Vec::new(),
            told: Vec::new(),
        }
    }

    /// Adds processes that may list the address in directory answers.
    pub fn add(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        for name in names {
            if !self.told.contains(&name) && !self.waiting.contains(&name) {
                self.waiting.push(name);
            }
        }
    }

    /// Returns the processes that have not acknowledged the shutdown yet.
    pub fn waiting(&self) -> &[Arc<str>] {
        &self.waiting
    }

    /// Records that a process acknowledged the shutdown and that its last directory
    /// answer remains valid for `valid`.
    pub fn told(&mut self, now: Instant, name: &str, valid: Duration) {
        let Some(index) = self.waiting.iter().position(|own| **own == *name) else {
            return;
        };
        self.told.push(self.waiting.swap_remove(index));
        self.until = self.until.max(now + valid);
    }

    /// Returns the time at which the entry may stop accepting callers, given the
    /// acknowledgements so far.
    pub fn end(&self) -> Instant {
        if self.waiting.is_empty() {
            self.until
        } else {
            self.until.max(self.untold_until)
        }
    }
}
