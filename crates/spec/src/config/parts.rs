//! Sheets stored in parts: writes, views that discard old parts, and deletion of
//! parts on the platform.
//!
//! A sheet refers to one part by name; the name stands for the content. Two
//! operators write sheets that refer to one of two parts, one view follows the
//! platform from whichever revision it has, and a second view pulls from the
//! first.

use pathfinding::directed::bfs::bfs_reach;

/// Number of different parts.
const PARTS: usize = 2;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// A sheet refers to an existing part that is not written again.
    PartReused,
    /// The sheet is written before its part.
    SheetFirst,
    /// Views also discard unreferenced parts that are newer than the sheet.
    NewPartsDropped,
    /// A part is deleted without a check of its version.
    UnconditionalDelete,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of sheets that each operator tries to write.
    pub attempts: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

/// Versions of the objects; 0 if an object does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Objects {
    parts: [u8; PARTS],
    sheet: u8,
    /// Index of the part that the sheet refers to.
    referenced: usize,
}

impl Objects {
    /// Returns whether the part that the sheet refers to exists.
    fn is_complete(&self) -> bool {
        self.sheet == 0 || self.parts[self.referenced] > 0
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// Has read the objects; writes the part next.
    Part(Objects, usize),
    /// Writes the sheet next.
    Sheet(Objects, usize),
    /// Deletes this version of the part next, unless the part was rewritten.
    Delete(usize, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    phase: Phase,
    attempts: u8,
}

/// State of the platform, the operators and the views.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    revision: u8,
    objects: Objects,
    operators: [Operator; 2],
    /// The first view follows the platform, the second one the first.
    views: [View; 2],
}

/// The objects of a view, and the revision up to which it is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct View {
    version: u8,
    objects: Objects,
}

impl View {
    /// Merges the objects that are newer than the view's version. A pull at a
    /// revision is equivalent to a watch that has delivered up to it.
    fn merge(&mut self, source: &Objects, version: u8, settings: &Settings) {
        let since = self.version;
        for part in 0..PARTS {
            if source.parts[part] > since {
                self.objects.parts[part] = source.parts[part];
            }
        }
        if source.sheet > since {
            self.objects.sheet = source.sheet;
            self.objects.referenced = source.referenced;
        }
        self.version = version;
        let keep_new = settings.mistake != Some(Mistake::NewPartsDropped);
        for part in 0..PARTS {
            let is_new = self.objects.parts[part] > self.objects.sheet;
            if part != self.objects.referenced && !(is_new && keep_new) {
                self.objects.parts[part] = 0;
            }
        }
    }
}

impl State {
    /// Returns the initial state, in which nothing is written.
    pub fn initial(settings: &Settings) -> Self {
        let operator = Operator {
            phase: Phase::Idle,
            attempts: settings.attempts,
        };
        State {
            revision: 0,
            objects: Objects::default(),
            operators: [operator.clone(), operator],
            views: [View::default(), View::default()],
        }
    }

    /// Returns whether the platform or a view has a sheet without its part.
    pub fn is_incomplete(&self) -> bool {
        let incomplete = |view: &View| !view.objects.is_complete();
        !self.objects.is_complete() || self.views.iter().any(incomplete)
    }

    /// Returns all states that one step leads to.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        let mut states = Vec::new();
        if self.is_incomplete() {
            return states;
        }
        for index in 0..self.operators.len() {
            self.step_operator(index, settings, &mut states);
        }
        let [first, second] = &self.views;
        if first.version < self.revision {
            let mut state = self.clone();
            state.views[0].merge(&self.objects, self.revision, settings);
            states.push(state);
        }
        if second.version < first.version {
            let mut state = self.clone();
            state.views[1].merge(&first.objects, first.version, settings);
            states.push(state);
        }
        states
    }

    fn step_operator(&self, index: usize, settings: &Settings, states: &mut Vec<State>) {
        let mut state = self.clone();
        match self.operators[index].phase.clone() {
            Phase::Idle if self.operators[index].attempts > 0 => {
                for part in 0..PARTS {
                    let mut state = self.clone();
                    state.operators[index].attempts -= 1;
                    state.operators[index].phase = match settings.mistake {
                        Some(Mistake::SheetFirst) => Phase::Sheet(self.objects.clone(), part),
                        _ => Phase::Part(self.objects.clone(), part),
                    };
                    states.push(state);
                }
                return;
            }
            Phase::Idle => return,
            Phase::Part(read, part) => state.write_part(index, read, part, settings),
            Phase::Sheet(read, part) => state.write_sheet(index, &read, part, settings),
            Phase::Delete(part, version) => {
                state.operators[index].phase = Phase::Idle;
                let unchanged = state.objects.parts[part] == version
                    || settings.mistake == Some(Mistake::UnconditionalDelete);
                if unchanged && state.objects.parts[part] > 0 {
                    state.revision += 1;
                    state.objects.parts[part] = 0;
                }
            }
        }
        states.push(state);
    }

    fn write_part(&mut self, index: usize, read: Objects, part: usize, settings: &Settings) {
        let referenced = read.sheet > 0 && read.referenced == part;
        let reused = settings.mistake == Some(Mistake::PartReused) && read.parts[part] > 0;
        let version = self.objects.parts[part];
        // If another operator wrote the part after the read, no write is needed;
        // if the part was deleted since, it is written again.
        let unchanged = version == read.parts[part] || version == 0;
        if !referenced && !reused && unchanged {
            self.revision += 1;
            self.objects.parts[part] = self.revision;
        }
        self.operators[index].phase = Phase::Sheet(read, part);
    }

    fn write_sheet(&mut self, index: usize, read: &Objects, part: usize, settings: &Settings) {
        self.operators[index].phase = Phase::Idle;
        if self.objects.sheet != read.sheet {
            return;
        }
        self.revision += 1;
        self.objects.sheet = self.revision;
        self.objects.referenced = part;
        if settings.mistake == Some(Mistake::SheetFirst) {
            self.operators[index].phase = Phase::Part(self.objects.clone(), part);
            return;
        }
        let other = 1 - part;
        let version = self.objects.parts[other];
        if version > 0 && version < self.objects.sheet {
            self.operators[index].phase = Phase::Delete(other, version);
        }
    }
}

/// Explores all reachable states; returns their number and whether any has a sheet
/// without its part.
pub fn explore(settings: &Settings) -> (usize, bool) {
    let mut states = 0;
    let mut incomplete = false;
    for state in bfs_reach(State::initial(settings), |state| state.successors(settings)) {
        states += 1;
        incomplete |= state.is_incomplete();
    }
    (states, incomplete)
}
