//! Propagation of accepted configuration versions to entries and agents.
//!
//! The platform applies a fixed sequence of writes: a sheet, the removal of a
//! failure domain, and then sheets that were exported before that removal. Entries
//! watch the platform, and processes pull from entries. Messages can be late,
//! reordered, repeated or lost, an entry can restart empty, and the platform can
//! have an outage. A process may pause: it then takes no step, and its messages arrive later.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs_reach;

/// A protocol bug, added on purpose, that exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// A merge replaces objects by older ones.
    MergeWithoutVersionCheck,
    /// A replica merges a delta that starts after its version.
    GapAccepted,
    /// A truncated delta sets the replica's version to that of the newest object
    /// that arrived.
    VersionOfNewestObject,
    /// An entry reopens its watch at the platform's revision instead of at its
    /// own version.
    WatchReopenedAtHead,
    /// Agents accept work of any version.
    AgentWithoutVersionCheck,
    /// The state of failure domains is stored in the sheet, so that writing a sheet
    /// overwrites it.
    DomainStateInSheet,
}

/// A safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Property {
    /// Neither the version of a replica nor that of one of its objects decreases.
    Monotonic,
    /// A replica with version V has the newest write up to V of each object.
    Complete,
    /// No agent accepts work stamped with a version older than its own.
    FreshWork,
    /// A removed failure domain stays removed.
    DomainStaysRemoved,
}

/// Name of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Name {
    /// The sheet.
    Sheet,
    /// The state of a failure domain.
    Domain,
}

impl Name {
    /// All objects.
    pub const ALL: [Name; 2] = [Name::Sheet, Name::Domain];
}

/// One version of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Item {
    /// Name of the object.
    pub name: Name,
    /// Revision of the write.
    pub version: u64,
}

/// One process's copy of the configuration.
pub trait Replica: Clone + Debug + Default + Eq + Hash {
    /// Returns the revision up to which the copy is complete.
    fn version(&self) -> u64;

    /// Returns the version of an object, or 0 if the object is not known.
    fn object_version(&self, name: Name) -> u64;

    /// Returns the objects that are newer than `since`.
    fn newer_than(&self, since: u64) -> Vec<Item>;

    /// Merges a complete delta from `since` to `version`.
    fn merge(&mut self, since: u64, version: u64, items: &[Item], mistake: Option<Mistake>);
}

/// The reference implementation of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Model {
    version: u64,
    object_versions: [u64; 2],
}

impl Replica for Model {
    fn version(&self) -> u64 {
        self.version
    }

    fn object_version(&self, name: Name) -> u64 {
        self.object_versions[name as usize]
    }

    fn newer_than(&self, since: u64) -> Vec<Item> {
        let mut items = Vec::new();
        for name in Name::ALL {
            let version = self.object_version(name);
            if version > since {
                items.push(Item { name, version });
            }
        }
        items
    }

    fn merge(&mut self, since: u64, version: u64, items: &[Item], mistake: Option<Mistake>) {
        let unchecked = mistake == Some(Mistake::MergeWithoutVersionCheck);
        let gap = since > self.version && mistake != Some(Mistake::GapAccepted);
        if gap || (version <= self.version && !unchecked) {
            return;
        }
        for item in items {
            let current = &mut self.object_versions[item.name as usize];
            if *current < item.version || unchecked {
                *current = item.version;
            }
        }
        self.version = version;
    }
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of entries; a single agent pulls from all of them.
    pub entries: usize,
    /// Number of writes on the platform.
    pub writes: u64,
    /// Highest number of messages in flight.
    pub message_limit: usize,
    /// Number of entry restarts.
    pub restarts: u8,
    /// Number of platform outages.
    pub outages: u8,
    /// Protocol bug added on purpose.
    pub mistake: Option<Mistake>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Reply {
        to: usize,
        since: u64,
        version: u64,
        items: Vec<Item>,
    },
    Work {
        stamp: u64,
    },
}

/// State of the platform and all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State<R> {
    revision: u64,
    platform_up: bool,
    outages: u8,
    restarts: u8,
    /// Replicas of the entries, followed by that of the agent.
    replicas: Vec<R>,
    /// Revision up to which the open watch of each entry has delivered.
    watches: Vec<Option<u64>>,
    messages: Vec<Message>,
    violation: Option<Property>,
}

/// Returns the object that the platform writes at `revision`: first a sheet, then
/// the removal of the failure domain, then only sheets exported before it.
fn written_object(revision: u64) -> Name {
    match revision {
        2 => Name::Domain,
        _ => Name::Sheet,
    }
}

/// Returns the revision of the newest write of an object up to `revision`, or 0 if
/// there is none.
fn newest_write(name: Name, revision: u64) -> u64 {
    (1..=revision)
        .rev()
        .find(|&write| written_object(write) == name)
        .unwrap_or(0)
}

fn is_removed<R: Replica>(replica: &R, mistake: Option<Mistake>) -> bool {
    let domain = replica.object_version(Name::Domain);
    match mistake {
        Some(Mistake::DomainStateInSheet) => domain > replica.object_version(Name::Sheet),
        _ => domain > 0,
    }
}

impl<R: Replica> State<R> {
    /// Returns the initial state, in which nothing is written and every replica is
    /// empty.
    pub fn initial(settings: &Settings) -> Self {
        State {
            revision: 0,
            platform_up: true,
            outages: settings.outages,
            restarts: settings.restarts,
            replicas: vec![R::default(); settings.entries + 1],
            watches: vec![None; settings.entries],
            messages: Vec::new(),
            violation: None,
        }
    }

    /// Returns the property that the last step violated, if any.
    pub fn violation(&self) -> Option<Property> {
        self.violation
    }

    /// Returns the lowest version among all replicas.
    pub fn lowest_version(&self) -> u64 {
        let versions = self.replicas.iter().map(R::version);
        versions.min().unwrap_or(0)
    }

    fn agent(&self) -> usize {
        self.replicas.len() - 1
    }

    /// Returns all states that one step leads to.
    pub fn successors(&self, settings: &Settings) -> Vec<Self> {
        let mut states = Vec::new();
        if self.violation.is_some() {
            return states;
        }
        self.step_platform(settings, &mut states);
        for entry in 0..self.agent() {
            self.watch(entry, settings, &mut states);
            self.restart_entry(entry, &mut states);
            self.send_work(entry, settings, &mut states);
        }
        self.pull(settings, &mut states);
        self.deliver_message(settings, &mut states);
        for state in &mut states {
            state.messages.sort();
            state.violation = state.violation.or_else(|| state.check(settings));
        }
        states
    }

    fn check(&self, settings: &Settings) -> Option<Property> {
        for replica in &self.replicas {
            let version = replica.version();
            for name in Name::ALL {
                if replica.object_version(name) < newest_write(name, version) {
                    return Some(Property::Complete);
                }
            }
            let removed = newest_write(Name::Domain, version) > 0;
            if removed && !is_removed(replica, settings.mistake) {
                return Some(Property::DomainStaysRemoved);
            }
        }
        None
    }

    fn step_platform(&self, settings: &Settings, states: &mut Vec<Self>) {
        if self.platform_up && self.revision < settings.writes {
            let mut state = self.clone();
            state.revision += 1;
            states.push(state);
        }
        if self.platform_up && self.outages > 0 {
            let mut state = self.clone();
            state.platform_up = false;
            state.outages -= 1;
            state.watches.fill(None);
            states.push(state);
        }
        if !self.platform_up {
            let mut state = self.clone();
            state.platform_up = true;
            states.push(state);
        }
    }

    fn watch(&self, entry: usize, settings: &Settings, states: &mut Vec<Self>) {
        if !self.platform_up {
            return;
        }
        let Some(cursor) = self.watches[entry] else {
            let at_head = settings.mistake == Some(Mistake::WatchReopenedAtHead);
            let mut state = self.clone();
            state.watches[entry] = Some(match at_head {
                true => self.revision,
                false => self.replicas[entry].version(),
            });
            states.push(state);
            return;
        };
        // The watch breaks without an error; the entry notices that heartbeats are
        // missing.
        let mut state = self.clone();
        state.watches[entry] = None;
        states.push(state);
        if cursor >= self.revision {
            return;
        }
        let mut state = self.clone();
        let version = cursor + 1;
        let item = Item {
            name: written_object(version),
            version,
        };
        let since = match settings.mistake {
            Some(Mistake::WatchReopenedAtHead) => cursor.min(self.replicas[entry].version()),
            _ => cursor,
        };
        state.watches[entry] = Some(version);
        state.merge(entry, since, version, &[item], settings);
        states.push(state);
    }

    fn restart_entry(&self, entry: usize, states: &mut Vec<Self>) {
        if self.restarts == 0 {
            return;
        }
        let mut state = self.clone();
        state.restarts -= 1;
        state.replicas[entry] = R::default();
        state.watches[entry] = None;
        states.push(state);
    }

    fn send_work(&self, entry: usize, settings: &Settings, states: &mut Vec<Self>) {
        let replica = &self.replicas[entry];
        let full = self.messages.len() >= settings.message_limit;
        if full || replica.version() == 0 {
            return;
        }
        let mut state = self.clone();
        state.messages.push(Message::Work {
            stamp: replica.version(),
        });
        states.push(state);
    }

    fn pull(&self, settings: &Settings, states: &mut Vec<Self>) {
        if self.messages.len() >= settings.message_limit {
            return;
        }
        for to in 0..self.replicas.len() {
            for from in 0..self.agent() {
                let since = self.replicas[to].version();
                let version = self.replicas[from].version();
                if from == to || version <= since {
                    continue;
                }
                let mut state = self.clone();
                state.messages.push(Message::Reply {
                    to,
                    since,
                    version,
                    items: self.replicas[from].newer_than(since),
                });
                states.push(state);
            }
        }
    }

    /// Delivers one message, complete or truncated, or loses it. A delivered
    /// message may be delivered again later.
    fn deliver_message(&self, settings: &Settings, states: &mut Vec<Self>) {
        for index in 0..self.messages.len() {
            let mut lost = self.clone();
            let message = lost.messages.remove(index);
            let mut delivered = lost.clone();
            let mut repeated = self.clone();
            delivered.receive(&message, settings);
            repeated.receive(&message, settings);
            states.extend([lost, delivered, repeated]);
            if let Some(state) = self.receive_truncated(&message, settings) {
                states.push(state);
            }
        }
    }

    fn receive(&mut self, message: &Message, settings: &Settings) {
        match message {
            Message::Reply {
                to,
                since,
                version,
                items,
            } => self.merge(*to, *since, *version, items, settings),
            Message::Work { stamp } => self.receive_work(*stamp, settings),
        }
    }

    /// Merges a truncated reply, which a replica discards unless
    /// [`Mistake::VersionOfNewestObject`] is added on purpose.
    fn receive_truncated(&self, message: &Message, settings: &Settings) -> Option<Self> {
        let Message::Reply {
            to, since, items, ..
        } = message
        else {
            return None;
        };
        if settings.mistake != Some(Mistake::VersionOfNewestObject) || items.len() < 2 {
            return None;
        }
        let mut state = self.clone();
        let newest_item = items.iter().max_by_key(|item| item.version)?;
        state.merge(*to, *since, newest_item.version, &[*newest_item], settings);
        Some(state)
    }

    fn merge(&mut self, to: usize, since: u64, version: u64, items: &[Item], settings: &Settings) {
        let before = self.replicas[to].clone();
        self.replicas[to].merge(since, version, items, settings.mistake);
        let after = &self.replicas[to];
        let decreased = |name| after.object_version(name) < before.object_version(name);
        if after.version() < before.version() || Name::ALL.into_iter().any(decreased) {
            self.violation = Some(Property::Monotonic);
        }
    }

    fn receive_work(&mut self, stamp: u64, settings: &Settings) {
        // The agent's own failure domain is not the one that is removed.
        let agent = &self.replicas[self.agent()];
        let unchecked = settings.mistake == Some(Mistake::AgentWithoutVersionCheck);
        if stamp < agent.version() && unchecked {
            self.violation = Some(Property::FreshWork);
        }
    }
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings {
    /// Number of states reached.
    pub states: usize,
    /// Highest version that all processes reached in one state.
    pub propagated_version: u64,
    /// Violated properties, sorted.
    pub violations: Vec<Property>,
}

/// Explores all reachable states.
pub fn explore<R: Replica>(settings: &Settings) -> Findings {
    let mut findings = Findings {
        states: 0,
        propagated_version: 0,
        violations: Vec::new(),
    };
    for state in bfs_reach(State::<R>::initial(settings), |state| {
        state.successors(settings)
    }) {
        findings.states += 1;
        findings.propagated_version = findings.propagated_version.max(state.lowest_version());
        findings.violations.extend(state.violation());
    }
    findings.violations.sort();
    findings.violations.dedup();
    findings
}
