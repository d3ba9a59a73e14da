//! The control thread: owner of the configuration view.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::backend::Server;
use berylgw_core::clock::Instant;
use berylgw_core::config::{Object, Snapshot, Version, View};
use berylgw_platform::{Client, Event, Host, Kind, List, Watch};
use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::shared::{Current, Newer, Shared};
use crate::sync;

const HOSTS_INTERVAL: Duration = Duration::from_secs(2);
const PEER_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two watches of all entries together that are opened anew. The
/// platform calls for it do not grow with the number of entries.
const ROTATION: Duration = Duration::from_millis(250);

/// Shortest time for which an entry keeps a watch.
const ROTATION_MIN: Duration = Duration::from_secs(1);

const AGE_INTERVAL: Duration = Duration::from_millis(250);
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Owner of the view; its borrow is never held across an await.
struct Owner {
    shared: Arc<Shared>,
    view: View,
    publish: watch::Sender<Current>,
    confirmed: Instant,
}

type Handle = Rc<RefCell<Owner>>;

impl Owner {
    fn merge(&mut self, since: Version, version: Version, objects: &[Object]) {
        self.confirmed = self.shared.now();
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
                tracing::error!(%error, "configuration not usable, the last one stays in force");
                None
            }
        };
        if let Some(snapshot) = &snapshot {
            self.route(snapshot);
        }
        tracing::info!(version = u64::from(version), "configuration changed");
        let view = Arc::new(self.view.clone());
        self.publish.send_modify(|current| {
            current.view = view;
            if let Some(snapshot) = snapshot {
                current.snapshot = snapshot;
            }
        });
    }

    /// Gives the routing table the backend servers that do not leave.
    fn route(&self, snapshot: &Snapshot) {
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

    fn list(&mut self, list: &List) {
        let objects: Vec<Object> = list.items.iter().map(object).collect();
        // The version counts config writes only. Revisions of other kinds would
        // make processes that differ in nothing refuse each other's work.
        let newest = objects.iter().map(|object| object.version).max();
        self.merge(Version::default(), newest.unwrap_or_default(), &objects);
    }

    fn put(&mut self, written: &berylgw_platform::Object) {
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

    /// Time after which to open the watch anew.
    ///
    /// All watches can go silent at the same moment. Entries that replace theirs
    /// at different times notice a change sooner than by the missing heartbeats.
    fn watch_lifetime(&self) -> Duration {
        let entries = self.publish.borrow().snapshot.sheet.entries.len();
        let mean = ROTATION_MIN.max(ROTATION * entries as u32);
        mean.mul_f64(self.shared.rng().random_range(0.5..1.5))
    }

    fn draw(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
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
    newer: mpsc::Receiver<Newer>,
) {
    let platform = &shared.settings.platform;
    let timeout = Duration::from_millis(platform.timeout_ms);
    let client = Client::new(platform.address, timeout);
    let owner = Rc::new(RefCell::new(Owner {
        view: View::new(),
        publish,
        confirmed: shared.now(),
        shared: shared.clone(),
    }));
    tokio::join!(
        watch_config(&owner, &client),
        watch_hosts(&owner, &client),
        pull_peers(&owner),
        pull_newer(&owner, newer),
        measure_age(&owner),
    );
}

async fn watch_config(owner: &Handle, client: &Client) {
    let mut backoff = BACKOFF_MIN;
    let mut seen = None;
    loop {
        let started = seen;
        let Err(error) = follow_config(owner, client, &mut seen).await else {
            continue;
        };
        if error.kind() == Kind::Compacted {
            seen = None;
        }
        if seen > started {
            backoff = BACKOFF_MIN;
        }
        tracing::warn!(%error, "configuration watch ended");
        let jitter = owner.borrow().shared.rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Lists if no revision was seen, then watches until it is time for a new watch.
///
/// # Errors
///
/// Fails if the platform does not answer or the watch breaks.
async fn follow_config(
    owner: &Handle,
    client: &Client,
    seen: &mut Option<u64>,
) -> Result<(), berylgw_platform::Error> {
    let from = match *seen {
        Some(revision) => revision,
        None => {
            let list = client.list("config").await?;
            owner.borrow_mut().list(&list);
            *seen = Some(list.revision);
            list.revision
        }
    };
    let watch = client.watch("config", from).await?;
    let lifetime = owner.borrow().watch_lifetime();
    let followed = follow_watch(owner, watch, seen);
    match tokio::time::timeout(lifetime, followed).await {
        Ok(error) => Err(error),
        Err(_) => Ok(()),
    }
}

/// Takes in the events of a watch until it fails.
async fn follow_watch(
    owner: &Handle,
    mut watch: Watch,
    seen: &mut Option<u64>,
) -> berylgw_platform::Error {
    loop {
        match watch.next().await {
            Ok(Event::Put(written)) => {
                owner.borrow_mut().put(&written);
                *seen = Some(written.version);
            }
            Ok(Event::Delete { revision, name }) => {
                // An accepted configuration never reverts.
                tracing::warn!(%name, revision, "deletion of a config object ignored");
                *seen = Some(revision);
            }
            Ok(Event::Heartbeat { revision }) => {
                let mut owner = owner.borrow_mut();
                owner.confirmed = owner.shared.now();
                *seen = Some(revision.max(seen.unwrap_or_default()));
            }
            Err(error) => return error,
        }
    }
}

async fn watch_hosts(owner: &Handle, client: &Client) {
    let mut ticks = tokio::time::interval(HOSTS_INTERVAL);
    loop {
        ticks.tick().await;
        let hosts = match client.hosts().await {
            Ok(hosts) => hosts,
            Err(error) => {
                tracing::debug!(%error, "host list not read");
                continue;
            }
        };
        let leaving = names(&hosts, "leaving");
        let live = names(&hosts, "live");
        let owner = owner.borrow();
        let changed = owner.publish.send_if_modified(|current| {
            let changed = *current.leaving != *leaving || *current.live != *live;
            current.leaving = leaving.into();
            current.live = live.into();
            changed
        });
        if changed {
            let snapshot = owner.publish.borrow().snapshot.clone();
            owner.route(&snapshot);
        }
    }
}

fn names(hosts: &[Host], state: &str) -> Vec<Arc<str>> {
    let chosen = hosts.iter().filter(|host| *host.state == *state);
    let mut names: Vec<_> = chosen.map(|host| host.name.clone()).collect();
    names.sort();
    names
}

async fn pull_peers(owner: &Handle) {
    let mut ticks = tokio::time::interval(PEER_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let peer = owner.borrow().draw(&owner.borrow().peers());
        if let Some(peer) = peer
            && pull(owner, peer).await
        {
            continue;
        }
        // Probes reach only servers of services in use, so that an entry
        // without work and without peers would not learn from the agents.
        let agent = owner.borrow().draw(&owner.borrow().agents());
        if let Some(agent) = agent {
            pull(owner, agent).await;
        }
    }
}

async fn pull_newer(owner: &Handle, mut newer: mpsc::Receiver<Newer>) {
    while let Some(seen) = newer.recv().await {
        if seen.version > owner.borrow().view.version().into() {
            pull(owner, seen.address).await;
        }
    }
}

/// Pulls the configuration; returns whether the process answered.
async fn pull(owner: &Handle, peer: SocketAddr) -> bool {
    let shared = owner.borrow().shared.clone();
    let since = owner.borrow().view.version();
    match sync::pull(&shared, peer, since.into()).await {
        Ok(delta) => {
            let version = Version::from(delta.version);
            owner.borrow_mut().merge(since, version, &delta.objects);
            true
        }
        Err(error) => {
            tracing::debug!(%peer, %error, "configuration not pulled");
            false
        }
    }
}

async fn measure_age(owner: &Handle) {
    let mut ticks = tokio::time::interval(AGE_INTERVAL);
    loop {
        ticks.tick().await;
        let owner = owner.borrow();
        let age = owner.shared.now().since(owner.confirmed);
        let metrics = &owner.shared.metrics;
        metrics.config_age_ms.set(age.as_millis() as i64);
        let buffered = owner.shared.buffers().used();
        metrics.buffered_bytes.set(buffered as i64);
        let now = owner.shared.now();
        let suspects = owner.shared.quarantine().suspects(now).len();
        metrics.suspects.set(suspects as i64);
    }
}
