//! The state of a rank group and its step loop.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::watch;

use super::demand::Experts;
use super::job::{Job, Progress};
use super::rank::Rank;
use super::{Fault, Settings, Steps};
use crate::serve::Gate;

/// Pause before a step that waits for a map looks again.
const MAP_PAUSE: Duration = Duration::from_millis(1);

/// Time after which the engine gives up a step that waits for a map.
const GIVE_UP: Duration = Duration::from_millis(200);

/// A fake rank group; clones share their state.
#[derive(Clone, Debug)]
pub struct Engine {
    group: Arc<Mutex<Group>>,
    gates: Arc<Vec<Gate>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
pub(super) struct Group {
    pub settings: Settings,
    pub ranks: Vec<Rank>,
    /// Map version that the first rank stamps on each step.
    pub active_map: u64,
    /// Map on the step in progress, and when it began.
    step: Option<(u64, Instant)>,
    /// Map on the newest step that has begun.
    pub begun: u64,
    pub experts: Option<Experts>,
    pub steps: Steps,
    pub started: Instant,
    requests: u64,
}

/// A request as it arrives at a rank.
#[derive(Debug)]
pub(super) struct Arrival {
    pub request_id: Option<String>,
    pub response_id: Option<String>,
    pub context: String,
    pub prompt: String,
    pub priority: i64,
    pub resume_from: usize,
    pub max_tokens: usize,
}

impl Engine {
    /// A group at its first step, which [`run_steps`] has to advance.
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let ranks = (0..settings.ranks).map(|index| Rank::new(index, &settings, now));
        let group = Group {
            ranks: ranks.collect(),
            active_map: 0,
            step: None,
            begun: 0,
            experts: Experts::new(&settings),
            steps: Steps::default(),
            started: now,
            requests: 0,
            settings,
        };
        Engine {
            gates: Arc::new(group.ranks.iter().map(|_| Gate::new()).collect()),
            group: Arc::new(Mutex::new(group)),
            changed: watch::Sender::new(0),
        }
    }

    /// Gate of the listener of a rank.
    pub fn gate(&self, rank: usize) -> Gate {
        self.gates[rank].clone()
    }

    pub(super) fn group(&self) -> MutexGuard<'_, Group> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a request to a rank; returns its response id and its progress, which ends
    /// at once if the rank is down.
    pub(super) fn arrive(
        &self,
        rank: usize,
        arrival: Arrival,
    ) -> (String, UnboundedReceiver<Progress>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut group = self.group();
        let group = &mut *group;
        group.requests += 1;
        let request_id = arrival
            .request_id
            .unwrap_or_else(|| format!("{rank}-{}", group.requests));
        let response_id = arrival.response_id.unwrap_or_else(|| request_id.clone());
        let settings = &group.settings;
        let target = &mut group.ranks[rank];
        // A connection that is just being served as the rank goes down still hands over
        // its request. A crashed process takes none.
        if target.down {
            return (response_id, receiver);
        }
        let missed = target.cache.store(&arrival.context, settings);
        let job = Job {
            request_id,
            prompt: arrival.prompt,
            priority: arrival.priority,
            prefill_steps: (settings.prefill_steps as f64 * missed).ceil() as usize,
            next: arrival.resume_from,
            end: arrival.max_tokens,
            progress: sender,
        };
        let stands = target.take(job, response_id.clone(), settings);
        if !stands {
            self.fall_over(group, rank);
        }
        (response_id, receiver)
    }

    /// Breaks the rank's connections and refuses new ones for the restart time.
    fn fall_over(&self, group: &mut Group, rank: usize) {
        if group.ranks[rank].down {
            return;
        }
        self.gates[rank].close();
        group.ranks[rank].fall_over(&group.settings);
        group.step = None;
        if rank == 0 {
            group.active_map = 0;
            group.begun = 0;
        }
        tracing::warn!(rank, "rank fell over");
        let engine = self.clone();
        let restart = group.settings.restart;
        tokio::spawn(async move {
            tokio::time::sleep(restart).await;
            engine.group().ranks[rank].down = false;
            engine.gates[rank].open();
            engine.wake();
        });
    }

    /// Applies a change of faults.
    ///
    /// # Errors
    ///
    /// Fails if the group has no such rank.
    pub(super) fn fault(&self, fault: &Fault) -> Result<(), String> {
        {
            let mut group = self.group();
            let count = group.ranks.len();
            let Some(rank) = group.ranks.get_mut(fault.rank) else {
                return Err(format!("rank {} of {count} does not exist", fault.rank));
            };
            rank.stalled = fault.stall.unwrap_or(rank.stalled);
            rank.slow_factor = fault.slow_factor.unwrap_or(rank.slow_factor);
            if let Some(cold) = fault.cold {
                rank.turn(cold);
                rank.notice_steps = fault.notice_steps;
            }
            if fault.crash {
                self.fall_over(&mut group, fault.rank);
            }
        }
        self.wake();
        Ok(())
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Advances all ranks in lock-step until the process ends.
pub async fn run_steps(engine: Engine) {
    let mut changed = engine.changed.subscribe();
    loop {
        let time = engine.group().step_time();
        tokio::time::sleep(time).await;
        changed.mark_unchanged();
        if engine.group().try_step(Instant::now()) {
            continue;
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = tokio::time::sleep(MAP_PAUSE) => {}
        }
    }
}

impl Group {
    /// Time of the next step: the slowest rank decides.
    fn step_time(&mut self) -> Duration {
        let balance = self.experts.as_ref();
        let balance = balance.map(|experts| experts.balance(self.active_map));
        for (index, rank) in self.ranks.iter_mut().enumerate() {
            let load = balance.as_ref().map_or(1.0, |balance| balance.ranks[index]);
            let share = self.settings.expert_share;
            let needed = rank.needed_time(&self.settings);
            rank.step_time = needed.mul_f64(1.0 - share + share * load);
        }
        let times = self.ranks.iter().map(|rank| rank.step_time);
        times.max().unwrap_or(self.settings.step)
    }

    /// Takes a step unless a rank cannot take part.
    ///
    /// The stamp stays as it was when the step began, also while it waits.
    fn try_step(&mut self, now: Instant) -> bool {
        let absent = |rank: &Rank| rank.down || rank.stalled;
        if absent(&self.ranks[0]) {
            self.steps.waits += 1;
            return false;
        }
        let (stamp, begun_at) = *self.step.get_or_insert((self.active_map, now));
        self.begun = stamp;
        let checked = !self.settings.unchecked_maps;
        let lacks = |rank: &Rank| checked && !rank.has_map(stamp, now);
        if self.ranks.iter().any(|rank| absent(rank) || lacks(rank)) {
            self.steps.waits += 1;
            if now.duration_since(begun_at) > GIVE_UP && self.ranks.iter().any(lacks) {
                self.steps.given_up += 1;
                self.step = None;
            }
            return false;
        }
        let used = |rank: &Rank| {
            if rank.has_map(stamp, now) {
                stamp
            } else {
                rank.newest_map(now)
            }
        };
        let mixed = self.ranks.iter().any(|rank| used(rank) != stamp);
        self.steps.mixed += u64::from(mixed);
        self.count(stamp);
        for rank in &mut self.ranks {
            rank.step(&self.settings);
            rank.sample(&self.settings, self.started, now);
        }
        true
    }

    /// Counts a step that all ranks took.
    fn count(&mut self, stamp: u64) {
        self.step = None;
        let steps = &mut self.steps;
        steps.steps += 1;
        let times = self.ranks.iter().map(|rank| rank.step_time);
        steps.time_us += times.max().unwrap_or_default().as_micros() as u64;
        let Some(experts) = &mut self.experts else {
            return;
        };
        steps.skew_milli += (experts.balance(stamp).skew * 1_000.0) as u64;
        steps.expert_tokens.resize(experts.tokens().count(), 0);
        for (total, tokens) in steps.expert_tokens.iter_mut().zip(experts.tokens()) {
            *total += tokens;
        }
        experts.advance();
    }

    /// Makes the first rank stamp steps with a map; `false` if it cannot.
    pub fn stamp(&mut self, rank: usize, map: u64, now: Instant) -> bool {
        if rank != 0 || !self.ranks[0].has_map(map, now) || map < self.active_map {
            return false;
        }
        if map != self.active_map {
            self.steps.switches += 1;
            let experts = self.experts.as_ref();
            let transfers = experts.map(|experts| experts.transfers(self.active_map, map));
            self.steps.transfers += transfers.unwrap_or(0);
        }
        self.active_map = map;
        true
    }

    /// Frees the memory of a map; `false` if it is in use.
    pub fn unload(&mut self, rank: usize, map: u64) -> bool {
        let stamped = rank == 0 && self.active_map == map;
        let in_step = self.step.is_some_and(|(stamp, _)| stamp == map);
        if stamped || in_step {
            return false;
        }
        self.ranks[rank].maps.remove(&map);
        true
    }

    pub fn steps(&self) -> Steps {
        let times = self
            .ranks
            .iter()
            .map(|rank| rank.step_time.as_micros() as u64);
        Steps {
            rank_us: times.collect(),
            ..self.steps.clone()
        }
    }
}
