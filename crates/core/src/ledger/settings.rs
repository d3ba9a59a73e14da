use std::time::Duration;

use crate::lease::Holder;

/// Largest value that the platform stores.
const PLATFORM_MAX_BYTES: usize = 1 << 20;

/// Settings of an [`Owner`](super::Owner).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This process.
    pub holder: Holder,
    /// Term of the partition's lease.
    pub term: Duration,
    /// Time for which a claim waits for others to join its batch.
    pub batch_window: Duration,
    /// Maximum time for which a completion waits for a claim to be written with.
    pub completion_interval: Duration,
    /// Delay before the next platform call after a failure, and between reads of a
    /// partition that another entry holds.
    pub retry_interval: Duration,
    /// Length of a generation on the owner's clock.
    pub generation: Duration,
    /// Number of whole generations for which a claim is kept.
    pub retained_generations: u64,
    /// Maximum size of the partition object in bytes.
    pub max_bytes: usize,
}

impl Settings {
    /// Creates settings with the default values for `holder`.
    pub fn new(holder: Holder) -> Self {
        Settings {
            holder,
            term: Duration::from_secs(6),
            batch_window: Duration::from_millis(5),
            completion_interval: Duration::from_secs(1),
            retry_interval: Duration::from_millis(500),
            generation: Duration::from_secs(600),
            retained_generations: 6,
            max_bytes: PLATFORM_MAX_BYTES,
        }
    }
}
