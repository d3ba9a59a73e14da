//! Roles held for a limited time through the platform.
//!
//! A role is one platform object that is only changed by conditional update.
//! [`Tenure`] is what a holder knows, [`Observer`] is what everyone else
//! knows, and [`Role`] combines both into a state machine for one process.
//! No shared clock is assumed:
//!
//! - a holder stops acting a term after the moment *before* it sent the
//!   renewal, on its own clock;
//! - an observer takes over only after it has seen the same object version
//!   for longer than the term, on its own clock. Since the version appeared
//!   after the renewal was sent, the holder stopped earlier.
//!
//! The conditional update settles every race between the two.

mod observer;
mod role;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

pub use observer::Observer;
pub use role::{Action, Event, Role, Settings};

/// Identity of a process that may hold a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub name: Arc<str>,
    /// Random number drawn at process start.
    pub incarnation: u64,
}

/// Value of the platform object `lease/<role>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Who wrote the object last.
    pub holder: Holder,
    /// Fencing token, raised by each acquisition.
    pub token: u64,
    /// Differs between the writes of one incarnation; read back when an
    /// answer is lost.
    pub nonce: u64,
    /// Term in milliseconds.
    pub term_ms: u64,
    /// The holder gave the role up.
    pub released: bool,
}

impl Record {
    /// The term of the lease.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Whether both records come from the same write.
    pub fn same_write(&self, other: &Record) -> bool {
        self.holder == other.holder && self.nonce == other.nonce
    }
}

/// How a conditional update ended, as far as the writer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// It took effect and produced this version.
    Applied(u64),
    /// The object has another version; this write had no effect.
    Conflict,
    /// The platform refused it; this write had no effect.
    Refused,
    /// The answer was lost; the write may take effect, even later.
    Unknown,
}

/// What a holder knows about its own lease.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::lease::Tenure;
/// use std::time::Duration;
///
/// let sent = Instant::from_millis(100);
/// let tenure = Tenure::new(7, sent, Duration::from_millis(900));
/// assert!(tenure.acts(Instant::from_millis(999)));
/// assert!(!tenure.acts(Instant::from_millis(1_000)));
/// assert!(tenure.renewal_due(Instant::from_millis(400)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token.
    pub token: u64,
    renew_at: Instant,
    deadline: Instant,
}

impl Tenure {
    /// A tenure from an update that was sent at `sent` and took effect.
    pub fn new(token: u64, sent: Instant, term: Duration) -> Self {
        Tenure {
            token,
            // After a third of the term, one lost renewal leaves time for a
            // second one before the deadline.
            renew_at: sent + term / 3,
            deadline: sent + term,
        }
    }

    /// Whether the holder may act.
    pub fn acts(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Whether it is time to renew.
    pub fn renewal_due(&self, now: Instant) -> bool {
        now >= self.renew_at
    }

    /// When the renewal is due.
    pub fn renew_at(&self) -> Instant {
        self.renew_at
    }

    /// When the holder stops acting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
