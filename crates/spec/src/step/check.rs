//! Safety properties and state exploration.

use pathfinding::directed::bfs::{bfs, bfs_reach};

use super::state::{Settings, State};

/// A violated property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two ranks use different maps in one step.
    MixedStep,
    /// A rank cannot take part in the step although no rank has restarted.
    StalledStep,
}

impl State {
    /// Returns the property that this state violates, if any.
    pub fn check(&self) -> Option<Violation> {
        let stamp = self.step?;
        let used = self.ranks.iter().filter_map(|rank| rank.used);
        if { used }.any(|map| map != stamp) {
            return Some(Violation::MixedStep);
        }
        let absent = self.ranks.iter().filter(|rank| rank.used.is_none());
        let stalled = { absent }.any(|rank| !self.has_stamped_map(rank));
        (stalled && !self.restarted).then_some(Violation::StalledStep)
    }
}

/// Returns a shortest sequence of states that ends in `violation`, if any.
pub fn find(settings: &Settings, violation: Violation) -> Option<Vec<State>> {
    let success = |state: &State| state.check() == Some(violation);
    bfs(
        &State::new(settings),
        |state| state.successors(settings),
        success,
    )
}

/// Returns the number of reachable states.
pub fn count(settings: &Settings) -> usize {
    bfs_reach(State::new(settings), |state| state.successors(settings)).count()
}
