//! Concurrent updates of the sheet by several operators through conditional
//! updates whose calls and responses may be lost or late.

use pathfinding::directed::bfs::bfs_reach;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// The platform applies an update without checking the version.
    Unconditional,
    /// An operator treats a lost response as a failure: it reads the new version
    /// and writes again on top of it.
    LostResponseIsFailure,
    /// An operator treats a conflict after a lost response as a lost race without
    /// reading back.
    ConflictIsLoss,
    /// An operator concludes that it lost if its nonce is not on the newest version,
    /// without reading the history.
    OnlyNewestRead,
}

/// A safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Property {
    /// At most one write is based on each version.
    OneWinner,
    /// No operator's sheet is applied twice.
    AppliedOnce,
    /// The write of an operator that reports success was applied.
    WonIsTrue,
    /// The write of an operator that reports a loss was not applied and never will
    /// be.
    LostIsTrue,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of operators.
    pub operators: u8,
    /// Number of calls that one operator may make.
    pub call_limit: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

/// An applied write; its revision is its position in the log, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Write {
    operator: u8,
    /// Revision that the write replaced.
    replaced: u8,
    /// Revision that the operator had read.
    base: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// Waits for the response to a call.
    Waiting,
    /// The outcome of a call is not known.
    Uncertain,
    Won,
    Lost,
    /// The history that would show the outcome is no longer kept.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    phase: Phase,
    base: u8,
    calls: u8,
    /// Whether an earlier response was lost.
    response_lost: bool,
    /// Expected versions of calls in flight to the platform.
    in_flight: Vec<u8>,
    /// Response in flight: whether the update was applied.
    response: Option<bool>,
}

/// State of the platform's log and of all operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    log: Vec<Write>,
    operators: Vec<Operator>,
}

impl State {
    /// Returns the initial state, in which nothing is written and no operator has
    /// started.
    pub fn initial(settings: &Settings) -> Self {
        let operator = Operator {
            phase: Phase::Idle,
            base: 0,
            calls: 0,
            response_lost: false,
            in_flight: Vec::new(),
            response: None,
        };
        State {
            log: Vec::new(),
            operators: vec![operator; usize::from(settings.operators)],
        }
    }

    fn version(&self) -> u8 {
        self.log.len() as u8
    }

    fn writes_of(&self, operator: usize) -> usize {
        let by_operator = |write: &&Write| usize::from(write.operator) == operator;
        self.log.iter().filter(by_operator).count()
    }

    /// Returns the first property that this state violates, if any.
    pub fn violation(&self) -> Option<Property> {
        if self.log.iter().any(|write| write.base != write.replaced) {
            return Some(Property::OneWinner);
        }
        for (index, operator) in self.operators.iter().enumerate() {
            let writes = self.writes_of(index);
            let property = match operator.phase {
                _ if writes > 1 => Property::AppliedOnce,
                Phase::Won if writes == 0 => Property::WonIsTrue,
                Phase::Lost if writes > 0 => Property::LostIsTrue,
                _ => continue,
            };
            return Some(property);
        }
        None
    }

    /// Returns all states that one step leads to.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        let mut states = Vec::new();
        if self.violation().is_some() {
            return states;
        }
        for index in 0..self.operators.len() {
            self.send_call(index, settings, &mut states);
            self.deliver_call(index, settings, &mut states);
            self.receive_response(index, settings, &mut states);
            self.read_back(index, settings, &mut states);
        }
        states
    }

    fn with_operator(&self, index: usize, change: impl FnOnce(&mut Operator)) -> State {
        let mut state = self.clone();
        change(&mut state.operators[index]);
        state
    }

    fn send_call(&self, index: usize, settings: &Settings, states: &mut Vec<State>) {
        let operator = &self.operators[index];
        if operator.phase != Phase::Idle || operator.calls >= settings.call_limit {
            return;
        }
        let version = self.version();
        states.push(self.with_operator(index, |operator| {
            operator.base = version;
            operator.phase = Phase::Waiting;
            operator.calls += 1;
            operator.in_flight.push(version);
        }));
    }

    /// Delivers a call to the platform, which applies or rejects it, or loses it.
    fn deliver_call(&self, index: usize, settings: &Settings, states: &mut Vec<State>) {
        for call in 0..self.operators[index].in_flight.len() {
            let mut state = self.clone();
            let operator = &mut state.operators[index];
            let base = operator.in_flight.remove(call);
            states.push(state.clone());
            let version = self.version();
            let applied = base == version || settings.mistake == Some(Mistake::Unconditional);
            state.operators[index].response = Some(applied);
            if applied {
                state.log.push(Write {
                    operator: index as u8,
                    replaced: version,
                    base,
                });
            }
            states.push(state);
        }
    }

    /// Delivers a response, or lets the operator's wait for it time out.
    fn receive_response(&self, index: usize, settings: &Settings, states: &mut Vec<State>) {
        let operator = &self.operators[index];
        if operator.phase != Phase::Waiting {
            return;
        }
        states.push(self.with_operator(index, |operator| {
            operator.phase = Phase::Uncertain;
            operator.response_lost = true;
            operator.response = None;
        }));
        let Some(applied) = operator.response else {
            return;
        };
        let trusted = !operator.response_lost || settings.mistake == Some(Mistake::ConflictIsLoss);
        states.push(self.with_operator(index, |operator| {
            operator.response = None;
            operator.phase = match applied {
                true => Phase::Won,
                false if trusted => Phase::Lost,
                false => Phase::Uncertain,
            };
        }));
    }

    fn read_back(&self, index: usize, settings: &Settings, states: &mut Vec<State>) {
        let operator = &self.operators[index];
        if operator.phase != Phase::Uncertain {
            return;
        }
        let mistake = settings.mistake;
        if mistake == Some(Mistake::LostResponseIsFailure) {
            states.push(self.with_operator(index, |operator| operator.phase = Phase::Idle));
            return;
        }
        let newest = self.log.last().map(|write| usize::from(write.operator));
        let in_phase = |phase| self.with_operator(index, |operator| operator.phase = phase);
        if newest == Some(index) {
            states.push(in_phase(Phase::Won));
            return;
        }
        if self.version() != operator.base {
            let found = self.writes_of(index) > 0;
            let read_history = mistake != Some(Mistake::OnlyNewestRead);
            states.push(match found && read_history {
                true => in_phase(Phase::Won),
                false => in_phase(Phase::Lost),
            });
            if read_history {
                states.push(in_phase(Phase::Unknown));
            }
            return;
        }
        if operator.calls >= settings.call_limit {
            return;
        }
        // The expected version stays that of the first call.
        states.push(self.with_operator(index, |operator| {
            operator.phase = Phase::Waiting;
            operator.calls += 1;
            operator.in_flight.push(operator.base);
        }));
    }
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings {
    /// Number of states reached.
    pub states: usize,
    /// Violated properties, sorted.
    pub violations: Vec<Property>,
}

/// Explores all reachable states.
pub fn explore(settings: &Settings) -> Findings {
    let mut findings = Findings {
        states: 0,
        violations: Vec::new(),
    };
    for state in bfs_reach(State::initial(settings), |state| state.successors(settings)) {
        findings.states += 1;
        findings.violations.extend(state.violation());
    }
    findings.violations.sort();
    findings.violations.dedup();
    findings
}
