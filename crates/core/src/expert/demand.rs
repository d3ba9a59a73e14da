//! Demand for experts, estimated from counts of how often each was selected.
//!
//! Load pattern: demand changes in steps. A window of fixed length would mix
//! counts from before and after a step. The window here begins at the last step.

use super::Load;

/// Smallest difference between a sample and the earlier ones that counts as a
/// step, as a share of the selections. Below it, a map that fits the old demand
/// fits the new one.
const SHIFT_SHARE: f64 = 0.1;

/// Factor by which the difference of a step exceeds the usual difference between
/// samples.
const SHIFT_FACTOR: f64 = 2.0;

/// Weight of a new difference in the moving average of differences, which covers
/// about as many samples as the window.
const NOISE_GAIN: f64 = 0.15;

/// Initial value of the average difference, that of samples from 16 ranks.
const INITIAL_NOISE: f64 = 0.1;

/// Largest number of samples in the window; older ones decay.
const MAX_SAMPLES: f64 = 10.0;

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
    /// Average difference between a sample and the earlier ones.
    noise: f64,
}

impl Demand {
    /// Creates an estimate without samples.
    pub fn new(sets: usize, experts: usize) -> Self {
        Demand {
            sets,
            experts,
            sum: vec![0.0; sets * experts],
            samples: 0.0,
            noise: INITIAL_NOISE,
        }
    }

    /// Adds a sample of how often each expert was selected, set by set; returns
    /// whether the demand has shifted.
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
        let kept = ((MAX_SAMPLES - 1.0) / self.samples.max(1.0)).min(1.0);
        self.samples = self.samples * kept + 1.0;
        for (sum, count) in self.sum.iter_mut().zip(counts) {
            *sum = *sum * kept + count;
        }
        shifted
    }

    /// Returns whether two consecutive samples agree, so that the step is over.
    pub fn is_settled(&self) -> bool {
        self.samples > 1.0
    }

    /// Returns the demand for the experts of one set.
    pub fn load(&self, set: usize) -> Load {
        let of_set = &self.sum[set * self.experts..][..self.experts];
        Load::new(of_set.to_vec())
    }

    /// Returns the share of selections that differ from the earlier samples, as a
    /// mean over the sets.
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
