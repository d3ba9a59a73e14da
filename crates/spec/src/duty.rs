//! Lease of duties whose calls nobody can take back, in a store that may be restored.
//!
//! Two hosts compete for the lease. Unlike the resource of [`crate::lease`], the interface
//! accepts calls with any token, and it judges the order in which calls arrive. The store
//! loses answers, applies updates late and is restored once from a copy that was taken at
//! any moment; then it gives versions again. A process is restarted at any moment, and
//! any number of ticks may pass before each step of a process, which covers a freeze
//! around each step.

mod monitor;
mod process;

use pathfinding::directed::bfs::bfs_reach;

pub use monitor::{Monitor, Violation};
pub use process::{Process, Write};

/// Term of the lease in ticks.
pub const TERM_TICKS: u8 = 2;

/// Time after a start, a loss and a new era in which a process does not compete.
pub const REST_TICKS: u8 = TERM_TICKS + 1;

/// Ticks for which a call may be in transit.
pub const CALL_TICKS: u8 = 1;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// A process that has started competes at once.
    NoRestAfterStart,
    /// A process that has lost or released the lease competes at once.
    NoRestAfterLoss,
    /// A process competes at once in a new era.
    NoRestInEra,
    /// A process that learns an era for the first time does not take into account that
    /// it may be new: the store was away since the process started.
    NoRestInFirstEra,
    /// A holder goes on in a new era, and an update counts that a restored store
    /// accepted.
    EraIgnored,
    /// Tokens are the numbers in the lease, without the era.
    TokenWithoutEra,
    /// A lost answer counts as an update that took effect.
    AnswerAssumed,
    /// The lease is counted from the answer to the update.
    DeadlineFromAnswer,
    /// A call without a response is not ended after its timeout.
    CallWithoutTimeout,
    /// The lease is released while a call is in transit.
    ReleaseDuringCall,
    /// The lease is checked before a freeze and the call is written after it.
    CheckBeforeFreeze,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Answers that may be lost.
    pub lost_answers: u8,
    /// Restores of the store.
    pub restores: u8,
    /// Restarts of processes.
    pub restarts: u8,
    /// Releases of the lease.
    pub releases: u8,
    /// Updates that are sent, which keeps the state space finite.
    pub max_writes: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

impl Settings {
    /// Returns whether `mistake` is the one added on purpose.
    pub fn has(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }
}

/// The lease object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Object {
    /// Version, or 0 if the object does not exist.
    pub version: u8,
    /// Process that wrote it.
    pub holder: u8,
    /// Number of the acquisition.
    pub number: u8,
    /// Identifies the write.
    pub nonce: u8,
    /// Whether the lease was released.
    pub released: bool,
}

/// State of the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Era of the store.
    pub era: u8,
    /// The lease object.
    pub object: Object,
    /// Copy of the object from which the store may be restored.
    pub copy: Option<Object>,
    /// The competing processes.
    pub processes: [Process; 2],
    /// What the interface has received.
    pub monitor: Monitor,
    /// Answers that may still be lost.
    pub lost_answers: u8,
    /// Restores that may still happen.
    pub restores: u8,
    /// Restarts that may still happen.
    pub restarts: u8,
    /// Releases that may still happen.
    pub releases: u8,
    /// Updates that may still be sent.
    pub writes: u8,
}

impl State {
    /// Returns the initial state: both processes have just started.
    pub fn new(settings: &Settings) -> Self {
        State {
            era: 0,
            object: Object::default(),
            copy: None,
            processes: [Process::started(settings); 2],
            monitor: Monitor::default(),
            lost_answers: settings.lost_answers,
            restores: settings.restores,
            restarts: settings.restarts,
            releases: settings.releases,
            writes: settings.max_writes,
        }
    }

    /// Returns all successor states.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        if self.monitor.violation.is_some() {
            return Vec::new();
        }
        let mut next = vec![self.tick(settings)];
        for index in 0..2 {
            process::steps(settings, self, index, &mut next);
        }
        if self.copy.is_none() && self.restores > 0 {
            let copy = Some(self.object);
            next.push(State { copy, ..*self });
        }
        if let Some(copy) = self.copy
            && self.restores > 0
        {
            next.push(State {
                era: self.era + 1,
                object: copy,
                restores: self.restores - 1,
                ..*self
            });
        }
        next
    }

    fn tick(&self, settings: &Settings) -> State {
        let mut new = *self;
        for process in &mut new.processes {
            process.tick(settings);
        }
        new.monitor.tick();
        new
    }
}

/// Explores all reachable states and returns their number.
///
/// # Errors
///
/// Returns the first violation and the state that shows it.
pub fn explore(settings: &Settings) -> Result<usize, Box<(Violation, State)>> {
    let mut count = 0;
    for state in bfs_reach(State::new(settings), |state| state.successors(settings)) {
        if let Some(violation) = state.monitor.violation {
            return Err(Box::new((violation, state)));
        }
        count += 1;
    }
    Ok(count)
}
