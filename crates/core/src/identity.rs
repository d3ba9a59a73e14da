//! Which of two processes with the same name is the host.
//!
//! The accepted sheet decides: the process that answers at the address it
//! names is the host. The sheet never reverts, so that an older process which
//! wakes cannot win, and a second process that was started by mistake does not
//! displace the one in use.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which another process has to answer at the address of the sheet.
///
/// A single answer may come from a connection made before the sheet changed.
const CONFIRM: Duration = Duration::from_secs(1);

/// What a process is to its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing answered at the address of the sheet yet.
    Unknown,
    /// It is the host.
    Host,
    /// It never was the host: another process answers at the address.
    Standby,
    /// It was the host and another process is now; it has to leave.
    Superseded,
}

/// Standing of one process.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    incarnation: u64,
    was_host: bool,
    other_since: Option<Instant>,
    standing: Standing,
}

impl Identity {
    /// A process that has just started.
    pub fn new(incarnation: u64) -> Self {
        Identity {
            incarnation,
            was_host: false,
            other_since: None,
            standing: Standing::Unknown,
        }
    }

    /// The current standing.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The sheet names the address at which this process listens.
    pub fn named(&mut self) {
        if self.standing == Standing::Superseded {
            return;
        }
        self.was_host = true;
        self.other_since = None;
        self.standing = Standing::Host;
    }

    /// A process with this incarnation answered at the address of the sheet.
    pub fn answered(&mut self, now: Instant, incarnation: u64) -> Standing {
        if incarnation == self.incarnation {
            self.named();
            return self.standing;
        }
        let since = *self.other_since.get_or_insert(now);
        if !self.was_host {
            self.standing = Standing::Standby;
        } else if now.since(since) >= CONFIRM {
            self.standing = Standing::Superseded;
        }
        self.standing
    }
}
