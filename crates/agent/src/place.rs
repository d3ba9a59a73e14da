//! The place of one request in the queue or at the server.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire as wire;

use crate::gate::{Gate, State};
use crate::once::Permit;

/// A place in the queue or at the server, given back when dropped.
#[derive(Debug)]
pub struct Place {
    gate: Arc<Gate>,
    id: u64,
    fingerprint: u64,
    alone: bool,
    permit: Permit,
    phase: Phase,
}

/// Time that the server took for an answer.
#[derive(Clone, Copy, Debug)]
pub enum Time {
    /// Of a plain service.
    Plain(Duration),
    /// Of a model engine.
    Model {
        /// For the whole answer.
        whole: Duration,
        /// For each token, if the answer did not come as a stream.
        per_token: Option<Duration>,
    },
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Forwarded,
    Ended,
}

/// Requests passed on, and those among them whose connections broke together.
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

    /// Notes that the request is being passed on to the server.
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

    /// The current time.
    pub fn now(&self) -> Instant {
        self.gate.clock().now()
    }

    /// Notes that the answer has begun to arrive.
    pub fn answering(&self) {
        let now = self.gate.clock().now();
        self.gate.lock().admission.answer_started(self.id, now);
    }

    /// Notes that a part of the answer has come that was waited for.
    pub fn heard(&self, waited_from: Instant) {
        let mut state = self.gate.lock();
        state.admission.answer_progressed(self.id, waited_from);
    }

    /// Notes the time between two tokens of the answer.
    pub fn token(&self, time: Duration) {
        let now = self.gate.clock().now();
        self.gate.lock().admission.token_interval(now, time);
    }

    /// Notes that the server has not seen the request.
    pub fn not_run(&mut self) {
        self.phase = Phase::Ended;
        let now = self.gate.clock().now();
        self.gate.lock().once.give_back(now, &self.permit);
    }

    /// Notes that the server answered to the end, with the time it took if it
    /// answered well and with the result if it is short enough to keep.
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
            state.quarantine.clear_suspicion(self.fingerprint);
        }
        state.once.finish(now, &self.permit, result);
    }

    /// Notes that the server broke the connection.
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
        self.quarantine.record_crash(now, &fingerprints);
        self.admission.restart_slow_start(now);
        self.crashes += 1;
        tracing::warn!(suspects = fingerprints.len(), "backend server crashed");
    }
}

impl Cohort {
    /// Removes a request that is no witness of a crash any more.
    fn leave(&mut self, id: u64) -> Option<Vec<u64>> {
        let index = self.intact.iter().position(|&known| known == id)?;
        self.intact.swap_remove(index);
        if !self.intact.is_empty() || self.broken.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken))
    }

    /// Returns all fingerprints once every request of the cohort has broken.
    fn break_one(&mut self, id: u64) -> Option<Vec<u64>> {
        if self.intact.is_empty() {
            self.broken.clear();
            self.intact = self.forwarded.iter().map(|held| held.id).collect();
        }
        // A request that was passed on after the first break is no witness.
        let index = self.intact.iter().position(|&known| known == id)?;
        self.intact.swap_remove(index);
        let held = self.forwarded.iter().find(|held| held.id == id)?;
        self.broken.push(held.fingerprint);
        if !self.intact.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken))
    }

    /// A whole answer shows that the server did not crash.
    fn clear_suspicion(&mut self) {
        self.intact.clear();
        self.broken.clear();
    }
}
