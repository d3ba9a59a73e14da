//! Permits of admitted requests, and detection of server crashes.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_wire as wire;

use crate::admission::{Controller, State};
use crate::idempotency::Reservation;

/// A position in the queue or at the server, released on drop.
#[derive(Debug)]
pub struct Permit {
    controller: Arc<Controller>,
    id: u64,
    fingerprint: u64,
    alone: bool,
    reservation: Reservation,
    phase: Phase,
}

/// Time from the sending of a request to the end of its answer.
#[derive(Clone, Copy, Debug)]
pub enum Latency {
    /// Latency of a plain service.
    Plain(Duration),
    /// Latency of a model engine.
    Model {
        /// Time for the whole answer.
        total: Duration,
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
pub(crate) struct CrashDetector {
    forwarded: Vec<Forwarded>,
    /// Requests in flight at the first break that have not broken yet.
    intact_ids: Vec<u64>,
    broken_fingerprints: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Forwarded {
    id: u64,
    fingerprint: u64,
}

impl Permit {
    pub(crate) fn new(
        controller: Arc<Controller>,
        id: u64,
        fingerprint: u64,
        alone: bool,
        reservation: Reservation,
    ) -> Self {
        Permit {
            controller,
            id,
            fingerprint,
            alone,
            reservation,
            phase: Phase::Waiting,
        }
    }

    /// Records that the request is being sent to the server.
    pub fn record_forwarded(&mut self) {
        self.phase = Phase::Forwarded;
        let now = self.controller.clock().now();
        let mut state = self.controller.lock();
        state.idempotency.start(now, &self.reservation);
        state.crash_detector.forwarded.push(Forwarded {
            id: self.id,
            fingerprint: self.fingerprint,
        });
    }

    /// Returns the current time of the process clock.
    pub fn now(&self) -> Instant {
        self.controller.clock().now()
    }

    /// Records that the answer has begun to arrive.
    pub fn record_answer_started(&self) {
        let now = self.controller.clock().now();
        self.controller
            .lock()
            .admission
            .answer_started(self.id, now);
    }

    /// Records that a part of the answer has arrived after a wait that began at
    /// `waited_from`.
    pub fn record_progress(&self, waited_from: Instant) {
        let mut state = self.controller.lock();
        state.admission.answer_progressed(self.id, waited_from);
    }

    /// Records a sample of the time between two tokens of the answer.
    pub fn record_token_interval(&self, time: Duration) {
        let now = self.controller.clock().now();
        self.controller.lock().admission.token_interval(now, time);
    }

    /// Records that the request never reached the server.
    pub fn record_not_run(&mut self) {
        self.phase = Phase::Ended;
        let now = self.controller.clock().now();
        self.controller
            .lock()
            .idempotency
            .release(now, &self.reservation);
    }

    /// Records a complete answer: the server's latency if the answer is no
    /// server error, and the result if it is small enough to retain.
    pub fn record_completed(&mut self, latency: Option<Latency>, result: Option<wire::Result>) {
        self.phase = Phase::Ended;
        let now = self.controller.clock().now();
        let mut state = self.controller.lock();
        state.crash_detector.clear();
        match latency {
            Some(Latency::Plain(time)) => state.admission.complete(now, time),
            Some(Latency::Model { total, per_token }) => {
                state.admission.complete_model(now, total, per_token);
            }
            None => {}
        }
        if self.alone {
            state.quarantine.clear_suspicion(self.fingerprint);
        }
        state.idempotency.finish(now, &self.reservation, result);
    }

    /// Records that the server broke the connection.
    pub fn record_broken(&self) {
        let now = self.controller.clock().now();
        let mut state = self.controller.lock();
        let crashed = state.crash_detector.connection_broken(self.id);
        state.record_crash(now, crashed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.controller.clock().now();
        let mut state = self.controller.lock();
        match self.phase {
            Phase::Waiting => state.idempotency.release(now, &self.reservation),
            Phase::Forwarded => state.idempotency.finish(now, &self.reservation, None),
            Phase::Ended => {}
        }
        state.admission.withdraw(self.id);
        state.admission.release(self.id);
        state.waiters.retain(|waiter| waiter.id != self.id);
        state
            .crash_detector
            .forwarded
            .retain(|held| held.id != self.id);
        let crashed = state.crash_detector.remove(self.id);
        state.record_crash(now, crashed);
        self.controller.advance(&mut state);
    }
}

impl State {
    fn record_crash(&mut self, now: Instant, fingerprints: Option<Vec<u64>>) {
        let Some(fingerprints) = fingerprints else {
            return;
        };
        self.quarantine.record_crash(now, &fingerprints);
        self.admission.restart_slow_start(now);
        self.crashes += 1;
        tracing::warn!(suspects = fingerprints.len(), "backend server crashed");
    }
}

impl CrashDetector {
    /// Removes a request that has ended. Returns the fingerprints of all broken
    /// requests if no request of the first break is left with an intact connection.
    fn remove(&mut self, id: u64) -> Option<Vec<u64>> {
        let index = self.intact_ids.iter().position(|&known| known == id)?;
        self.intact_ids.swap_remove(index);
        if !self.intact_ids.is_empty() || self.broken_fingerprints.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken_fingerprints))
    }

    /// Records a broken connection. Returns the fingerprints of all broken
    /// requests if no request of the first break is left with an intact connection.
    fn connection_broken(&mut self, id: u64) -> Option<Vec<u64>> {
        if self.intact_ids.is_empty() {
            self.broken_fingerprints.clear();
            self.intact_ids = self.forwarded.iter().map(|held| held.id).collect();
        }
        // A request that was sent after the first break does not count.
        let index = self.intact_ids.iter().position(|&known| known == id)?;
        self.intact_ids.swap_remove(index);
        let held = self.forwarded.iter().find(|held| held.id == id)?;
        self.broken_fingerprints.push(held.fingerprint);
        if !self.intact_ids.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.broken_fingerprints))
    }

    /// Clears all broken requests: a complete answer shows that the server did
    /// not crash.
    fn clear(&mut self) {
        self.intact_ids.clear();
        self.broken_fingerprints.clear();
    }
}
