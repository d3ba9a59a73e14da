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

enum What {
    Arrive(u64),
    Read,
    Written(Update),
    Complete(Grant),
    Tick,
}

#[derive(Default)]
struct Tally {
    writes: u64,
    served: u64,
    refused: u64,
    waited: Duration,
    long_waits: u64,
    longest_refusal: Duration,
}

struct Run {
    owner: Owner,
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, usize)>>,
    whats: Vec<Option<What>>,
    object: Option<(u64, std::sync::Arc<berylgw_core::ledger::Partition>)>,
    arrived: Vec<Instant>,
    outage: Outage,
    body: usize,
    tally: Tally,
}

impl Run {
    fn new(window: Duration) -> Self {
        let mut settings = Settings::new(Holder {
            name: "e1".into(),
            incarnation: 1,
        });
        settings.batch_window = window;
        Run {
            owner: Owner::new(settings),
            now: Instant::ORIGIN,
            heap: BinaryHeap::new(),
            whats: Vec::new(),
            object: None,
            arrived: Vec::new(),
            outage: Outage::None,
            body: 200,
            tally: Tally::default(),
        }
    }

    fn after(&mut self, delay: Duration, what: What) {
        self.heap
            .push(Reverse((self.now + delay, self.whats.len())));
        self.whats.push(Some(what));
    }

    fn until(&mut self, end: Instant) {
        loop {
            let event = self.heap.peek().map(|Reverse((at, _))| *at);
            let wake = self.owner.wake_at();
            let Some(at) = event.into_iter().chain(wake).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if event != Some(at) {
                self.take(What::Tick);
                continue;
            }
            if let Some(Reverse((_, index))) = self.heap.pop()
                && let Some(what) = self.whats[index].take()
            {
                self.take(what);
            }
        }
        self.now = end;
    }

    fn take(&mut self, what: What) {
        let event = match what {
            What::Arrive(id) => Event::Claim(Request {
                id,
                key: Digest::of_key("wash", "yard-app", &id.to_be_bytes()),
                body: Digest::of_parts(&[b"booking"]),
                target: Target {
                    server: "yard-1".into(),
                    incarnation: 1,
                },
                deadline: self.now + CALLER_DEADLINE,
            }),
            What::Read if self.outage == Outage::None => Event::ReadDone(self.object.clone()),
            What::Read => Event::ReadFailed,
            What::Written(update) => Event::Written(update),
            What::Complete(grant) => Event::Complete {
                id: 0,
                grant,
                completion: Completion::Done(Answer {
                    status: 201,
                    body: vec![b'x'; self.body],
                    ..Answer::default()
                }),
            },
            What::Tick => Event::Tick,
        };
        for action in self.owner.step(event, self.now) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let delay = match self.outage {
            Outage::Silent => PLATFORM_TIMEOUT,
            Outage::None | Outage::Refusing => PLATFORM_DELAY,
        };
        match action {
            Action::Read => self.after(delay, What::Read),
            Action::Write {
                expected,
                partition,
            } => {
                self.tally.writes += 1;
                let update = match self.outage {
                    Outage::None => {
                        self.object = Some((expected + 1, partition));
                        Update::Applied(expected + 1)
                    }
                    Outage::Refusing => Update::Refused,
                    Outage::Silent => Update::Unknown,
                };
                self.after(delay, What::Written(update));
            }
            Action::Reply { id, reply } => self.reply(id, &reply),
            Action::Completed { .. } | Action::Started | Action::Stopped => {}
        }
    }

    fn reply(&mut self, id: u64, reply: &Reply) {
        let waited = self.now.since(self.arrived[id as usize]);
        if let Reply::Granted(grant) = reply {
            self.tally.served += 1;
            self.tally.waited += waited;
            self.after(SERVICE_TIME, What::Complete(*grant));
        } else {
            self.tally.refused += 1;
            self.tally.long_waits += u64::from(waited > LONG_WAIT);
            self.tally.longest_refusal = self.tally.longest_refusal.max(waited);
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
            self.after(delay, What::Arrive(id));
        }
        self.now + delay
    }
}

fn start(window: Duration) -> Run {
    let mut run = Run::new(window);
    run.until(Instant::from_millis(100));
    run.tally = Tally::default();
    run
}

fn updates(rate: f64, window: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut run = start(window);
    let end = run.arrivals(&mut rng, rate, BOOKINGS);
    run.until(end + Duration::from_secs(2));
    let thousands = BOOKINGS as f64 / 1_000.0;
    let writes = run.tally.writes as f64 / thousands;
    let seconds = run.now.as_micros() as f64 / 1e6;
    let wait = run.tally.waited.as_secs_f64() * 1e3 / run.tally.served.max(1) as f64;
    println!(
        "| {rate} | {} | {writes:.0} | {:.1} | {wait:.1} | {} |",
        window.as_millis(),
        run.tally.writes as f64 / seconds,
        run.tally.refused,
    );
}

fn outage(rate: f64, kind: Outage, name: &str) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut run = start(Duration::from_millis(5));
    run.outage = kind;
    let end = run.now + OUTAGE;
    let count = (rate * OUTAGE.as_secs_f64()) as u64;
    let last = run.arrivals(&mut rng, rate, count);
    run.until(last.max(end) + CALLER_DEADLINE);
    println!(
        "| {name} | {rate} | {} | {} | {} | {:.0} |",
        run.tally.served,
        run.tally.refused,
        run.tally.long_waits,
        run.tally.longest_refusal.as_secs_f64() * 1e3,
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
    let mut run = start(Duration::from_millis(5));
    run.body = body;
    let mut id = 0;
    while run.tally.refused == 0 {
        run.arrived.push(run.now);
        run.after(Duration::ZERO, What::Arrive(id));
        run.until(run.now + Duration::from_millis(150));
        id += 1;
    }
    let bytes = run.object.map_or(0, |object| object.1.to_json().len());
    println!("| {body} | {} | {bytes} |", run.tally.served);
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
