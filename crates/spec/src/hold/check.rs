//! Safety property and state exploration.

use pathfinding::directed::bfs::{bfs, bfs_reach};

use super::state::{Settings, State};

/// A violated safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Ranks began a pass with different maps.
    MixedPass,
}

impl State {
    /// Returns the property that this state violates, if any.
    pub fn check(&self) -> Option<Violation> {
        let [first, others @ ..] = &self.group.ranks;
        let mixed = others.iter().any(|rank| rank.used != first.used);
        mixed.then_some(Violation::MixedPass)
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
