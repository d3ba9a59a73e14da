//! Membership: states of entries and hosts, exchanged between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::config::Snapshot;
use berylgw_core::host::Entry;
use berylgw_core::identity::{Identity, Role};
use berylgw_core::member::{Observation, State, Table};
use berylgw_platform::Host;
use berylgw_wire as wire;
use futures_util::future::join_all;

use crate::shared::Shared;
use crate::sync;

/// Timeout of a call that sends a change to a peer.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Version that requests no objects, because none is newer.
pub const NO_OBJECTS: u64 = u64::MAX;

/// Membership as one entry knows it.
pub struct Members {
    pub table: Table,
    pub identity: Identity,
    /// Address of the callers' interface.
    pub address: SocketAddr,
    /// Time of the last directory answer.
    answered: Option<Instant>,
    /// Time of the last directory answer with the address of this entry.
    answered_own: Option<Instant>,
    hosts: Hosts,
}

/// Newest host list, read by this entry or received from another one.
#[derive(Default)]
struct Hosts {
    read_at: Option<Instant>,
    leaving: Vec<(Arc<str>, Option<SocketAddr>)>,
}

/// Sorted names of excluded hosts.
#[derive(Default)]
pub struct Excluded {
    /// Hosts that leave, excluded from the directory and from routing.
    pub leaving: Vec<Arc<str>>,
    /// Entries that do not answer, excluded from the directory only.
    pub down: Vec<Arc<str>>,
}

impl Members {
    pub fn new(incarnation: u64, address: SocketAddr) -> Self {
        Members {
            table: Table::default(),
            identity: Identity::new(incarnation),
            address,
            answered: None,
            answered_own: None,
            hosts: Hosts::default(),
        }
    }

    /// Records the time of a directory answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// Records the time of a directory answer with the address of this entry.
    pub fn record_own_answer(&mut self, now: Instant) {
        self.answered_own = Some(now);
    }

    /// Returns the remaining validity of the last directory answer.
    pub fn answer_validity(&self, now: Instant, lifetime: Duration) -> Duration {
        remaining(self.answered, now, lifetime)
    }

    /// Returns the remaining validity of the last directory answer with the
    /// address of this entry.
    pub fn own_answer_validity(&self, now: Instant, lifetime: Duration) -> Duration {
        remaining(self.answered_own, now, lifetime)
    }

    /// Stores a host list if it is newer; returns whether the leaving hosts changed.
    pub fn update_hosts(
        &mut self,
        read_at: Instant,
        mut leaving: Vec<(Arc<str>, Option<SocketAddr>)>,
    ) -> bool {
        if self.hosts.read_at.is_some_and(|known| known >= read_at) {
            return false;
        }
        leaving.sort();
        let changed = self.hosts.leaving != leaving;
        self.hosts = Hosts {
            read_at: Some(read_at),
            leaving,
        };
        changed
    }

    /// Returns the names to exclude. `own` is the name of this entry if it is
    /// leaving.
    pub fn excluded(&self, snapshot: &Snapshot, own: Option<&Arc<str>>) -> Excluded {
        let mut excluded = Excluded::default();
        let entries = &snapshot.sheet.entries;
        let find = |name: &str| {
            let index = entries.binary_search_by(|entry| (*entry.name).cmp(name));
            index.ok().map(|index| &entries[index])
        };
        for (name, address) in &self.hosts.leaving {
            // The leaving process has been replaced by one at another address.
            let moved = |entry: &Entry| {
                *address != Some(entry.address)
                    && (self.table.has_answered(entry) || entry.address == self.address)
            };
            if !find(name).is_some_and(moved) {
                excluded.leaving.push(name.clone());
            }
        }
        for entry in entries {
            match self.table.state(entry) {
                State::Open => {}
                State::Leaving => excluded.leaving.push(entry.name.clone()),
                State::Down => excluded.down.push(entry.name.clone()),
            }
        }
        if let Some(own) = own {
            let moved = |entry: &Entry| entry.address != self.address && self.is_replaced();
            if !find(own).is_some_and(moved) {
                excluded.leaving.push(own.clone());
            }
        }
        excluded.leaving.sort();
        excluded.leaving.dedup();
        excluded
    }

    /// Returns whether another process answers at the address in the sheet.
    pub fn is_replaced(&self) -> bool {
        matches!(self.identity.role(), Role::Standby | Role::Superseded)
    }
}

fn remaining(at: Option<Instant>, now: Instant, lifetime: Duration) -> Duration {
    at.map_or(Duration::ZERO, |at| lifetime.saturating_sub(now.since(at)))
}

/// Returns the observations to send to another entry.
pub fn to_wire(shared: &Shared) -> Vec<wire::Member> {
    let now = shared.now();
    let changes = shared.members().table.recent_changes(now);
    changes
        .iter()
        .map(|observation| encode(observation, now))
        .collect()
}

fn encode(observation: &Observation, now: Instant) -> wire::Member {
    let state = match observation.state {
        State::Open => wire::MemberState::Open,
        State::Leaving => wire::MemberState::Leaving,
        State::Down => wire::MemberState::Down,
    };
    wire::Member {
        name: observation.name.to_string(),
        incarnation: observation.incarnation,
        address: observation.address.to_string(),
        state: state.into(),
        age_ms: now.since(observation.at).as_millis() as u64,
    }
}

fn decode(member: &wire::Member, now: Instant) -> Option<Observation> {
    let state = match member.state() {
        wire::MemberState::Open => State::Open,
        wire::MemberState::Leaving => State::Leaving,
        wire::MemberState::Down => State::Down,
        wire::MemberState::Unspecified => return None,
    };
    Some(Observation {
        name: member.name.as_str().into(),
        incarnation: member.incarnation,
        address: member.address.parse().ok()?,
        state,
        at: before(now, member.age_ms),
    })
}

fn before(now: Instant, age_ms: u64) -> Instant {
    let age = Duration::from_millis(age_ms);
    Instant::ORIGIN + now.since(Instant::ORIGIN).saturating_sub(age)
}

/// Returns whether the sheet refers to this process, as far as can be
/// determined.
pub async fn holds_name(shared: &Shared) -> bool {
    let Some(own) = own_entry(shared) else {
        return true;
    };
    if own.address == shared.members().address {
        return true;
    }
    // The address may be that of another process, or this one behind address
    // translation.
    let request = sync::request(shared, NO_OBJECTS);
    let call = sync::exchange(shared, own.peer_address, request);
    let Ok(Ok(reply)) = tokio::time::timeout(NOTIFY_TIMEOUT, call).await else {
        // A host may be unable to reach its own translated address.
        return !shared.members().is_replaced();
    };
    let sender = reply.sender.as_ref();
    sender.is_some_and(|sender| sender.incarnation == shared.incarnation)
}

/// Returns the row of this entry in the sheet.
pub fn own_entry(shared: &Shared) -> Option<Entry> {
    let snapshot = shared.current.borrow().snapshot.clone();
    let mut entries = snapshot.sheet.entries.iter();
    let own = entries.find(|entry| entry.name == shared.settings.name);
    own.cloned()
}

/// Merges the observations of another entry.
pub fn merge(shared: &Shared, members: &[wire::Member]) {
    let now = shared.now();
    let snapshot = shared.current.borrow().snapshot.clone();
    for observation in members.iter().filter_map(|member| decode(member, now)) {
        let entries = snapshot.sheet.entries.iter();
        let mut named = entries.filter(|entry| entry.name == observation.name);
        if !named.any(|entry| entry.address == observation.address) {
            continue;
        }
        if observation.name == shared.settings.name {
            if observation.incarnation != shared.incarnation || observation.state == State::Down {
                // Other entries must learn that this process answers.
                reassert(shared, &observation);
            }
            continue;
        }
        observe(shared, observation);
    }
}

fn reassert(shared: &Shared, observation: &Observation) {
    if *shared.stopping.borrow() || shared.members().is_replaced() {
        return;
    }
    let own = Observation {
        incarnation: shared.incarnation,
        state: State::Open,
        at: shared.now(),
        ..observation.clone()
    };
    let mut members = shared.members();
    // Only a change of the stored state is sent. Storing the outdated
    // observation first makes the corrected one a change.
    members.table.merge(shared.now(), observation.clone());
    members.table.merge(shared.now(), own);
}

/// Records the state of an entry.
pub fn observe(shared: &Shared, observation: Observation) {
    let now = shared.now();
    let (name, state) = (observation.name.clone(), observation.state);
    if shared.members().table.merge(now, observation) {
        tracing::info!(entry = %name, ?state, "entry changed state");
        shared.members_changed.notify_one();
    }
}

/// Records whether the entry with the peer address `peer` answered.
pub fn record_contact(shared: &Shared, peer: SocketAddr, sender: Option<&wire::Sender>) {
    let snapshot = shared.current.borrow().snapshot.clone();
    let mut entries = snapshot.sheet.entries.iter();
    let Some(entry) = entries.find(|entry| entry.peer_address == peer) else {
        return;
    };
    if entry.name == shared.settings.name {
        return;
    }
    let state = match sender {
        Some(_) => State::Open,
        None => State::Down,
    };
    let observation = Observation {
        name: entry.name.clone(),
        incarnation: sender.map_or(0, |sender| sender.incarnation),
        address: entry.address,
        state,
        at: shared.now(),
    };
    observe(shared, observation);
}

/// Stores a host list received from another entry.
pub fn merge_hosts(shared: &Shared, list: &wire::HostList) {
    let read_at = before(shared.now(), list.age_ms);
    let leaving = list.leaving.iter();
    let leaving = leaving.map(|host| (host.name.as_str().into(), host.address.parse().ok()));
    if shared.members().update_hosts(read_at, leaving.collect()) {
        shared.members_changed.notify_one();
    }
}

/// Stores a host list read by this entry; returns the message for other entries
/// if the leaving hosts changed.
pub fn read_hosts(shared: &Shared, read_at: Instant, hosts: &[Host]) -> Option<wire::HostList> {
    let leaving = || hosts.iter().filter(|host| *host.state == *"leaving");
    let own = leaving().map(|host| (host.name.clone(), Some(host.address)));
    if !shared.members().update_hosts(read_at, own.collect()) {
        return None;
    }
    shared.members_changed.notify_one();
    let encoded = leaving().map(|host| wire::LeavingHost {
        name: host.name.to_string(),
        address: host.address.to_string(),
    });
    Some(wire::HostList {
        leaving: encoded.collect(),
        age_ms: shared.now().since(read_at).as_millis() as u64,
    })
}

/// Sends a changed host list to all other entries.
pub async fn send_hosts(shared: Arc<Shared>, list: wire::HostList) {
    let snapshot = shared.current().snapshot;
    let others = snapshot.sheet.entries.iter();
    let others = others.filter(|entry| entry.name != shared.settings.name);
    let calls = others.map(|entry| {
        let request = wire::PullRequest {
            hosts: Some(list.clone()),
            ..sync::request(&shared, NO_OBJECTS)
        };
        let call = sync::exchange(&shared, entry.peer_address, request);
        tokio::time::timeout(NOTIFY_TIMEOUT, call)
    });
    // An unreachable entry reads the list itself.
    let _ = join_all(calls).await;
}
