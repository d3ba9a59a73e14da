//! Leases of roles, stored as platform objects.
//!
//! A role is one platform object that is only changed by conditional updates.
//! [`Lease`] is the state of the holder, [`Observer`] is the state of other
//! processes, and [`Role`] combines both into a state machine for one process.
//! The protocol does not assume synchronized clocks:
//!
//! - a holder stops acting one term after the time *before* it sent the last
//!   successful renewal, by its own clock;
//! - an observer takes over only after it has read the same object version for
//!   longer than the term, by its own clock. Since the version was written after
//!   the renewal was sent, the holder has stopped by then.
//!
//! Conditional updates decide races between several processes.
//!
//! Two failures need more than that. A store that is restored from a copy gives revisions
//! again and may name a former holder: it states its era in each response, and in a new
//! era all processes wait for one term ([`Event::Era`]). Duties whose holders may not act
//! in the order A, B, A within one term use [`Role::with_rest`].

mod observer;
mod role;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

pub use observer::Observer;
pub use role::{Action, Event, Role, Settings};

/// Identity of a process that can hold a role.
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
    /// Process that wrote the object last.
    pub holder: Holder,
    /// Number of the acquisition, incremented by each one.
    pub token: u64,
    /// Number of the write, unique within one incarnation. If the response to a
    /// write is lost, it identifies the write in the object.
    pub nonce: u64,
    /// Term of the lease, in milliseconds.
    pub term_ms: u64,
    /// Whether the holder has released the role.
    pub released: bool,
    /// Era of the store in which the write was sent. A write from before a restore may
    /// be carried out after it, over a later one, as revisions are given again.
    #[serde(default)]
    pub era: u64,
}

impl Record {
    /// Returns the term of the lease.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns whether both records come from the same write.
    pub fn same_write(&self, other: &Record) -> bool {
        self.holder == other.holder && self.nonce == other.nonce
    }
}

/// Outcome of a conditional update, as known to the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The write took effect and produced this version.
    Applied(u64),
    /// The object has another version; the write had no effect.
    Conflict,
    /// The platform refused the write; it had no effect.
    Refused,
    /// The response was lost; the write may have taken effect or may do so later.
    Unknown,
}

/// A lease held by this process.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::lease::Lease;
/// use std::time::Duration;
///
/// let sent = Instant::from_millis(100);
/// let lease = Lease::new(7, sent, Duration::from_millis(900));
/// assert!(lease.is_valid(Instant::from_millis(999)));
/// assert!(!lease.is_valid(Instant::from_millis(1_000)));
/// assert!(lease.renewal_due(Instant::from_millis(400)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token.
    pub token: u64,
    renew_at: Instant,
    deadline: Instant,
}

impl Lease {
    /// Creates a lease from an update that was sent at `sent` and took effect.
    pub fn new(token: u64, sent: Instant, term: Duration) -> Self {
        Lease {
            token,
            // Renewing after a third of the term leaves time for a second attempt
            // before the deadline if one renewal is lost.
            renew_at: sent + term / 3,
            deadline: sent + term,
        }
    }

    /// Returns whether the holder may act.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Returns whether the renewal is due.
    pub fn renewal_due(&self, now: Instant) -> bool {
        now >= self.renew_at
    }

    /// Returns when the renewal is due.
    pub fn renew_at(&self) -> Instant {
        self.renew_at
    }

    /// Returns when the holder stops acting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
