use std::collections::HashMap;

use pathfinding::directed::bfs::bfs_reach;

use super::state::{Phase, Settings, State};
use super::{Answer, agent, owner};

/// A violated safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request ran more than once.
    RanTwice,
    /// A caller received `not run`, but its attempt or one that was granted
    /// earlier ran.
    FalseNotRun,
    /// A caller received the result of another client account's request.
    ForeignResult,
}

impl State {
    /// Checks the safety properties.
    ///
    /// # Errors
    ///
    /// Returns the first violated property.
    pub fn check(&self, settings: &Settings) -> Result<(), Violation> {
        for account in 0..2 {
            let runs: u8 = (0..settings.attempts)
                .filter(|attempt| settings.account(*attempt) == account)
                .map(|attempt| self.attempts[attempt].runs)
                .sum();
            if runs > 1 {
                return Err(Violation::RanTwice);
            }
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            if attempt.answered_not_run && attempt.runs > 0 {
                return Err(Violation::FalseNotRun);
            }
            match attempt.phase {
                Phase::Answered(Answer::NotRun) if attempt.runs > 0 => {
                    return Err(Violation::FalseNotRun);
                }
                Phase::Answered(Answer::Done(account)) if account != settings.account(index) => {
                    return Err(Violation::ForeignResult);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns the successor states that no fault causes.
    pub fn fault_free_successors(&self, settings: &Settings) -> Vec<State> {
        let mut next = Vec::new();
        owner::steps(settings, self, &mut next);
        agent::steps(settings, self, &mut next);
        next
    }

    /// Returns all successor states.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        let mut next = self.fault_free_successors(settings);
        owner::faults(settings, self, &mut next);
        agent::faults(settings, self, &mut next);
        next
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

/// Returns the state nearest to the initial one that shows `violation`.
pub fn find(settings: &Settings, violation: Violation) -> Option<State> {
    bfs_reach(State::new(settings), |state| state.successors(settings))
        .find(|state| state.check(settings) == Err(violation))
}

/// Returns a state from which the last attempt, not yet sent, can no longer get
/// a result even if no further fault occurs.
///
/// `unknown` counts as a result only after the agent was replaced. States whose
/// token is close to `MAX_TOKEN`, the bound of the exploration, are
/// skipped.
pub fn find_stuck(settings: &Settings) -> Option<State> {
    let last = settings.attempts - 1;
    let states: Vec<State> = bfs_reach(State::new(settings), |state| state.successors(settings))
        .filter(|state| state.attempts[last].phase == Phase::Unsent)
        .filter(|state| state.store.token < 3)
        .collect();
    let mut known: HashMap<State, bool> = HashMap::new();
    states
        .into_iter()
        .find(|state| !can_answer(settings, state, last, &mut known))
}

fn can_answer(
    settings: &Settings,
    start: &State,
    last: usize,
    known: &mut HashMap<State, bool>,
) -> bool {
    if let Some(answer) = known.get(start) {
        return *answer;
    }
    let goal = bfs_reach(*start, |state| state.fault_free_successors(settings)).find(|state| {
        known.get(state) == Some(&true)
            || match state.attempts[last].phase {
                Phase::Answered(Answer::Done(_)) => true,
                Phase::Answered(Answer::Unknown) => state.incarnation > 0,
                _ => false,
            }
    });
    known.insert(*start, goal.is_some());
    goal.is_some()
}
