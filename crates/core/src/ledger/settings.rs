use std::time::Duration;

use crate::lease::Holder;

/// Largest value the platform stores.
const PLATFORM_MAX_BYTES: usize = 1 << 20;

/// Settings of an [`Owner`](super::Owner).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This process.
    pub holder: Holder,
    /// Term of the partition's lease.
    pub term: Duration,
    /// How long a claim waits for others to join its batch.
    pub window: Duration,
    /// How long a completion waits for a batch before it is written alone.
    pub completion_interval: Duration,
    /// Time between platform calls after a failure and between reads of a
    /// partition that another entry holds.
    pub pause: Duration,
    /// Length of a generation on the owner's clock.
    pub generation: Duration,
    /// Whole generations a claim is kept for.
    pub retained_generations: u64,
    /// Largest size of the partition object.
    pub max_bytes: usize,
}

impl Settings {
    /// Settings with the default times for `holder`.
    pub fn new(holder: Holder) -> Self {
        Settings {
            holder,
            term: Duration::from_secs(6),
            window: Duration::from_millis(5),
            completion_interval: Duration::from_secs(1),
            pause: Duration::from_millis(500),
            generation: Duration::from_secs(600),
            retained_generations: 6,
            max_bytes: PLATFORM_MAX_BYTES,
        }
    }
}
