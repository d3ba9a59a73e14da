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
/// `domain` is the failure domain in the agent's settings. Both it and
/// the one in the sheet are checked: a server receives no work if either is out of service.
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

/// Shutdown of an entry: computes how long it must accept callers.
///
/// Callers cache a directory answer for its lifetime, so an entry that shuts down
/// must accept them until the last answer with its address has expired. Every
/// process that serves the directory is notified of the shutdown and replies with
/// the remaining validity of its last answer.
#[derive(Clone, Debug)]
pub struct Shutdown {
    until: Instant,
    unreachable_until: Instant,
    unacknowledged: Vec<Arc<str>>,
    acknowledged: Vec<Arc<str>>,
}

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Minimum time for which the entry accepts callers.
    pub min_open: Duration,
    /// Maximum time for notifying a process that cannot be reached.
    pub notify_timeout: Duration,
    /// Lifetime of a directory answer, assumed for a process that cannot be
    /// reached.
    pub answer_lifetime: Duration,
}

impl Shutdown {
    /// Starts the shutdown; `valid` is the remaining validity of the last directory
    /// answer in which this entry listed its own address.
    pub fn new(now: Instant, times: Times, valid: Duration) -> Self {
        Shutdown {
            until: now + times.min_open.max(valid),
            unreachable_until: now + times.notify_timeout + times.answer_lifetime,
            unacknowledged: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    /// Adds processes that may list the address in directory answers.
    pub fn add(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        for name in names {
            if !self.acknowledged.contains(&name) && !self.unacknowledged.contains(&name) {
                self.unacknowledged.push(name);
            }
        }
    }

    /// Returns the processes that have not acknowledged the shutdown yet.
    pub fn unacknowledged(&self) -> &[Arc<str>] {
        &self.unacknowledged
    }

    /// Records that a process acknowledged the shutdown and that its last directory
    /// answer remains valid for `valid`.
    pub fn acknowledge(&mut self, now: Instant, name: &str, valid: Duration) {
        let Some(index) = self
            .unacknowledged
            .iter()
            .position(|other| **other == *name)
        else {
            return;
        };
        self.acknowledged
            .push(self.unacknowledged.swap_remove(index));
        self.until = self.until.max(now + valid);
    }

    /// Returns the time at which the entry may stop accepting callers, given the
    /// acknowledgements so far.
    pub fn accepts_until(&self) -> Instant {
        if self.unacknowledged.is_empty() {
            self.until
        } else {
            self.until.max(self.unreachable_until)
        }
    }
}
