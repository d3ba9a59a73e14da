//! Notice of a server that has suddenly become slow.

use std::time::Duration;

/// Factor by which a time has to rise above its baseline.
const RISE_FACTOR: u32 = 4;

/// Samples needed before the baseline is used.
const BASELINE_SAMPLES: u32 = 8;

/// Recent and usual time of one kind of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Rise below which a time is noise.
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

    /// Forgets all samples.
    pub fn reset(&mut self) {
        *self = Pace::new(self.floor);
    }

    /// Takes in a sample and returns whether the time has suddenly risen.
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
        // With the whole sample, the baseline of a server that is ten times
        // slower would rise before the recent time reaches the threshold.
        let learned = sample.min(self.baseline * 2);
        self.baseline = (self.baseline * 31 + learned) / 32;
        false
    }
}
