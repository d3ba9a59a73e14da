//! Placement of the experts of a layer on ranks, and the resulting rank loads.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use super::Layout;
use crate::error::{Error, Kind, Result};

/// Index of an expert in a layer.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Expert(u16);

impl Expert {
    /// The index as a position in an array.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Iterates over the experts of a layout.
    pub fn all(layout: Layout) -> impl Iterator<Item = Expert> {
        (0..layout.experts() as u16).map(Expert)
    }
}

/// Index of a rank in a group.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u16);

impl Rank {
    /// The index as a position in an array.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Iterates over the ranks of a layout.
    pub fn all(layout: Layout) -> impl Iterator<Item = Rank> {
        (0..layout.ranks() as u16).map(Rank)
    }
}

/// Work that each expert of a layer receives in a step, in tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Load(Vec<f64>);

impl Load {
    /// Creates a load from tokens per expert.
    pub fn new(tokens: Vec<f64>) -> Self {
        Load(tokens)
    }

    /// Returns the tokens of one expert.
    pub fn of(&self, expert: Expert) -> f64 {
        self.0[expert.index()]
    }

    /// Returns the tokens of all experts.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Moves each expert's value towards `sample` by `share` of the difference.
    ///
    /// Load reports are noisy: acting on each of them would move replicas for
    /// differences that no longer exist when the weights arrive.
    pub fn smooth(&mut self, sample: &Load, share: f64) {
        for (value, new) in self.0.iter_mut().zip(&sample.0) {
            *value += share * (new - *value);
        }
    }
}

/// The experts that each rank holds in one layer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    layout: Layout,
    /// Sorted experts of each rank.
    ranks: Vec<Vec<Expert>>,
    /// Number of ranks that hold each expert.
    replicas: Vec<u16>,
}

impl Map {
    /// Creates a map in which no rank holds an expert.
    pub(super) fn empty(layout: Layout) -> Self {
        let ranks = vec![Vec::with_capacity(layout.slots()); layout.ranks()];
        Map {
            layout,
            ranks,
            replicas: vec![0; layout.experts()],
        }
    }

    /// Creates a map from the experts of each rank.
    ///
    /// # Errors
    ///
    /// Fails if the lists do not fit the layout or an expert has no holder.
    pub fn from_ranks(layout: Layout, ranks: &[Vec<Expert>]) -> Result<Map> {
        let invalid = |message: &str| Err(Error::new(Kind::Invalid, "expert map", message));
        let mut map = Map::empty(layout);
        if ranks.len() != layout.ranks() {
            return invalid("number of ranks differs from the layout");
        }
        for (rank, experts) in Rank::all(layout).zip(ranks) {
            if experts.len() > layout.slots() {
                return invalid("a rank has more experts than slots");
            }
            for &expert in experts {
                if expert.index() >= layout.experts() {
                    return invalid("expert index out of range");
                }
                map.insert(rank, expert);
            }
        }
        if !map.is_complete() {
            return invalid("an expert is not held by any rank");
        }
        Ok(map)
    }

    /// Returns the dimensions of the layer.
    pub fn layout(&self) -> Layout {
        self.layout
    }

    /// Returns the sorted experts of one rank.
    pub fn experts(&self, rank: Rank) -> &[Expert] {
        &self.ranks[rank.index()]
    }

    /// Returns the number of ranks that hold the expert.
    pub fn replicas(&self, expert: Expert) -> usize {
        usize::from(self.replicas[expert.index()])
    }

    /// Returns whether the rank holds the expert.
    pub fn holds(&self, rank: Rank, expert: Expert) -> bool {
        self.experts(rank).binary_search(&expert).is_ok()
    }

    /// Returns whether the rank has a free slot.
    pub fn has_room(&self, rank: Rank) -> bool {
        self.experts(rank).len() < self.layout.slots()
    }

    /// Returns whether every expert is held by at least one rank.
    pub fn is_complete(&self) -> bool {
        self.replicas.iter().all(|&count| count > 0)
    }

    /// Adds a replica; does nothing if the rank holds the expert already.
    pub(super) fn insert(&mut self, rank: Rank, expert: Expert) {
        let held = &mut self.ranks[rank.index()];
        let Err(position) = held.binary_search(&expert) else {
            return;
        };
        held.insert(position, expert);
        self.replicas[expert.index()] += 1;
    }

    /// Removes a replica; does nothing if the rank does not hold the expert.
    pub(super) fn remove(&mut self, rank: Rank, expert: Expert) {
        let held = &mut self.ranks[rank.index()];
        let Ok(position) = held.binary_search(&expert) else {
            return;
        };
        held.remove(position);
        self.replicas[expert.index()] -= 1;
    }

    /// Returns the number of slots to load when changing from `old` to this map.
    pub fn transfers_from(&self, old: &Map) -> usize {
        let mut transfers = 0;
        for rank in Rank::all(self.layout) {
            let new = self.experts(rank).iter();
            transfers += new.filter(|expert| !old.holds(rank, **expert)).count();
        }
        transfers
    }
}

/// Returns the tokens that each rank processes, with each expert's tokens split
/// evenly over its replicas.
pub fn rank_loads(map: &Map, load: &Load) -> Vec<f64> {
    let of_rank = |rank: Rank| -> f64 {
        let held = map.experts(rank).iter();
        held.map(|&expert| load.of(expert) / map.replicas(expert) as f64)
            .sum()
    };
    Rank::all(map.layout()).map(of_rank).collect()
}

/// Returns the load of the most loaded rank over the mean; 1 when perfectly
/// balanced.
pub fn skew(map: &Map, load: &Load) -> f64 {
    let loads = rank_loads(map, load);
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let max = loads.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 { max / mean } else { 1.0 }
}
