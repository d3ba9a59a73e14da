//! Random schedules of two processes that compete for a role in a faulty store.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::duty::outlasts;
use berylgw_core::lease::{Action, Event, Holder, Record, Role, Settings, Update};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SCHEDULES: u64 = 5_000;
const STEPS: usize = 400;

/// Term of the lease, and longest time of a call to the protected resource, in
/// milliseconds.
const TERM: u64 = 300;
const CALL: u64 = 50;

enum Call {
    Read,
    Write(u64, Record),
}

struct Process {
    role: Role,
    offset: u64,
    call: Option<Call>,
    paused: bool,
    // Token of an action in transit to the protected resource, and when it was sent.
    action_token: Option<u64>,
    action_sent: u64,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    up: bool,
    object: Option<(u64, Record)>,
    late_writes: Vec<(u64, Record)>,
    processes: Vec<Process>,
    highest_token: u64,
    actions: [u64; 2],
    // Whether the resource accepts any token and judges the order of the actions, and
    // the store is restored now and then.
    judged: bool,
    era: u64,
    copy: Option<Option<(u64, Record)>>,
    // Process and time of the last action, and time of the last one of each process.
    last_actor: Option<usize>,
    acted: [Option<u64>; 2],
}

impl World {
    fn new(seed: u64, judged: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let process = |index: u64| {
            let offset = rng.random_range(0..10_000);
            let role = Role::new(Settings {
                holder: Holder {
                    name: format!("e{index}").into(),
                    incarnation: 1,
                },
                term: Duration::from_millis(TERM),
                retry_interval: Duration::from_millis(20),
            });
            Process {
                role: match judged {
                    true => role.with_rest(Instant::from_millis(offset)),
                    false => role,
                },
                offset,
                call: None,
                paused: false,
                action_token: None,
                action_sent: 0,
            }
        };
        World {
            processes: (0..2).map(process).collect(),
            rng,
            now: 0,
            up: true,
            object: None,
            late_writes: Vec::new(),
            highest_token: 0,
            actions: [0; 2],
            judged,
            era: 0,
            copy: None,
            last_actor: None,
            acted: [None; 2],
        }
    }

    fn at(&self, index: usize) -> Instant {
        Instant::from_millis(self.now + self.processes[index].offset)
    }

    fn put(&mut self, expected: u64, record: Record) -> Update {
        if !self.up {
            return Update::Refused;
        }
        if self.object.as_ref().map_or(0, |object| object.0) != expected {
            return Update::Conflict;
        }
        self.object = Some((expected + 1, record));
        Update::Applied(expected + 1)
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..25);
        match self.rng.random_range(0..100) {
            0 => self.up = !self.up,
            1..3 => {
                let index = self.rng.random_range(0..2);
                self.processes[index].paused ^= true;
            }
            3 => {
                let index = self.rng.random_range(0..2);
                let wanted = self.rng.random();
                self.feed(index, Event::SetWanted(wanted));
            }
            4..8 if !self.late_writes.is_empty() => {
                let (expected, record) = self.late_writes.remove(0);
                self.put(expected, record);
            }
            8 if self.judged => self.copy = Some(self.object.clone()),
            9 if self.judged => {
                if let Some(copy) = self.copy.take() {
                    self.object = copy;
                    self.era += 1;
                }
            }
            _ => {}
        }
        for index in 0..2 {
            self.drive(index);
        }
        let held = (0..2).all(|index| {
            let role = &self.processes[index].role;
            role.token(self.at(index)).is_some()
        });
        assert!(!held, "two processes hold the role");
    }

    fn drive(&mut self, index: usize) {
        if self.judged {
            self.judge(index);
        } else if self.rng.random_bool(0.3)
            && let Some(token) = self.processes[index].action_token.take()
            && token >= self.highest_token
        {
            self.highest_token = token;
            self.actions[index] += 1;
            let holder = self.object.as_ref().map(|object| object.1.token);
            assert!(Some(token) <= holder, "a token that was never committed");
        }
        if self.processes[index].paused {
            return;
        }
        if self.rng.random_bool(0.5) {
            self.answer(index);
        }
        let now = self.at(index);
        let role = &self.processes[index].role;
        if role.wake_at().is_some_and(|at| at <= now) {
            self.feed(index, Event::Tick);
        }
        let process = &mut self.processes[index];
        let token = match self.judged {
            true => {
                let lease = process.role.lease(now);
                let lease = lease.filter(|lease| outlasts(lease, now, Duration::from_millis(CALL)));
                lease.map(|lease| lease.token)
            }
            // An action can arrive long after the check that allowed it.
            false => process.role.token(now),
        };
        if process.action_token.is_none() && token.is_some() {
            process.action_token = token;
            process.action_sent = self.now;
        }
    }

    /// Lets an action arrive at a resource that accepts it whatever its token is.
    fn judge(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if self.now - process.action_sent >= CALL {
            process.action_token = None;
        }
        if !self.rng.random_bool(0.5) {
            return;
        }
        let Some(token) = process.action_token.take() else {
            return;
        };
        assert!(token >= self.highest_token, "token {token} too low");
        let is_other = self.last_actor.is_some_and(|last| last != index);
        if is_other && token == self.highest_token {
            panic!("token {token} of two processes");
        }
        if is_other && self.acted[index].is_some_and(|at| self.now - at < TERM) {
            panic!("process {index} acted again within a term");
        }
        self.highest_token = token;
        self.last_actor = Some(index);
        self.acted[index] = Some(self.now);
        self.actions[index] += 1;
    }

    fn answer(&mut self, index: usize) {
        let Some(call) = self.processes[index].call.take() else {
            return;
        };
        let event = match call {
            Call::Read if self.up => Event::ReadDone(self.object.clone()),
            Call::Read => Event::ReadFailed,
            Call::Write(expected, record) if self.rng.random_bool(0.15) => {
                if self.rng.random() {
                    self.put(expected, record);
                } else {
                    self.late_writes.push((expected, record));
                }
                Event::Written(Update::Unknown)
            }
            Call::Write(expected, record) => Event::Written(self.put(expected, record)),
        };
        // A call that was refused in an outage, or whose answer is lost, tells no era.
        let is_answered = !matches!(event, Event::Written(Update::Unknown)) && self.up;
        if self.judged && is_answered {
            self.feed(index, Event::Era(self.era));
        }
        self.feed(index, event);
    }

    fn feed(&mut self, index: usize, event: Event) {
        let now = self.at(index);
        let process = &mut self.processes[index];
        for action in process.role.step(event, now) {
            let call = match action {
                Action::Read => Call::Read,
                Action::Write { expected, record } => Call::Write(expected, record),
                Action::LeaseAcquired(_) | Action::LeaseEnded => continue,
            };
            let old = process.call.replace(call);
            assert!(old.is_none(), "two platform calls outstanding");
        }
        let wake = process.role.wake_at();
        assert!(wake.is_none_or(|at| at > now), "a process would spin");
    }
}

// Guards against two simultaneous holders, and against actions of a former holder
// that take effect after those of its successor.
#[test]
fn schedule_all_faults() {
    let mut both = 0;
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed, false);
        for _ in 0..STEPS {
            world.step();
        }
        both += u64::from(world.actions.iter().all(|actions| *actions > 0));
    }
    println!("{both} of {SCHEDULES} schedules had actions of both processes");
    assert!(both > SCHEDULES / 10);
}

// Guards against lower or shared tokens, and holders in the order A, B, A within a term,
// when the store is restored from copies as well.
#[test]
fn schedule_restores() {
    let (mut both, mut eras) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed, true);
        for _ in 0..STEPS {
            world.step();
        }
        both += u64::from(world.actions.iter().all(|actions| *actions > 0));
        eras += world.era;
    }
    println!("{both} of {SCHEDULES} schedules had actions of both processes, {eras} restores");
    assert!(both > SCHEDULES / 20 && eras > SCHEDULES);
}
