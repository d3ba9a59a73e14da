//! A role held through one platform object by conditional update.
//!
//! Two processes compete. Time passes in ticks that every process measures
//! for itself; a paused process takes no step while ticks pass. The store can
//! be down, can lose answers and can apply a write late. A resource outside
//! receives the holders' acts late and refuses older tokens.

mod process;

use pathfinding::directed::bfs::bfs_reach;

pub use process::{Process, Tenure, Write};

/// Ticks a lease lasts.
pub const TERM: u8 = 3;

/// A fault in the protocol that exploration has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// The deadline counts from the answer to the renewal.
    DeadlineFromAnswer,
    /// An observer takes over without waiting.
    TakeoverWithoutWait,
    /// An observer takes over after two thirds of the term.
    WaitTooShort,
    /// An update does not check the version.
    UnconditionalUpdate,
    /// A holder acts past its deadline.
    DeadlineIgnored,
    /// An acquisition keeps the token.
    TokenKept,
    /// A read-back compares the holder but not the nonce.
    NonceIgnored,
    /// A holder releases and goes on until its deadline.
    ReleaseWithoutStop,
    /// The resource takes every act.
    TokenUnchecked,
}

/// A property that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Both processes may act at the same time.
    TwoHolders,
    /// An act of an earlier holder took effect after one of a later holder.
    StaleEffect,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// Answers that may be lost.
    pub lost: u8,
    /// Outages of the store.
    pub outages: u8,
    /// Versions above this end a path, which keeps the state space finite.
    pub versions: u8,
    /// Seeded mistake.
    pub mistake: Option<Mistake>,
}

impl Setup {
    /// Whether the mistake is switched on.
    pub fn has(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }
}

/// The platform object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Object {
    /// Version, 0 if it does not exist.
    pub version: u8,
    /// Process that wrote it.
    pub holder: u8,
    /// Fencing token.
    pub token: u8,
    /// Number of the write.
    pub nonce: u8,
    /// The role was given up.
    pub released: bool,
}

/// A state of the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Store answers calls.
    pub up: bool,
    /// The object.
    pub object: Object,
    /// Number of acquisitions that took effect.
    pub epoch: u8,
    /// The competing processes.
    pub processes: [Process; 2],
    /// Highest token the resource has seen.
    pub fence: u8,
    /// Epoch of the latest holder whose act took effect.
    pub effect: u8,
    /// An act of an earlier holder took effect afterwards.
    pub stale: bool,
    /// Answers that may still be lost.
    pub lost: u8,
    /// Outages that may still come.
    pub outages: u8,
}

impl State {
    /// The initial state.
    pub fn new(setup: &Setup) -> Self {
        State {
            up: true,
            object: Object::default(),
            epoch: 0,
            processes: [Process::default(); 2],
            fence: 0,
            effect: 0,
            stale: false,
            lost: setup.lost,
            outages: setup.outages,
        }
    }

    /// Checks the safety properties.
    ///
    /// # Errors
    ///
    /// Returns the first property that does not hold.
    pub fn check(&self, setup: &Setup) -> Result<(), Violation> {
        if self.stale {
            return Err(Violation::StaleEffect);
        }
        if self.processes.iter().all(|process| process.acts(setup)) {
            return Err(Violation::TwoHolders);
        }
        Ok(())
    }

    /// All successors.
    pub fn successors(&self, setup: &Setup) -> Vec<State> {
        let mut next = vec![self.tick(setup)];
        for process in 0..2 {
            process::steps(setup, self, process, &mut next);
        }
        if !self.up {
            next.push(State { up: true, ..*self });
        } else if self.outages > 0 {
            let outages = self.outages - 1;
            next.push(State {
                up: false,
                outages,
                ..*self
            });
        }
        next.retain(|state| state.object.version <= setup.versions);
        next
    }

    fn tick(&self, setup: &Setup) -> State {
        let mut new = *self;
        for (index, process) in new.processes.iter_mut().enumerate() {
            process.tick(setup, index);
        }
        new
    }
}

/// Explores all states and returns their number.
///
/// # Errors
///
/// Returns the first violated property and the state that shows it.
pub fn explore(setup: &Setup) -> Result<usize, Box<(Violation, State)>> {
    let mut count = 0;
    for state in bfs_reach(State::new(setup), |state| state.successors(setup)) {
        if let Err(violation) = state.check(setup) {
            return Err(Box::new((violation, state)));
        }
        count += 1;
    }
    Ok(count)
}
