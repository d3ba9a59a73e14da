use std::cell::Cell;
use std::time::Duration;

use super::{Ack, Batch, Counts, MAX_ACCOUNT_BYTES, Record, Report, Settings, add, record};

/// Time after the end of a window before which it is not decided. Entries report it
/// complete after 2 s, and their batches take up to half a second.
const DECIDE_AFTER: Duration = Duration::from_millis(2_500);

/// Time for which a new holder waits for batches before it decides windows that are not
/// complete. Entries learn of it within 0.4 s and send within 0.5 s; one datagram of
/// each kind may be lost.
const TAKEOVER_TIME: Duration = Duration::from_millis(2_500);

/// Time without a sign of a process for which windows wait for its counts. It may be
/// frozen or cut off. One that was killed delays the windows of this time.
const AWAIT_TIME: Duration = Duration::from_secs(15);

/// Least time without a sign of a process after which it is removed. It is longer if
/// the process may still keep batches of windows that are not given up: their counts
/// would be added a second time if it were taken for a new one.
const REMOVE_TIME: Duration = Duration::from_secs(60);

/// Most processes, some ten times the largest fleet.
const MAX_PROCESSES: usize = 4_096;

/// Most starts in one count. No entry begins that many requests between two batches.
const MAX_STARTS: u64 = 1_000_000;

/// Windows after the current one that are accepted, as the true times of entries differ
/// a little.
const FUTURE_WINDOWS: u64 = 2;

/// Generations for which the applied batches of a process are known. With older ones
/// forgotten, a write that took long makes fewer batches durable than it could.
const MAX_GENERATIONS: usize = 16;

/// Most windows that [`Ledger::expire`] returns at once, for an outage of days.
const MAX_GIVEN_UP: u64 = 1_000;

/// A decided window with the input of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Number of the window.
    pub window: u64,
    /// Sum of its counts.
    pub starts: u64,
    /// Number of accounts with counts.
    pub accounts: usize,
    /// Processes that were waited for and did not report it complete.
    pub missing: usize,
    /// Time since the end of the window.
    pub age: Duration,
}

/// Starts that were not added to a window, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Their window was decided before.
    pub late: u64,
    /// Their window lies ahead.
    pub future: u64,
    /// The batch had two counts of the same window and account.
    pub duplicate: u64,
    /// Counts without an account or with an impossible number.
    pub malformed: u64,
}

#[derive(Clone, Debug)]
struct Window {
    number: u64,
    /// Generation in which it was decided.
    decided: Option<u64>,
    accepted: bool,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct Process {
    id: u64,
    applied: u64,
    durable: u64,
    through: u64,
    /// True time of the last sign of it.
    heard: Duration,
    /// Generation and applied batch of changes that may not be durable, sorted.
    changes: Vec<(u64, u64)>,
}

/// State of the entry that holds the duty.
///
/// Each change belongs to a generation. [`Ledger::unsaved`] returns the whole state with
/// its generation, and [`Ledger::saved`] tells that it was written: batches and
/// decisions of this and earlier generations are durable from then on.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    era: u64,
    /// Lowest window that is not decided.
    next: Option<u64>,
    /// Sorted by number.
    windows: Vec<Window>,
    /// Sorted by id.
    processes: Vec<Process>,
    /// True time of the last call.
    now: Duration,
    /// True time at which the state was restored.
    since: Duration,
    generation: u64,
    /// Last generation that [`Ledger::unsaved`] returned. The next change begins a new
    /// one.
    taken: Cell<u64>,
    saved: u64,
    /// Generation at the last restoration. Writes up to it concern a state that was
    /// replaced.
    restored: u64,
    /// Whether this process was the last known holder.
    current: bool,
    given_up: Vec<u64>,
    tally: Tally,
}

impl Ledger {
    /// Creates a ledger without counts.
    pub fn new(settings: Settings) -> Self {
        Ledger {
            settings,
            era: 0,
            next: None,
            windows: Vec::new(),
            processes: Vec::new(),
            now: Duration::ZERO,
            since: Duration::ZERO,
            generation: 0,
            taken: Cell::new(0),
            saved: 0,
            restored: 0,
            current: false,
            given_up: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Takes the state of the stored record in the store's `era`, at the true time
    /// `true_now` since the start of 1970. It replaces the own state, whose later
    /// changes were not written; entries send their batches again.
    ///
    /// A record of an older era comes from a backup and may lack decisions. The own
    /// state is kept instead if no other process has held the duty since. Otherwise,
    /// windows that have ended are not reported: they may have been, with other counts.
    pub fn restore(&mut self, stored: Option<Record>, era: u64, true_now: Duration) {
        let stored_era = stored.as_ref().map(|record| record.era);
        let lost = stored_era.is_none_or(|stored| stored < era);
        let idle = true_now.saturating_sub(self.now);
        let known = self.current && stored_era.is_none_or(|stored| stored <= self.era);
        if lost && known && idle < self.settings.give_up() {
            self.keep();
        } else {
            self.replace(stored.unwrap_or_default(), true_now);
            // Without a record in the first era, the deployment is new.
            if lost && (stored_era.is_some() || era > 0) {
                let first = self.settings.window_at(true_now);
                self.skip_to(first);
                self.next = Some(self.next.map_or(first, |next| next.max(first)));
                self.change();
            }
        }
        self.era = era.max(stored_era.unwrap_or(0));
        self.now = true_now;
        self.since = true_now;
        self.current = true;
    }

    /// Begins a generation that is written, after which that of any earlier write is
    /// lower.
    fn begin_lineage(&mut self) {
        self.generation += 1;
        self.taken.set(self.generation);
        self.restored = self.generation;
        self.saved = self.generation;
    }

    /// Returns the generation that a change of the state belongs to.
    fn change(&mut self) -> u64 {
        if self.generation == self.taken.get() {
            self.generation += 1;
        }
        self.generation
    }

    /// Marks the whole state as not written.
    fn keep(&mut self) {
        self.begin_lineage();
        let generation = self.change();
        for window in &mut self.windows {
            window.decided = window.decided.map(|_| generation);
        }
        for process in &mut self.processes {
            process.durable = 0;
            process.changes = vec![(generation, process.applied)];
        }
    }

    fn replace(&mut self, record: Record, true_now: Duration) {
        self.begin_lineage();
        let mut accepted: Vec<u64> = Vec::new();
        for window in &self.windows {
            if window.accepted {
                accepted.push(window.number);
            }
        }
        self.next = record.next;
        let windows = record.windows.into_iter().map(|window| Window {
            number: window.window,
            decided: window.decided.then_some(self.generation),
            // The decision was written before the report was sent, so that both have
            // the same counts.
            accepted: window.decided
                && (window.accepted || accepted.binary_search(&window.window).is_ok()),
            counts: window.counts,
        });
        self.windows = windows.collect();
        self.windows.sort_by_key(|window| window.number);
        self.windows.dedup_by_key(|window| window.number);
        for window in &mut self.windows {
            window.counts.sort_by(|a, b| a.0.cmp(&b.0));
        }
        let processes = record.processes.into_iter().map(|process| Process {
            id: process.process,
            applied: process.applied,
            durable: process.applied,
            through: process.through,
            heard: true_now,
            changes: Vec::new(),
        });
        self.processes = processes.collect();
        self.processes.sort_by_key(|process| process.id);
        self.processes.dedup_by_key(|process| process.id);
    }

    /// Records that another process holds the duty: from now on, the own state does not
    /// cover all decisions.
    pub fn superseded(&mut self) {
        self.current = false;
    }

    /// Records that a process keeps its batches only from the one after `dropped` on;
    /// returns what is known of it.
    pub fn dropped(&mut self, id: u64, dropped: u64) -> Ack {
        let Some(index) = self.process(id) else {
            return Ack::default();
        };
        if self.processes[index].applied < dropped {
            let generation = self.change();
            self.processes[index].advance(generation, dropped);
        }
        self.processes[index].ack()
    }

    /// Applies a batch of the process with the random number `id` if it is the next one
    /// of this process; returns what is known of it. Counts that cannot be added are
    /// left out and counted in the [`Tally`].
    pub fn apply(&mut self, id: u64, batch: &Batch) -> Ack {
        let Some(index) = self.process(id) else {
            return Ack::default();
        };
        if batch.number.checked_sub(1) != Some(self.processes[index].applied) {
            return self.processes[index].ack();
        }
        let latest = self
            .settings
            .window_at(self.now)
            .saturating_add(FUTURE_WINDOWS);
        let mut counts: Vec<_> = batch.counts.iter().collect();
        counts.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let mut previous = None;
        for (window, account, starts) in counts {
            let (window, starts) = (*window, *starts);
            if account.is_empty() || account.len() > MAX_ACCOUNT_BYTES || starts > MAX_STARTS {
                self.tally.malformed += starts.clamp(1, MAX_STARTS);
                continue;
            }
            if previous.replace((window, account)) == Some((window, account)) {
                self.tally.duplicate += starts;
                continue;
            }
            if window > latest {
                self.tally.future += starts;
                continue;
            }
            if self.next.is_some_and(|next| window < next) {
                self.tally.late += starts;
                continue;
            }
            let index = self.window(window);
            add(&mut self.windows[index].counts, account, starts);
        }
        let generation = self.change();
        let process = &mut self.processes[index];
        process.advance(generation, batch.number);
        process.through = process.through.max(batch.through.min(latest));
        process.heard = self.now;
        process.ack()
    }

    /// Returns the index of a process, which is added if it is new; `None` if there are
    /// too many.
    fn process(&mut self, id: u64) -> Option<usize> {
        match self.processes.binary_search_by_key(&id, |known| known.id) {
            Ok(index) => Some(index),
            Err(_) if self.processes.len() >= MAX_PROCESSES => None,
            Err(index) => {
                let new = Process {
                    id,
                    applied: 0,
                    durable: 0,
                    through: 0,
                    heard: self.now,
                    changes: Vec::new(),
                };
                self.processes.insert(index, new);
                Some(index)
            }
        }
    }

    /// Returns the index of a window, which is added if it is new.
    fn window(&mut self, number: u64) -> usize {
        let found = self
            .windows
            .binary_search_by_key(&number, |window| window.number);
        found.unwrap_or_else(|index| {
            let new = Window {
                number,
                decided: None,
                accepted: false,
                counts: Vec::new(),
            };
            self.windows.insert(index, new);
            index
        })
    }

    /// Decides the windows whose counts are complete or whose time is over, in order.
    /// `live` are the processes of the live entries that count, this one included.
    pub fn decide(&mut self, true_now: Duration, live: &[u64]) -> Vec<Decision> {
        self.now = true_now;
        for process in &mut self.processes {
            if live.contains(&process.id) {
                process.heard = true_now;
            }
        }
        let kept = self.settings.give_up() + self.settings.window * 2;
        let remove_time = REMOVE_TIME.max(kept);
        self.processes
            .retain(|process| true_now.saturating_sub(process.heard) < remove_time);
        self.give_up(true_now);
        let taken_over = true_now.saturating_sub(self.since) >= TAKEOVER_TIME;
        let mut decisions = Vec::new();
        let Some(mut next) = self.first(taken_over, live) else {
            return decisions;
        };
        loop {
            let end = self.settings.end(next);
            let ended = next < self.settings.window_at(true_now);
            if !ended || true_now < end + DECIDE_AFTER {
                break;
            }
            let missing = self.missing(next, live);
            let time_over = taken_over && true_now >= end + self.settings.decide_by();
            if missing > 0 && !time_over {
                break;
            }
            let (index, generation) = (self.window(next), self.change());
            let window = &mut self.windows[index];
            window.decided = Some(generation);
            decisions.push(Decision {
                window: next,
                starts: window.counts.iter().map(|count| count.1).sum(),
                accounts: window.counts.len(),
                missing,
                age: true_now.saturating_sub(end),
            });
            next += 1;
        }
        if !decisions.is_empty() {
            self.next = Some(next);
        }
        decisions
    }

    /// Returns the lowest window that is not decided. In a new deployment, this is the
    /// first one with counts.
    fn first(&self, taken_over: bool, live: &[u64]) -> Option<u64> {
        if self.next.is_some() {
            return self.next;
        }
        let applied = |id: &u64| {
            let found = self.processes.binary_search_by_key(id, |known| known.id);
            found.is_ok_and(|index| self.processes[index].applied > 0)
        };
        if !taken_over && !live.iter().all(applied) {
            return None;
        }
        let counted = self.windows.first().map(|window| window.number);
        let current = self.settings.window_at(self.since);
        let first = counted.map_or(current, |counted| counted.min(current));
        // Earlier ones are given up already.
        let kept_from = self
            .settings
            .first_within(self.now, self.settings.give_up());
        Some(first.max(kept_from))
    }

    /// Returns the number of processes that have not reported a window complete.
    fn missing(&self, window: u64, live: &[u64]) -> usize {
        let unknown = live.iter().filter(|id| {
            let found = self.processes.binary_search_by_key(*id, |known| known.id);
            found.is_err()
        });
        let awaited = self.processes.iter().filter(|process| {
            let silent = self.now.saturating_sub(process.heard);
            process.through <= window && silent < AWAIT_TIME
        });
        unknown.count() + awaited.count()
    }

    /// Returns the record to write and its generation, `None` if the stored one is
    /// current.
    pub fn unsaved(&self) -> Option<(u64, Record)> {
        if self.generation == self.saved {
            return None;
        }
        let windows = self.windows.iter().map(|window| record::Window {
            window: window.number,
            decided: window.decided.is_some(),
            accepted: window.accepted,
            counts: window.counts.clone(),
        });
        let processes = self.processes.iter().map(|process| record::Process {
            process: process.id,
            applied: process.applied,
            through: process.through,
        });
        let record = Record {
            era: self.era,
            next: self.next,
            windows: windows.collect(),
            processes: processes.collect(),
        };
        self.taken.set(self.generation);
        Some((self.generation, record))
    }

    /// Records that the record of `generation` was written.
    pub fn saved(&mut self, generation: u64) {
        if generation <= self.restored || generation <= self.saved || generation > self.generation {
            return;
        }
        self.saved = generation;
        for process in &mut self.processes {
            let written = process
                .changes
                .partition_point(|change| change.0 <= generation);
            if let Some(&(_, applied)) = process.changes[..written].last() {
                process.durable = applied;
            }
            process.changes.drain(..written);
        }
    }

    /// Returns the oldest decided window that is saved and not accepted.
    pub fn due(&self) -> Option<Report> {
        let window = self.windows.iter().find(|window| {
            let saved = window.decided.is_some_and(|decided| decided <= self.saved);
            saved && !window.accepted
        })?;
        Some(Report {
            window: window.number,
            counts: window.counts.clone(),
        })
    }

    /// Records that the report of `window` was accepted.
    pub fn accepted(&mut self, window: u64) {
        let found = self
            .windows
            .binary_search_by_key(&window, |window| window.number);
        let Ok(index) = found else { return };
        let window = &mut self.windows[index];
        if window.decided.is_none() || window.accepted {
            return;
        }
        window.accepted = true;
        window.counts = Vec::new();
        self.change();
    }

    /// Gives up the windows whose report was not accepted in time; returns those given
    /// up since the last call, in order, at most 1,000.
    pub fn expire(&mut self, true_now: Duration) -> Vec<u64> {
        self.give_up(true_now);
        std::mem::take(&mut self.given_up)
    }

    fn give_up(&mut self, true_now: Duration) {
        let first = self
            .settings
            .first_within(true_now, self.settings.give_up());
        let next = self.next;
        self.skip_to(first);
        if self.next != next {
            self.change();
        }
    }

    /// Removes the windows before `first`; those without an accepted report are given up.
    fn skip_to(&mut self, first: u64) {
        let removed = self.windows.partition_point(|window| window.number < first);
        let mut given_up = Vec::new();
        for window in self.windows.drain(..removed) {
            // Those that are not decided follow below.
            let listed = self.next.is_none_or(|next| window.number < next);
            if !window.accepted && listed {
                given_up.push(window.number);
            }
        }
        if let Some(next) = self.next
            && next < first
        {
            given_up.extend(next.max(first.saturating_sub(MAX_GIVEN_UP))..first);
            self.next = Some(first);
        }
        self.given_up.extend(given_up);
        let surplus = self.given_up.len().saturating_sub(MAX_GIVEN_UP as usize);
        self.given_up.drain(..surplus);
    }

    /// Returns the starts that were not added since the last call.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }
}

impl Process {
    fn ack(&self) -> Ack {
        Ack {
            received: self.applied,
            durable: self.durable,
        }
    }

    fn advance(&mut self, generation: u64, applied: u64) {
        self.applied = applied;
        if let Some(last) = self.changes.last_mut()
            && last.0 == generation
        {
            last.1 = applied;
            return;
        }
        if self.changes.len() == MAX_GENERATIONS {
            self.changes.remove(0);
        }
        self.changes.push((generation, applied));
    }
}
