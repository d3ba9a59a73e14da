//! The state of a rank group and its step loop.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::watch;

use super::job::{Job, Progress};
use super::rank::Rank;
use super::{Fault, Settings, Steps};
use crate::serve::Gate;

/// Pause before a step that waits for a map looks again.
const MAP_PAUSE: Duration = Duration::from_millis(1);

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

    /// Gives a request to a rank; returns its response id and its progress.
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
        for rank in &mut self.ranks {
            rank.step_time = rank.needed_time(&self.settings);
        }
        let times = self.ranks.iter().map(|rank| rank.step_time);
        times.max().unwrap_or(self.settings.step)
    }

    /// Takes a step unless a rank cannot take part.
    fn try_step(&mut self, now: Instant) -> bool {
        let stamp = self.active_map;
        let checked = !self.settings.unchecked_maps;
        let absent =
            |rank: &Rank| rank.down || rank.stalled || (checked && !rank.has_map(stamp, now));
        if self.ranks.iter().any(absent) {
            self.steps.waits += 1;
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
        self.steps.steps += 1;
        for rank in &mut self.ranks {
            rank.step(&self.settings);
            rank.sample(&self.settings, self.started, now);
        }
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
