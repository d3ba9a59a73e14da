//! Bound on the requests of an earlier agent, checked against a model of the server.

use std::time::Duration;

use berylgw_core::admission::{Action, Limits, Report, Request, State};
use berylgw_core::clock::Instant;
use berylgw_core::fair::Queue;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of one step in milliseconds.
const STEP_MS: u64 = 100;

/// Maximum delay of reports, tokens and ends of answers, in steps.
const LAG: u64 = 10;

const STEPS: u64 = 300;

/// A request of the new agent; times are in steps.
#[derive(Debug)]
struct Own {
    id: u64,
    /// Time at which the server starts it and its answer begins.
    taken: u64,
    /// Time at which the server ends it.
    ended: u64,
    /// Time at which the agent receives its end.
    seen: u64,
    /// Whether the agent has received the beginning of its answer.
    begun: bool,
}

fn at(step: u64) -> Instant {
    Instant::from_millis(step * STEP_MS)
}

struct Model {
    rng: ChaCha8Rng,
    state: State,
    earlier: u32,
    own: Vec<Own>,
    /// Requests in flight at the server at the end of each step.
    held: Vec<u32>,
    /// Latest step that a report has described.
    described: u64,
    next: u64,
    started: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let warm = rng.random_range(2..10);
        let limits = Limits { warm, cold: warm };
        let lag = Duration::from_millis(LAG * STEP_MS);
        Model {
            earlier: rng.random_range(0..=warm),
            rng,
            state: State::new(limits, Queue::new(10_000, 10_000), lag),
            own: Vec::new(),
            held: Vec::new(),
            described: 0,
            next: 0,
            started: 0,
        }
    }

    /// Starts requests and checks the limit. A request counts as in flight from
    /// its dispatch, also before the server starts it.
    fn start(&mut self, now: u64, seed: u64) {
        for _ in 0..2 {
            let request = Request {
                id: self.next,
                account: "a".into(),
                weight: 1,
                concurrency: 1_000,
                deadline: at(u64::from(u32::MAX)),
                alone: false,
            };
            self.state.offer(at(now), request);
            self.next += 1;
        }
        let actions = self.state.advance(at(now));
        for action in &actions {
            let Action::Run(id) = *action else { continue };
            let taken = now + self.rng.random_range(0..5);
            let ended = taken + self.rng.random_range(1..80);
            self.own.push(Own {
                id,
                taken,
                ended,
                seen: ended + self.rng.random_range(0..LAG),
                begun: false,
            });
        }
        let live = self.own.iter().filter(|own| own.ended > now).count() as u32;
        let limit = self.state.limit();
        let held = self.earlier + live;
        assert!(
            actions.is_empty() || held <= limit,
            "seed {seed}, step {now}: {held} held of {limit}"
        );
        self.started = self.started.max(live as usize);
    }

    /// Delivers tokens and ends of answers to the agent, late.
    fn hear(&mut self, now: u64) {
        for own in &mut self.own {
            if own.taken > now {
                continue;
            }
            if !own.begun && self.rng.random_bool(0.5) {
                own.begun = true;
                self.state.answering(own.id, at(now));
            }
            // A token that was sent before the end may arrive after it.
            if own.begun && self.rng.random_bool(0.7) {
                self.state.heard(own.id, at(now));
            }
        }
        let ended: Vec<u64> = self
            .own
            .iter()
            .filter(|own| own.seen <= now)
            .map(|own| own.id)
            .collect();
        for id in ended {
            self.state.release(id);
            self.own.retain(|own| own.id != id);
        }
    }

    /// Delivers a report that was requested up to three steps ago and describes
    /// the server at most the lag before it was written.
    fn report(&mut self, now: u64) {
        let asked = now.saturating_sub(self.rng.random_range(0..4));
        let written = self.rng.random_range(asked..=now);
        let oldest = written.saturating_sub(LAG).max(self.described);
        if oldest > written || oldest >= self.held.len() as u64 {
            return;
        }
        let newest = written.min(self.held.len() as u64 - 1);
        let described = self.rng.random_range(oldest..=newest);
        self.described = described;
        let report = Report {
            in_flight: self.held[described as usize],
            cold: false,
            as_of_ms: described * STEP_MS,
        };
        self.state.report(at(asked), at(now), report);
    }

    fn step(&mut self, now: u64, seed: u64) {
        if self.rng.random_bool(0.02) {
            self.earlier = self.earlier.saturating_sub(1);
        }
        self.hear(now);
        self.start(now, seed);
        let own = self.own.iter();
        let held = own
            .filter(|own| own.taken <= now && now < own.ended)
            .count();
        self.held.push(self.earlier + held as u32);
        if self.rng.random_bool(0.5) {
            self.report(now);
        }
    }
}

/// Guards against a bound that is too low in some order of late reports, tokens
/// and ends of answers.
#[test]
fn report_random_schedules() {
    let mut used = 0;
    for seed in 0..2_000 {
        let mut model = Model::new(seed);
        for now in 0..STEPS {
            model.step(now, seed);
        }
        used += usize::from(model.started as u32 == model.state.limit());
    }
    // Only schedules in which the server becomes full exercise the bound.
    assert!(used > 500, "{used} servers became full");
}
