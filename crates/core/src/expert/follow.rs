//! Changes of a map after a shift of demand, within what ranks load at once.
//!
//! Load pattern: which experts are in demand changes in steps, every few
//! seconds, and stays the same between two steps. The map has to follow within
//! a fraction of that time, with few copies, since passes are longer while
//! ranks copy. [`Demand`](super::demand::Demand) recognises the step.

use super::{Expert, Load, Map, Rank, rank_loads};

/// Smallest reduction of a rank's load, in units of the mean, that counts.
const MIN_DROP: f64 = 1e-3;

/// Copies that a change without any is taken to cost, so that it can be
/// compared with others by its drop for each copy.
const FREE_COST: f64 = 0.25;

/// What one change of a map may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Experts that one rank may load.
    pub loads_per_rank: usize,
    /// Load of the most loaded rank over the mean at which no further expert is
    /// loaded.
    pub target: f64,
}

/// Changes `map` step by step until the most loaded rank is at the target or
/// nothing within the limits relieves it.
///
/// Work for each step grows with the slots of the most loaded rank times all
/// slots of the layer.
///
/// ```
/// use berylgw_core::expert::{Layout, Load, follow, greedy, skew};
///
/// let layout = Layout::new(4, 8, 3).unwrap();
/// let even = Load::new(vec![1.0; 8]);
/// let map = greedy::place(layout, &even);
/// let shifted = Load::new(vec![8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
/// let limits = follow::Limits { loads_per_rank: 2, target: 1.1 };
/// let next = follow::follow(&map, &shifted, limits);
/// assert!(skew(&next, &shifted) < skew(&map, &shifted));
/// ```
pub fn follow(map: &Map, load: &Load, limits: Limits) -> Map {
    let mut draft = Draft::new(map, load);
    while let Some(step) = draft.best_step(limits) {
        draft.apply(step);
    }
    draft.map
}

/// One change of the most loaded rank's experts.
#[derive(Clone, Copy, Debug)]
struct Step {
    hot: Rank,
    expert: Expert,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// The most loaded rank gives up its replica; the others take its share.
    Drop,
    /// A rank takes a further replica in place of `victim`, if it is full.
    Copy { to: Rank, victim: Option<Expert> },
    /// The most loaded rank and another one exchange an expert each.
    Swap { with: Rank, taken: Expert },
}

/// A map being changed.
struct Draft<'a> {
    map: Map,
    old: &'a Map,
    load: &'a Load,
    /// Load of each rank, and its mean.
    loads: Vec<f64>,
    mean: f64,
    /// Experts that each rank has to load.
    copies: Vec<usize>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<Rank>>,
}

impl<'a> Draft<'a> {
    fn new(old: &'a Map, load: &'a Load) -> Self {
        let loads = rank_loads(old, load);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
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
            mean,
            copies: vec![0; loads.len()],
            loads,
            holders,
        }
    }

    fn best_step(&self, limits: Limits) -> Option<Step> {
        let ranks = Rank::all(self.map.layout());
        let hot = ranks.max_by(|a, b| self.of(*a).total_cmp(&self.of(*b)))?;
        if self.of(hot) <= limits.target * self.mean {
            return None;
        }
        let mut best: Option<(f64, Step)> = None;
        let mut consider = |expert, kind, peak: f64, copies: usize| {
            let drop = self.of(hot) - peak;
            if drop <= MIN_DROP * self.mean {
                return;
            }
            let value = drop / (copies as f64).max(FREE_COST);
            if best.as_ref().is_none_or(|(most, _)| value > *most) {
                best = Some((value, Step { hot, expert, kind }));
            }
        };
        for &expert in self.map.experts(hot) {
            if self.map.replicas(expert) > 1 {
                consider(expert, Kind::Drop, self.peak_after_drop(hot, expert), 0);
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
                    let kind = Kind::Copy { to, victim: None };
                    consider(expert, kind, self.peak_after_copy(expert, to, None), copies);
                }
                for &other in self.map.experts(to) {
                    if self.map.replicas(other) > 1 {
                        let victim = Some(other);
                        let kind = Kind::Copy { to, victim };
                        let peak = self.peak_after_copy(expert, to, victim);
                        consider(expert, kind, peak, copies);
                    }
                    let back = self.copies_for(hot, other);
                    if self.map.holds(hot, other) || back > limits.loads_per_rank {
                        continue;
                    }
                    let kind = Kind::Swap {
                        with: to,
                        taken: other,
                    };
                    let copies = copies + back - self.copies[hot.index()];
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

    fn of(&self, rank: Rank) -> f64 {
        self.loads[rank.index()]
    }

    /// Load of each of `replicas` replicas of an expert.
    fn share(&self, expert: Expert, replicas: usize) -> f64 {
        self.load.of(expert) / replicas as f64
    }

    /// Experts that a rank has to load once it also holds `expert`.
    fn copies_for(&self, rank: Rank, expert: Expert) -> usize {
        self.copies[rank.index()] + usize::from(!self.old.holds(rank, expert))
    }

    /// Largest load among the ranks that dropping a replica changes.
    fn peak_after_drop(&self, hot: Rank, expert: Expert) -> f64 {
        let count = self.map.replicas(expert);
        let rise = self.share(expert, count - 1) - self.share(expert, count);
        let others = self.holders[expert.index()].iter();
        let others = others.filter(|rank| **rank != hot);
        let peak = others.map(|rank| self.of(*rank) + rise).fold(0.0, f64::max);
        peak.max(self.of(hot) - self.share(expert, count))
    }

    /// Largest load among the ranks that a copy changes.
    fn peak_after_copy(&self, expert: Expert, to: Rank, victim: Option<Expert>) -> f64 {
        let count = self.map.replicas(expert);
        let relief = self.share(expert, count) - self.share(expert, count + 1);
        let mut target = self.of(to) + self.share(expert, count + 1);
        let mut peak: f64 = 0.0;
        if let Some(victim) = victim {
            let held = self.map.replicas(victim);
            target -= self.share(victim, held);
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
                peak = peak.max(self.of(rank) + rise - relief);
            }
        }
        for &rank in &self.holders[expert.index()] {
            if !victim.is_some_and(|victim| self.map.holds(rank, victim)) {
                peak = peak.max(self.of(rank) - relief);
            }
        }
        peak.max(target)
    }

    /// Larger load of two ranks after they exchange an expert each.
    fn peak_after_swap(&self, hot: Rank, given: Expert, with: Rank, taken: Expert) -> f64 {
        let given = self.share(given, self.map.replicas(given));
        let taken = self.share(taken, self.map.replicas(taken));
        let shift = given - taken;
        (self.of(hot) - shift).max(self.of(with) + shift)
    }

    fn apply(&mut self, step: Step) {
        let Step { hot, expert, kind } = step;
        match kind {
            Kind::Drop => self.remove(hot, expert),
            Kind::Copy { to, victim } => {
                if let Some(victim) = victim {
                    self.remove(to, victim);
                }
                self.insert(to, expert);
            }
            Kind::Swap { with, taken } => {
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
