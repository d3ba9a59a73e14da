//! States and transitions of the expert map switch of a group in lock-step.

/// Number of ranks in the group; rank 0 stamps the steps.
pub const RANKS: usize = 3;

/// An expert map, encoded as twice its number, plus 1 if another map with the same
/// number was written before.
///
/// Numbers are unique unless `UnconditionalWrite` is set; then two maps with one
/// number are told apart by the last bit.
type Map = u8;

/// The map that every rank starts with.
const FIRST: Map = 0;

/// A set of maps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Maps(u8);

impl Maps {
    fn only(map: Map) -> Self {
        Maps(1 << map)
    }

    fn has(self, map: Map) -> bool {
        self.0 & (1 << map) != 0
    }

    fn insert(&mut self, map: Map) {
        self.0 |= 1 << map;
    }

    fn remove(&mut self, map: Map) {
        self.0 &= !(1 << map);
    }

    fn iter(self) -> impl DoubleEndedIterator<Item = Map> {
        (0..8).filter(move |map| self.has(*map))
    }

    /// Returns the map in the set that has the same number as `map`.
    fn with_number(self, map: Map) -> Option<Map> {
        self.iter().find(|held| number(*held) == number(map))
    }
}

fn number(map: Map) -> u8 {
    map / 2
}

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// A rank without the stamped map takes part with its newest map.
    JoinWithoutMap,
    /// A rank uses its newest map and ignores the stamp.
    IgnoreStamp,
    /// Controllers write maps unconditionally, so numbers repeat.
    UnconditionalWrite,
    /// A controller commands the stamp before every rank has loaded the map.
    StampBeforeLoaded,
    /// A controller unloads the old map before the new one is stamped.
    UnloadBeforeStamped,
    /// A controller unloads the old map as soon as the new one is stamped, before a
    /// step with it has begun.
    UnloadBeforeStep,
    /// The first rank accepts a stamp with a lower number than its current one.
    StampDecreases,
    /// A rank that restarts during a step rejoins it with its initial map.
    RejoinAfterRestart,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of maps written after the first, at most 3.
    pub maps: u8,
    /// Number of rank restarts.
    pub restarts: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

/// One rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Rank {
    loaded: Maps,
    /// Maps that the rank has ever reported as loaded.
    ever_loaded: Maps,
    /// Map that the rank uses in the step in progress.
    pub(super) used: Option<Map>,
}

/// State of the whole system between two events, with the history that
/// controllers may know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    restarts: u8,
    pub(super) restarted: bool,
    /// Maps that were ever in the store.
    written: Maps,
    /// Maps with which rank 0 has ever reported a step as begun.
    ever_begun: Maps,
    stamp: Map,
    /// Stamp of the step in progress.
    pub(super) step: Option<Map>,
    pub(super) ranks: [Rank; RANKS],
}

impl State {
    /// Returns the initial state.
    pub fn new(settings: &Settings) -> Self {
        let rank = Rank {
            loaded: Maps::only(FIRST),
            ever_loaded: Maps::only(FIRST),
            used: None,
        };
        State {
            restarts: settings.restarts,
            restarted: false,
            written: Maps::only(FIRST),
            ever_begun: Maps::default(),
            stamp: FIRST,
            step: None,
            ranks: [rank; RANKS],
        }
    }

    /// Returns all states that one event leads to.
    pub fn successors(&self, settings: &Settings) -> Vec<State> {
        let mut next = Vec::new();
        self.write(settings, &mut next);
        for map in self.written.iter() {
            self.stamp(map, settings, &mut next);
            for rank in 0..RANKS {
                self.load(rank, map, &mut next);
                self.unload(rank, map, settings, &mut next);
            }
        }
        for rank in 0..RANKS {
            self.restart(rank, settings, &mut next);
            self.join(rank, settings, &mut next);
        }
        self.begin_step(&mut next);
        self.end_step(&mut next);
        for state in &mut next {
            // Ranks other than the first are interchangeable; sorting them
            // reduces the state space.
            state.ranks[1..].sort_unstable();
        }
        next
    }

    pub(super) fn has_stamped_map(&self, rank: &Rank) -> bool {
        let stamped = self.step.and_then(|map| rank.loaded.with_number(map));
        stamped.is_some()
    }

    fn change(&self, apply: impl FnOnce(&mut State)) -> State {
        let mut state = *self;
        apply(&mut state);
        state
    }

    /// Writes the next map on top of a version that some controller has read.
    fn write(&self, settings: &Settings, next: &mut Vec<State>) {
        let unconditional = settings.mistake == Some(Mistake::UnconditionalWrite);
        let newest = self.written.iter().next_back().unwrap_or(FIRST);
        let bases = self.written.iter();
        for base in bases.filter(|map| unconditional || *map == newest) {
            let mut map = 2 * (number(base) + 1);
            if number(map) > settings.maps {
                continue;
            }
            map += u8::from(self.written.has(map));
            next.push(self.change(|state| state.written.insert(map)));
        }
    }

    /// Delivers a load command, which may arrive for any written map.
    fn load(&self, rank: usize, map: Map, next: &mut Vec<State>) {
        // A rank that has loaded a map with this number keeps it.
        if self.ranks[rank].loaded.with_number(map).is_some() {
            return;
        }
        next.push(self.change(|state| {
            state.ranks[rank].loaded.insert(map);
            state.ranks[rank].ever_loaded.insert(map);
        }));
    }

    /// Delivers a stamp command to rank 0, which is sent after every rank has
    /// reported the map as loaded.
    fn stamp(&self, map: Map, settings: &Settings, next: &mut Vec<State>) {
        let early = settings.mistake == Some(Mistake::StampBeforeLoaded);
        let allow_older = settings.mistake == Some(Mistake::StampDecreases);
        let sent = early || self.all_loaded(map);
        let newer = allow_older || number(map) >= number(self.stamp);
        if !sent || !newer || !self.ranks[0].loaded.has(map) {
            return;
        }
        next.push(self.change(|state| {
            state.stamp = map;
            if settings.mistake == Some(Mistake::UnloadBeforeStep) {
                state.ever_begun.insert(map);
            }
        }));
    }

    /// Delivers an unload command to a rank, which is sent after a step with a newer
    /// map has begun.
    fn unload(&self, rank: usize, map: Map, settings: &Settings, next: &mut Vec<State>) {
        let early = settings.mistake == Some(Mistake::UnloadBeforeStamped);
        let newer = self.written.iter().filter(|new| number(*new) > number(map));
        let sent = { newer }.any(|new| self.ever_begun.has(new) || (early && self.all_loaded(new)));
        let target = &self.ranks[rank];
        let stamped = rank == 0 && self.stamp == map;
        let in_step = target.used == Some(map);
        if !sent || stamped || in_step || !target.loaded.has(map) {
            return;
        }
        next.push(self.change(|state| state.ranks[rank].loaded.remove(map)));
    }

    fn all_loaded(&self, map: Map) -> bool {
        self.ranks.iter().all(|rank| rank.ever_loaded.has(map))
    }

    /// Restarts a rank with the first map and aborts the step in progress.
    fn restart(&self, rank: usize, settings: &Settings, next: &mut Vec<State>) {
        if self.restarts == 0 {
            return;
        }
        next.push(self.change(|state| {
            state.restarts -= 1;
            state.restarted = true;
            state.ranks[rank].loaded = Maps::only(FIRST);
            if rank == 0 {
                state.stamp = FIRST;
            }
            let rejoin = settings.mistake == Some(Mistake::RejoinAfterRestart);
            if rejoin && rank != 0 && state.step.is_some() {
                state.ranks[rank].used = Some(FIRST);
                return;
            }
            state.clear_step();
        }));
    }

    fn clear_step(&mut self) {
        self.step = None;
        for rank in &mut self.ranks {
            rank.used = None;
        }
    }

    /// Lets rank 0 begin a step.
    fn begin_step(&self, next: &mut Vec<State>) {
        if self.step.is_some() {
            return;
        }
        next.push(self.change(|state| {
            state.step = Some(state.stamp);
            state.ranks[0].used = Some(state.stamp);
            state.ever_begun.insert(state.stamp);
        }));
    }

    /// Lets a rank take part in the step.
    fn join(&self, rank: usize, settings: &Settings, next: &mut Vec<State>) {
        let Some(stamp) = self.step else {
            return;
        };
        if self.ranks[rank].used.is_some() {
            return;
        }
        let Some(map) = self.map_for(rank, stamp, settings) else {
            return;
        };
        next.push(self.change(|state| state.ranks[rank].used = Some(map)));
    }

    fn map_for(&self, rank: usize, stamp: Map, settings: &Settings) -> Option<Map> {
        let loaded = self.ranks[rank].loaded;
        let newest = loaded.iter().next_back();
        // The stamp carries only the number of the map.
        let held = loaded.with_number(stamp);
        match settings.mistake {
            Some(Mistake::IgnoreStamp) => newest,
            Some(Mistake::JoinWithoutMap) => held.or(newest),
            _ => held,
        }
    }

    /// Ends the step once all ranks have taken part.
    fn end_step(&self, next: &mut Vec<State>) {
        let complete = self.ranks.iter().all(|rank| rank.used.is_some());
        if complete {
            next.push(self.change(State::clear_step));
        }
    }
}
