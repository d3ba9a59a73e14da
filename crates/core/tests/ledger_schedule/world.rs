#[path = "attempt.rs"]
mod attempt;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::{Holder, Update};
use berylgw_core::ledger::{
    Action, Answer, Completion, Digest, Event, Grant, Owner, Partition, Reply, Request, Settings,
    Target,
};
use berylgw_core::outcome::{Outcome, Reason};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const KEYS: u8 = 4;
const SERVERS: usize = 2;
const STEPS: usize = 600;

#[derive(Debug, Default)]
pub struct Count {
    pub keys: u64,
    pub runs: u64,
    pub done: u64,
    pub not_run: u64,
    pub unknown: u64,
    // Refusals by an entry that did not hold the partition.
    pub without_lease: u64,
    // Grants that another attempt with the same key sealed before their use.
    pub superseded: u64,
    pub pending: u64,
    pub regrants: u64,
    pub takeovers: u64,
}

impl Count {
    pub fn add(&mut self, other: &Count) {
        self.keys += other.keys;
        self.runs += other.runs;
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.without_lease += other.without_lease;
        self.superseded += other.superseded;
        self.pending += other.pending;
        self.regrants += other.regrants;
        self.takeovers += other.takeovers;
    }
}

enum Call {
    Read,
    Write(u64, Arc<Partition>),
}

// An entry: its owner, its clock offset in milliseconds and its outstanding
// platform call.
struct Entry {
    owner: Owner,
    incarnation: u64,
    offset: u64,
    call: Option<Call>,
    paused: bool,
}

#[derive(Default)]
struct Agent {
    incarnation: u64,
    // Highest token with which a request was run or sealed, for each key. A sealed
    // claim is barred from running.
    highest_tokens: BTreeMap<Digest, u64>,
    results: BTreeMap<Digest, Answer>,
}

#[derive(Clone)]
enum Phase {
    Claiming,
    Granted(Grant),
    Sent(Grant),
    // Asks the agent to seal the claim, which bars it from running; the flag tells
    // whether the grant was issued to this attempt.
    Seal(Grant, Target, bool),
    // This attempt's grant does not run; the owner decides whether another grant of
    // the key may have run.
    Report,
    Finished(Outcome),
}

struct Attempt {
    key: u8,
    account: u8,
    target: Target,
    entry: usize,
    phase: Phase,
    message: Option<Grant>,
    report: Option<(Grant, Completion)>,
    runs: u32,
    // Outcome `not run` was reported for the key when this attempt had run or could
    // still run.
    must_not_run: bool,
}

pub struct World {
    rng: ChaCha8Rng,
    faults: u32,
    now: u64,
    up: bool,
    object: Option<(u64, Arc<Partition>)>,
    // Writes with an unknown outcome that may still take effect.
    late: Vec<(u64, Arc<Partition>)>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    attempts: Vec<Attempt>,
    tokens: BTreeMap<Digest, u64>,
    // Whether the last completion was accepted.
    accepted: bool,
    pub count: Count,
}

fn digest(account: u8, key: u8) -> Digest {
    Digest::of_key(&format!("account-{account}"), "yard-app", &[key])
}

fn answer(account: u8, key: u8) -> Answer {
    Answer {
        status: 200,
        body: vec![account, key],
        ..Answer::default()
    }
}

fn owner(name: usize, incarnation: u64) -> Owner {
    let mut settings = Settings::new(Holder {
        name: format!("e{name}").into(),
        incarnation,
    });
    settings.term = Duration::from_millis(300);
    settings.retry_interval = Duration::from_millis(20);
    settings.completion_interval = Duration::from_millis(50);
    Owner::new(settings)
}

impl World {
    pub fn new(seed: u64, faults: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..2)
            .map(|index| Entry {
                owner: owner(index, 0),
                incarnation: 0,
                offset: rng.random_range(0..10_000),
                call: None,
                paused: false,
            })
            .collect();
        World {
            rng,
            faults,
            now: 0,
            up: true,
            object: None,
            late: Vec::new(),
            entries,
            agents: (0..SERVERS).map(|_| Agent::default()).collect(),
            attempts: Vec::new(),
            tokens: BTreeMap::new(),
            accepted: false,
            count: Count::default(),
        }
    }

    pub fn run(&mut self) {
        for _ in 0..STEPS {
            self.step();
            self.check();
        }
        self.finish();
        self.check();
        for account in 0..2 {
            for key in 0..KEYS {
                self.count.keys += u64::from(self.attempts_of(account, key).count() > 0);
            }
        }
    }

    fn attempts_of(&self, account: u8, key: u8) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(move |attempt| attempt.account == account && attempt.key == key)
    }

    fn chance(&mut self, weight: u32) -> bool {
        self.rng.random_range(0..1_000) < weight
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..12);
        let faults = self.faults;
        if self.chance(faults) {
            self.fault();
        }
        if self.chance(60) {
            self.send();
        }
        for index in 0..2 {
            self.drive(index);
        }
        for index in 0..self.attempts.len() {
            if self.rng.random_bool(0.3) {
                self.advance(index);
            }
        }
    }

    // Ends all faults, runs 600 more rounds with a resend of every key halfway, and
    // asserts that every attempt has an outcome.
    fn finish(&mut self) {
        self.up = true;
        self.faults = 0;
        for entry in &mut self.entries {
            entry.paused = false;
        }
        for round in 0..600 {
            self.now += 5;
            for index in 0..2 {
                self.drive(index);
            }
            for index in 0..self.attempts.len() {
                self.advance(index);
            }
            if round == 300 {
                self.resend_all();
            }
        }
        let open = |attempt: &Attempt| !matches!(attempt.phase, Phase::Finished(_));
        assert!(!self.attempts.iter().any(open), "an attempt has no outcome");
    }

    fn resend_all(&mut self) {
        let now = self.now;
        for account in 0..2 {
            for key in 0..KEYS {
                let holder = |entry: &Entry| {
                    let at = Instant::from_millis(now + entry.offset);
                    entry.owner.holds(at)
                };
                let holder = self.entries.iter().position(holder);
                let entry = holder.expect("one entry holds the partition");
                if self.attempts_of(account, key).count() > 0 {
                    self.start_attempt(account, key, entry);
                }
            }
        }
    }

    fn fault(&mut self) {
        let entry = self.rng.random_range(0..2);
        match self.rng.random_range(0..6) {
            0 | 1 => self.up = !self.up,
            2 | 3 => self.entries[entry].paused = !self.entries[entry].paused,
            4 => {
                let server = self.rng.random_range(0..SERVERS);
                self.agents[server] = Agent {
                    incarnation: self.agents[server].incarnation + 1,
                    ..Agent::default()
                };
            }
            _ => self.restart(entry),
        }
    }

    fn restart(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.incarnation += 1;
        entry.owner = owner(index, entry.incarnation);
        if let Some(Call::Write(expected, value)) = entry.call.take() {
            self.late.push((expected, value));
        }
        for attempt in &mut self.attempts {
            let asked = matches!(attempt.phase, Phase::Claiming) && attempt.entry == index;
            if asked {
                // The connection to the owner broke before a reply arrived.
                attempt.phase = Phase::Finished(Outcome::Unknown);
            }
        }
    }

    fn send(&mut self) {
        let account = self.rng.random_range(0..2);
        let key = self.rng.random_range(0..KEYS);
        let entry = self.rng.random_range(0..2);
        self.start_attempt(account, key, entry);
    }

    fn start_attempt(&mut self, account: u8, key: u8, entry: usize) {
        let server = self.rng.random_range(0..SERVERS);
        let target = Target {
            server: format!("{server}").into(),
            incarnation: self.agents[server].incarnation,
        };
        self.attempts.push(Attempt {
            key,
            account,
            target,
            entry,
            phase: Phase::Claiming,
            message: None,
            report: None,
            runs: 0,
            must_not_run: false,
        });
        self.claim(self.attempts.len() - 1);
    }

    fn claim(&mut self, index: usize) {
        let wait = self.rng.random_range(20..400);
        let attempt = &self.attempts[index];
        let entry = attempt.entry;
        let request = Request {
            id: index as u64,
            key: digest(attempt.account, attempt.key),
            body: Digest::of_parts(&[&[attempt.key]]),
            target: attempt.target.clone(),
            deadline: self.at(entry) + Duration::from_millis(wait),
        };
        self.feed(entry, Event::Claim(request));
    }

    fn at(&self, entry: usize) -> Instant {
        Instant::from_millis(self.now + self.entries[entry].offset)
    }

    fn drive(&mut self, index: usize) {
        if self.entries[index].paused {
            return;
        }
        if self.faults > 0 && !self.late.is_empty() && self.chance(100) {
            let (expected, value) = self.late.swap_remove(0);
            self.put(expected, value);
        }
        let due = self.entries[index].owner.wake_at();
        if due.is_some_and(|due| due <= self.at(index)) {
            self.feed(index, Event::Tick);
        }
        if self.rng.random_bool(0.5) {
            self.answer_call(index);
        }
    }

    fn answer_call(&mut self, index: usize) {
        let Some(call) = self.entries[index].call.take() else {
            return;
        };
        let faults = self.faults;
        let event = match call {
            Call::Read if self.up => Event::ReadDone(self.object.clone()),
            Call::Read => Event::ReadFailed,
            Call::Write(expected, value) if self.chance(faults * 10) => {
                if self.rng.random() {
                    self.put(expected, value);
                } else {
                    self.late.push((expected, value));
                }
                Event::Written(Update::Unknown)
            }
            Call::Write(expected, value) => Event::Written(self.put(expected, value)),
        };
        self.feed(index, event);
    }

    fn put(&mut self, expected: u64, value: Arc<Partition>) -> Update {
        if !self.up {
            return Update::Refused;
        }
        let version = self.object.as_ref().map_or(0, |object| object.0);
        if version != expected {
            return Update::Conflict;
        }
        let parsed = Partition::parse(&value.to_json()).unwrap();
        let holder = |object: &(u64, Arc<Partition>)| object.1.lease.holder.clone();
        let before = self.object.as_ref().map(holder);
        self.count.takeovers += u64::from(before.is_some_and(|old| old != parsed.lease.holder));
        self.object = Some((version + 1, Arc::new(parsed)));
        Update::Applied(version + 1)
    }

    fn feed(&mut self, index: usize, event: Event) {
        let now = self.at(index);
        for action in self.entries[index].owner.step(event, now) {
            match action {
                Action::Read => self.call(index, Call::Read),
                Action::Write {
                    expected,
                    partition,
                } => self.call(index, Call::Write(expected, partition)),
                Action::Reply { id, reply } => self.reply(id as usize, reply),
                Action::Completed { accepted, .. } => self.accepted = accepted,
                Action::LeaseAcquired | Action::LeaseEnded => {}
            }
        }
        let wake = self.entries[index].owner.wake_at();
        assert!(
            wake.is_none_or(|at| at > now),
            "wake-up time is not in the future"
        );
        let both = (0..2).all(|entry| self.entries[entry].owner.holds(self.at(entry)));
        assert!(!both, "two entries hold the partition");
    }

    fn call(&mut self, index: usize, call: Call) {
        let old = self.entries[index].call.replace(call);
        assert!(old.is_none(), "two platform calls outstanding");
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let entry = self.attempts[index].entry;
        let holds = self.entries[entry].owner.holds(self.at(entry));
        let attempt = &mut self.attempts[index];
        assert!(
            matches!(attempt.phase, Phase::Claiming),
            "request answered twice"
        );
        attempt.phase = match reply {
            Reply::Granted(grant) => {
                let token = self.tokens.insert(grant.key, grant.token);
                assert!(
                    token < Some(grant.token),
                    "token not higher than the previous one"
                );
                self.count.regrants += u64::from(token.is_some());
                Phase::Granted(grant)
            }
            Reply::Done(stored) => {
                assert_eq!(stored, answer(attempt.account, attempt.key));
                Phase::Finished(Outcome::Done)
            }
            Reply::Pending(grant, target) => {
                self.count.pending += 1;
                Phase::Seal(grant, target, false)
            }
            Reply::Refused(refusal) => {
                assert_eq!(refusal.reason, Reason::LedgerUnavailable);
                let not_run = refusal.outcome == Outcome::NotRun;
                assert!(holds || !not_run, "`not run` without a lease");
                self.count.without_lease += u64::from(!holds);
                Phase::Finished(refusal.outcome)
            }
        };
        self.count_outcome(index);
    }

    fn count_outcome(&mut self, index: usize) {
        if matches!(self.attempts[index].phase, Phase::Finished(Outcome::NotRun)) {
            self.forbid_runs(index);
        }
        match self.attempts[index].phase {
            Phase::Finished(Outcome::Done) => self.count.done += 1,
            Phase::Finished(Outcome::NotRun) => self.count.not_run += 1,
            Phase::Finished(Outcome::Unknown) => self.count.unknown += 1,
            _ => {}
        }
    }

    // The outcome concerns the key: no attempt that was granted so far may run.
    fn forbid_runs(&mut self, index: usize) {
        let (account, key) = (self.attempts[index].account, self.attempts[index].key);
        for attempt in &mut self.attempts {
            let granted = matches!(attempt.phase, Phase::Granted(_) | Phase::Sent(_));
            let may_run = granted || attempt.message.is_some() || attempt.runs > 0;
            let same = attempt.account == account && attempt.key == key;
            attempt.must_not_run |= same && may_run;
        }
    }

    fn finish_attempt(&mut self, index: usize, outcome: Outcome) {
        self.attempts[index].phase = Phase::Finished(outcome);
        self.count_outcome(index);
    }

    fn check(&self) {
        for account in 0..2 {
            for key in 0..KEYS {
                let runs: u32 = self.attempts_of(account, key).map(|a| a.runs).sum();
                assert!(runs <= 1, "key {key} of account {account} ran {runs} times");
            }
        }
        for attempt in &self.attempts {
            let not_run = matches!(attempt.phase, Phase::Finished(Outcome::NotRun));
            let reported_not_run = not_run || attempt.must_not_run;
            assert!(!reported_not_run || attempt.runs == 0, "false `not run`");
        }
    }
}
