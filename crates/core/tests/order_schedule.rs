//! Random schedules of orders. Changing role holders send them to an agent, which
//! may restart; the agent passes them to an engine that checks or ignores fencing
//! tokens.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::order::{
    Action, Event, Id, Order, Outcome, Post, Progress, Queue, Report, Settings, Task,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const EVENTS: u64 = 3_000;
/// Longest transit time to the engine and longest run time of an order, in
/// milliseconds.
const MAX_TRANSIT_MS: u64 = 40;
const MAX_RUN_MS: u64 = 40;
const MAX_ORDER_TIME: Duration = Duration::from_millis(MAX_TRANSIT_MS + MAX_RUN_MS);

/// An injected fault that the schedules have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The agent does not wait for orders that may still arrive.
    NoWait,
    /// The agent assumes that an engine checks tokens although it ignores them.
    TrustFencing,
    /// A post without a response counts as rejected.
    LostIsRejected,
    /// All role holders use the same token.
    OneToken,
    /// The agent posts orders without first reading those of its predecessor.
    NoRecovery,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Violation {
    /// An order began while another one was running.
    Overlap,
    /// An order of a former holder began after one of its successor.
    Stale,
    /// An order that was carried out was reported as not carried out.
    FalseRefusal,
    /// An order that was not carried out was reported as done.
    FalseDone,
}

struct Execution {
    id: Id,
    until: Instant,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    fault: Option<Fault>,
    /// Whether the engine refuses old tokens.
    fencing: bool,
    queue: Queue,
    /// Outstanding call of the agent: time of its response and the resulting event.
    call: Option<(Instant, Event)>,
    /// Posts in transit to the engine.
    posts: Vec<(Instant, Order)>,
    engine: Vec<Execution>,
    highest_token: u64,
    /// Token of the current holder; the former holder has the one below it.
    token: u64,
    sequence: u64,
    refused: Vec<Id>,
    done: u64,
    violation: Option<Violation>,
}

impl World {
    fn new(seed: u64, fencing: bool, fault: Option<Fault>) -> Self {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::ORIGIN,
            fault,
            fencing,
            queue: Queue::new(settings(fencing, fault), Instant::ORIGIN),
            call: None,
            posts: Vec::new(),
            engine: Vec::new(),
            highest_token: 0,
            token: 1,
            sequence: 0,
            refused: Vec::new(),
            done: 0,
            violation: None,
        };
        world.restart_agent();
        world
    }

    fn event(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        self.arrive();
        match self.rng.random_range(0..1_000) {
            0..60 => self.submit(self.token),
            60..80 if self.token > 1 => self.submit(self.token - 1),
            80..84 => self.token += 1,
            84..88 => self.restart_agent(),
            _ => self.step(Event::Tick),
        }
        let due = self.call.take_if(|(at, _)| *at <= self.now);
        if let Some((_, event)) = due {
            self.step(event);
        }
    }

    fn submit(&mut self, holder: u64) {
        self.sequence += 1;
        let same = self.fault == Some(Fault::OneToken);
        let order = Order {
            id: Id {
                token: if same { 1 } else { holder },
                // The sequence encodes the holder for the check in `accept`.
                sequence: self.sequence * 1_000 + holder,
            },
            version: 1,
            action: Action::UnloadMap {
                map: self.sequence.into(),
            },
        };
        self.step(Event::Submit(order));
    }

    fn step(&mut self, event: Event) {
        for task in self.queue.step(event, self.now) {
            match task {
                Task::Post(order) => self.post(order),
                Task::Read => self.read(),
                Task::Answer(id, outcome) => self.answered(id, outcome),
            }
        }
    }

    /// Posts an order; the order or its response may be lost.
    fn post(&mut self, order: Order) {
        let transit = Duration::from_millis(self.rng.random_range(0..MAX_TRANSIT_MS));
        let arrives = self.now + transit;
        if self.rng.random_bool(0.8) {
            self.posts.push((arrives, order.clone()));
        }
        // The agent may time out before the post arrives.
        let answered = self.now + Duration::from_millis(self.rng.random_range(0..MAX_TRANSIT_MS));
        let lost = answered < arrives || self.rng.random_bool(0.2);
        let event = match self.fault {
            _ if !lost => Event::Posted(Post::Accepted),
            Some(Fault::LostIsRejected) => Event::Posted(Post::Rejected),
            _ => Event::Posted(Post::Unknown),
        };
        self.call = Some((answered, event));
    }

    fn arrive(&mut self) {
        let (due, later) =
            { std::mem::take(&mut self.posts).into_iter() }.partition(|(at, _)| *at <= self.now);
        self.posts = later;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            self.accept(order.id);
        }
    }

    fn accept(&mut self, id: Id) {
        if self.engine.iter().any(|known| known.id == id) {
            return;
        }
        if self.fencing && id.token < self.highest_token {
            return;
        }
        self.highest_token = self.highest_token.max(id.token);
        if self.engine.iter().any(|known| known.until > self.now) {
            self.violation = Some(Violation::Overlap);
        }
        let holder = |id: Id| id.sequence % 1_000;
        if { self.engine.iter() }.any(|known| holder(known.id) > holder(id)) {
            self.violation = Some(Violation::Stale);
        }
        if self.refused.contains(&id) {
            self.violation = Some(Violation::FalseRefusal);
        }
        let run = Duration::from_millis(self.rng.random_range(0..MAX_RUN_MS));
        let until = self.now + run;
        self.engine.push(Execution { id, until });
    }

    fn read(&mut self) {
        let answered = self.now + Duration::from_millis(self.rng.random_range(0..5));
        if self.rng.random_bool(0.2) {
            self.call = Some((answered, Event::Read(None)));
            return;
        }
        let progress = |known: &Execution| match known.until > self.now {
            true => (known.id, Progress::Running),
            false => (known.id, Progress::Done),
        };
        let report = Report {
            token: if self.fencing { self.highest_token } else { 0 },
            orders: self.engine.iter().map(progress).collect(),
        };
        self.call = Some((answered, Event::Read(Some(report))));
    }

    fn answered(&mut self, id: Id, outcome: Outcome) {
        let ran = self.engine.iter().find(|known| known.id == id);
        match outcome {
            Outcome::Done => {
                self.done += 1;
                if ran.is_none_or(|known| known.until > self.now) {
                    self.violation = Some(Violation::FalseDone);
                }
            }
            Outcome::Unknown => {}
            _ if ran.is_some() => self.violation = Some(Violation::FalseRefusal),
            _ => self.refused.push(id),
        }
    }

    fn restart_agent(&mut self) {
        self.queue = Queue::new(settings(self.fencing, self.fault), self.now);
        self.call = None;
        if self.fault == Some(Fault::NoRecovery) {
            self.queue.step(Event::Tick, self.now);
            let empty = Event::Read(Some(Report::default()));
            self.step(empty);
        }
    }
}

fn settings(fencing: bool, fault: Option<Fault>) -> Settings {
    let trust = fault == Some(Fault::TrustFencing);
    let max_order_time = match fault {
        Some(Fault::NoWait) => Duration::ZERO,
        _ => MAX_ORDER_TIME,
    };
    Settings {
        fencing: fencing || trust,
        max_order_time,
        poll_interval: Duration::from_millis(5),
        capacity: 4,
    }
}

fn run(seed: u64, fencing: bool, fault: Option<Fault>) -> World {
    let mut world = World::new(seed, fencing, fault);
    for _ in 0..EVENTS {
        world.event();
        if world.violation.is_some() {
            break;
        }
    }
    world
}

fn finds(fencing: bool, fault: Fault) -> Option<Violation> {
    let violation = |seed| run(seed, fencing, Some(fault)).violation;
    (0..SEEDS).find_map(violation)
}

// Guards against overlapping orders, stale orders and false outcomes.
#[test]
fn schedule_of_orders() {
    for fencing in [true, false] {
        let mut done = 0;
        for seed in 0..SEEDS {
            let world = run(seed, fencing, None);
            assert_eq!(world.violation, None, "seed {seed}, fencing {fencing}");
            done += world.done;
        }
        println!("schedule_of_orders: {done} orders done, fencing {fencing}");
        assert!(done > SEEDS, "{done} orders");
    }
}

#[test]
fn schedule_finds_no_wait() {
    assert!(finds(false, Fault::NoWait).is_some());
}

#[test]
fn schedule_finds_trusted_fencing() {
    assert!(finds(false, Fault::TrustFencing).is_some());
}

#[test]
fn schedule_finds_lost_answer_taken_for_rejection() {
    let found = finds(true, Fault::LostIsRejected);
    assert!(found.is_some());
}

#[test]
fn schedule_finds_shared_token() {
    assert_eq!(finds(true, Fault::OneToken), Some(Violation::Stale));
}

#[test]
fn schedule_finds_missing_recovery() {
    assert!(finds(false, Fault::NoRecovery).is_some());
}
