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

use crate::convert;
use crate::forward::{Error, Server};
use crate::gate::Gate;
use crate::metrics::Metrics;

/// Entries followed at the same time.
const HOMES: usize = 2;

/// The home that sends objects; the others send only their version, because
/// objects over two streams exceed the control traffic allowed per entry.
const OBJECT_HOME: usize = 0;

/// Wait for the objects of a version that another home has shown.
const OBJECT_WAIT: Duration = Duration::from_millis(200);

/// Time after which an entry followed in place of a home is left for the home.
const RETURN: Duration = Duration::from_secs(10);

/// Time without a message after which an entry is replaced.
const SILENCE: Duration = Duration::from_secs(3);

/// Pause between attempts to follow entries.
const PAUSE: Duration = Duration::from_millis(100);

/// Time between load reports of the server.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Time allowed for a connection or a single pull.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message from an entry, in bytes: a view of several 1 MiB objects.
const MAX_MESSAGE: usize = 64 << 20;

/// What the control thread publishes.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// All configuration objects.
    pub view: View,
    /// What they resolve to.
    pub snapshot: Snapshot,
    /// Entry addresses that can be followed.
    pub entries: Vec<SocketAddr>,
}

/// Asks the control thread to pull from an entry that knows a newer version.
#[derive(Clone, Debug)]
pub struct Hint {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Version it knows.
    pub version: Version,
}

/// What the control thread works with.
#[derive(Debug)]
pub struct Inputs {
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Peer addresses from the settings.
    pub entries: Vec<SocketAddr>,
    /// Receives configuration and load reports.
    pub gate: Arc<Gate>,
    /// Address of the local server.
    pub server: SocketAddr,
    /// Gauges to refresh.
    pub metrics: Arc<Metrics>,
    /// Where to publish.
    pub published: watch::Sender<Arc<Published>>,
    /// Versions seen in requests.
    pub hints: mpsc::Receiver<Hint>,
    /// Credentials of connections with entries.
    pub peers: Option<Arc<PeerCredentials>>,
    /// Ends the thread when set.
    pub stop: watch::Receiver<bool>,
}

struct Control {
    name: Arc<str>,
    seeds: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
    /// Entries of the sheet, best home first.
    listed: Vec<SocketAddr>,
    followed: [Option<SocketAddr>; HOMES],
    /// Position of the next candidate of each home.
    next: [usize; HOMES],
    /// Whether to try the home entry before the next candidate.
    returning: [bool; HOMES],
    view: View,
    gate: Arc<Gate>,
    published: watch::Sender<Arc<Published>>,
    peers: Option<Arc<PeerCredentials>>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the thread or its runtime cannot be made.
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
    // Agents with the same settings do not all start at the same entry.
    let turn = inputs.gate.current_sender().incarnation as usize;
    let count = seeds.len().max(1);
    seeds.rotate_left(turn % count);
    let control = Rc::new(RefCell::new(Control {
        name: inputs.name,
        seeds,
        learned: Vec::new(),
        listed: Vec::new(),
        followed: [None; HOMES],
        next: std::array::from_fn(|home| home),
        returning: [false; HOMES],
        view: View::new(),
        gate: inputs.gate.clone(),
        published: inputs.published,
        peers: inputs.peers,
    }));
    for home in 0..HOMES {
        tokio::task::spawn_local(follow(control.clone(), home));
    }
    tokio::task::spawn_local(watch_load(
        inputs.gate,
        Server::new(inputs.server),
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

/// Follows one entry after the other.
async fn follow(control: Rc<RefCell<Control>>, home: usize) {
    loop {
        let Some(address) = control.borrow_mut().choose(home) else {
            sleep(PAUSE).await;
            continue;
        };
        if let Err(error) = follow_entry(&control, home, address).await {
            tracing::info!(%address, %error, "entry is not followed any more");
        }
        control.borrow_mut().followed[home] = None;
        sleep(PAUSE).await;
    }
}

async fn follow_entry(
    control: &Rc<RefCell<Control>>,
    home: usize,
    address: SocketAddr,
) -> Result<(), Box<dyn std::error::Error>> {
    let connector = control.borrow().connector(address);
    let mut client = connect(address, connector).await?;
    let started = Instant::now();
    let mut since = control.borrow().view.version();
    let request = wire::PullRequest {
        versions_only: home != OBJECT_HOME,
        ..control.borrow().request(since)
    };
    let mut stream = timeout(SILENCE, client.follow(request))
        .await??
        .into_inner();
    loop {
        let message = timeout(SILENCE, stream.message()).await??;
        let Some(reply) = message else {
            return Err("stream ended".into());
        };
        let version = Version::from(reply.version);
        if home == OBJECT_HOME {
            control.borrow_mut().merge(since, &reply);
            since = since.max(version);
        } else {
            control.borrow_mut().hear(&reply);
            if version > control.borrow().view.version() {
                let late = pull_late(control.clone(), address, version);
                tokio::task::spawn_local(late);
            }
        }
        if started.elapsed() >= RETURN && control.borrow_mut().returns(home, address) {
            return Err("returning to the home entry".into());
        }
    }
}

/// Pulls a version if its objects do not arrive from the object home.
async fn pull_late(control: Rc<RefCell<Control>>, address: SocketAddr, version: Version) {
    sleep(OBJECT_WAIT).await;
    pull(&control, address, version).await;
}

/// Pulls from an entry unless `version` is known; returns whether it is then.
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
    Ok(SyncClient::new(channel).max_decoding_message_size(MAX_MESSAGE))
}

/// Name of the entry that the sheet has at `address`.
fn entry_at(snapshot: &Snapshot, address: SocketAddr) -> Option<Arc<str>> {
    let entries = &snapshot.sheet.entries;
    let entry = entries.iter().find(|entry| entry.peer_address == address);
    entry.map(|entry| entry.name.clone())
}

async fn watch_load(gate: Arc<Gate>, server: Server, metrics: Arc<Metrics>) {
    loop {
        let asked = gate.clock().now();
        match timeout(CALL_TIMEOUT, server.load()).await {
            Ok(Ok(report)) => gate.report(asked, report),
            Ok(Err(error)) => {
                if matches!(error, Error::Connect(_)) {
                    gate.lost();
                }
                tracing::debug!(%error, "no load report");
            }
            Err(_) => tracing::debug!("load report timed out"),
        }
        gate.tick();
        metrics.refresh(&gate);
        sleep(LOAD_INTERVAL).await;
    }
}

impl Control {
    fn connector(&self, address: SocketAddr) -> Connector {
        let published = self.published.subscribe();
        let expected = move |address| entry_at(&published.borrow().snapshot, address);
        Connector::new(address, self.peers.clone(), Arc::new(expected))
    }

    /// The next candidate that no other home follows.
    fn choose(&mut self, home: usize) -> Option<SocketAddr> {
        let candidates = self.candidates();
        // If the home entry is still away, another candidate follows: the last
        // one may be cut off from newer versions.
        let wanted = candidates.get(home).copied();
        if std::mem::take(&mut self.returning[home])
            && let Some(wanted) = wanted.filter(|wanted| !self.followed.contains(&Some(*wanted)))
        {
            self.followed[home] = Some(wanted);
            return Some(wanted);
        }
        for _ in 0..candidates.len() {
            let address = candidates[self.next[home] % candidates.len()];
            self.next[home] += 1;
            if !self.followed.contains(&Some(address)) {
                self.followed[home] = Some(address);
                return Some(address);
            }
        }
        None
    }

    /// Whether to leave `address` and try the home entry again.
    fn returns(&mut self, home: usize, address: SocketAddr) -> bool {
        let wanted = self.listed.get(home).copied();
        let returns = wanted
            .is_some_and(|wanted| wanted != address && !self.followed.contains(&Some(wanted)));
        self.returning[home] = returns;
        returns
    }

    /// Entries that can be followed, best first, each once.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for address in self.listed.iter().chain(&self.learned).chain(&self.seeds) {
            if !addresses.contains(address) {
                addresses.push(*address);
            }
        }
        addresses
    }

    /// Addresses to pull from: that of the named entry first.
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
            sender: Some(self.gate.sender(self.view.version())),
            since: since.into(),
            ..wire::PullRequest::default()
        }
    }

    /// Takes in what a reply says beside its objects; returns whether the
    /// entries it names changed.
    fn hear(&mut self, reply: &wire::PullReply) -> bool {
        self.gate.confirm();
        self.gate.merge_suspects(&reply.suspects);
        let learned: Vec<SocketAddr> = reply
            .entries
            .iter()
            .filter_map(|address| address.parse().ok())
            .collect();
        let changed = !learned.is_empty() && learned != self.learned;
        if changed {
            self.learned = learned;
        }
        changed
    }

    fn merge(&mut self, since: Version, reply: &wire::PullReply) {
        let entries_changed = self.hear(reply);
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
        self.listed = home::addresses(&snapshot, &self.name);
        let published = Arc::new(Published {
            view: self.view.clone(),
            snapshot,
            entries: self.candidates(),
        });
        self.gate.configure(published.clone());
        self.published.send_replace(published);
    }
}
