//! The view: an entry's copy of the configuration, the server list and the
//! evacuations, by part.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use berylgw_core::clock;
use berylgw_core::freshness::Confirmation;
use berylgw_core::group::drained;
use berylgw_core::revision::Revision;
use berylgw_runtime::clock::uptime;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::backend::Server;
use crate::config::Configuration;

/// A part of the view and the position of its newest change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part<T> {
    /// Position of the newest change. That of the configuration has its version.
    pub revision: Revision,
    /// The value as of this revision.
    pub value: Arc<T>,
}

/// What [`Part::replace`] changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    None,
    Revision,
    Value,
}

impl<T: PartialEq> Part<T> {
    /// Replaces the part by `newer` if its revision is higher.
    fn replace(&mut self, newer: &Part<T>) -> Change {
        if newer.revision <= self.revision {
            return Change::None;
        }
        let change = if self.revision.is_known() && self.value == newer.value {
            Change::Revision
        } else {
            Change::Value
        };
        self.revision = newer.revision;
        self.value = newer.value.clone();
        change
    }
}

/// The current value of each part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Routes, services, keys and limits.
    pub configuration: Part<Configuration>,
    /// Backend servers, sorted by id.
    pub servers: Part<Vec<Server>>,
    /// Failure domains that get no new requests, sorted.
    pub evacuations: Part<Vec<Arc<str>>>,
}

/// Revisions of the parts, as exchanged between entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revisions {
    /// Revision of the configuration.
    pub configuration: Revision,
    /// Revision of the server list.
    pub servers: Revision,
    /// Revision of the evacuations.
    pub evacuations: Revision,
}

/// Name of a part of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Section {
    /// Routes, services, keys and limits.
    #[display("configuration")]
    Configuration,
    /// Backend servers.
    #[display("servers")]
    Servers,
    /// Failure domains that get no new requests.
    #[display("evacuations")]
    Evacuations,
}

impl Section {
    /// All sections, in the order of [`Publisher::told_ages_ms`].
    pub const ALL: [Section; 3] = [
        Section::Configuration,
        Section::Servers,
        Section::Evacuations,
    ];
}

impl Revisions {
    /// Returns the revision of a part.
    pub fn of(&self, section: Section) -> Revision {
        match section {
            Section::Configuration => self.configuration,
            Section::Servers => self.servers,
            Section::Evacuations => self.evacuations,
        }
    }
}

impl View {
    /// Returns the revisions of the parts.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.revision,
            servers: self.servers.revision,
            evacuations: self.evacuations.revision,
        }
    }

    /// Returns whether a configuration is known, so that requests can be
    /// routed.
    pub fn is_ready(&self) -> bool {
        self.configuration.revision.is_known()
    }

    /// Returns the highest era of the store that a part is from.
    pub fn era(&self) -> u64 {
        let revisions = self.revisions();
        let eras = [
            revisions.configuration.era(),
            revisions.servers.era(),
            revisions.evacuations.era(),
        ];
        eras.into_iter().max().unwrap_or(0)
    }
}

/// Origin of a change of the view, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// The store itself.
    #[display("store")]
    Store,
    /// Another entry.
    #[display("peer")]
    Peer,
}

/// Results of the store calls about a kind of object.
#[derive(Clone, Copy, Debug)]
struct StoreCalls {
    kind: &'static str,
    /// Whether the last call was answered.
    answered: bool,
    /// Time of the last answered call, or of the first call if none was
    /// answered.
    last_answer: Instant,
}

/// When a part was current, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Ages<'a> {
    /// Milliseconds since the store confirmed it to any entry.
    pub age_ms: Option<u64>,
    /// Milliseconds since the store confirmed it to this entry.
    pub direct_age_ms: Option<u64>,
    /// Host of the entry that told the former age, if it is not this one.
    pub reporter: Option<&'a str>,
}

impl<'a> Ages<'a> {
    /// Returns the current ages of a confirmation.
    pub fn of(confirmation: &'a Confirmation) -> Self {
        let now = uptime();
        let millis = |age: Duration| age.as_millis() as u64;
        Ages {
            age_ms: confirmation.age(now).map(millis),
            direct_age_ms: confirmation.direct_age(now).map(millis),
            reporter: confirmation.reporter().map(|by| &**by),
        }
    }
}

/// Holder of the current view, through which all changes go.
///
/// A part is never replaced by an older revision, whatever its source.
///
/// ```
/// use berylgw_direct::view::{Part, Publisher, Source};
/// use std::sync::Arc;
///
/// let views = Publisher::default();
/// let newer = Part { revision: 7.into(), value: Arc::new(vec!["dock".into()]) };
/// let older = Part { revision: 6.into(), value: Arc::new(vec![]) };
/// assert!(views.set_evacuations(newer, Source::Store));
/// assert!(!views.set_evacuations(older, Source::Peer));
/// ```
#[derive(Clone, Debug)]
pub struct Publisher {
    sender: Arc<watch::Sender<Arc<View>>>,
    /// Servers that were seen to drain; locked while the view is written.
    drained: Arc<Mutex<drained::Table>>,
    /// Time at which the store was found to have come back from a copy, by this entry
    /// or another one.
    restored_at: Arc<Mutex<Option<Instant>>>,
    store_calls: Arc<Mutex<Vec<StoreCalls>>>,
    /// In the order of [`Section::ALL`].
    confirmations: Arc<Mutex<[Confirmation; Section::ALL.len()]>>,
    confirmed: Arc<Notify>,
}

impl Default for Publisher {
    fn default() -> Self {
        Publisher {
            sender: Arc::new(watch::Sender::new(Arc::default())),
            drained: Arc::default(),
            restored_at: Arc::default(),
            store_calls: Arc::default(),
            confirmations: Arc::default(),
            confirmed: Arc::default(),
        }
    }
}

impl Publisher {
    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.sender.borrow().clone()
    }

    /// Records whether the store answered a call about `kind`.
    pub fn record_store_call(&self, kind: &'static str, answered: bool) {
        let mut store_calls = self
            .store_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        match store_calls.iter_mut().find(|calls| calls.kind == kind) {
            Some(calls) if answered => {
                calls.answered = true;
                calls.last_answer = now;
            }
            Some(calls) => calls.answered = false,
            None => store_calls.push(StoreCalls {
                kind,
                answered,
                last_answer: now,
            }),
        }
    }

    /// Returns whether the last call about each kind of object was answered.
    pub fn store_reachable(&self) -> bool {
        let store_calls = self
            .store_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        store_calls.iter().all(|calls| calls.answered)
    }

    /// Returns the time since the store last answered, or since the first call
    /// if it never did, by kind of object.
    pub fn store_ages(&self) -> Vec<(&'static str, Duration)> {
        let store_calls = self
            .store_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let ages = store_calls
            .iter()
            .map(|calls| (calls.kind, calls.last_answer.elapsed()));
        ages.collect()
    }

    /// Records that the store confirmed a part to this entry `age` ago: no change until
    /// then was above `revision`, which the view has.
    pub fn confirm(&self, section: Section, revision: Revision, age: Duration) {
        let at = uptime().before(age);
        self.lock_confirmations()[section as usize].confirm(revision, at);
    }

    /// Records that the store confirmed a part at `at`, by the time since the host booted,
    /// to the entry at the host `by`: no change until then was above the revision that the
    /// view has.
    pub fn report(&self, section: Section, at: clock::Instant, by: &Arc<str>) {
        self.lock_confirmations()[section as usize].report(at, by);
    }

    /// Returns what is known of when a part was current.
    pub fn confirmation(&self, section: Section) -> Confirmation {
        self.lock_confirmations()[section as usize].clone()
    }

    /// Returns the time since the store confirmed a part, `None` if it never has.
    pub fn confirmation_age(&self, section: Section) -> Option<Duration> {
        self.lock_confirmations()[section as usize].age(uptime())
    }

    /// Returns what to tell other entries: the milliseconds since the store confirmed to
    /// this one each part that has at least the revision in `revisions`, `None` if the
    /// part is older or the store never has.
    pub fn told_ages_ms(&self, revisions: &Revisions) -> [Option<u32>; 3] {
        let known = self.lock_confirmations();
        let now = uptime();
        Section::ALL.map(|section| {
            let confirmation = &known[section as usize];
            confirmation.told_age_ms(now, revisions.of(section))
        })
    }

    fn lock_confirmations(&self) -> MutexGuard<'_, [Confirmation; 3]> {
        let confirmations = self.confirmations.lock();
        confirmations.unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces that the store has confirmed a part to this entry, so that others need
    /// not read it.
    pub fn announce_confirmation(&self) {
        self.confirmed.notify_one();
    }

    /// Waits until a confirmation is announced.
    pub async fn confirmation_announced(&self) {
        self.confirmed.notified().await;
    }

    /// Returns the time since the store was found to have come back from a copy, `None`
    /// if it has not since the start.
    pub fn restore_age(&self) -> Option<Duration> {
        let restored_at = self.restored_at.lock();
        let restored_at = *restored_at.unwrap_or_else(PoisonError::into_inner);
        restored_at.map(|at| at.elapsed())
    }

    /// Returns a receiver of the current and all later views.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }

    /// Replaces the configuration if the revision of `part`, with its version, is
    /// higher; returns whether its value changed. A version is thus never replaced by
    /// a lower one, which a store that comes back from a copy may have for a while.
    pub fn set_configuration(&self, mut part: Part<Configuration>, source: Source) -> bool {
        let version = part.value.version;
        part.revision = part.revision.with_version(version);
        let known = self.confirmation(Section::Configuration);
        let set = self.change("configuration", &part, |view| &mut view.configuration);
        if set {
            let (revision, era) = (part.revision.number(), part.revision.era());
            let routes = part.value.routes.len();
            let confirmed = Ages::of(&known);
            tracing::info!(
                %source, revision, era, version, routes, age_ms = confirmed.age_ms,
                direct_age_ms = confirmed.direct_age_ms, reporter = confirmed.reporter,
                "configuration in force"
            );
        }
        set
    }

    /// Replaces the backend servers if `part` is newer; returns whether their
    /// value changed. Servers that were seen to drain still do.
    pub fn set_servers(&self, mut part: Part<Vec<Server>>, source: Source) -> bool {
        if self.any_drained(&part.value) {
            self.mark_drained(Arc::make_mut(&mut part.value).as_mut_slice());
        }
        let set = self.change("servers", &part, |view| &mut view.servers);
        if set {
            let draining = part.value.iter().filter(|server| server.draining).count();
            let (revision, era) = (part.revision.number(), part.revision.era());
            let servers = part.value.len();
            tracing::info!(%source, revision, era, servers, draining, "servers changed");
        }
        set
    }

    /// Replaces the evacuated failure domains if `part` is newer; returns
    /// whether their value changed.
    pub fn set_evacuations(&self, part: Part<Vec<Arc<str>>>, source: Source) -> bool {
        let set = self.change("evacuations", &part, |view| &mut view.evacuations);
        if set {
            let (revision, era) = (part.revision.number(), part.revision.era());
            let domains = part.value.join(",");
            tracing::info!(%source, revision, era, domains, "evacuations changed");
        }
        set
    }

    /// Marks the servers as draining that were seen to drain before.
    pub fn mark_drained(&self, servers: &mut [Server]) {
        let drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        for server in servers {
            server.draining |= drained.contains(&server.id, server.born);
        }
    }

    fn any_drained(&self, servers: &[Server]) -> bool {
        let drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ready = servers.iter().filter(|server| !server.draining);
        ready.any(|server| drained.contains(&server.id, server.born))
    }

    fn change<T: PartialEq>(
        &self,
        name: &'static str,
        newer: &Part<T>,
        part: impl FnOnce(&mut View) -> &mut Part<T>,
    ) -> bool {
        let mut drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::clone(&self.view());
        let era = view.era();
        let is_first = view == View::default();
        let part = part(&mut view);
        let change = part.replace(newer);
        if view.era() > era && !is_first {
            let era = view.era();
            let restored_at = self.restored_at.lock();
            *restored_at.unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
            tracing::warn!(part = name, era, "store came back from a copy");
        }
        for server in view.servers.value.iter().filter(|server| server.draining) {
            drained.record(server.id.clone(), server.born);
        }
        if change != Change::None {
            self.sender.send_replace(Arc::new(view));
        }
        change == Change::Value
    }
}
