//! Permits of admitted requests, and detection of server crashes.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire as wire;

use crate::gate::{Gate, State};
use crate::once::Permit;

/// A position in the queue or at the server, released on drop.
#[derive(Debug)]
pub struct Place {
    gate: Arc<Gate>,
    id: u64,
    fingerprint: u64,
    alone: bool,
    permit: Permit,
    phase: Phase,
}

/// Time from the sending of a request to the end of its answer.
#[derive(Clone, Copy, Debug)]
pub enum Time {
    /// Latency of a plain service.
    Plain(Duration),
    /// Latency of a model engine.
    Model {
        /// Time for the whole answer.
        whole: Duration,
        /// Time per token, for an answer that was not streamed.
        per_token: Option<Duration>,
    },
}

/// Phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Forwarded,
    Ended,
}

/// Requests at the server, and those among them whose connections broke.
///
/// The server counts as crashed once the connections of all requests that were
/// in flight at the first break have broken or ended without a complete answer.
#[derive(Default)]
pub(crate) struct Cohort {
    forwarded: Vec<Forwarded>,
    /// Requests in flight at the first break that have not broken yet.
    intact: Vec<u64>,
    broken: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Forwarded {
    id: u64,
    fingerprint: u64,
}

impl Place {
    pub(crate) fn new(
        gate: Arc<Gate>,
        id: u64,
        fingerprint: u64,
        alone: bool,
        permit: Permit,
    ) -> Self {
        Place {
            gate,
            id,
            fingerprint,
            alone,
            permit,
            phase: Phase::Waiting,
        }
    }

    /// Records that the request is being sent to the server.
    pub fn forwarded(&mut self) {
        self.phase = Phase::Forwarded;
        let now = self.gate.clock().now();
        let mut state = self.gate.lock();
        state.once.start(now, &self.permit);
        state.cohort.forwarded.push(Forwarded {
            id: self.id,
            fingerprint: self.fingerprint,
        });
    }

    /// Returns the current time of the process clock.
    pub fn now(&self) -> Instant {
        self.gate.clock().now()
    }

    /// Records that the answer has begun to arrive.
    pub fn answering(&self) {
        let now = self.gate.clock().now();
        self.gate.lock().admission.answering(self.id, now);
    }

    /// Records that a part of the answer has arrived after a wait that began at
    /// `waited_from`.
    pub fn heard(&self, waited_from: Instant) {
        let mut state = self.gate.lock();
        state.admission.heard(self.id, waited_from);
    }

    /// Records a sample of the time between two tokens of the answer.
    pub fn token(&self, time: Duration) {
        let now = self.gate.clock().now();
        self.gate.lock().admission.token(now, time);
    }

    /// Records that the request never reached the server.
    pub fn not_run(&mut self) {
        self.phase = Phase::Ended;
        let now = self.gate.clock().now();
        self.gate.lock().once.give_back(now, &self.permit);
    }

    /// Records a complete answer: the server's latency if the answer is no
    /// server error, and the result if it is small enough to retain.
    pub fn completed(&mut self, service: Option<Time>, result: Option<wire::Result>) {
        self.phase = Phase::Ended;
        let now = self.gate.clock().now();
        let mut state = self.gate.lock();
        state.cohort.clear_suspicion();
        match service {
            Some(Time::Plain(time)) => state.admission.complete(now, time),
            Some(Time::Model { whole, per_token }) => {
                state.admission.complete_model(now, whole, per_token);
            }
            None => {}
        }
        if self.alone {
            state.quarantine.acquit(self.fingerprint);
        }
        state.once.finish(now, &self.permit, result);
    }

    /// Records that the server broke the connection.
    pub fn broken(&self) {
        let now = self.gate.clock().now();
        let mut state = self.gate.lock();
        let crashed = state.cohort.break_one(self.id);
        state.note_crash(now, crashed);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.gate.clock().now();
        let mut state = self.gate.lock();
        match self.phase {
            Phase::Waiting => state.once.give_back(now, &self.permit),
            Phase::Forwarded => state.once.finish(now, &self.permit, None),
            Phase::Ended => {}
        }
        state.admission.withdraw(self.id);
        state.admission.release(self.id);
        state.waiters.retain(|waiter| waiter.id != self.id);
        state.cohort.forwarded.retain(|held| held.id != self.id);
        let crashed = state.cohort.leave(self.id);
        state.note_crash(now, crashed);
        self.gate.settle(&mut state);
    }
}

impl State {
    fn note_crash(&mut self, now: Instant, fingerprints: Option<Vec<u64>>) {
        let Some(fingerprints) = fingerprints else {
            return;
        };
        self.quarantine.crash(now, &fingerprints);
        self.admission.fall_back(now);
        self.crashes += 1;
        tracing::warn!(suspects = fingerprints.len(), "backend server crashed");
    }
}

impl Cohort {
    /// Removes a request that has ended. Returns the fingerprints of all broken
    /// requests if it was the last one intact.
    fn leave(&mut self, id: u64) -> Option<Vec<u64>> {
        let index = self.intact.iter().position(|&known| known == id)?;
        self.intact.swap_remove(index);
        if !self.intact.is_empty() || self.broken.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken))
    }

    /// Records a broken connection. Returns the fingerprints of all broken
    /// requests if it was the last one intact.
    fn break_one(&mut self, id: u64) -> Option<Vec<u64>> {
        if self.intact.is_empty() {
            self.broken.clear();
            self.intact = self.forwarded.iter().map(|held| held.id).collect();
        }
        // A request that was sent after the first break does not count.
        let index = self.intact.iter().position(|&known| known == id)?;
        self.intact.swap_remove(index);
        let held = self.forwarded.iter().find(|held| held.id == id)?;
        self.broken.push(held.fingerprint);
        if !self.intact.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken))
    }

    /// Clears all broken requests: a complete answer shows that the server did
    /// not crash.
    fn clear_suspicion(&mut self) {
        self.intact.clear();
        self.broken.clear();
    }
}
