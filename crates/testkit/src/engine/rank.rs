//! One rank of a group.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::cache::Cache;
use super::job::{Job, Step};
use super::order::Orders;
use super::{Execution, Load, Settings, Stats};

#[derive(Debug)]
pub(super) struct Rank {
    pub jobs: Vec<Job>,
    pub cache: Cache,
    pub orders: Orders,
    pub down: bool,
    pub stalled: bool,
    pub slow_factor: f64,
    pub cold: bool,
    /// Steps with a token for a caller until the cold limit applies.
    pub notice_steps: u64,
    /// Requests completed since the rank turned cold.
    warmed: u64,
    /// Differs after each start.
    pub incarnation: u64,
    /// Loaded expert maps with the time at which they are ready.
    pub maps: BTreeMap<u64, Instant>,
    pub step_time: Duration,
    loads: VecDeque<(Instant, Load)>,
    pub stats: Stats,
    executions: BTreeMap<String, u64>,
}

impl Rank {
    pub fn new(index: usize, settings: &Settings, now: Instant) -> Self {
        Rank {
            jobs: Vec::new(),
            cache: Cache::new(settings.seed.wrapping_add(index as u64)),
            orders: Orders::default(),
            down: false,
            stalled: false,
            slow_factor: 1.0,
            cold: settings.cold,
            notice_steps: 0,
            warmed: 0,
            incarnation: 1,
            maps: BTreeMap::from([(0, now)]),
            step_time: settings.step,
            loads: VecDeque::new(),
            stats: Stats::default(),
            executions: BTreeMap::new(),
        }
    }

    /// Takes a job and returns whether the rank can still stand.
    pub fn take(&mut self, job: Job, response_id: String, settings: &Settings) -> bool {
        *self.executions.entry(response_id).or_default() += 1;
        let poisoned = job.prompt.contains(&settings.crash_marker);
        self.jobs.push(job);
        let held = self.jobs.len();
        self.stats.highest_in_flight = self.stats.highest_in_flight.max(held);
        let overfilled = held > self.limit(settings);
        self.stats.overfilled += u64::from(overfilled);
        !overfilled && !poisoned
    }

    fn limit(&self, settings: &Settings) -> usize {
        if self.cold && self.notice_steps == 0 {
            settings.cold_capacity
        } else {
            settings.capacity
        }
    }

    pub fn turn(&mut self, cold: bool) {
        self.cold = cold;
        self.notice_steps = 0;
        self.warmed = 0;
    }

    /// Drops all work, as a crash does.
    pub fn fall_over(&mut self, settings: &Settings) {
        self.jobs.clear();
        self.orders = Orders::default();
        self.incarnation += 1;
        self.maps = BTreeMap::from([(0, Instant::now())]);
        self.cache.clear(settings);
        self.turn(true);
        self.down = true;
        self.stats.crashes += 1;
    }

    pub fn cancel(&mut self, request_id: &str) -> bool {
        let before = self.jobs.len();
        self.jobs.retain(|job| job.request_id != request_id);
        let cancelled = before - self.jobs.len();
        self.stats.cancelled += cancelled as u64;
        cancelled > 0
    }

    /// Time that the rank needs for a step.
    pub fn needed_time(&self, settings: &Settings) -> Duration {
        let cold_factor = if self.cold { settings.cold_factor } else { 1.0 };
        settings
            .step
            .mul_f64((self.slow_factor * cold_factor).max(0.0))
    }

    pub fn has_map(&self, version: u64, now: Instant) -> bool {
        self.maps.get(&version).is_some_and(|ready| *ready <= now)
    }

    /// Newest map that is ready.
    pub fn newest_map(&self, now: Instant) -> u64 {
        let mut ready = self.maps.iter().rev().filter(|(_, at)| **at <= now);
        ready.next().map_or(0, |(version, _)| *version)
    }

    /// One token for each running job; prompts advance by one step of prefill.
    pub fn step(&mut self, settings: &Settings) {
        let seen = self.jobs.iter().any(Job::is_seen);
        self.notice_steps = self.notice_steps.saturating_sub(u64::from(seen));
        self.jobs.sort_by_key(|job| std::cmp::Reverse(job.priority));
        let mut kept = Vec::with_capacity(self.jobs.len());
        for mut job in std::mem::take(&mut self.jobs) {
            if !job.prefill() {
                kept.push(job);
                continue;
            }
            match job.step(settings.run_abandoned) {
                Step::Running => kept.push(job),
                Step::Completed => self.complete(settings),
                Step::Abandoned => self.stats.abandoned += 1,
            }
        }
        self.jobs = kept;
    }

    fn complete(&mut self, settings: &Settings) {
        self.stats.completed += 1;
        self.warmed += 1;
        if self.warmed >= settings.warm_after {
            self.cold = false;
        }
    }

    /// Records the load for lagging reports.
    pub fn sample(&mut self, settings: &Settings, started: Instant, now: Instant) {
        let waiting = self.jobs.iter().filter(|job| job.prefill_steps > 0);
        let queued = waiting.count();
        let load = Load {
            in_flight: self.jobs.len() - queued,
            queued,
            capacity: settings.capacity,
            cold: self.cold,
            as_of_ms: now.duration_since(started).as_millis() as u64,
        };
        self.loads.push_back((now, load));
        while self.loads.len() > 1 && self.loads[1].0 + settings.load_lag <= now {
            self.loads.pop_front();
        }
    }

    pub fn load(&self, settings: &Settings, now: Instant) -> Load {
        let old = |(at, _): &&(Instant, Load)| *at + settings.load_lag <= now;
        let past = self.loads.iter().rev().find(old);
        let first = Load {
            capacity: settings.capacity,
            cold: settings.cold,
            ..Load::default()
        };
        past.map_or(first, |(_, load)| *load)
    }

    pub fn stats(&self) -> Stats {
        let execution = |(response_id, count): (&String, &u64)| Execution {
            response_id: response_id.clone(),
            count: *count,
        };
        Stats {
            executions: self.executions.iter().map(execution).collect(),
            cached_blocks: self.cache.counts.0,
            prompt_blocks: self.cache.counts.1,
            ..self.stats.clone()
        }
    }
}
