//! Expert maps and the drifting demand for experts.

use std::collections::BTreeMap;

use berylgw_core::expert::{Expert, Layout, Load, Map, greedy, rank_loads, skew};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Settings;

/// Tokens of all experts in one step.
const TOKENS_PER_STEP: f64 = 16_384.0;

/// Placements by map number, and the demand that makes them differ.
#[derive(Debug)]
pub(super) struct Experts {
    rng: ChaCha8Rng,
    drift: f64,
    /// Share of the demand of each expert.
    weights: Vec<f64>,
    placements: BTreeMap<u64, Map>,
}

/// Load of the ranks in one step.
pub(super) struct Balance {
    /// Load of each rank over the mean.
    pub ranks: Vec<f64>,
    /// Largest of them.
    pub skew: f64,
}

impl Experts {
    /// Makes the first placement, for equal demand; `None` without experts.
    pub fn new(settings: &Settings) -> Option<Self> {
        let ranks = u16::try_from(settings.ranks).ok()?;
        let layout = Layout::new(ranks, settings.experts, settings.expert_slots).ok()?;
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut weights: Vec<f64> = Expert::all(layout)
            .map(|expert| 1.0 / (10.0 + expert.index() as f64))
            .collect();
        for last in (1..weights.len()).rev() {
            let other = rng.random_range(0..=last);
            weights.swap(last, other);
        }
        let equal = Load::new(vec![1.0; layout.experts()]);
        let mut experts = Experts {
            rng,
            drift: settings.drift,
            weights,
            placements: BTreeMap::from([(0, greedy::place(layout, &equal))]),
        };
        experts.advance();
        Some(experts)
    }

    /// Lets the demand drift by one step.
    pub fn advance(&mut self) {
        for weight in &mut self.weights {
            // The sum of twelve uniform numbers is close to a normal number.
            let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
            *weight *= (self.drift * normal).exp();
        }
        let total: f64 = self.weights.iter().sum();
        for weight in &mut self.weights {
            *weight /= total;
        }
    }

    /// Stores the placement of a map; one with a known number is kept.
    ///
    /// Returns `false` if it is not a placement for this group.
    pub fn store(&mut self, map: u64, placement: Map) -> bool {
        if placement.layout() != self.placements[&0].layout() || !placement.is_complete() {
            return false;
        }
        self.placements.entry(map).or_insert(placement);
        true
    }

    /// Expert slots of a rank that differ between two maps.
    pub fn transfers(&self, old: u64, new: u64) -> u64 {
        let placements = (self.placements.get(&old), self.placements.get(&new));
        match placements {
            (Some(old), Some(new)) => new.transfers_from(old) as u64,
            _ => 0,
        }
    }

    pub fn placement(&self, map: u64) -> Option<&Map> {
        self.placements.get(&map)
    }

    /// Load of the ranks with a map, at the present demand.
    pub fn balance(&self, map: u64) -> Balance {
        let placement = self.placements.get(&map);
        let placement = placement.unwrap_or(&self.placements[&0]);
        let load = Load::new(self.weights.clone());
        let loads = rank_loads(placement, &load);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        Balance {
            ranks: loads.iter().map(|load| load / mean).collect(),
            skew: skew(placement, &load),
        }
    }

    /// Tokens of each expert in one step.
    pub fn tokens(&self) -> impl Iterator<Item = u64> {
        let tokens = |weight: &f64| (weight * TOKENS_PER_STEP).round() as u64;
        self.weights.iter().map(tokens)
    }
}
