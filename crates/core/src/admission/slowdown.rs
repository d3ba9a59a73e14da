//! Detection of a server that has suddenly become slow.

use std::time::Duration;

/// Ratio of recent time to baseline above which the server counts as slow.
const SLOWDOWN_FACTOR: u32 = 4;

/// Number of samples before the baseline is used.
const MIN_SAMPLES: u32 = 8;

/// Moving averages of the time of one kind of work: a fast one of recent
/// samples and a slow one as baseline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Detector {
    /// Smallest rise above the baseline that counts.
    min_rise: Duration,
    recent: Duration,
    baseline: Duration,
    samples: u32,
}

impl Detector {
    pub const fn new(min_rise: Duration) -> Self {
        Detector {
            min_rise,
            recent: Duration::ZERO,
            baseline: Duration::ZERO,
            samples: 0,
        }
    }

    /// Discards all samples.
    pub fn reset(&mut self) {
        *self = Detector::new(self.min_rise);
    }

    /// Adds a sample and returns whether the time has suddenly risen.
    pub fn observe(&mut self, sample: Duration) -> bool {
        if self.samples == 0 {
            self.recent = sample;
            self.baseline = sample;
        }
        self.samples = self.samples.saturating_add(1);
        self.recent = (self.recent * 3 + sample) / 4;
        let threshold = (self.baseline * SLOWDOWN_FACTOR).max(self.baseline + self.min_rise);
        if self.samples > MIN_SAMPLES && self.recent > threshold {
            return true;
        }
        // Uncapped samples of a server that is ten times slower would raise the
        // baseline before the recent time reaches the threshold.
        let capped = sample.min(self.baseline * 2);
        self.baseline = (self.baseline * 31 + capped) / 32;
        false
    }
}
