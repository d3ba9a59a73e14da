//! Changes of a map by single slots, where the gain exceeds the cost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Expert, Load, Map, Rank, rank_loads, skew};

/// Smallest reduction of the maximum, as a share of it, that counts as a gain.
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

/// Changes `map` slot by slot while each change gains more than it costs.
///
/// Returns `None` if no change is worth its cost. Work per change grows with
/// the slots of the most loaded rank times all slots of the layer.
pub fn improve(map: &Map, load: &Load, rule: &Rule) -> Option<Change> {
    let mut current = map.clone();
    let mut transfers = 0;
    let mut net_gain = 0.0;
    while transfers < rule.max_transfers {
        let loads = rank_loads(&current, load);
        let Some(step) = best_step(&current, load, &loads) else {
            break;
        };
        let before = max(&loads);
        let gain = rule.gain(before, before - step.reduction) - rule.cost(step.transfers);
        if gain <= 0.0 {
            break;
        }
        step.apply(&mut current);
        transfers += step.transfers;
        net_gain += gain;
    }
    let transfers = current.transfers_from(map);
    (transfers > 0).then_some(Change {
        map: current,
        transfers,
        net_gain,
    })
}

/// One change of a slot.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: StepKind,
    /// Reduction of the load of the most loaded rank, in tokens.
    reduction: f64,
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

/// The change that reduces the largest rank load most, per slot loaded.
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
    best.filter(|step| step.reduction > peak * MIN_GAIN_SHARE)
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
    let value = |step: &Step| step.reduction / step.transfers as f64;
    if best.as_ref().is_none_or(|best| value(&step) > value(best)) {
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
    let before = load.of(expert) / map.replicas(expert) as f64;
    let after = load.of(expert) / (map.replicas(expert) + 1) as f64;
    let victim_before = load.of(victim) / map.replicas(victim) as f64;
    let victim_after = load.of(victim) / (map.replicas(victim) - 1) as f64;
    let mut new_peak = loads[rank.index()] - victim_before + after;
    for holder in Rank::all(map.layout()) {
        if holder == rank {
            continue;
        }
        let mut value = loads[holder.index()];
        if map.holds(holder, expert) {
            value += after - before;
        }
        if map.holds(holder, victim) {
            value += victim_after - victim_before;
        }
        new_peak = new_peak.max(value);
        if new_peak >= loads[hot.index()] {
            return None;
        }
    }
    let reduction = loads[hot.index()] - new_peak;
    let kind = StepKind::Replace {
        rank,
        victim,
        expert,
    };
    Some(Step {
        kind,
        reduction,
        transfers: 1,
    })
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
    let pair = (loads[hot.index()] - shift).max(loads[cold.index()] + shift);
    let peak = loads[hot.index()];
    if pair >= peak {
        return None;
    }
    let others = Rank::all(map.layout()).filter(|&rank| rank != hot && rank != cold);
    let rest = others.map(|rank| loads[rank.index()]).fold(0.0, f64::max);
    let reduction = peak - pair.max(rest);
    let kind = StepKind::Swap {
        hot,
        given,
        cold,
        taken,
    };
    (reduction > 0.0).then_some(Step {
        kind,
        reduction,
        transfers: 2,
    })
}

fn hottest(map: &Map, loads: &[f64]) -> Option<Rank> {
    Rank::all(map.layout()).max_by(|a, b| loads[a.index()].total_cmp(&loads[b.index()]))
}

fn max(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}
