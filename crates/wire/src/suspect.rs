//! Conversions between suspects of the core and their messages.

use std::time::Duration;

use berylgw_core::quarantine::{self, QUARANTINE_CRASHES};

use crate::generated::Suspect;

impl From<quarantine::Suspect> for Suspect {
    fn from(suspect: quarantine::Suspect) -> Self {
        let remaining_ms = millis(suspect.remaining);
        let is_quarantined = suspect.crashes >= QUARANTINE_CRASHES;
        Suspect {
            fingerprint: suspect.fingerprint,
            crashes: suspect.crashes,
            convicted_ms: if is_quarantined { remaining_ms } else { 0 },
            suspected_ms: (!is_quarantined).then_some(remaining_ms),
        }
    }
}

impl From<&Suspect> for quarantine::Suspect {
    /// Decodes a suspicion whose end is not told as one that has just begun.
    fn from(suspect: &Suspect) -> Self {
        let remaining_ms = match suspect.convicted_ms {
            0 => suspect.suspected_ms,
            convicted_ms => Some(convicted_ms),
        };
        quarantine::Suspect {
            fingerprint: suspect.fingerprint,
            crashes: match suspect.convicted_ms {
                0 => suspect.crashes.min(QUARANTINE_CRASHES - 1),
                _ => suspect.crashes.max(QUARANTINE_CRASHES),
            },
            remaining: remaining_ms.map_or(Duration::MAX, Duration::from_millis),
        }
    }
}

/// Returns a time in milliseconds, rounded up: zero would tell that a record has ended.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
