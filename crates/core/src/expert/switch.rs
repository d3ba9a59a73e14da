//! Switch of all ranks to a new map at the same pass.
//!
//! Ranks do not compare maps, so all must switch at the same pass. The leader,
//! the process beside the first rank, proceeds in four phases: it has all ranks
//! prepare the map, holds the first rank before a pass, arms every rank for that
//! pass, and releases the pass once all ranks report that they are armed. Orders
//! can be lost or take effect late, so a phase only ends when reports confirm it.
//!
//! A process that takes over learns of a hold from the reports and continues the
//! switch. The model checker in `berylgw_spec::hold` explores the protocol.
//!
//! ```
//! use berylgw_core::expert::switch::{Action, Report, Switch};
//!
//! let report = Report { epoch: 1, open: true, ..Report::default() };
//! let mut switch = Switch::new(1, 2);
//! switch.report(0, report);
//! let report = Report { pass: 1, ..report };
//! switch.report(0, report);
//! switch.report(1, report);
//! assert!(switch.set_target(7));
//! assert_eq!(switch.next_action(), Action::Prepare { version: 7 });
//! switch.report(0, Report { prepared: Some(7), ..report });
//! switch.report(1, Report { prepared: Some(7), ..report });
//! assert_eq!(switch.next_action(), Action::Hold { pass: 2 });
//! ```

use serde::{Deserialize, Serialize};

/// Distance between the last pass that began and the one to hold, in passes. The
/// next pass may begin while the order to hold is in transit; a hold that arrives
/// too late is refused and retried.
const LEAD_PASSES: u64 = 1;

/// A map that a rank uses starting with a given pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// First pass with the map.
    pub pass: u64,
}

/// State of a rank, as reported by its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Epoch of the group; changes whenever the group re-forms.
    pub epoch: u64,
    /// Whether the group runs.
    pub open: bool,
    /// Number of the last pass that began.
    pub pass: u64,
    /// Version of the map in use.
    pub version: u64,
    /// Version of the map whose experts are loaded, besides the one in use.
    pub prepared: Option<u64>,
    /// Map that the rank is armed to switch to.
    pub armed: Option<Armed>,
    /// Pass that does not begin until it is released.
    pub held: Option<u64>,
}

/// Next action of the switch protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait for reports; nothing to do.
    Wait,
    /// Have all ranks prepare a map.
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// Hold the group before a pass.
    Hold {
        /// Pass to hold.
        pass: u64,
    },
    /// Arm all ranks.
    Arm(Armed),
    /// Let the held pass begin.
    Release {
        /// Pass that is held.
        pass: u64,
    },
}

/// State of the switch protocol for one group in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Switch {
    epoch: u64,
    reports: Vec<Option<Report>>,
    target: Option<u64>,
    /// First pass that may be held. Orders of an earlier leader for passes before
    /// it may still be in transit.
    min_hold_pass: u64,
    /// Whether an order to hold the group was sent for the current switch.
    hold_sent: bool,
}

impl Switch {
    /// Creates the state for `ranks` ranks without reports.
    pub fn new(epoch: u64, ranks: usize) -> Self {
        Switch {
            epoch,
            reports: vec![None; ranks],
            target: None,
            min_hold_pass: 0,
            hold_sent: false,
        }
    }

    /// Returns the epoch of the group.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.reports.len()
    }

    /// Returns the newest report of a rank.
    pub fn last_report(&self, rank: usize) -> Option<&Report> {
        self.reports.get(rank)?.as_ref()
    }

    /// Records a report of a rank; a report of another epoch is ignored.
    pub fn report(&mut self, rank: usize, report: Report) {
        if report.epoch != self.epoch {
            return;
        }
        let Some(known) = self.reports.get_mut(rank) else {
            return;
        };
        // Datagrams can be reordered. Within an epoch the pass never decreases, and a
        // rank that is armed for a pass stays armed until it begins.
        let older = known.as_ref().is_some_and(|known| {
            let unarmed = known.armed.is_some() && report.armed.is_none();
            known.pass > report.pass || (known.pass == report.pass && unarmed)
        });
        if !older {
            *known = Some(report);
        }
        if rank == 0 && self.min_hold_pass == 0 {
            self.min_hold_pass = report.pass + LEAD_PASSES + 1;
        }
    }

    /// Begins a switch to a map; returns `false` if it may not begin yet, because
    /// an earlier switch has reached its hold and has not ended.
    ///
    /// A new leader first waits for a pass to begin, after which the holds of an
    /// earlier leader have no effect. The version must be above all versions for
    /// which a rank may still receive an order, and must never be used for another
    /// map.
    pub fn set_target(&mut self, version: u64) -> bool {
        let pass_began = |first: &Report| first.pass + LEAD_PASSES >= self.min_hold_pass;
        let pass_began = self.last_report(0).is_some_and(pass_began);
        let free = pass_began && (self.settled_version().is_some() || self.is_preparing());
        if free {
            self.target = Some(version);
            self.hold_sent = false;
        }
        free
    }

    /// Returns whether a switch is in progress that has not reached its hold.
    pub fn is_preparing(&self) -> bool {
        let idle = |report: &Report| report.armed.is_none() && report.held.is_none();
        let ranks_idle = self.all(idle);
        self.target.is_some() && !self.hold_sent && ranks_idle
    }

    /// Records that an order to hold the group is being sent.
    pub fn mark_hold_sent(&mut self) {
        self.hold_sent = true;
    }

    /// Lets the next switch begin without waiting for a pass. Used only by the model
    /// checker, to show that it detects the omission of this wait.
    #[doc(hidden)]
    pub fn skip_initial_wait(&mut self) {
        self.min_hold_pass = 0;
    }

    /// Returns the version of the map in use if all ranks report the same one and no
    /// switch is in progress.
    pub fn settled_version(&self) -> Option<u64> {
        let first = self.last_report(0)?;
        let same = |report: &Option<Report>| {
            let same = |report: &Report| {
                report.version == first.version && report.armed.is_none() && report.held.is_none()
            };
            report.as_ref().is_some_and(same)
        };
        let done = self.target.is_none_or(|target| target == first.version);
        (done && self.reports.iter().all(same)).then_some(first.version)
    }

    /// Returns the highest version that any rank reported.
    pub fn highest_version(&self) -> u64 {
        let versions = |report: &Report| {
            let armed = report.armed.map_or(0, |armed| armed.version);
            report.version.max(report.prepared.unwrap_or(0)).max(armed)
        };
        self.reports
            .iter()
            .flatten()
            .map(versions)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether a rank has prepared `version` and can be armed for it.
    pub fn has_prepared(&self, rank: usize, version: u64) -> bool {
        self.last_report(rank)
            .is_some_and(|report| has_map(report, version))
    }

    /// Returns the next action of a deputy, which completes a switch that a silent
    /// leader has left unfinished.
    ///
    /// The leader may resume at any time, so a deputy only sends orders that the
    /// leader would send: it never starts a switch, and releases a pass only if all
    /// ranks are armed for it.
    pub fn next_action_of_deputy(&self) -> Action {
        match self.next_action() {
            action @ Action::Arm(_) => action,
            Action::Release { pass } => {
                let armed = |report: &Report| report.armed.is_some_and(|armed| armed.pass == pass);
                if self.all(armed) {
                    Action::Release { pass }
                } else {
                    Action::Wait
                }
            }
            _ => Action::Wait,
        }
    }

    /// Returns the next action of the leader.
    pub fn next_action(&self) -> Action {
        let Some(first) = self.last_report(0).filter(|report| report.open) else {
            return Action::Wait;
        };
        match (first.held, self.target) {
            (Some(pass), _) => self.next_action_while_held(first, pass),
            // The pass was released and has not begun.
            (None, _) if first.armed.is_some() => Action::Wait,
            (None, Some(version)) if first.version != version => {
                if self.all(|report| has_map(report, version)) {
                    Action::Hold {
                        pass: first.pass + LEAD_PASSES,
                    }
                } else {
                    Action::Prepare { version }
                }
            }
            (None, _) => Action::Wait,
        }
    }

    fn next_action_while_held(&self, first: &Report, pass: u64) -> Action {
        if first.armed.is_some_and(|armed| armed.pass != pass) {
            // The pass that the rank is armed for was released and begins with the
            // new map. The hold of another pass took effect after that.
            return Action::Release { pass };
        }
        if let Some(version) = self.target.filter(|version| *version != first.version) {
            // If the hold comes from an order of an earlier leader, ranks may have
            // prepared another map. The current target replaces it on all ranks.
            return if self.all(|report| report.armed == Some(Armed { version, pass })) {
                Action::Release { pass }
            } else if self.all(|report| has_map(report, version)) {
                Action::Arm(Armed { version, pass })
            } else {
                Action::Prepare { version }
            };
        }
        let armed = first.armed.map(|armed| armed.version);
        let version = armed
            .or(first.prepared)
            .filter(|version| *version != first.version);
        let Some(version) = version else {
            // The first rank is neither armed for another map nor has prepared one.
            // Ranks are armed only once all have prepared the map, so none was.
            return self.release_if_all_reported(pass);
        };
        let goal = Armed { version, pass };
        if self.all(|report| report.armed == Some(goal)) {
            return Action::Release { pass };
        }
        if self.all(|report| has_map(report, version)) {
            return Action::Arm(goal);
        }
        if self.all(|report| report.armed.is_none()) {
            // Ranks are armed only once all have prepared the map. Not all have, and
            // none is armed, so the pass can begin with the old map.
            return self.release_if_all_reported(pass);
        }
        Action::Wait
    }

    fn release_if_all_reported(&self, pass: u64) -> Action {
        if self.reports.iter().all(Option::is_some) {
            Action::Release { pass }
        } else {
            Action::Wait
        }
    }

    fn all(&self, predicate: impl Fn(&Report) -> bool) -> bool {
        let matches = |report: &Option<Report>| report.as_ref().is_some_and(&predicate);
        self.reports.iter().all(matches)
    }
}

fn has_map(report: &Report, version: u64) -> bool {
    let armed = report.armed.map(|armed| armed.version);
    report.prepared == Some(version) || armed == Some(version)
}
