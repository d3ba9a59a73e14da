//! Demand for experts, as observed by counts.
//!
//! Load pattern: demand changes in steps. Counts from before a step describe a
//! demand that is gone, so a window of fixed length mixes both. The window here
//! begins at the last step.

use super::Load;

/// Part of the choices by which a sample has to differ from those before for a
/// step. Below it, a map that fits the old demand fits the new one.
const SHIFT_SHARE: f64 = 0.1;

/// Times the usual difference between a sample and those before that a step
/// has to exceed.
const SHIFT_FACTOR: f64 = 2.0;

/// Part of a new difference in the usual one, about as many samples as a
/// window holds.
const NOISE_GAIN: f64 = 0.15;

/// Usual difference before any was observed, from samples of 16 ranks.
const FIRST_NOISE: f64 = 0.1;

/// Samples that a window holds at most; older ones fade.
const MEMORY: f64 = 10.0;

/// Demand for the experts of each set of layers since its last step.
///
/// ```
/// use berylgw_core::expert::demand::Demand;
///
/// let mut demand = Demand::new(1, 2);
/// demand.add(&[90.0, 10.0]);
/// assert!(!demand.is_settled());
/// demand.add(&[88.0, 12.0]);
/// assert!(demand.is_settled());
/// demand.add(&[10.0, 90.0]);
/// assert!(!demand.is_settled());
/// ```
#[derive(Clone, Debug)]
pub struct Demand {
    sets: usize,
    experts: usize,
    /// Sum of the samples since the last step, set by set.
    sum: Vec<f64>,
    samples: f64,
    /// Usual difference between a sample and those before.
    noise: f64,
}

impl Demand {
    /// Demand of which nothing is known.
    pub fn new(sets: usize, experts: usize) -> Self {
        Demand {
            sets,
            experts,
            sum: vec![0.0; sets * experts],
            samples: 0.0,
            noise: FIRST_NOISE,
        }
    }

    /// Adds how often each expert was chosen, set by set; returns whether the
    /// demand has changed in a step.
    pub fn add(&mut self, counts: &[f64]) -> bool {
        let distance = self.distance(counts);
        let limit = SHIFT_SHARE.max(SHIFT_FACTOR * self.noise);
        let shifted = self.samples > 0.0 && distance > limit;
        if self.samples > 0.0 && !shifted {
            self.noise += NOISE_GAIN * (distance - self.noise);
        }
        if shifted {
            self.sum.fill(0.0);
            self.samples = 0.0;
        }
        let kept = ((MEMORY - 1.0) / self.samples.max(1.0)).min(1.0);
        self.samples = self.samples * kept + 1.0;
        for (sum, count) in self.sum.iter_mut().zip(counts) {
            *sum = *sum * kept + count;
        }
        shifted
    }

    /// Whether two samples in a row agree, so that the step has passed.
    pub fn is_settled(&self) -> bool {
        self.samples > 1.0
    }

    /// Demand for the experts of one set.
    pub fn load(&self, set: usize) -> Load {
        let of_set = &self.sum[set * self.experts..][..self.experts];
        Load::new(of_set.to_vec())
    }

    /// Mean over the sets of the part of the choices that differ from those
    /// before.
    fn distance(&self, counts: &[f64]) -> f64 {
        let sets = self
            .sum
            .chunks(self.experts)
            .zip(counts.chunks(self.experts));
        let of_set = |(old, new): (&[f64], &[f64])| {
            let totals = (old.iter().sum::<f64>(), new.iter().sum::<f64>());
            if totals.0 <= 0.0 || totals.1 <= 0.0 {
                return 0.0;
            }
            let pairs = old.iter().zip(new);
            let differences = pairs.map(|(old, new)| (old / totals.0 - new / totals.1).abs());
            differences.sum::<f64>() / 2.0
        };
        sets.map(of_set).sum::<f64>() / self.sets as f64
    }
}
