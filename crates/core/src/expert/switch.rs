//! Switch of all ranks to a map at one announced pass.
//!
//! Ranks do not compare maps, so each must switch at the same pass. The process
//! beside the first rank has the map prepared on all ranks, holds its own rank
//! before a pass, has every rank armed for that pass, and lets the pass begin
//! once all ranks reported that they are. Orders can be lost or carried out
//! late: nothing is taken for done before a report says so.
//!
//! A process that takes over finds a hold in the reports and goes on from
//! there. `berylgw_spec::hold` explores the rules.
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
//! assert!(switch.aim(7));
//! assert_eq!(switch.next(), Action::Prepare { version: 7 });
//! switch.report(0, Report { prepared: Some(7), ..report });
//! switch.report(1, Report { prepared: Some(7), ..report });
//! assert_eq!(switch.next(), Action::Hold { pass: 2 });
//! ```

use serde::{Deserialize, Serialize};

/// Passes between the last one that began and the one that is held. The next
/// pass may begin while the order to hold is on its way; a hold that comes too
/// late is refused and tried again.
const LEAD: u64 = 1;

/// A map that a rank uses from a pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// Number of the map.
    pub version: u64,
    /// The pass.
    pub pass: u64,
}

/// What a rank reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Changes when the group is formed again.
    pub epoch: u64,
    /// Whether the group runs.
    pub open: bool,
    /// Last pass that began.
    pub pass: u64,
    /// Map in use.
    pub version: u64,
    /// Map whose experts are loaded.
    pub prepared: Option<u64>,
    /// Map that comes into use, and when.
    pub armed: Option<Armed>,
    /// Pass that does not begin until it is released.
    pub held: Option<u64>,
}

/// What has to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing, or wait for reports.
    Wait,
    /// Have all ranks prepare the map.
    Prepare {
        /// Number of the map.
        version: u64,
    },
    /// Hold the group before a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Have all ranks armed.
    Arm(Armed),
    /// Let the held pass begin.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// The switch of one group in one epoch, as the first rank's process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Switch {
    epoch: u64,
    reports: Vec<Option<Report>>,
    aim: Option<u64>,
    /// Passes before this one are not held: orders of an earlier process about
    /// them may be on their way.
    first_hold: u64,
    /// Whether an order to hold the group was given for the present switch.
    holds: bool,
}

impl Switch {
    /// A switch of `ranks` ranks of which nothing is known.
    pub fn new(epoch: u64, ranks: usize) -> Self {
        Switch {
            epoch,
            reports: vec![None; ranks],
            aim: None,
            first_hold: 0,
            holds: false,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.reports.len()
    }

    /// The last report of a rank.
    pub fn of(&self, rank: usize) -> Option<&Report> {
        self.reports.get(rank)?.as_ref()
    }

    /// Takes a report of a rank; one of another epoch has no meaning.
    pub fn report(&mut self, rank: usize, report: Report) {
        if report.epoch != self.epoch {
            return;
        }
        let Some(known) = self.reports.get_mut(rank) else {
            return;
        };
        // Datagrams overtake each other; passes only grow, and a rank that is armed
        // for one stays so until it begins.
        let older = known.as_ref().is_some_and(|known| {
            let unarmed = known.armed.is_some() && report.armed.is_none();
            known.pass > report.pass || (known.pass == report.pass && unarmed)
        });
        if !older {
            *known = Some(report);
        }
        if rank == 0 && self.first_hold == 0 {
            self.first_hold = report.pass + LEAD + 1;
        }
    }

    /// Begins a switch to a map; returns whether it may begin: the one before
    /// has ended, or has not come to a hold.
    ///
    /// A process that has just begun to lead waits for a pass, after which
    /// orders of an earlier one to hold the group have no effect. The version
    /// must be above all versions of which a rank may still receive an order,
    /// and must never be used for another map.
    pub fn aim(&mut self, version: u64) -> bool {
        let passed = |first: &Report| first.pass + LEAD >= self.first_hold;
        let passed = self.of(0).is_some_and(passed);
        let free = passed && (self.settled().is_some() || self.prepares());
        if free {
            self.aim = Some(version);
            self.holds = false;
        }
        free
    }

    /// Whether a switch is under way that has not come to a hold.
    pub fn prepares(&self) -> bool {
        let idle = |report: &Report| report.armed.is_none() && report.held.is_none();
        let ranks_idle = self.all(idle);
        self.aim.is_some() && !self.holds && ranks_idle
    }

    /// Notes that an order to hold the group is being given.
    pub fn holding(&mut self) {
        self.holds = true;
    }

    /// Lets the next switch begin without a pass before it. Only for the
    /// exploration of that mistake.
    #[doc(hidden)]
    pub fn forget_start(&mut self) {
        self.first_hold = 0;
    }

    /// The map that all ranks use, if they have reported the same and nothing
    /// is under way.
    pub fn settled(&self) -> Option<u64> {
        let first = self.of(0)?;
        let same = |report: &Option<Report>| {
            let same = |report: &Report| {
                report.version == first.version && report.armed.is_none() && report.held.is_none()
            };
            report.as_ref().is_some_and(same)
        };
        let done = self.aim.is_none_or(|aim| aim == first.version);
        (done && self.reports.iter().all(same)).then_some(first.version)
    }

    /// Highest version that any rank reported.
    pub fn highest(&self) -> u64 {
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

    /// Whether a rank has what `version` needs before it is armed.
    pub fn has_prepared(&self, rank: usize, version: u64) -> bool {
        self.of(rank).is_some_and(|report| has(report, version))
    }

    /// What a deputy has to do next: end the switch that a silent leader has
    /// left half done.
    ///
    /// The leader may go on at any time, so that a deputy gives no order that
    /// the leader would not give: it never decides on a map, and releases a pass
    /// only if all ranks are armed for it.
    pub fn next_of_deputy(&self) -> Action {
        match self.next() {
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

    /// What has to be done next.
    pub fn next(&self) -> Action {
        let Some(first) = self.of(0).filter(|report| report.open) else {
            return Action::Wait;
        };
        match (first.held, self.aim) {
            (Some(pass), _) => self.next_while_held(first, pass),
            // The pass was released and has not begun.
            (None, _) if first.armed.is_some() => Action::Wait,
            (None, Some(version)) if first.version != version => {
                if self.all(|report| has(report, version)) {
                    Action::Hold {
                        pass: first.pass + LEAD,
                    }
                } else {
                    Action::Prepare { version }
                }
            }
            (None, _) => Action::Wait,
        }
    }

    fn next_while_held(&self, first: &Report, pass: u64) -> Action {
        if first.armed.is_some_and(|armed| armed.pass != pass) {
            // An earlier pass was released and begins with the new map; this
            // hold was carried out after that.
            return Action::Release { pass };
        }
        if let Some(version) = self.aim.filter(|version| *version != first.version) {
            // Another map may be prepared where the hold comes from an order of
            // an earlier process. The present one replaces it on all ranks.
            return if self.all(|report| report.armed == Some(Armed { version, pass })) {
                Action::Release { pass }
            } else if self.all(|report| has(report, version)) {
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
            // Nothing is prepared, so that no rank was told to switch.
            return self.release(pass);
        };
        let goal = Armed { version, pass };
        if self.all(|report| report.armed == Some(goal)) {
            return Action::Release { pass };
        }
        if self.all(|report| has(report, version)) {
            return Action::Arm(goal);
        }
        if self.all(|report| report.armed.is_none()) {
            // A switch holds only after all ranks have prepared the same map,
            // so that no rank was told to switch.
            return self.release(pass);
        }
        Action::Wait
    }

    fn release(&self, pass: u64) -> Action {
        if self.reports.iter().all(Option::is_some) {
            Action::Release { pass }
        } else {
            Action::Wait
        }
    }

    fn all(&self, holds: impl Fn(&Report) -> bool) -> bool {
        let holds = |report: &Option<Report>| report.as_ref().is_some_and(&holds);
        self.reports.iter().all(holds)
    }
}

fn has(report: &Report, version: u64) -> bool {
    let armed = report.armed.map(|armed| armed.version);
    report.prepared == Some(version) || armed == Some(version)
}
