//! Rebalancing after a shift of demand, within the experts that ranks load at once.
//!
//! Load pattern: the experts in demand change in steps, every few seconds, and
//! stay the same between two steps. The map must be adapted within a fraction of
//! that time and with few copies, since passes take longer while ranks copy.
//! Ranks can also become slow: all others wait for the slowest one, so it gets
//! less work. [`Demand`](super::demand::Demand) detects the step.

use super::{Expert, Load, Map, Rank, rank_loads};

/// Smallest useful reduction of a rank's time, relative to the time of balanced
/// ranks.
const MIN_DROP: f64 = 1e-3;

/// Largest number of steps per rank in one change; a shift needs fewer.
const STEPS_PER_RANK: usize = 6;

/// Cost of a step without copies, in copies, so that it can be compared with
/// others by its reduction per copy.
const FREE_COST: f64 = 0.25;

/// Limits of one change of a map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest number of experts that one rank loads.
    pub loads_per_rank: usize,
    /// [`imbalance`] at which no further expert is loaded.
    pub target: f64,
}

/// Returns the time of the slowest rank over that of ranks that share the work in
/// proportion to their speed; 1 when perfectly balanced.
///
/// `time_factors` has the time that each rank takes for a unit of work. A rank of
/// normal speed takes 1, as do ranks beyond the end of the slice.
pub fn imbalance(map: &Map, load: &Load, time_factors: &[f64]) -> f64 {
    let loads = rank_loads(map, load);
    let slowest = loads.iter().enumerate();
    let slowest = slowest.map(|(rank, load)| load * time_factor(time_factors, rank));
    let ideal = ideal(&loads, time_factors);
    if ideal > 0.0 {
        slowest.fold(0.0, f64::max) / ideal
    } else {
        1.0
    }
}

fn time_factor(time_factors: &[f64], rank: usize) -> f64 {
    time_factors.get(rank).copied().unwrap_or(1.0)
}

/// Returns the time that each rank takes if all share the work in proportion to
/// their speed.
fn ideal(loads: &[f64], time_factors: &[f64]) -> f64 {
    let speed: f64 = (0..loads.len())
        .map(|rank| 1.0 / time_factor(time_factors, rank))
        .sum();
    loads.iter().sum::<f64>() / speed
}

/// Changes `map` step by step until the slowest rank reaches the target or no
/// step within the limits relieves any rank above it. `time_factors` is as for
/// [`imbalance`].
///
/// The work for each step grows with the slots of the slowest rank times all
/// slots of the layer.
///
/// ```
/// use berylgw_core::expert::{Layout, Load, rebalance, greedy, skew};
///
/// let layout = Layout::new(4, 8, 3).unwrap();
/// let even = Load::new(vec![1.0; 8]);
/// let map = greedy::place(layout, &even);
/// let shifted = Load::new(vec![8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
/// let limits = rebalance::Limits { loads_per_rank: 2, target: 1.1 };
/// let next = rebalance::rebalance(&map, &shifted, &[], limits);
/// assert!(skew(&next, &shifted) < skew(&map, &shifted));
/// ```
pub fn rebalance(map: &Map, load: &Load, time_factors: &[f64], limits: Limits) -> Map {
    let mut draft = Draft::new(map, load, time_factors);
    // Ranks that no step relieves, for example slow ones with experts for which no
    // other rank has room.
    let mut exhausted = vec![false; draft.loads.len()];
    for _ in 0..STEPS_PER_RANK * draft.loads.len() {
        let Some(hot) = draft.slowest(limits, &exhausted) else {
            break;
        };
        match draft.best_step(hot, limits) {
            Some(step) => draft.apply(step),
            None => exhausted[hot.index()] = true,
        }
    }
    draft.map
}

/// One step that relieves the slowest rank.
#[derive(Clone, Copy, Debug)]
struct Step {
    hot: Rank,
    expert: Expert,
    kind: StepKind,
}

#[derive(Clone, Copy, Debug)]
enum StepKind {
    /// The slowest rank drops its replica; the other holders take its share.
    Drop,
    /// Another rank loads a further replica, in place of `victim` if it is given.
    Copy { to: Rank, victim: Option<Expert> },
    /// The slowest rank and another one exchange an expert each.
    Swap { with: Rank, taken: Expert },
}

/// A map being changed.
struct Draft<'a> {
    map: Map,
    old: &'a Map,
    load: &'a Load,
    loads: Vec<f64>,
    time_factors: &'a [f64],
    /// Time of each rank if perfectly balanced.
    ideal: f64,
    /// Number of experts that each rank loads.
    copies: Vec<usize>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<Rank>>,
}

impl<'a> Draft<'a> {
    fn new(old: &'a Map, load: &'a Load, time_factors: &'a [f64]) -> Self {
        let loads = rank_loads(old, load);
        let mut holders = vec![Vec::new(); old.layout().experts()];
        for rank in Rank::all(old.layout()) {
            for expert in old.experts(rank) {
                holders[expert.index()].push(rank);
            }
        }
        Draft {
            map: old.clone(),
            old,
            load,
            ideal: ideal(&loads, time_factors),
            time_factors,
            copies: vec![0; loads.len()],
            loads,
            holders,
        }
    }

    /// Returns the slowest rank above the target that is not `exhausted`.
    fn slowest(&self, limits: Limits, exhausted: &[bool]) -> Option<Rank> {
        let above =
            |rank: &Rank| !exhausted[rank.index()] && self.time(*rank) > limits.target * self.ideal;
        let ranks = Rank::all(self.map.layout()).filter(above);
        ranks.max_by(|a, b| self.time(*a).total_cmp(&self.time(*b)))
    }

    fn best_step(&self, hot: Rank, limits: Limits) -> Option<Step> {
        let mut best: Option<(f64, Step)> = None;
        let mut consider = |expert, kind, peak: f64, copies: usize| {
            let drop = self.time(hot) - peak;
            if drop <= MIN_DROP * self.ideal {
                return;
            }
            let value = drop / (copies as f64).max(FREE_COST);
            if best.as_ref().is_none_or(|(most, _)| value > *most) {
                best = Some((value, Step { hot, expert, kind }));
            }
        };
        for &expert in self.map.experts(hot) {
            if self.map.replicas(expert) > 1 {
                consider(expert, StepKind::Drop, self.peak_after_drop(hot, expert), 0);
            }
            for to in Rank::all(self.map.layout()) {
                if to == hot || self.map.holds(to, expert) {
                    continue;
                }
                let copies = self.copies_for(to, expert);
                if copies > limits.loads_per_rank {
                    continue;
                }
                let copies = copies - self.copies[to.index()];
                if self.map.has_room(to) {
                    let kind = StepKind::Copy { to, victim: None };
                    consider(expert, kind, self.peak_after_copy(expert, to, None), copies);
                }
                for &other in self.map.experts(to) {
                    if self.map.replicas(other) > 1 {
                        let victim = Some(other);
                        let kind = StepKind::Copy { to, victim };
                        let peak = self.peak_after_copy(expert, to, victim);
                        consider(expert, kind, peak, copies);
                    }
                    let copies_back = self.copies_for(hot, other);
                    if self.map.holds(hot, other) || copies_back > limits.loads_per_rank {
                        continue;
                    }
                    let kind = StepKind::Swap {
                        with: to,
                        taken: other,
                    };
                    let copies = copies + copies_back - self.copies[hot.index()];
                    consider(
                        expert,
                        kind,
                        self.peak_after_swap(hot, expert, to, other),
                        copies,
                    );
                }
            }
        }
        best.map(|(_, step)| step)
    }

    /// Returns the time of a rank.
    fn time(&self, rank: Rank) -> f64 {
        self.time_with(rank, 0.0)
    }

    /// Returns the time of a rank with `more` additional load.
    fn time_with(&self, rank: Rank, more: f64) -> f64 {
        (self.loads[rank.index()] + more) * time_factor(self.time_factors, rank.index())
    }

    /// Returns the load of each of `replicas` replicas of an expert.
    fn share(&self, expert: Expert, replicas: usize) -> f64 {
        self.load.of(expert) / replicas as f64
    }

    /// Returns the number of experts that a rank loads if it also holds `expert`.
    fn copies_for(&self, rank: Rank, expert: Expert) -> usize {
        self.copies[rank.index()] + usize::from(!self.old.holds(rank, expert))
    }

    /// Returns the longest time among the ranks affected by dropping a replica.
    fn peak_after_drop(&self, hot: Rank, expert: Expert) -> f64 {
        let count = self.map.replicas(expert);
        let rise = self.share(expert, count - 1) - self.share(expert, count);
        let others = self.holders[expert.index()].iter();
        let others = others.filter(|rank| **rank != hot);
        let peak = others
            .map(|rank| self.time(*rank) + rise)
            .fold(0.0, f64::max);
        peak.max(self.time(hot) - self.share(expert, count))
    }

    /// Returns the longest time among the ranks affected by a copy.
    fn peak_after_copy(&self, expert: Expert, to: Rank, victim: Option<Expert>) -> f64 {
        let count = self.map.replicas(expert);
        let relief = self.share(expert, count) - self.share(expert, count + 1);
        let mut more = self.share(expert, count + 1);
        let mut peak: f64 = 0.0;
        if let Some(victim) = victim {
            let held = self.map.replicas(victim);
            more -= self.share(victim, held);
            let rise = self.share(victim, held - 1) - self.share(victim, held);
            for &rank in &self.holders[victim.index()] {
                if rank == to {
                    continue;
                }
                let relief = if self.map.holds(rank, expert) {
                    relief
                } else {
                    0.0
                };
                peak = peak.max(self.time_with(rank, rise - relief));
            }
        }
        for &rank in &self.holders[expert.index()] {
            if !victim.is_some_and(|victim| self.map.holds(rank, victim)) {
                peak = peak.max(self.time_with(rank, -relief));
            }
        }
        peak.max(self.time_with(to, more))
    }

    /// Returns the longer time of two ranks after they exchange an expert each.
    fn peak_after_swap(&self, hot: Rank, given: Expert, with: Rank, taken: Expert) -> f64 {
        let given = self.share(given, self.map.replicas(given));
        let taken = self.share(taken, self.map.replicas(taken));
        let shift = given - taken;
        self.time_with(hot, -shift).max(self.time_with(with, shift))
    }

    fn apply(&mut self, step: Step) {
        let Step { hot, expert, kind } = step;
        match kind {
            StepKind::Drop => self.remove(hot, expert),
            StepKind::Copy { to, victim } => {
                if let Some(victim) = victim {
                    self.remove(to, victim);
                }
                self.insert(to, expert);
            }
            StepKind::Swap { with, taken } => {
                self.remove(hot, expert);
                self.remove(with, taken);
                self.insert(hot, taken);
                self.insert(with, expert);
            }
        }
        self.loads = rank_loads(&self.map, self.load);
    }

    fn insert(&mut self, rank: Rank, expert: Expert) {
        self.copies[rank.index()] = self.copies_for(rank, expert);
        self.holders[expert.index()].push(rank);
        self.map.insert(rank, expert);
    }

    fn remove(&mut self, rank: Rank, expert: Expert) {
        let copied = usize::from(!self.old.holds(rank, expert));
        self.copies[rank.index()] -= copied;
        self.holders[expert.index()].retain(|holder| *holder != rank);
        self.map.remove(rank, expert);
    }
}
