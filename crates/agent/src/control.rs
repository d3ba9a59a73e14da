//! The control thread: configuration and load reports.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::config::{Snapshot, Version, View};
use berylgw_core::home;
use berylgw_runtime::tls::{Connector, PeerCredentials};
use berylgw_wire as wire;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use tonic::transport::{Channel, Endpoint};
use wire::sync_client::SyncClient;

use crate::admission::Controller;
use crate::convert;
use crate::forward::{Error, ServerClient};
use crate::metrics::Metrics;

/// Entries that the agent follows at the same time, one per slot.
const SLOTS: usize = 2;

/// Index of the slot whose entry sends objects. The others send only their version,
/// because objects on two streams exceed the control traffic allowed per entry.
const OBJECT_SLOT: usize = 0;

/// Wait for the objects of a version that another slot has announced, before
/// they are pulled.
const OBJECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which another entry is dropped to try the preferred entry again.
const PREFERRED_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Time without a message after which an entry is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between attempts to follow entries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which the server's load report is read.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a connection attempt or a single pull.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message from an entry, in bytes: a list of objects of up to 1 MiB each,
/// of suspects and of entry addresses.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Configuration that the control thread publishes.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// All configuration objects.
    pub view: View,
    /// Configuration resolved from the objects.
    pub snapshot: Snapshot,
    /// Entry addresses that can be followed.
    pub entries: Vec<SocketAddr>,
}

/// Request to the control thread to pull from an entry with a newer version.
#[derive(Clone, Debug)]
pub struct Hint {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Version that the entry has.
    pub version: Version,
}

/// Inputs of the control thread.
#[derive(Debug)]
pub struct Inputs {
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Peer addresses from the settings.
    pub entries: Vec<SocketAddr>,
    /// Receives configuration and load reports.
    pub controller: Arc<Controller>,
    /// Address of the local server.
    pub server: SocketAddr,
    /// Metrics whose gauges are refreshed.
    pub metrics: Arc<Metrics>,
    /// Channel on which the configuration is published.
    pub published: watch::Sender<Arc<Published>>,
    /// Versions received in requests.
    pub hints: mpsc::Receiver<Hint>,
    /// Credentials of connections with entries.
    pub peers: Option<Arc<PeerCredentials>>,
    /// Ends the thread when set.
    pub stop: watch::Receiver<bool>,
}

struct Control {
    name: Arc<str>,
    seeds: Vec<SocketAddr>,
    discovered: Vec<SocketAddr>,
    /// Entries of the sheet, most preferred first.
    preferred: Vec<SocketAddr>,
    followed: [Option<SocketAddr>; SLOTS],
    /// Index of the next candidate for each slot.
    next: [usize; SLOTS],
    /// Whether the preferred entry is tried before the next candidate.
    try_preferred: [bool; SLOTS],
    view: View,
    controller: Arc<Controller>,
    published: watch::Sender<Arc<Published>>,
    peers: Option<Arc<PeerCredentials>>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the thread or its runtime cannot be created.
pub fn spawn(inputs: Inputs) -> std::io::Result<std::thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run(inputs));
        })
}

async fn run(inputs: Inputs) {
    let mut stop = inputs.stop;
    let mut hints = inputs.hints;
    let mut seeds = inputs.entries;
    // Spreads agents with the same settings over the entries at the start.
    let offset = inputs.controller.current_sender().incarnation as usize;
    let count = seeds.len().max(1);
    seeds.rotate_left(offset % count);
    let control = Rc::new(RefCell::new(Control {
        name: inputs.name,
        seeds,
        discovered: Vec::new(),
        preferred: Vec::new(),
        followed: [None; SLOTS],
        next: std::array::from_fn(|slot| slot),
        try_preferred: [false; SLOTS],
        view: View::new(),
        controller: inputs.controller.clone(),
        published: inputs.published,
        peers: inputs.peers,
    }));
    for slot in 0..SLOTS {
        tokio::task::spawn_local(follow(control.clone(), slot));
    }
    tokio::task::spawn_local(watch_load(
        inputs.controller,
        ServerClient::new(inputs.server),
        inputs.metrics,
    ));
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            hint = hints.recv() => {
                let Some(hint) = hint else { return };
                tokio::task::spawn_local(catch_up(control.clone(), hint));
            }
        }
    }
}

/// Follows an entry for one slot and replaces it when it fails.
async fn follow(control: Rc<RefCell<Control>>, slot: usize) {
    loop {
        let Some(address) = control.borrow_mut().next_candidate(slot) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if let Err(error) = follow_entry(&control, slot, address).await {
            tracing::info!(%address, %error, "stopped following entry");
        }
        control.borrow_mut().followed[slot] = None;
        sleep(RETRY_DELAY).await;
    }
}

async fn follow_entry(
    control: &Rc<RefCell<Control>>,
    slot: usize,
    address: SocketAddr,
) -> Result<(), Box<dyn std::error::Error>> {
    let connector = control.borrow().connector(address);
    let mut client = connect(address, connector).await?;
    let started = Instant::now();
    let mut since = control.borrow().view.version();
    let request = wire::PullRequest {
        versions_only: slot != OBJECT_SLOT,
        ..control.borrow().request(since)
    };
    let mut stream = timeout(SILENCE_TIMEOUT, client.follow(request))
        .await??
        .into_inner();
    loop {
        let message = timeout(SILENCE_TIMEOUT, stream.message()).await??;
        let Some(reply) = message else {
            return Err("the entry ended the stream".into());
        };
        let version = Version::from(reply.version);
        if slot == OBJECT_SLOT {
            control.borrow_mut().merge(since, &reply);
            since = since.max(version);
        } else {
            control.borrow_mut().apply_metadata(&reply);
            if version > control.borrow().view.version() {
                let fallback = pull_if_missing(control.clone(), address, version);
                tokio::task::spawn_local(fallback);
            }
        }
        if started.elapsed() >= PREFERRED_RETRY_INTERVAL
            && control.borrow_mut().schedule_return(slot, address)
        {
            return Err("returning to the home entry".into());
        }
    }
}

/// Pulls a version if its objects have not arrived from the object slot within
/// [`OBJECT_TIMEOUT`].
async fn pull_if_missing(control: Rc<RefCell<Control>>, address: SocketAddr, version: Version) {
    sleep(OBJECT_TIMEOUT).await;
    pull(&control, address, version).await;
}

/// Pulls from an entry unless the view has `version` already; returns whether the
/// view has it afterwards.
async fn pull(control: &Rc<RefCell<Control>>, address: SocketAddr, version: Version) -> bool {
    let since = control.borrow().view.version();
    if since >= version {
        return true;
    }
    let call = async {
        let connector = control.borrow().connector(address);
        let mut client = connect(address, connector).await.ok()?;
        let request = control.borrow().request(since);
        Some(client.pull(request).await.ok()?.into_inner())
    };
    let Ok(Some(reply)) = timeout(CALL_TIMEOUT, call).await else {
        return false;
    };
    control.borrow_mut().merge(since, &reply);
    control.borrow().view.version() >= version
}

async fn catch_up(control: Rc<RefCell<Control>>, hint: Hint) {
    let addresses = control.borrow().addresses_of(&hint.entry);
    for address in addresses {
        if pull(&control, address, hint.version).await {
            return;
        }
    }
}

pub(crate) async fn connect(
    address: SocketAddr,
    connector: Connector,
) -> Result<SyncClient<Channel>, tonic::transport::Error> {
    let channel = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CALL_TIMEOUT)
        .connect_with_connector(connector)
        .await?;
    Ok(SyncClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}

/// Returns the name of the entry that the sheet lists at `address`.
fn entry_at(snapshot: &Snapshot, address: SocketAddr) -> Option<Arc<str>> {
    let entries = &snapshot.sheet.entries;
    let entry = entries.iter().find(|entry| entry.peer_address == address);
    entry.map(|entry| entry.name.clone())
}

async fn watch_load(controller: Arc<Controller>, server: ServerClient, metrics: Arc<Metrics>) {
    loop {
        let asked = controller.clock().now();
        match timeout(CALL_TIMEOUT, server.load()).await {
            Ok(Ok(report)) => controller.record_load(asked, report),
            Ok(Err(error)) => {
                if matches!(error, Error::Connect(_)) {
                    controller.server_unreachable();
                }
                tracing::debug!(%error, "load report failed");
            }
            Err(_) => tracing::debug!("load report timed out"),
        }
        controller.refuse_expired();
        metrics.refresh(&controller);
        sleep(LOAD_INTERVAL).await;
    }
}

impl Control {
    fn connector(&self, address: SocketAddr) -> Connector {
        let published = self.published.subscribe();
        let expected = move |address| entry_at(&published.borrow().snapshot, address);
        Connector::new(address, self.peers.clone(), Arc::new(expected))
    }

    /// Returns the next entry to follow that no other slot follows.
    fn next_candidate(&mut self, slot: usize) -> Option<SocketAddr> {
        let candidates = self.candidates();
        // If the preferred entry still fails, the next attempt takes the next
        // candidate and not the last one followed, which may be cut off from newer
        // versions.
        let preferred_entry = candidates.get(slot).copied();
        if std::mem::take(&mut self.try_preferred[slot])
            && let Some(preferred_entry) = preferred_entry
                .filter(|preferred_entry| !self.followed.contains(&Some(*preferred_entry)))
        {
            self.followed[slot] = Some(preferred_entry);
            return Some(preferred_entry);
        }
        for _ in 0..candidates.len() {
            let address = candidates[self.next[slot] % candidates.len()];
            self.next[slot] += 1;
            if !self.followed.contains(&Some(address)) {
                self.followed[slot] = Some(address);
                return Some(address);
            }
        }
        None
    }

    /// Returns whether to stop following `address`. If so, the next attempt tries the
    /// preferred entry first.
    fn schedule_return(&mut self, slot: usize, address: SocketAddr) -> bool {
        let preferred_entry = self.preferred.get(slot).copied();
        let should_return = preferred_entry.is_some_and(|preferred_entry| {
            preferred_entry != address && !self.followed.contains(&Some(preferred_entry))
        });
        self.try_preferred[slot] = should_return;
        should_return
    }

    /// Returns the entries that can be followed, best first and without
    /// duplicates.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for address in self
            .preferred
            .iter()
            .chain(&self.discovered)
            .chain(&self.seeds)
        {
            if !addresses.contains(address) {
                addresses.push(*address);
            }
        }
        addresses
    }

    /// Returns the addresses to pull from, that of the named entry first.
    fn addresses_of(&self, entry: &str) -> Vec<SocketAddr> {
        let published = self.published.borrow();
        let entries = &published.snapshot.sheet.entries;
        let named = entries.iter().find(|known| *known.name == *entry);
        let mut addresses: Vec<_> = named.map(|entry| entry.peer_address).into_iter().collect();
        for address in self.candidates() {
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }

    fn request(&self, since: Version) -> wire::PullRequest {
        wire::PullRequest {
            sender: Some(self.controller.sender(self.view.version())),
            since: since.into(),
            ..wire::PullRequest::default()
        }
    }

    /// Applies a reply except for its objects; returns whether its list of
    /// entries differs from the last one.
    fn apply_metadata(&mut self, reply: &wire::PullReply) -> bool {
        self.controller.record_entry_message();
        self.controller.merge_suspects(&reply.suspects);
        let discovered: Vec<SocketAddr> = reply
            .entries
            .iter()
            .filter_map(|address| address.parse().ok())
            .collect();
        let changed = !discovered.is_empty() && discovered != self.discovered;
        if changed {
            self.discovered = discovered;
        }
        changed
    }

    fn merge(&mut self, since: Version, reply: &wire::PullReply) {
        let entries_changed = self.apply_metadata(reply);
        let objects: Option<Vec<_>> = reply.objects.iter().map(convert::object).collect();
        let Some(objects) = objects else {
            tracing::error!("configuration object is not UTF-8");
            return;
        };
        let advanced = self
            .view
            .merge(since, Version::from(reply.version), &objects);
        if advanced || entries_changed {
            self.publish();
        }
    }

    fn publish(&mut self) {
        let snapshot = match self.view.snapshot() {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::error!(%error, "configuration cannot be resolved");
                return;
            }
        };
        self.preferred = home::addresses(&snapshot, &self.name);
        let published = Arc::new(Published {
            view: self.view.clone(),
            snapshot,
            entries: self.candidates(),
        });
        self.controller.configure(published.clone());
        self.published.send_replace(published);
    }
}
