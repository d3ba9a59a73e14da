//! Leader lease on one platform object that is written by conditional updates.
//!
//! Two processes compete for the lease. Time passes in ticks that each process
//! counts on its own clock; a paused process takes no step while ticks pass. The
//! store can be unavailable, lose a response or apply a write late. An external
//! resource receives the holders' operations with a delay and rejects those that
//! carry an older fencing token.

mod process;

use pathfinding::directed::bfs::bfs_reach;

pub use process::{Lease, Process, Write};

/// Lease duration in ticks.
pub const TERM_TICKS: u8 = 3;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// The lease deadline is counted from the response to the renewal instead of
    /// from its sending.
    DeadlineFromResponse,
    /// An observer takes the lease over without waiting for it to expire.
    TakeoverWithoutWait,
    /// An observer takes the lease over after only two thirds of [`TERM_TICKS`].
    WaitTooShort,
    /// The store applies an update without checking the version.
    UnconditionalUpdate,
    /// A holder operates on the resource past its lease deadline.
    DeadlineIgnored,
    /// An acquisition does not increase the fencing token.
    TokenKept,
    /// After a lost response, a process compares the holder but not the nonce of
    /// the object it reads back.
    NonceIgnored,
    /// A holder releases the lease but keeps operating until its deadline.
    ReleaseWithoutStop,
    /// The resource accepts operations with any token.
    TokenUnchecked,
}

/// A violated safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Both processes may operate on the resource at the same time.
    TwoHolders,
    /// An operation of an earlier holder took effect after one of a later holder.
    StaleEffect,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of responses that may be lost.
    pub lost_responses: u8,
    /// Number of store outages.
    pub outages: u8,
    /// Highest object version that is explored, which keeps the state space
    /// finite.
    pub max_version: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

impl Settings {
    /// Returns whether `mistake` is the one added on purpose.
    pub fn has(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }
}

/// The platform object that stores the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Object {
    /// Version, or 0 if the object does not exist.
    pub version: u8,
    /// Index of the process that wrote it.
    pub holder: u8,
    /// Fencing token.
    pub token: u8,
    /// Identifies the write.
    pub nonce: u8,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// State of the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether the store is available.
    pub store_up: bool,
    /// The lease object.
    pub object: Object,
    /// Number of acquisitions that were applied.
    pub epoch: u8,
    /// The competing processes.
    pub processes: [Process; 2],
    /// Highest fencing token that the resource has accepted.
    pub highest_token: u8,
    /// Highest epoch whose operation took effect.
    pub effect_epoch: u8,
    /// Whether an operation of an earlier epoch took effect after that.
    pub stale_effect: bool,
    /// Responses that may still be lost.
    pub lost_responses: u8,
    /// Outages that may still occur.
    pub outages: u8,
}

impl State {
    /// Returns the initial state.
    pub fn new(settings: &Settings) -> Self {
        State {
            store_up: true,
            object: Object::default(),
            epoch: 0,
            processes: [Process::default(); 2],
            highest_token: 0,
            effect_epoch: 0,
            stale_effect: false,
            lost_responses: settings.lost_responses,
            outages: settings.outages,
        }
    }

    /// Checks the safety properties.
    ///
    /// # Errors
    ///
    /// Returns the first violated property.
    pub fn check(&self, settings: &Settings) -> Result<(), Violation> {
        if self.stale_effect {
            return Err(Violation::StaleEffect);
        }
        if self
            .processes
            .iter()
            .all(|process| process.may_operate(settings))
        {
            return Err(Violation::TwoHolders);
        }
        Ok(())
    }

    /// Returns all successor states.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        let mut next = vec![self.tick(settings)];
        for process in 0..2 {
            process::steps(settings, self, process, &mut next);
        }
        if !self.store_up {
            next.push(State {
                store_up: true,
                ..*self
            });
        } else if self.outages > 0 {
            let outages = self.outages - 1;
            next.push(State {
                store_up: false,
                outages,
                ..*self
            });
        }
        next.retain(|state| state.object.version <= settings.max_version);
        next
    }

    fn tick(&self, settings: &Settings) -> State {
        let mut new = *self;
        for (index, process) in new.processes.iter_mut().enumerate() {
            process.tick(settings, index);
        }
        new
    }
}

/// Explores all reachable states and returns their number.
///
/// # Errors
///
/// Returns the first violated property and the state that shows it.
pub fn explore(settings: &Settings) -> Result<usize, Box<(Violation, State)>> {
    let mut count = 0;
    for state in bfs_reach(State::new(settings), |state| state.successors(settings)) {
        if let Err(violation) = state.check(settings) {
            return Err(Box::new((violation, state)));
        }
        count += 1;
    }
    Ok(count)
}
