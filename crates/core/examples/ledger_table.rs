//! Prints tables of the claim ledger's write cost, behavior in an outage and
//! capacity.
//!
//! The simulation has its own clock and a fixed seed, so every run prints the same
//! tables.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::{Holder, Update};
use berylgw_core::ledger::{
    Action, Answer, Completion, Digest, Event, Grant, Owner, Reply, Request, Settings, Target,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
const SERVICE_TIME: Duration = Duration::from_millis(100);
const CALLER_DEADLINE: Duration = Duration::from_secs(2);
const OUTAGE: Duration = Duration::from_secs(300);
const BOOKINGS: u64 = 1_000;
const LONG_WAIT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq)]
enum Outage {
    None,
    Refusing,
    Silent,
}

enum SimEvent {
    Arrive(u64),
    Read,
    Written(Update),
    Complete(Grant),
    Tick,
}

#[derive(Default)]
struct Counts {
    writes: u64,
    served: u64,
    refused: u64,
    waited: Duration,
    long_waits: u64,
    longest_refusal: Duration,
}

struct Simulation {
    owner: Owner,
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, usize)>>,
    sim_events: Vec<Option<SimEvent>>,
    object: Option<(u64, std::sync::Arc<berylgw_core::ledger::Partition>)>,
    arrived: Vec<Instant>,
    outage: Outage,
    body: usize,
    counts: Counts,
}

impl Simulation {
    fn new(window: Duration) -> Self {
        let mut settings = Settings::new(Holder {
            name: "e1".into(),
            incarnation: 1,
        });
        settings.batch_window = window;
        Simulation {
            owner: Owner::new(settings),
            now: Instant::ORIGIN,
            heap: BinaryHeap::new(),
            sim_events: Vec::new(),
            object: None,
            arrived: Vec::new(),
            outage: Outage::None,
            body: 200,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, delay: Duration, sim_event: SimEvent) {
        self.heap
            .push(Reverse((self.now + delay, self.sim_events.len())));
        self.sim_events.push(Some(sim_event));
    }

    fn run_until(&mut self, end: Instant) {
        loop {
            let event = self.heap.peek().map(|Reverse((at, _))| *at);
            let wake = self.owner.wake_at();
            let Some(at) = event.into_iter().chain(wake).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if event != Some(at) {
                self.handle(SimEvent::Tick);
                continue;
            }
            if let Some(Reverse((_, index))) = self.heap.pop()
                && let Some(sim_event) = self.sim_events[index].take()
            {
                self.handle(sim_event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, sim_event: SimEvent) {
        let event = match sim_event {
            SimEvent::Arrive(id) => Event::Claim(Request {
                id,
                key: Digest::of_key("wash", "yard-app", &id.to_be_bytes()),
                body: Digest::of_parts(&[b"booking"]),
                target: Target {
                    server: "yard-1".into(),
                    incarnation: 1,
                },
                deadline: self.now + CALLER_DEADLINE,
            }),
            SimEvent::Read if self.outage == Outage::None => Event::ReadDone(self.object.clone()),
            SimEvent::Read => Event::ReadFailed,
            SimEvent::Written(update) => Event::Written(update),
            SimEvent::Complete(grant) => Event::Complete {
                id: 0,
                grant,
                completion: Completion::Done(Answer {
                    status: 201,
                    body: vec![b'x'; self.body],
                    ..Answer::default()
                }),
            },
            SimEvent::Tick => Event::Tick,
        };
        for action in self.owner.step(event, self.now) {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        let delay = match self.outage {
            Outage::Silent => PLATFORM_TIMEOUT,
            Outage::None | Outage::Refusing => PLATFORM_DELAY,
        };
        match action {
            Action::Read => self.schedule(delay, SimEvent::Read),
            Action::Write {
                expected,
                partition,
            } => {
                self.counts.writes += 1;
                let update = match self.outage {
                    Outage::None => {
                        self.object = Some((expected + 1, partition));
                        Update::Applied(expected + 1)
                    }
                    Outage::Refusing => Update::Refused,
                    Outage::Silent => Update::Unknown,
                };
                self.schedule(delay, SimEvent::Written(update));
            }
            Action::Reply { id, reply } => self.reply(id, &reply),
            Action::Completed { .. } | Action::LeaseAcquired | Action::LeaseEnded => {}
        }
    }

    fn reply(&mut self, id: u64, reply: &Reply) {
        let waited = self.now.since(self.arrived[id as usize]);
        if let Reply::Granted(grant) = reply {
            self.counts.served += 1;
            self.counts.waited += waited;
            self.schedule(SERVICE_TIME, SimEvent::Complete(*grant));
        } else {
            self.counts.refused += 1;
            self.counts.long_waits += u64::from(waited > LONG_WAIT);
            self.counts.longest_refusal = self.counts.longest_refusal.max(waited);
        }
    }

    // Schedules Poisson arrivals and returns the time of the last one.
    fn arrivals(&mut self, rng: &mut ChaCha8Rng, rate: f64, count: u64) -> Instant {
        let mut delay = Duration::ZERO;
        for _ in 0..count {
            let gap = -f64::ln(1.0 - rng.random::<f64>()) / rate;
            delay += Duration::from_secs_f64(gap);
            let id = self.arrived.len() as u64;
            self.arrived.push(self.now + delay);
            self.schedule(delay, SimEvent::Arrive(id));
        }
        self.now + delay
    }
}

fn start(window: Duration) -> Simulation {
    let mut simulation = Simulation::new(window);
    simulation.run_until(Instant::from_millis(100));
    simulation.counts = Counts::default();
    simulation
}

fn updates(rate: f64, window: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut simulation = start(window);
    let end = simulation.arrivals(&mut rng, rate, BOOKINGS);
    simulation.run_until(end + Duration::from_secs(2));
    let thousands = BOOKINGS as f64 / 1_000.0;
    let writes = simulation.counts.writes as f64 / thousands;
    let seconds = simulation.now.as_micros() as f64 / 1e6;
    let wait =
        simulation.counts.waited.as_secs_f64() * 1e3 / simulation.counts.served.max(1) as f64;
    println!(
        "| {rate} | {} | {writes:.0} | {:.1} | {wait:.1} | {} |",
        window.as_millis(),
        simulation.counts.writes as f64 / seconds,
        simulation.counts.refused,
    );
}

fn outage(rate: f64, kind: Outage, name: &str) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut simulation = start(Duration::from_millis(5));
    simulation.outage = kind;
    let end = simulation.now + OUTAGE;
    let count = (rate * OUTAGE.as_secs_f64()) as u64;
    let last = simulation.arrivals(&mut rng, rate, count);
    simulation.run_until(last.max(end) + CALLER_DEADLINE);
    println!(
        "| {name} | {rate} | {} | {} | {} | {:.0} |",
        simulation.counts.served,
        simulation.counts.refused,
        simulation.counts.long_waits,
        simulation.counts.longest_refusal.as_secs_f64() * 1e3,
    );
}

// Prints the row of tickets, which an agent checks in memory without a platform
// call.
fn tickets(rate: f64) {
    let count = (rate * OUTAGE.as_secs_f64()) as u64;
    let mut used = HashSet::new();
    let served = (0..count).filter(|ticket| used.insert(*ticket)).count() as u64;
    println!(
        "| ticket | {rate} | {served} | {} | 0 | 0 |",
        count - served
    );
}

// Prints the number of claims that fit in one partition object if each has an answer
// of `body` bytes.
fn capacity(body: usize) {
    let mut simulation = start(Duration::from_millis(5));
    simulation.body = body;
    let mut id = 0;
    while simulation.counts.refused == 0 {
        simulation.arrived.push(simulation.now);
        simulation.schedule(Duration::ZERO, SimEvent::Arrive(id));
        simulation.run_until(simulation.now + Duration::from_millis(150));
        id += 1;
    }
    let bytes = simulation
        .object
        .map_or(0, |object| object.1.to_json().len());
    println!("| {body} | {} | {bytes} |", simulation.counts.served);
}

fn main() {
    println!("| bookings/s | window ms | updates per 1000 | updates/s | mean wait ms | refused |");
    println!("|---|---|---|---|---|---|");
    for rate in [1.0, 10.0, 50.0, 200.0] {
        for window in [0, 5, 20, 100] {
            updates(rate, Duration::from_millis(window));
        }
    }
    println!();
    println!(
        "| way, platform down for 300 s | bookings/s | served | refused | waited over 100 ms | longest wait ms |"
    );
    println!("|---|---|---|---|---|---|");
    for rate in [10.0, 50.0] {
        outage(rate, Outage::Refusing, "ledger, calls refused");
        outage(rate, Outage::Silent, "ledger, calls time out");
        tickets(rate);
    }
    println!();
    println!("| answer body bytes | claims in one partition | bytes of the object |");
    println!("|---|---|---|");
    for body in [0, 200, 1_000, 4_000] {
        capacity(body);
    }
}
