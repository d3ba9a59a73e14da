//! The property and its exploration.

use pathfinding::directed::bfs::{bfs, bfs_reach};

use super::state::{Setup, State};

/// A property that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A pass began with different maps.
    MixedPass,
}

impl State {
    /// The property that this state violates, if any.
    pub fn check(&self) -> Option<Violation> {
        let [first, others @ ..] = &self.group.ranks;
        let mixed = others.iter().any(|rank| rank.used != first.used);
        mixed.then_some(Violation::MixedPass)
    }
}

/// Shortest sequence of states that ends in `violation`.
pub fn find(setup: &Setup, violation: Violation) -> Option<Vec<State>> {
    let success = |state: &State| state.check() == Some(violation);
    bfs(&State::new(setup), |state| state.successors(setup), success)
}

/// Number of reachable states.
pub fn count(setup: &Setup) -> usize {
    bfs_reach(State::new(setup), |state| state.successors(setup)).count()
}
