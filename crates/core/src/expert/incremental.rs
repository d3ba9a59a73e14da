//! Changes of a map by single slots, where the gain exceeds the cost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Expert, Load, Map, Rank, rank_loads, skew};

/// Smallest useful reduction of the sum of squares, as a share of the square of
/// the largest rank load.
///
/// Smaller ones are rounding differences without an effect on step time.
const MIN_GAIN_SHARE: f64 = 1e-4;

/// Cost model of changes of a map.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Time for which the current load is expected to last.
    pub horizon: Duration,
    /// Share of the step time that scales with the load of the slowest rank.
    pub expert_share: f64,
    /// Weights of one expert in one layer, in bytes.
    pub expert_bytes: u64,
    /// Rate at which the group may fetch weights, in bytes per second.
    pub fetch_rate: u64,
    /// Share by which steps take longer while a slot is being fetched.
    pub fetch_slowdown: f64,
    /// Largest number of slots that one change may load.
    pub max_transfers: usize,
}

impl Rule {
    /// Returns whether changing from `old` to `new` gains more than its transfers
    /// cost.
    pub fn worth(&self, old: &Map, new: &Map, load: &Load) -> bool {
        let gain = self.gain(skew(old, load), skew(new, load));
        gain > self.cost(new.transfers_from(old))
    }

    /// Returns the step time saved over the horizon by a change of the largest rank
    /// load, in seconds.
    fn gain(&self, before: f64, after: f64) -> f64 {
        let share = self.expert_share * (before - after) / before;
        self.horizon.as_secs_f64() * share
    }

    /// Returns the step time that fetching `transfers` slots costs, in seconds.
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
    /// Number of slots to load.
    pub transfers: usize,
    /// Net gain over the horizon, in seconds of step time.
    pub net_gain: f64,
}

/// Changes `map` slot by slot and keeps the prefix of changes with the largest
/// net gain.
///
/// A single change often moves the maximum to another rank with nearly the same
/// load, so that only the next one pays off. Changes are therefore selected by
/// how much they even out all ranks, and the sequence is evaluated as a whole.
///
/// Returns `None` if no prefix gains more than it costs. The work per change
/// grows with the slots of the most loaded rank times all slots of the layer.
pub fn improve(map: &Map, load: &Load, rule: &Rule) -> Option<Change> {
    let peak = max(&rank_loads(map, load));
    let mut current = map.clone();
    let mut best: Option<Change> = None;
    while current.transfers_from(map) < rule.max_transfers {
        let loads = rank_loads(&current, load);
        let Some(change) = best_slot_change(&current, load, &loads) else {
            break;
        };
        change.apply(&mut current);
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

/// Change of one slot, or of one slot on each of two ranks.
#[derive(Clone, Copy, Debug)]
struct SlotChange {
    kind: ChangeKind,
    /// Reduction of the load of the most loaded rank, in tokens.
    peak_drop: f64,
    /// Reduction of the sum of the squares of all rank loads.
    square_drop: f64,
    transfers: usize,
}

#[derive(Clone, Copy, Debug)]
enum ChangeKind {
    /// `rank` drops `dropped`, which other ranks also hold, and loads `expert`.
    Replace {
        rank: Rank,
        dropped: Expert,
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

impl SlotChange {
    /// Compares by the reduction of the peak per slot loaded, then by the reduction
    /// of the sum of squares, which decides while several ranks share the peak.
    fn is_better(&self, other: &SlotChange) -> bool {
        let value = |drop: f64, change: &SlotChange| drop / change.transfers as f64;
        let peak = value(self.peak_drop, self).total_cmp(&value(other.peak_drop, other));
        let square = value(self.square_drop, self).total_cmp(&value(other.square_drop, other));
        peak.then(square).is_gt()
    }

    fn apply(&self, map: &mut Map) {
        match self.kind {
            ChangeKind::Replace {
                rank,
                dropped,
                expert,
            } => {
                map.remove(rank, dropped);
                map.insert(rank, expert);
            }
            ChangeKind::Swap {
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

/// A map with indices for lookups that are made for every pair of slots.
struct View<'a> {
    map: &'a Map,
    load: &'a Load,
    loads: &'a [f64],
    /// Ranks, most loaded first.
    by_load: Vec<Rank>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<Rank>>,
}

impl<'a> View<'a> {
    fn new(map: &'a Map, load: &'a Load, loads: &'a [f64]) -> Self {
        let mut by_load: Vec<Rank> = Rank::all(map.layout()).collect();
        by_load.sort_by(|a, b| loads[b.index()].total_cmp(&loads[a.index()]));
        let mut holders = vec![Vec::new(); map.layout().experts()];
        for rank in Rank::all(map.layout()) {
            for expert in map.experts(rank) {
                holders[expert.index()].push(rank);
            }
        }
        View {
            map,
            load,
            loads,
            by_load,
            holders,
        }
    }

    /// Returns the tokens that each of `replicas` replicas of an expert receives.
    fn share(&self, expert: Expert, replicas: usize) -> f64 {
        self.load.of(expert) / replicas as f64
    }

    /// Returns the largest load among the ranks for which `changed` is false.
    fn max_load_except(&self, changed: impl Fn(Rank) -> bool) -> f64 {
        let mut unchanged = self.by_load.iter().filter(|rank| !changed(**rank));
        unchanged
            .next()
            .map_or(0.0, |rank| self.loads[rank.index()])
    }
}

/// Returns the best change of slots that relieves the most loaded rank.
fn best_slot_change(map: &Map, load: &Load, loads: &[f64]) -> Option<SlotChange> {
    let view = View::new(map, load, loads);
    let hot = *view.by_load.first()?;
    let peak = loads[hot.index()];
    let mut best: Option<SlotChange> = None;
    for &expert in map.experts(hot) {
        for rank in Rank::all(map.layout()) {
            if rank == hot || loads[rank.index()] >= peak {
                continue;
            }
            for &other in map.experts(rank) {
                let pair = Pair {
                    hot,
                    expert,
                    rank,
                    other,
                };
                consider(&mut best, replace(&view, pair));
                consider(&mut best, swap(&view, pair));
            }
        }
    }
    best.filter(|change| change.square_drop > peak * peak * MIN_GAIN_SHARE)
}

/// A pair of slots: one of the most loaded rank, one of another rank.
#[derive(Clone, Copy)]
struct Pair {
    hot: Rank,
    expert: Expert,
    rank: Rank,
    other: Expert,
}

fn consider(best: &mut Option<SlotChange>, change: Option<SlotChange>) {
    let Some(change) = change else {
        return;
    };
    if best.as_ref().is_none_or(|best| change.is_better(best)) {
        *best = Some(change);
    }
}

/// Evaluates replacing a redundant replica on `pair.rank` by a further replica of
/// `pair.expert`, which the most loaded rank holds. The load of every rank that holds either expert changes.
fn replace(view: &View<'_>, pair: Pair) -> Option<SlotChange> {
    let Pair {
        hot,
        expert,
        rank,
        other: dropped,
    } = pair;
    let View { map, loads, .. } = *view;
    if map.replicas(dropped) < 2 || map.holds(rank, expert) || dropped == expert {
        return None;
    }
    let count = map.replicas(expert);
    let dropped_count = map.replicas(dropped);
    let relief = view.share(expert, count) - view.share(expert, count + 1);
    let burden = view.share(dropped, dropped_count - 1) - view.share(dropped, dropped_count);
    let rank_change = view.share(expert, count + 1) - view.share(dropped, dropped_count);
    let peak = loads[hot.index()];
    let mut new_peak = loads[rank.index()] + rank_change;
    let mut square_drop = drop_of_square(loads[rank.index()], rank_change);
    let mut add = |holder: Rank, change: f64| {
        let load = loads[holder.index()];
        new_peak = new_peak.max(load + change);
        square_drop += drop_of_square(load, change);
    };
    for &holder in &view.holders[expert.index()] {
        let burdened = map.holds(holder, dropped);
        add(holder, if burdened { burden - relief } else { -relief });
    }
    for &holder in &view.holders[dropped.index()] {
        if holder != rank && !map.holds(holder, expert) {
            add(holder, burden);
        }
    }
    if new_peak > peak || square_drop <= 0.0 {
        return None;
    }
    let changed =
        |other: Rank| other == rank || map.holds(other, expert) || map.holds(other, dropped);
    Some(SlotChange {
        kind: ChangeKind::Replace {
            rank,
            dropped,
            expert,
        },
        peak_drop: peak - new_peak.max(view.max_load_except(changed)),
        square_drop,
        transfers: 1,
    })
}

/// Evaluates exchanging `pair.expert` of the most loaded rank with `pair.other` of
/// `pair.rank`.
fn swap(view: &View<'_>, pair: Pair) -> Option<SlotChange> {
    let Pair {
        hot,
        expert: given,
        rank: cold,
        other: taken,
    } = pair;
    let View { map, loads, .. } = *view;
    if map.holds(cold, given) || map.holds(hot, taken) {
        return None;
    }
    let share = |expert: Expert| view.share(expert, map.replicas(expert));
    let shift = share(given) - share(taken);
    let square_drop =
        drop_of_square(loads[hot.index()], -shift) + drop_of_square(loads[cold.index()], shift);
    let peak = loads[hot.index()];
    let other_peak = view.max_load_except(|rank| rank == hot || rank == cold);
    let new_peak = other_peak
        .max(peak - shift)
        .max(loads[cold.index()] + shift);
    let kind = ChangeKind::Swap {
        hot,
        given,
        cold,
        taken,
    };
    Some(SlotChange {
        kind,
        peak_drop: peak - new_peak,
        square_drop,
        transfers: 2,
    })
}

/// Returns the reduction of the square of `load` when `change` is added to it.
fn drop_of_square(load: f64, change: f64) -> f64 {
    load * load - (load + change) * (load + change)
}

fn max(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}
