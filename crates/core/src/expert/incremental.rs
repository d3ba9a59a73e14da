//! Changes of a map by single slots, where the gain exceeds the cost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Expert, Load, Map, Rank, rank_loads, skew};

/// Smallest reduction of the sum of squares, as a share of the square of the
/// largest rank load, that counts.
///
/// Below it, moves chase rounding differences without an effect on step time.
const MIN_GAIN_SHARE: f64 = 1e-4;

/// What a change of a map is worth and what it costs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Time for which the present load is expected to last.
    pub horizon: Duration,
    /// Share of a step that scales with the load of the slowest rank.
    pub expert_share: f64,
    /// Weights of one expert in one layer, in bytes.
    pub expert_bytes: u64,
    /// Rate at which the group may fetch weights, in bytes per second.
    pub fetch_rate: u64,
    /// Share by which steps are slower while a slot is being fetched.
    pub fetch_slowdown: f64,
    /// Largest number of slots that one change may load.
    pub max_transfers: usize,
}

impl Rule {
    /// Whether going from `old` to `new` gains more than its transfers cost.
    pub fn worth(&self, old: &Map, new: &Map, load: &Load) -> bool {
        let gain = self.gain(skew(old, load), skew(new, load));
        gain > self.cost(new.transfers_from(old))
    }

    /// Step time that a change of the largest rank load saves over the horizon,
    /// in seconds.
    fn gain(&self, before: f64, after: f64) -> f64 {
        let share = self.expert_share * (before - after) / before;
        self.horizon.as_secs_f64() * share
    }

    /// Step time that fetching `transfers` slots costs, in seconds.
    fn cost(&self, transfers: usize) -> f64 {
        let bytes = transfers as f64 * self.expert_bytes as f64;
        bytes / self.fetch_rate as f64 * self.fetch_slowdown
    }
}

/// A change of a map that is worth its cost.
#[derive(Clone, Debug)]
pub struct Change {
    /// The new map.
    pub map: Map,
    /// Slots that have to be loaded.
    pub transfers: usize,
    /// Net gain over the horizon, in seconds of step time.
    pub net_gain: f64,
}

/// Changes `map` slot by slot and keeps the prefix of changes with the largest
/// net gain.
///
/// A single change often moves the maximum to another rank that was nearly as
/// loaded, and only the next one pays off. Changes are therefore chosen by how
/// much they even out all ranks, and judged together.
///
/// Returns `None` if no prefix gains more than it costs. Work per change grows
/// with the slots of the most loaded rank times all slots of the layer.
pub fn improve(map: &Map, load: &Load, rule: &Rule) -> Option<Change> {
    let peak = max(&rank_loads(map, load));
    let mut current = map.clone();
    let mut best: Option<Change> = None;
    while current.transfers_from(map) < rule.max_transfers {
        let loads = rank_loads(&current, load);
        let Some(step) = best_step(&current, load, &loads) else {
            break;
        };
        step.apply(&mut current);
        let transfers = current.transfers_from(map);
        let gain = rule.gain(peak, max(&rank_loads(&current, load)));
        let net_gain = gain - rule.cost(transfers);
        if net_gain > best.as_ref().map_or(0.0, |change| change.net_gain) {
            best = Some(Change {
                map: current.clone(),
                transfers,
                net_gain,
            });
        }
    }
    best
}

/// One change of a slot.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: StepKind,
    /// Reduction of the load of the most loaded rank, in tokens.
    peak_drop: f64,
    /// Reduction of the sum of the squares of all rank loads.
    square_drop: f64,
    transfers: usize,
}

#[derive(Clone, Copy, Debug)]
enum StepKind {
    /// `rank` gives up `victim`, which others hold too, and loads `expert`.
    Replace {
        rank: Rank,
        victim: Expert,
        expert: Expert,
    },
    /// Two ranks exchange one expert each.
    Swap {
        hot: Rank,
        given: Expert,
        cold: Rank,
        taken: Expert,
    },
}

impl Step {
    /// Compares by the drop of the peak for each slot loaded, then by how much
    /// the step evens out all ranks, which decides between ranks that are
    /// equally loaded.
    fn is_better(&self, other: &Step) -> bool {
        let value = |drop: f64, step: &Step| drop / step.transfers as f64;
        let peak = value(self.peak_drop, self).total_cmp(&value(other.peak_drop, other));
        let square = value(self.square_drop, self).total_cmp(&value(other.square_drop, other));
        peak.then(square).is_gt()
    }

    fn apply(&self, map: &mut Map) {
        match self.kind {
            StepKind::Replace {
                rank,
                victim,
                expert,
            } => {
                map.remove(rank, victim);
                map.insert(rank, expert);
            }
            StepKind::Swap {
                hot,
                given,
                cold,
                taken,
            } => {
                map.remove(hot, given);
                map.remove(cold, taken);
                map.insert(hot, taken);
                map.insert(cold, given);
            }
        }
    }
}

/// The change that evens out the rank loads most, per slot loaded.
fn best_step(map: &Map, load: &Load, loads: &[f64]) -> Option<Step> {
    let hot = hottest(map, loads)?;
    let peak = loads[hot.index()];
    let mut best: Option<Step> = None;
    for &expert in map.experts(hot) {
        for rank in Rank::all(map.layout()) {
            if rank == hot || loads[rank.index()] >= peak {
                continue;
            }
            for &other in map.experts(rank) {
                let slot = Slot {
                    hot,
                    expert,
                    rank,
                    other,
                };
                consider(&mut best, replace(map, load, loads, slot));
                consider(&mut best, swap(map, load, loads, slot));
            }
        }
    }
    best.filter(|step| step.square_drop > peak * peak * MIN_GAIN_SHARE)
}

/// A pair of slots: one of the most loaded rank, one of another rank.
#[derive(Clone, Copy)]
struct Slot {
    hot: Rank,
    expert: Expert,
    rank: Rank,
    other: Expert,
}

fn consider(best: &mut Option<Step>, step: Option<Step>) {
    let Some(step) = step else {
        return;
    };
    if best.as_ref().is_none_or(|best| step.is_better(best)) {
        *best = Some(step);
    }
}

/// Replaces a redundant replica on `slot.rank` by a further replica of the hot
/// expert. Every rank that holds either expert changes its load.
fn replace(map: &Map, load: &Load, loads: &[f64], slot: Slot) -> Option<Step> {
    let Slot {
        hot,
        expert,
        rank,
        other: victim,
    } = slot;
    if map.replicas(victim) < 2 || map.holds(rank, expert) || victim == expert {
        return None;
    }
    let share = |expert: Expert, replicas: usize| load.of(expert) / replicas as f64;
    let count = map.replicas(expert);
    let victim_count = map.replicas(victim);
    let relief = share(expert, count) - share(expert, count + 1);
    let burden = share(victim, victim_count - 1) - share(victim, victim_count);
    let own = share(expert, count + 1) - share(victim, victim_count);
    let peak = loads[hot.index()];
    let mut new_peak = loads[rank.index()] + own;
    let mut square_drop = drop_of_square(loads[rank.index()], own);
    for holder in Rank::all(map.layout()) {
        if holder == rank {
            continue;
        }
        let relieved = if map.holds(holder, expert) {
            relief
        } else {
            0.0
        };
        let burdened = if map.holds(holder, victim) {
            burden
        } else {
            0.0
        };
        let change = burdened - relieved;
        new_peak = new_peak.max(loads[holder.index()] + change);
        if new_peak > peak {
            return None;
        }
        square_drop += drop_of_square(loads[holder.index()], change);
    }
    let kind = StepKind::Replace {
        rank,
        victim,
        expert,
    };
    let step = Step {
        kind,
        peak_drop: peak - new_peak,
        square_drop,
        transfers: 1,
    };
    (square_drop > 0.0).then_some(step)
}

/// Exchanges the hot expert with a lighter one of `slot.rank`.
fn swap(map: &Map, load: &Load, loads: &[f64], slot: Slot) -> Option<Step> {
    let Slot {
        hot,
        expert: given,
        rank: cold,
        other: taken,
    } = slot;
    if map.holds(cold, given) || map.holds(hot, taken) {
        return None;
    }
    let shift =
        load.of(given) / map.replicas(given) as f64 - load.of(taken) / map.replicas(taken) as f64;
    let square_drop =
        drop_of_square(loads[hot.index()], -shift) + drop_of_square(loads[cold.index()], shift);
    let peak = loads[hot.index()];
    let others = Rank::all(map.layout()).filter(|&rank| rank != hot && rank != cold);
    let rest = others.map(|rank| loads[rank.index()]).fold(0.0, f64::max);
    let new_peak = rest.max(peak - shift).max(loads[cold.index()] + shift);
    let kind = StepKind::Swap {
        hot,
        given,
        cold,
        taken,
    };
    Some(Step {
        kind,
        peak_drop: peak - new_peak,
        square_drop,
        transfers: 2,
    })
}

/// Reduction of the square of `load` when `change` is added to it.
fn drop_of_square(load: f64, change: f64) -> f64 {
    load * load - (load + change) * (load + change)
}

fn hottest(map: &Map, loads: &[f64]) -> Option<Rank> {
    Rank::all(map.layout()).max_by(|a, b| loads[a.index()].total_cmp(&loads[b.index()]))
}

fn max(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}
