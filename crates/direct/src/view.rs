//! The view: an entry's copy of the configuration, the server list and the
//! evacuations, by part.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use berylgw_core::clock;
use berylgw_core::freshness::Confirmation;
use berylgw_core::group::drained;
use berylgw_core::group::grace::{Evidence, Grace, List, Policy};
use berylgw_core::revision::Revision;
use berylgw_runtime::clock::uptime;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::backend::Server;
use crate::config::Configuration;
use crate::settings::Freshness;

/// Time after an outage for which servers missing from the store are kept. Their objects
/// expired during the outage and are written again within about two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which an evacuation that a restored store lacks is kept: the operator writes
/// it again.
const EVACUATION_GRACE: Duration = Duration::from_millis(4_500);

/// Percentage of the servers that may disappear at once. A larger share means that their
/// objects expired in an outage that this process has not noticed.
const MAX_MISSING_PERCENT: usize = 30;

/// A part of the view and the position of its newest change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part<T> {
    /// Position of the newest change. That of the configuration has its version.
    pub revision: Revision,
    /// The value as of this revision.
    pub value: Arc<T>,
}

/// A list as the store told it. Entries pass it on unchanged; what they use beside it is
/// an assumption of each.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// The objects, sorted by name.
    pub part: Part<Vec<T>>,
    /// The store's number of the last change of each object.
    pub changes: Arc<[u64]>,
}

impl<T> Listing<T> {
    /// Creates a list from its objects and the numbers of their last changes.
    pub fn new(part: Part<Vec<T>>, changes: impl Into<Arc<[u64]>>) -> Self {
        let changes = changes.into();
        Listing { part, changes }
    }

    fn as_list(&self) -> List<'_, T> {
        List {
            objects: &self.part.value,
            changes: &self.changes,
            number: self.part.revision.number(),
        }
    }
}

impl<T> Default for Listing<T> {
    fn default() -> Self {
        Listing::new(Part::default(), [])
    }
}

impl<T> From<Part<Vec<T>>> for Listing<T> {
    /// Creates a list whose objects all count as changed last.
    fn from(part: Part<Vec<T>>) -> Self {
        let changes = vec![part.revision.number(); part.value.len()];
        Listing::new(part, changes)
    }
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
    /// Backend servers in use, sorted by id, with the revision of the list.
    pub servers: Part<Vec<Server>>,
    /// Failure domains that get no new requests, sorted, with the revision of the list.
    pub evacuations: Part<Vec<Arc<str>>>,
    /// Backend servers as the store listed them.
    pub listed_servers: Listing<Server>,
    /// Evacuated failure domains as the store listed them.
    pub listed_evacuations: Listing<Arc<str>>,
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
    /// Locked while the lists of the view are written.
    assumptions: Arc<Mutex<Assumptions>>,
    store_calls: Arc<Mutex<Vec<StoreCalls>>>,
    /// In the order of [`Section::ALL`].
    confirmations: Arc<Mutex<[Confirmation; Section::ALL.len()]>>,
    confirmed: Arc<Notify>,
}

/// What the entry uses beside the lists of the store.
#[derive(Debug)]
struct Assumptions {
    servers: Grace<Server, str>,
    evacuations: Grace<Arc<str>, str>,
    /// Time at which the store was found to have come back from a copy, by this entry
    /// or another one.
    restored_at: Option<clock::Instant>,
}

impl Assumptions {
    fn new(freshness: Freshness) -> Self {
        let servers = Policy {
            bound: freshness.schedule(Section::Servers).bound(),
            outage: OUTAGE_GRACE,
            restore: OUTAGE_GRACE,
            many_percent: MAX_MISSING_PERCENT,
        };
        // Evacuations do not expire. However many are missing, the operator has taken them
        // back.
        let evacuations = Policy {
            bound: freshness.schedule(Section::Evacuations).bound(),
            outage: Duration::ZERO,
            restore: EVACUATION_GRACE,
            many_percent: 100,
        };
        Assumptions {
            servers: Grace::new(servers, |server| &server.id),
            evacuations: Grace::new(evacuations, |domain| domain),
            restored_at: None,
        }
    }
}

impl Default for Publisher {
    fn default() -> Self {
        Publisher::new(Freshness::default())
    }
}

impl Publisher {
    /// Creates a publisher of an empty view, for changes that must be in force in time.
    pub fn new(freshness: Freshness) -> Self {
        Publisher {
            sender: Arc::new(watch::Sender::new(Arc::default())),
            drained: Arc::default(),
            assumptions: Arc::new(Mutex::new(Assumptions::new(freshness))),
            store_calls: Arc::default(),
            confirmations: Arc::default(),
            confirmed: Arc::default(),
        }
    }

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

    /// Records that the store did not answer a call about a part that began at `at`.
    pub fn record_failure(&self, section: Section, at: clock::Instant) {
        self.lock_confirmations()[section as usize].fail(at);
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
        let mut assumptions = self.lock_assumptions();
        if part.revision > self.view().configuration.revision {
            self.evidence(&mut assumptions, Section::Configuration, part.revision);
        }
        let set = self.change(|view| view.configuration.replace(&part));
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

    /// Replaces the list of backend servers if `listing` is newer; returns whether the
    /// servers in use changed. Servers that were seen to drain still do.
    pub fn set_servers(&self, listing: impl Into<Listing<Server>>, source: Source) -> bool {
        let mut listing = listing.into();
        if self.any_drained(&listing.part.value) {
            self.mark_drained(Arc::make_mut(&mut listing.part.value).as_mut_slice());
        }
        let mut assumptions = self.lock_assumptions();
        let known = self.view();
        let revision = listing.part.revision;
        if revision <= known.servers.revision {
            return false;
        }
        let evidence = self.evidence(&mut assumptions, Section::Servers, revision);
        let grace = &mut assumptions.servers;
        let keeps = |server: &Server| !server.draining;
        let list = listing.as_list();
        let used = grace.apply(uptime(), &known.servers.value, list, evidence, keeps);
        let kept = grace.kept();
        let draining = used.iter().filter(|server| server.draining).count();
        let servers = used.len();
        let value = Arc::new(used);
        let set = self.change(|view| {
            view.listed_servers = listing;
            view.servers.replace(&Part { revision, value })
        });
        if set {
            let (revision, era) = (revision.number(), revision.era());
            tracing::info!(%source, revision, era, servers, draining, kept, "servers changed");
        }
        set
    }

    /// Replaces the list of evacuated failure domains if `listing` is newer; returns
    /// whether those in force changed.
    pub fn set_evacuations(&self, listing: impl Into<Listing<Arc<str>>>, source: Source) -> bool {
        let listing = listing.into();
        let mut assumptions = self.lock_assumptions();
        let known = self.view();
        let revision = listing.part.revision;
        if revision <= known.evacuations.revision {
            return false;
        }
        let evidence = self.evidence(&mut assumptions, Section::Evacuations, revision);
        let grace = &mut assumptions.evacuations;
        let list = listing.as_list();
        let in_force = &known.evacuations.value;
        let used = grace.apply(uptime(), in_force, list, evidence, |_| true);
        let kept = grace.kept();
        let domains = used.join(",");
        let value = Arc::new(used);
        let set = self.change(|view| {
            view.listed_evacuations = listing;
            view.evacuations.replace(&Part { revision, value })
        });
        if set {
            let (revision, era) = (revision.number(), revision.era());
            tracing::info!(%source, revision, era, domains, kept, "evacuations changed");
        }
        set
    }

    /// Ends what the entry uses beside the lists of the store when it is due; never
    /// returns.
    pub async fn follow_ends(&self) {
        let mut views = self.subscribe();
        loop {
            views.mark_unchanged();
            let wait = self.end_due();
            let changed = views.changed();
            // The sender is part of `self`, so that waiting does not fail.
            match wait {
                Some(wait) => drop(tokio::time::timeout(wait, changed).await),
                None => drop(changed.await),
            }
        }
    }

    /// Ends what is due, and returns the time until the next end.
    fn end_due(&self) -> Option<Duration> {
        let now = uptime();
        let mut assumptions = self.lock_assumptions();
        let next = |assumptions: &Assumptions| {
            let ends = [assumptions.servers.next(), assumptions.evacuations.next()];
            ends.into_iter().flatten().min()
        };
        if next(&assumptions).is_some_and(|end| end <= now) {
            let known = self.view();
            let Assumptions {
                servers,
                evacuations,
                ..
            } = &mut *assumptions;
            let servers = servers.refresh(now, known.listed_servers.as_list());
            let evacuations = evacuations.refresh(now, known.listed_evacuations.as_list());
            let (in_use, domains) = (servers.len(), evacuations.join(","));
            tracing::info!(servers = in_use, domains, "grace period ended");
            self.change(|view| {
                let is_same = *view.servers.value == servers;
                let is_same = is_same && *view.evacuations.value == evacuations;
                view.servers.value = Arc::new(servers);
                view.evacuations.value = Arc::new(evacuations);
                if is_same { Change::None } else { Change::Value }
            });
        }
        next(&assumptions).map(|end| end.since(now))
    }

    /// Returns what is known of the store as a list of a newer `revision` comes.
    fn evidence(
        &self,
        assumptions: &mut Assumptions,
        section: Section,
        revision: Revision,
    ) -> Evidence {
        let view = self.view();
        if revision.era() > view.era() && *view != View::default() {
            let era = revision.era();
            tracing::warn!(part = %section, era, "store came back from a copy");
            assumptions.restored_at = Some(uptime());
        }
        let known = view.revisions().of(section);
        let is_restored = known.is_known() && revision.era() > known.era();
        let confirmation = self.confirmation(section);
        Evidence {
            confirmed_at: confirmation.at(),
            failed_at: confirmation.failed_at(),
            restored_at: assumptions.restored_at.filter(|_| is_restored),
        }
    }

    /// Marks the servers as draining that were seen to drain before.
    fn mark_drained(&self, servers: &mut [Server]) {
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

    fn lock_assumptions(&self) -> MutexGuard<'_, Assumptions> {
        let assumptions = self.assumptions.lock();
        assumptions.unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the view; returns whether a value changed.
    fn change(&self, update: impl FnOnce(&mut View) -> Change) -> bool {
        let mut drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::clone(&self.view());
        let change = update(&mut view);
        for server in view.servers.value.iter().filter(|server| server.draining) {
            drained.record(server.id.clone(), server.born);
        }
        if change != Change::None {
            self.sender.send_replace(Arc::new(view));
        }
        change == Change::Value
    }
}
