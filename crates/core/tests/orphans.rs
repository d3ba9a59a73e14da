//! Bound on the requests of an earlier agent, checked against a model of the server.

use std::time::Duration;

use berylgw_core::admission::{Action, Controller, Limits, Report, Request};
use berylgw_core::clock::Instant;
use berylgw_core::fair::Queue;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of one step in milliseconds.
const STEP_MS: u64 = 100;

/// Maximum delay of reports, tokens and ends of answers, in steps.
const LAG_STEPS: u64 = 10;

const STEPS: u64 = 300;

/// A request of the new agent; times are in steps.
#[derive(Debug)]
struct OwnRequest {
    id: u64,
    /// Time at which the server starts it and its answer begins.
    started_at: u64,
    /// Time at which the server ends it.
    ended_at: u64,
    /// Time at which the agent receives its end.
    end_received_at: u64,
    /// Whether the agent has received the beginning of its answer.
    answer_started: bool,
}

fn at(step: u64) -> Instant {
    Instant::from_millis(step * STEP_MS)
}

struct Model {
    rng: ChaCha8Rng,
    controller: Controller,
    orphans: u32,
    own: Vec<OwnRequest>,
    /// Requests in flight at the server at the end of each step.
    in_flight: Vec<u32>,
    /// Latest step that a report has described.
    described: u64,
    next_id: u64,
    max_in_flight: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let warm = rng.random_range(2..10);
        let limits = Limits { warm, cold: warm };
        let lag = Duration::from_millis(LAG_STEPS * STEP_MS);
        Model {
            orphans: rng.random_range(0..=warm),
            rng,
            controller: Controller::new(limits, Queue::new(10_000, 10_000), lag),
            own: Vec::new(),
            in_flight: Vec::new(),
            described: 0,
            next_id: 0,
            max_in_flight: 0,
        }
    }

    /// Starts requests and checks the limit. A request counts as in flight from
    /// its dispatch, also before the server starts it.
    fn start(&mut self, now: u64, seed: u64) {
        for _ in 0..2 {
            let request = Request {
                id: self.next_id,
                account: "a".into(),
                weight: 1,
                concurrency: 1_000,
                deadline: at(u64::from(u32::MAX)),
                alone: false,
            };
            self.controller.offer(at(now), request);
            self.next_id += 1;
        }
        let actions = self.controller.advance(at(now));
        for action in &actions {
            let Action::Run(id) = *action else { continue };
            let started_at = now + self.rng.random_range(0..5);
            let ended_at = started_at + self.rng.random_range(1..80);
            self.own.push(OwnRequest {
                id,
                started_at,
                ended_at,
                end_received_at: ended_at + self.rng.random_range(0..LAG_STEPS),
                answer_started: false,
            });
        }
        let running = self
            .own
            .iter()
            .filter(|request| request.ended_at > now)
            .count() as u32;
        let limit = self.controller.limit();
        let in_flight = self.orphans + running;
        assert!(
            actions.is_empty() || in_flight <= limit,
            "seed {seed}, step {now}: {in_flight} in flight, limit {limit}"
        );
        self.max_in_flight = self.max_in_flight.max(running as usize);
    }

    /// Delivers tokens and ends of answers to the agent, late.
    fn deliver_answers(&mut self, now: u64) {
        for request in &mut self.own {
            if request.started_at > now {
                continue;
            }
            if !request.answer_started && self.rng.random_bool(0.5) {
                request.answer_started = true;
                self.controller.answer_started(request.id, at(now));
            }
            // A token that was sent before the end may arrive after it.
            if request.answer_started && self.rng.random_bool(0.7) {
                self.controller.answer_progressed(request.id, at(now));
            }
        }
        let ended: Vec<u64> = self
            .own
            .iter()
            .filter(|request| request.end_received_at <= now)
            .map(|request| request.id)
            .collect();
        for id in ended {
            self.controller.release(id);
            self.own.retain(|request| request.id != id);
        }
    }

    /// Delivers a report that was requested up to three steps ago and describes
    /// the server at most the lag before it was written.
    fn report(&mut self, now: u64) {
        let requested = now.saturating_sub(self.rng.random_range(0..4));
        let written = self.rng.random_range(requested..=now);
        let oldest = written.saturating_sub(LAG_STEPS).max(self.described);
        if oldest > written || oldest >= self.in_flight.len() as u64 {
            return;
        }
        let newest = written.min(self.in_flight.len() as u64 - 1);
        let described = self.rng.random_range(oldest..=newest);
        self.described = described;
        let report = Report {
            in_flight: self.in_flight[described as usize],
            cold: false,
            as_of_ms: described * STEP_MS,
        };
        self.controller.report(at(requested), at(now), report);
    }

    fn step(&mut self, now: u64, seed: u64) {
        if self.rng.random_bool(0.02) {
            self.orphans = self.orphans.saturating_sub(1);
        }
        self.deliver_answers(now);
        self.start(now, seed);
        let own = self.own.iter();
        let in_flight = own
            .filter(|request| request.started_at <= now && now < request.ended_at)
            .count();
        self.in_flight.push(self.orphans + in_flight as u32);
        if self.rng.random_bool(0.5) {
            self.report(now);
        }
    }
}

/// Guards against a bound that is too low in some order of late reports, tokens
/// and ends of answers.
#[test]
fn report_random_schedules() {
    let mut saturated = 0;
    for seed in 0..2_000 {
        let mut model = Model::new(seed);
        for now in 0..STEPS {
            model.step(now, seed);
        }
        saturated += usize::from(model.max_in_flight as u32 == model.controller.limit());
    }
    // Only schedules in which the server becomes full exercise the bound.
    assert!(saturated > 500, "{saturated} servers became full");
}
