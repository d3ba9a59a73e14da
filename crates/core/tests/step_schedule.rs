//! Random schedules of the map switch, checked against the properties of the
//! specification.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::expert::Rank;
use berylgw_core::step::{Action, Group, Member, Number, Order, Progress, Report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 3;
const CONTROLLERS: usize = 2;
const SEEDS: u64 = 400;
const EVENTS: u64 = 3_000;
const RECOVERY_ROUNDS: usize = 20;

/// An injected fault that the schedules have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// An accepted stamp counts as a step that has begun.
    StampIsBegun,
    /// The first rank stamps before the other ranks have loaded the map.
    StampEarly,
    /// A rank without the stamped map takes part with its newest one.
    JoinAnyway,
    /// The first rank accepts an order to stamp an older map.
    StampBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Violation {
    MixedStep,
    StalledStep,
    NotRecovered,
}

/// A report in transit to a controller.
struct Response {
    controller: usize,
    rank: usize,
    report: Report,
    requested_at: Instant,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    fault: Option<Fault>,
    restarted: bool,
    newest: Number,
    /// Newest map that each controller has read.
    known: [Number; CONTROLLERS],
    groups: [Group; CONTROLLERS],
    responses: Vec<Response>,
    orders: Vec<Order>,
    ranks: Vec<Member>,
    step: Option<Number>,
    used: [Option<Number>; RANKS],
    steps: u64,
    /// Steps whose map differs from that of the previous step.
    switches: u64,
    last: Number,
}

fn member(rank: usize, incarnation: u64) -> Member {
    match rank {
        0 => Member::first(incarnation),
        _ => Member::other(incarnation),
    }
}

impl World {
    fn new(seed: u64, fault: Option<Fault>) -> Self {
        // Reports of any age are accepted.
        let group = || Group::new(RANKS, Duration::from_secs(1_000_000));
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::ORIGIN,
            fault,
            restarted: false,
            newest: Number::INITIAL,
            known: [Number::INITIAL; CONTROLLERS],
            groups: std::array::from_fn(|_| group()),
            responses: Vec::new(),
            orders: Vec::new(),
            ranks: (0..RANKS).map(|rank| member(rank, 0)).collect(),
            step: None,
            used: [None; RANKS],
            steps: 0,
            switches: 0,
            last: Number::INITIAL,
        }
    }

    fn event(&mut self, restarts: bool) -> Option<Violation> {
        self.now = self.now + Duration::from_millis(1);
        let controller = self.rng.random_range(0..CONTROLLERS);
        let rank = self.rng.random_range(0..RANKS);
        match self.rng.random_range(0..1_000) {
            0..5 => self.write(controller),
            5..30 => self.known[controller] = self.newest,
            30..250 => self.ask(controller, rank),
            250..500 => self.deliver_response(),
            500..560 => self.send(controller),
            560..740 => self.deliver(),
            740..745 if restarts => self.restart(rank),
            745..750 => self.replace(controller),
            _ => return self.advance(rank),
        }
        self.stalled()
    }

    /// Writes a new map; the conditional update succeeds only on the newest one.
    fn write(&mut self, controller: usize) {
        if self.known[controller] != self.newest {
            return;
        }
        self.newest = Number::from(u64::from(self.newest) + 1);
        self.known[controller] = self.newest;
    }

    fn ask(&mut self, controller: usize, rank: usize) {
        let mut report = self.ranks[rank].report();
        if self.fault == Some(Fault::StampIsBegun) {
            report.begun = report.stamp;
        }
        self.responses.push(Response {
            controller,
            rank,
            report,
            requested_at: self.now,
        });
    }

    /// Delivers a random report, or drops it.
    fn deliver_response(&mut self) {
        if self.responses.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.responses.len());
        let response = self.responses.swap_remove(index);
        if self.rng.random_bool(0.1) {
            return;
        }
        let rank = Rank::from(response.rank as u16);
        self.groups[response.controller].report(rank, response.report, response.requested_at);
    }

    fn send(&mut self, controller: usize) {
        let target = self.known[controller];
        let plan = self.groups[controller].plan(target, self.now);
        if self.fault == Some(Fault::StampEarly) {
            let rank = Rank::from(0);
            let action = Action::Stamp(target);
            self.orders.push(Order { rank, action });
        }
        for order in plan {
            if !self.orders.contains(&order) {
                self.orders.push(order);
            }
        }
    }

    /// Delivers a random order, or drops it; it may remain in transit and arrive
    /// again.
    fn deliver(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.orders.len());
        let order = self.orders[index];
        if self.rng.random_bool(0.7) {
            self.orders.swap_remove(index);
        }
        if self.rng.random_bool(0.1) {
            return;
        }
        self.carry_out(order);
    }

    fn carry_out(&mut self, order: Order) {
        let member = &mut self.ranks[order.rank.index()];
        let back = self.fault == Some(Fault::StampBack);
        match order.action {
            Action::Stamp(map) if back && member.holds(map) && map < member.report().stamp => {
                let report = member.report();
                *member = Member::first(report.incarnation);
                for held in report.loaded {
                    member.apply(Action::Load(held)).unwrap();
                }
                member.apply(Action::Stamp(map)).unwrap();
            }
            // Refusals are part of the protocol.
            action => drop(member.apply(action)),
        }
    }

    /// Restarts a rank with the initial map and aborts the step in progress.
    fn restart(&mut self, rank: usize) {
        let incarnation = self.ranks[rank].report().incarnation + 1;
        self.ranks[rank] = member(rank, incarnation);
        self.restarted = true;
        self.abort_step();
    }

    fn abort_step(&mut self) {
        self.step = None;
        self.used = [None; RANKS];
        for member in &mut self.ranks {
            member.end();
        }
    }

    /// Replaces a controller by another process.
    fn replace(&mut self, controller: usize) {
        self.groups[controller] = Group::new(RANKS, Duration::from_secs(1_000_000));
        self.known[controller] = self.newest;
    }

    fn advance(&mut self, rank: usize) -> Option<Violation> {
        let Some(stamp) = self.step else {
            self.step = self.ranks[0].begin();
            self.used[0] = self.step;
            return self.stalled();
        };
        let anyway = self.fault == Some(Fault::JoinAnyway);
        if self.used[rank].is_none() {
            let newest = self.ranks[rank].report().loaded.last().copied();
            if self.ranks[rank].join(stamp) {
                self.used[rank] = self.ranks[rank].in_step();
            } else if anyway {
                self.used[rank] = newest;
            }
        }
        if self.used.iter().flatten().any(|map| *map != stamp) {
            return Some(Violation::MixedStep);
        }
        if self.used.iter().all(Option::is_some) {
            self.steps += 1;
            self.switches += u64::from(self.last != stamp);
            self.last = stamp;
            self.abort_step();
        }
        self.stalled()
    }

    fn stalled(&self) -> Option<Violation> {
        let stamp = self.step?;
        if self.restarted {
            return None;
        }
        let waits = |rank: usize| self.used[rank].is_none() && !self.ranks[rank].holds(stamp);
        let stalled = (0..RANKS).any(waits);
        stalled.then_some(Violation::StalledStep)
    }

    /// Checks that one controller settles the group without further faults.
    fn recover(&mut self) -> Option<Violation> {
        self.known[0] = self.newest;
        for _ in 0..RECOVERY_ROUNDS {
            self.now = self.now + Duration::from_millis(1);
            for rank in 0..RANKS {
                let report = self.ranks[rank].report();
                self.groups[0].report(Rank::from(rank as u16), report, self.now);
            }
            if self.groups[0].progress(self.newest, self.now) == Progress::Settled {
                return None;
            }
            for order in self.groups[0].plan(self.newest, self.now) {
                self.carry_out(order);
            }
            // The engine aborts a step that waits for a rank.
            self.abort_step();
            if let Some(violation) = self.advance(0) {
                return Some(violation);
            }
        }
        Some(Violation::NotRecovered)
    }
}

fn run(seed: u64, restarts: bool, fault: Option<Fault>) -> (Option<Violation>, World) {
    let mut world = World::new(seed, fault);
    for _ in 0..EVENTS {
        if let Some(violation) = world.event(restarts) {
            return (Some(violation), world);
        }
    }
    (world.recover(), world)
}

fn finds(fault: Fault, violation: Violation) -> bool {
    let found = |seed| run(seed, false, Some(fault)).0 == Some(violation);
    (0..SEEDS).any(found)
}

// Guards against mixed, stalled and unfinished switches without rank restarts.
#[test]
fn schedule_without_restarts() {
    let (mut steps, mut switches) = (0, 0);
    for seed in 0..SEEDS {
        let (violation, world) = run(seed, false, None);
        assert_eq!(violation, None, "seed {seed}");
        steps += world.steps;
        switches += world.switches;
    }
    println!("schedule_without_restarts: {steps} steps, {switches} switches");
    assert!(switches > SEEDS, "{switches} switches");
}

// Guards against mixed steps, and groups that do not recover after rank restarts.
#[test]
fn schedule_with_restarts() {
    for seed in 0..SEEDS {
        let (violation, _) = run(seed, true, None);
        assert_eq!(violation, None, "seed {seed}");
    }
}

#[test]
fn schedule_finds_stamp_taken_for_begun() {
    assert!(finds(Fault::StampIsBegun, Violation::StalledStep));
}

#[test]
fn schedule_finds_early_stamp() {
    assert!(finds(Fault::StampEarly, Violation::StalledStep));
}

#[test]
fn schedule_finds_join_without_map() {
    assert!(
        finds(Fault::JoinAnyway, Violation::MixedStep) || {
            // Without an early stamp, only a restarted rank lacks the map.
            let found = |seed| run(seed, true, Some(Fault::JoinAnyway)).0;
            (0..SEEDS).any(|seed| found(seed) == Some(Violation::MixedStep))
        }
    );
}

#[test]
fn schedule_finds_stamp_that_goes_back() {
    assert!(finds(Fault::StampBack, Violation::StalledStep));
}
