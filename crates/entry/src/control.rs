//! Control loops, which maintain the configuration and membership views.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::backend::Server;
use berylgw_core::clock::Instant;
use berylgw_core::config::{Object, Snapshot, Version, View};
use berylgw_core::host;
use berylgw_core::identity::Role;
use berylgw_core::member::{Observation, State};
use berylgw_platform::{Client, Event, Host, Kind, List, Watch};
use rand::Rng;
use tokio::sync::{mpsc, watch};
use tonic::Status;

use crate::shared::{Current, NewerConfig, Shared};
use crate::{members, register, sync};

/// Interval at which an entry reads the host list. The entry that reads a change
/// first sends it to the others, so with many entries a change spreads long
/// before the interval ends.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which an entry of a small fleet reads the host list. With few
/// entries all reads could fall on the same moment, and a leaving host must be
/// known within 2 s.
const HOSTS_INTERVAL_SMALL_FLEET: Duration = Duration::from_secs(1);

/// Largest number of entries in a small fleet.
const SMALL_FLEET_ENTRIES: usize = 20;

/// Shortest interval between registrations of this host; the host list shows a
/// registration with a delay.
const REGISTER_INTERVAL: Duration = Duration::from_secs(10);

const IDENTITY_INTERVAL: Duration = Duration::from_secs(1);
const PEER_INTERVAL: Duration = Duration::from_millis(500);

/// Mean time between two reopenings of watches, counted over all entries, so
/// that the platform calls do not grow with the number of entries.
const WATCH_ROTATION_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest mean lifetime of a watch.
const MIN_WATCH_LIFETIME: Duration = Duration::from_secs(1);

/// Attempts to reach a peer; the first can fail on a pooled connection from
/// before a restart of the peer.
const PEER_ATTEMPTS: u32 = 2;

const METRICS_INTERVAL: Duration = Duration::from_millis(250);
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Owner of the configuration view; must not stay borrowed across an await.
struct Owner {
    shared: Arc<Shared>,
    view: View,
    publish: watch::Sender<Current>,
    confirmed_at: Instant,
}

type SharedOwner = Rc<RefCell<Owner>>;

impl Owner {
    fn merge(&mut self, since: Version, version: Version, objects: &[Object]) {
        self.confirmed_at = self.shared.now();
        if !self.view.merge(since, version, objects) {
            return;
        }
        let resolved = self.view.snapshot();
        let metrics = &self.shared.metrics;
        metrics.config_version.set(u64::from(version) as i64);
        let snapshot = match resolved {
            Ok(snapshot) => Some(Arc::new(snapshot)),
            Err(error) => {
                metrics.config_errors.inc();
                tracing::error!(%error, "configuration not usable; the previous one stays in force");
                None
            }
        };
        if let Some(snapshot) = &snapshot {
            self.update_routes(snapshot);
        }
        tracing::info!(version = u64::from(version), "configuration changed");
        let view = Arc::new(self.view.clone());
        self.publish.send_modify(|current| {
            current.view = view;
            if let Some(snapshot) = snapshot {
                current.snapshot = snapshot;
            }
        });
        let snapshot = self.publish.borrow().snapshot.clone();
        let mut members = self.shared.members();
        members.table.retain(&snapshot.sheet.entries);
        drop(members);
        self.announce_open();
        self.publish_excluded();
    }

    /// Records this entry as open once the sheet has its address, so that its peers
    /// receive the state.
    fn announce_open(&self) {
        let shared = &self.shared;
        if *shared.stopping.borrow() {
            return;
        }
        let Some(own) = members::own_entry(shared) else {
            return;
        };
        let now = shared.now();
        let mut members = shared.members();
        if own.address != members.address {
            return;
        }
        members.identity.confirm_host();
        if members.table.has_answered(&own) {
            return;
        }
        let observation = Observation {
            name: own.name,
            incarnation: shared.incarnation,
            address: own.address,
            state: State::Open,
            at: now,
        };
        members.table.merge(now, observation);
    }

    /// Publishes the leaving and down hosts if they changed.
    fn publish_excluded(&self) {
        let shared = &self.shared;
        let stopping = *shared.stopping.borrow();
        let own = stopping.then_some(&shared.settings.name);
        let snapshot = self.publish.borrow().snapshot.clone();
        let excluded = shared.members().excluded(&snapshot, own);
        let changed = self.publish.send_if_modified(|current| {
            let changed = *current.leaving != *excluded.leaving || *current.down != *excluded.down;
            current.leaving = excluded.leaving.into();
            current.down = excluded.down.into();
            changed
        });
        if changed {
            let current = self.publish.borrow().clone();
            tracing::info!(leaving = ?current.leaving, down = ?current.down, "excluded hosts changed");
            self.update_routes(&snapshot);
        }
    }

    /// Updates the routing table with the backend servers that are not leaving.
    fn update_routes(&self, snapshot: &Snapshot) {
        let leaving = self.publish.borrow().leaving.clone();
        let stays = |server: &Server| leaving.binary_search(&server.name).is_err();
        if snapshot.sheet.servers.iter().all(stays) {
            self.shared.table().update(snapshot);
            return;
        }
        let mut staying = snapshot.clone();
        staying.sheet.servers.retain(stays);
        self.shared.table().update(&staying);
    }

    fn apply_list(&mut self, list: &List) {
        let objects: Vec<Object> = list.items.iter().map(object).collect();
        // The list revision also counts writes of other kinds. As a version it
        // would make processes with the same configuration refuse each other's
        // requests as stale.
        let newest = objects.iter().map(|object| object.version).max();
        self.merge(Version::default(), newest.unwrap_or_default(), &objects);
    }

    fn apply_put(&mut self, written: &berylgw_platform::Object) {
        let since = self.view.version();
        self.merge(since, written.version.into(), &[object(written)]);
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let own = &self.shared.settings.name;
        let current = self.publish.borrow();
        let entries = current.snapshot.sheet.entries.iter();
        let mut peers: Vec<_> = entries
            .filter(|entry| entry.name != *own)
            .map(|entry| entry.peer_address)
            .collect();
        if peers.is_empty() {
            peers.clone_from(&self.shared.settings.seeds);
        }
        peers
    }

    fn agents(&self) -> Vec<SocketAddr> {
        let current = self.publish.borrow();
        let servers = current.snapshot.sheet.servers.iter();
        servers.map(|server| server.address).collect()
    }

    /// Returns a random time after which to reopen the watch.
    ///
    /// All watches can become silent at the same moment. If entries reopen their
    /// watches at different times, some notice a change sooner than they would
    /// by the heartbeat timeout.
    fn watch_lifetime(&self) -> Duration {
        let entries = self.publish.borrow().snapshot.sheet.entries.len();
        let mean = MIN_WATCH_LIFETIME.max(WATCH_ROTATION_INTERVAL * entries as u32);
        mean.mul_f64(self.shared.rng().random_range(0.5..1.5))
    }

    fn pick_random(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let chosen = self.shared.rng().random_range(0..addresses.len().max(1));
        addresses.get(chosen).copied()
    }
}

fn object(written: &berylgw_platform::Object) -> Object {
    Object {
        name: written.name.clone(),
        version: written.version.into(),
        value: written.value.get().into(),
    }
}

/// Runs the control loops until the process stops.
pub async fn run(
    shared: Arc<Shared>,
    publish: watch::Sender<Current>,
    newer: mpsc::Receiver<NewerConfig>,
) {
    let platform = &shared.settings.platform;
    let timeout = Duration::from_millis(platform.timeout_ms);
    let client = Client::new(platform.address, timeout);
    let owner = Rc::new(RefCell::new(Owner {
        view: View::new(),
        publish,
        confirmed_at: shared.now(),
        shared: shared.clone(),
    }));
    tokio::join!(
        watch_config(&owner, &client),
        watch_hosts(&owner, &client),
        watch_members(&owner),
        check_identity(&owner),
        pull_peers(&owner),
        pull_newer(&owner, newer),
        update_metrics(&owner),
    );
}

async fn watch_config(owner: &SharedOwner, client: &Client) {
    let mut backoff = BACKOFF_MIN;
    let mut last_revision = None;
    loop {
        let started = last_revision;
        let Err(error) = follow_config(owner, client, &mut last_revision).await else {
            continue;
        };
        if error.kind() == Kind::Compacted {
            last_revision = None;
        }
        if last_revision > started {
            backoff = BACKOFF_MIN;
        }
        tracing::warn!(%error, "configuration watch ended");
        let jitter = owner.borrow().shared.rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Lists the objects if no revision is known, then watches until the watch is
/// due to be reopened.
///
/// # Errors
///
/// Fails if the platform does not answer or the watch breaks.
async fn follow_config(
    owner: &SharedOwner,
    client: &Client,
    last_revision: &mut Option<u64>,
) -> Result<(), berylgw_platform::Error> {
    let from = match *last_revision {
        Some(revision) => revision,
        None => {
            let list = client.list("config").await?;
            owner.borrow_mut().apply_list(&list);
            *last_revision = Some(list.revision);
            list.revision
        }
    };
    let watch = client.watch("config", from).await?;
    let lifetime = owner.borrow().watch_lifetime();
    let followed = follow_watch(owner, watch, last_revision);
    match tokio::time::timeout(lifetime, followed).await {
        Ok(error) => Err(error),
        Err(_) => Ok(()),
    }
}

/// Applies the events of a watch until it fails.
async fn follow_watch(
    owner: &SharedOwner,
    mut watch: Watch,
    last_revision: &mut Option<u64>,
) -> berylgw_platform::Error {
    loop {
        match watch.next().await {
            Ok(Event::Put(written)) => {
                owner.borrow_mut().apply_put(&written);
                *last_revision = Some(written.version);
            }
            Ok(Event::Delete { revision, name }) => {
                // A deletion must not revert an accepted configuration.
                tracing::warn!(%name, revision, "deletion of a config object ignored");
                *last_revision = Some(revision);
            }
            Ok(Event::Heartbeat { revision }) => {
                let mut owner = owner.borrow_mut();
                owner.confirmed_at = owner.shared.now();
                *last_revision = Some(revision.max(last_revision.unwrap_or_default()));
            }
            Err(error) => return error,
        }
    }
}

async fn watch_hosts(owner: &SharedOwner, client: &Client) {
    let shared = owner.borrow().shared.clone();
    let mut registered: Option<Instant> = None;
    // Jitter for entries that start at the same time.
    let mut jitter = shared.rng().random_range(0.5..1.0);
    loop {
        let read_at = shared.now();
        match client.hosts().await {
            Ok(hosts) => {
                apply_hosts(owner, read_at, &hosts);
                let paused =
                    registered.is_some_and(|at| shared.now().since(at) < REGISTER_INTERVAL);
                if !paused && is_displaced(&shared, &hosts) {
                    registered = Some(shared.now());
                    let address = shared.members().address;
                    register::report(&shared.settings, address, "live").await;
                }
            }
            Err(error) => tracing::debug!(%error, "host list not read"),
        }
        let entries = shared.current.borrow().snapshot.sheet.entries.len();
        let interval = if entries <= SMALL_FLEET_ENTRIES {
            HOSTS_INTERVAL_SMALL_FLEET
        } else {
            HOSTS_INTERVAL
        };
        tokio::time::sleep(interval.mul_f64(jitter)).await;
        jitter = 1.0;
    }
}

/// Applies a host list and sends it to the other entries if the leaving hosts
/// changed.
fn apply_hosts(owner: &SharedOwner, read_at: Instant, hosts: &[Host]) {
    let live = names_in_state(hosts, "live");
    let owner = owner.borrow();
    owner.publish.send_if_modified(|current| {
        let changed = *current.live != *live;
        current.live = live.into();
        changed
    });
    if let Some(list) = members::read_hosts(&owner.shared, read_at, hosts) {
        owner.publish_excluded();
        tokio::spawn(members::send_hosts(owner.shared.clone(), list));
    }
}

/// Returns whether the host list has another address for this name although the
/// sheet has the address of this process.
fn is_displaced(shared: &Shared, hosts: &[Host]) -> bool {
    if *shared.stopping.borrow() {
        return false;
    }
    let own = shared.members().address;
    let is_named = members::own_entry(shared).is_some_and(|row: host::Entry| row.address == own);
    let mut hosts = hosts.iter();
    let listed = hosts.find(|host| host.name == shared.settings.name);
    is_named && listed.is_some_and(|host| host.address != own)
}

async fn watch_members(owner: &SharedOwner) {
    let shared = owner.borrow().shared.clone();
    loop {
        shared.members_changed.notified().await;
        owner.borrow().publish_excluded();
    }
}

/// Checks periodically whether another process answers at the address in the
/// sheet.
async fn check_identity(owner: &SharedOwner) {
    let shared = owner.borrow().shared.clone();
    let mut ticks = tokio::time::interval(IDENTITY_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(own) = members::own_entry(&shared) else {
            continue;
        };
        if own.address == shared.members().address {
            owner.borrow().announce_open();
            continue;
        }
        let Ok(delta) = sync::pull(&shared, own.peer_address, members::NO_OBJECTS).await else {
            continue;
        };
        let Some(sender) = delta.sender else { continue };
        let now = shared.now();
        let role = shared
            .members()
            .identity
            .observe_answer(now, sender.incarnation);
        if role == Role::Superseded && !shared.superseded.send_replace(true) {
            tracing::warn!(address = %own.address, "another process is the host of this name");
        }
    }
}

fn names_in_state(hosts: &[Host], state: &str) -> Vec<Arc<str>> {
    let chosen = hosts.iter().filter(|host| *host.state == *state);
    let mut names: Vec<_> = chosen.map(|host| host.name.clone()).collect();
    names.sort();
    names
}

async fn pull_peers(owner: &SharedOwner) {
    let mut ticks = tokio::time::interval(PEER_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let peer = owner.borrow().pick_random(&owner.borrow().peers());
        if let Some(peer) = peer
            && pull_peer(owner, peer).await
        {
            continue;
        }
        // Probes reach only servers of services in use. Without this pull, an
        // idle entry without peers would receive no configuration from agents.
        let agent = owner.borrow().pick_random(&owner.borrow().agents());
        if let Some(agent) = agent {
            // The next tick tries another agent.
            let _ = pull(owner, agent).await;
        }
    }
}

/// Pulls from another entry and records whether it answered.
async fn pull_peer(owner: &SharedOwner, peer: SocketAddr) -> bool {
    for _ in 0..PEER_ATTEMPTS {
        match pull(owner, peer).await {
            Ok(()) => return true,
            Err(error) if sync::is_refusal(&error) => return false,
            Err(_) => {}
        }
    }
    let shared = owner.borrow().shared.clone();
    members::record_contact(&shared, peer, None);
    false
}

async fn pull_newer(owner: &SharedOwner, mut newer: mpsc::Receiver<NewerConfig>) {
    while let Some(hint) = newer.recv().await {
        if hint.version > owner.borrow().view.version().into() {
            // The next message with the version triggers another attempt.
            let _ = pull(owner, hint.address).await;
        }
    }
}

/// Pulls the configuration from an entry or agent and merges it.
async fn pull(owner: &SharedOwner, peer: SocketAddr) -> Result<(), Status> {
    let shared = owner.borrow().shared.clone();
    let since = owner.borrow().view.version();
    let delta = sync::pull(&shared, peer, since.into()).await;
    let delta = delta.inspect_err(|error| {
        tracing::debug!(%peer, %error, "configuration not pulled");
    })?;
    members::record_contact(&shared, peer, delta.sender.as_ref());
    let version = Version::from(delta.version);
    owner.borrow_mut().merge(since, version, &delta.objects);
    Ok(())
}

async fn update_metrics(owner: &SharedOwner) {
    let mut ticks = tokio::time::interval(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        let owner = owner.borrow();
        let age = owner.shared.now().since(owner.confirmed_at);
        let metrics = &owner.shared.metrics;
        metrics.config_age_ms.set(age.as_millis() as i64);
        let buffered = owner.shared.buffers().used();
        metrics.buffered_bytes.set(buffered as i64);
        let now = owner.shared.now();
        let suspects = owner.shared.quarantine().suspects(now).len();
        metrics.suspects.set(suspects as i64);
    }
}
