//! Decides which of two processes with the same name is the host.
//!
//! The accepted sheet decides: the process that answers at the address listed
//! there is the host. The sheet never reverts to an older version, so an older
//! process that resumes after a pause cannot win, and a second process started
//! by mistake does not displace the one in use.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which another process must answer at the listed address before this
/// one is superseded.
///
/// A single answer may come from a connection opened before the sheet changed.
const CONFIRMATION: Duration = Duration::from_secs(1);

/// Role of a process among those with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Nothing has answered at the listed address yet.
    Unknown,
    /// It is the host.
    Host,
    /// It has never been the host: another process answers at the address.
    Standby,
    /// It was the host and another process is now; it must stop.
    Superseded,
}

/// Tracks whether one process is the host of its name.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    incarnation: u64,
    was_host: bool,
    other_since: Option<Instant>,
    role: Role,
}

impl Identity {
    /// Creates the state of a process that has just started.
    pub fn new(incarnation: u64) -> Self {
        Identity {
            incarnation,
            was_host: false,
            other_since: None,
            role: Role::Unknown,
        }
    }

    /// Returns the current standing.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Records that the sheet lists the address at which this process listens.
    pub fn confirm_host(&mut self) {
        if self.role == Role::Superseded {
            return;
        }
        self.was_host = true;
        self.other_since = None;
        self.role = Role::Host;
    }

    /// Records that a process with this incarnation answered at the listed address;
    /// returns the resulting standing.
    pub fn observe_answer(&mut self, now: Instant, incarnation: u64) -> Role {
        if incarnation == self.incarnation {
            self.confirm_host();
            return self.role;
        }
        let since = *self.other_since.get_or_insert(now);
        if !self.was_host {
            self.role = Role::Standby;
        } else if now.since(since) >= CONFIRMATION {
            self.role = Role::Superseded;
        }
        self.role
    }
}
