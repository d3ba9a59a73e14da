//! Detection of a server that has suddenly become slow.

use std::time::Duration;

/// Ratio of recent time to baseline above which the server counts as slow.
const RISE_FACTOR: u32 = 4;

/// Number of samples before the baseline is used.
const BASELINE_SAMPLES: u32 = 8;

/// Moving averages of the time of one kind of work: a fast one of recent
/// samples and a slow one as baseline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Smallest rise above the baseline that counts.
    floor: Duration,
    recent: Duration,
    baseline: Duration,
    samples: u32,
}

impl Pace {
    pub const fn new(floor: Duration) -> Self {
        Pace {
            floor,
            recent: Duration::ZERO,
            baseline: Duration::ZERO,
            samples: 0,
        }
    }

    /// Discards all samples.
    pub fn reset(&mut self) {
        *self = Pace::new(self.floor);
    }

    /// Adds a sample and returns whether the time has suddenly risen.
    pub fn rises(&mut self, sample: Duration) -> bool {
        if self.samples == 0 {
            self.recent = sample;
            self.baseline = sample;
        }
        self.samples = self.samples.saturating_add(1);
        self.recent = (self.recent * 3 + sample) / 4;
        let threshold = (self.baseline * RISE_FACTOR).max(self.baseline + self.floor);
        if self.samples > BASELINE_SAMPLES && self.recent > threshold {
            return true;
        }
        // Uncapped samples of a server that is ten times slower would raise the
        // baseline before the recent time reaches the threshold.
        let learned = sample.min(self.baseline * 2);
        self.baseline = (self.baseline * 31 + learned) / 32;
        false
    }
}
