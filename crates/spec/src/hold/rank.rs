//! Ranks and the commands that they accept under the platform's contract.

use berylgw_core::expert::switch::{Armed, Report};

/// Number of ranks; the first one receives holds.
pub(super) const RANKS: usize = 2;

/// An expert map; two maps have the same version only under
/// [`Mistake::ReuseVersion`](super::state::Mistake::ReuseVersion).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Map {
    pub(super) version: u8,
    /// Distinguishes maps of the same version.
    pub(super) content: u8,
}

/// A command to a rank, which is valid only in its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Command {
    pub(super) epoch: u8,
    pub(super) rank: u8,
    pub(super) action: Action,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Action {
    Prepare(Map),
    Arm { version: u8, pass: u8 },
    Hold { pass: u8 },
    Release { pass: u8 },
}

/// The ranks of the group in one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Group {
    pub(super) epoch: u8,
    /// Latest pass that began.
    pub(super) pass: u8,
    pub(super) held: Option<u8>,
    pub(super) ranks: [Rank; RANKS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rank {
    pub(super) used: Option<Map>,
    prepared: Option<Map>,
    /// Map to use and the pass from which to use it.
    armed: Option<(Map, u8)>,
    /// Highest version that the rank has prepared.
    highest_version: u8,
}

impl Group {
    /// Executes a command and returns whether the rank accepted it.
    pub(super) fn execute(&mut self, command: Command) -> bool {
        if command.epoch != self.epoch {
            return false;
        }
        let rank = &mut self.ranks[usize::from(command.rank)];
        match command.action {
            Action::Prepare(map) => {
                if map.version <= rank.highest_version || rank.armed.is_some() {
                    return false;
                }
                rank.highest_version = map.version;
                rank.prepared = Some(map);
            }
            Action::Arm { version, pass } => {
                let prepared = rank.prepared.filter(|map| map.version == version);
                let Some(map) = prepared.filter(|_| pass > self.pass) else {
                    return false;
                };
                rank.armed = Some((map, pass));
            }
            Action::Hold { pass } => {
                if self.held.is_some() || pass <= self.pass {
                    return false;
                }
                self.held = Some(pass);
            }
            Action::Release { pass } => {
                if self.held != Some(pass) {
                    return false;
                }
                self.held = None;
            }
        }
        true
    }

    /// Begins the next pass, or returns false if it is held.
    pub(super) fn begin_pass(&mut self) -> bool {
        let next = self.pass + 1;
        if self.held == Some(next) {
            return false;
        }
        self.pass = next;
        for rank in &mut self.ranks {
            if let Some((map, _)) = rank.armed.filter(|(_, pass)| *pass == next) {
                rank.used = Some(map);
                rank.armed = None;
                rank.prepared = None;
            }
        }
        true
    }

    /// Returns the group as re-formed after a rank restart.
    pub(super) fn reformed(&self) -> Group {
        Group {
            epoch: self.epoch + 1,
            pass: self.pass,
            ..Group::default()
        }
    }

    /// Returns the current report of a rank.
    pub(super) fn report(&self, index: usize) -> Report {
        let rank = &self.ranks[index];
        let version = |map: Map| u64::from(map.version);
        Report {
            epoch: u64::from(self.epoch),
            open: true,
            pass: u64::from(self.pass),
            version: rank.used.map_or(0, version),
            prepared: rank.prepared.map(version),
            armed: rank.armed.map(|(map, pass)| Armed {
                version: version(map),
                pass: u64::from(pass),
            }),
            held: self.held.filter(|_| index == 0).map(u64::from),
        }
    }
}
