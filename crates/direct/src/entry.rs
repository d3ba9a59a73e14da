//! The process: a traffic thread that serves requests, and a control thread,
//! the one that runs [`Entry::run`].

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_runtime::clock::{Clock, uptime};
use berylgw_runtime::{log, metrics as endpoint, task};
use berylgw_wire::rank::Pace;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use crate::gateway::Gateway;
use crate::gossip::Gossip;
use crate::header::Names;
use crate::metrics::Metrics;
use crate::peer::Role;
use crate::serve::Stopping;
use crate::settings::Settings;
use crate::usage::{Meter, Office};
use crate::view::Publisher;
use crate::{pull, serve};

/// Time after the stop signal at which idle connections are closed. Callers
/// have refreshed the directory by then.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the stop signal before which the process does not exit, so that
/// callers with an outdated directory answer are still served.
const MIN_STOP_TIME: Duration = Duration::from_millis(4_000);

/// Largest number of reports of ranks that wait for the traffic thread. Each rank sends
/// one in two seconds to each of three entries.
const MAX_WAITING_PACES: usize = 1_024;

/// Polling interval for the end of the last request.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The status of this entry and the entries that callers may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether requests can be routed.
    pub ready: bool,
    /// Whether this entry is stopping.
    pub leaving: bool,
    /// Failure domain and address of the entries that callers may use, sorted.
    pub entries: Vec<(Arc<str>, SocketAddr)>,
}

/// Error of an entry.
#[derive(Debug, thiserror::Error)]
#[error("{context}: {message}")]
pub struct Error {
    context: &'static str,
    message: String,
}

impl Error {
    /// Creates an error that concerns `context`.
    pub fn new(context: &'static str, message: impl ToString) -> Self {
        Error {
            context,
            message: message.to_string(),
        }
    }
}

/// An entry whose listeners are bound.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    names: Names,
    metrics: Metrics,
    callers: std::net::TcpListener,
    datagrams: UdpSocket,
    peers: TcpListener,
    views: Publisher,
    members: watch::Sender<Arc<[SocketAddr]>>,
    status: watch::Sender<Arc<Status>>,
    role: watch::Sender<Role>,
    paces: (mpsc::Sender<Pace>, mpsc::Receiver<Pace>),
    office: Option<Office>,
}

impl Entry {
    /// Binds the listeners.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(mut settings: Settings, names: Names) -> Result<Self, Error> {
        let at = |context| move |error: io::Error| Error::new(context, error);
        let callers =
            std::net::TcpListener::bind(settings.listen.callers).map_err(at("callers"))?;
        callers.set_nonblocking(true).map_err(at("callers"))?;
        settings.listen.callers = callers.local_addr().map_err(at("callers"))?;
        let peers = TcpListener::bind(settings.listen.peers)
            .await
            .map_err(at("peers"))?;
        settings.listen.peers = peers.local_addr().map_err(at("peers"))?;
        let datagrams = UdpSocket::bind(settings.listen.peers).map_err(at("peers"))?;
        datagrams.set_nonblocking(true).map_err(at("peers"))?;
        let metrics = Metrics::new().map_err(|error| Error::new("metrics", error))?;
        let office = settings.duties.map(|duties| Office::new(duties.usage()));
        Ok(Entry {
            views: Publisher::new(settings.freshness),
            settings,
            names,
            metrics,
            callers,
            datagrams,
            peers,
            members: watch::Sender::new(Arc::from([])),
            status: watch::Sender::new(Arc::default()),
            role: watch::Sender::default(),
            paces: mpsc::channel(MAX_WAITING_PACES),
            office,
        })
    }

    /// Returns the settings with the addresses that were bound.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the publisher for the configuration, servers and evacuations.
    pub fn views(&self) -> Publisher {
        self.views.clone()
    }

    /// Returns the sender for the addresses of other entries.
    pub fn members(&self) -> watch::Sender<Arc<[SocketAddr]>> {
        self.members.clone()
    }

    /// Returns the sender for the paces that ranks report to this entry.
    pub fn paces(&self) -> mpsc::Sender<Pace> {
        self.paces.0.clone()
    }

    /// Returns how this entry takes part in reading the store. If it does not observe
    /// it, it gets the view from other entries.
    pub fn role(&self) -> watch::Receiver<Role> {
        self.role.subscribe()
    }

    /// Returns the registry of the metrics that the entry serves.
    pub fn registry(&self) -> prometheus::Registry {
        self.metrics.registry()
    }

    /// Returns the ledger of this entry for the task that writes the record and sends
    /// the reports; `None` if the settings name no duties.
    pub fn office(&self) -> Option<Office> {
        self.office.clone()
    }

    /// Returns the status of this entry and the entries that callers may use.
    pub fn status(&self) -> watch::Receiver<Arc<Status>> {
        self.status.subscribe()
    }

    /// Serves callers until `stop` resolves, and then until the last answer has
    /// ended or the stop time is over; in the latter case, requests may still
    /// be in progress.
    ///
    /// # Errors
    ///
    /// Fails if the traffic thread cannot be started, cannot set up its runtime
    /// or listeners, or ends early. The failure of an interface for other
    /// entries or metrics is only logged.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        log::listening("callers", self.settings.listen.callers);
        log::listening("peers", self.settings.listen.peers);
        let (leave, leaving) = watch::channel(false);
        let (pulls, pull_targets) = pull::Queues::new();
        let (ended, end) = oneshot::channel();
        let metrics_address = self.settings.listen.metrics;
        let registry = self.metrics.registry();
        let traffic = Traffic {
            settings: self.settings,
            names: self.names,
            metrics: self.metrics,
            callers: self.callers,
            datagrams: self.datagrams,
            views: self.views.clone(),
            members: self.members.subscribe(),
            status: self.status,
            role: self.role,
            paces: self.paces,
            office: self.office,
            leaving,
            pulls,
        };
        std::thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || {
                let result = traffic.run();
                // Sending fails only when the control thread has ended, and the
                // process with it.
                drop(ended.send(result));
            })
            .map_err(|error| Error::new("traffic thread", error))?;
        let control = async {
            tokio::join!(
                pull::follow(pull_targets, self.views.clone()),
                self.views.follow_ends(),
                log_failure("peers", pull::serve(self.peers, self.views.clone())),
                log_failure(
                    "metrics",
                    endpoint::serve(metrics_address, registry, std::future::pending())
                ),
            )
        };
        // Forwards the stop request to the traffic thread, whose end is awaited
        // below; never resolves.
        let forward_stop = async {
            stop.await;
            tracing::info!("stop requested");
            leave.send_replace(true);
            std::future::pending::<()>().await
        };
        tokio::select! {
            result = end => result.map_err(|error| Error::new("traffic thread", error))?,
            _ = control => Err(Error::new("control thread", "ended")),
            () = forward_stop => Ok(()),
        }
    }
}

/// Runs a server that does not return unless it fails. A failure is logged and
/// does not end the process, which can still serve callers.
async fn log_failure<E: std::fmt::Display>(
    interface: &str,
    serving: impl Future<Output = Result<(), E>>,
) {
    if let Err(error) = serving.await {
        tracing::error!(interface, %error, "interface failed");
    }
    std::future::pending().await
}

/// Everything that moves to the traffic thread.
struct Traffic {
    settings: Settings,
    names: Names,
    metrics: Metrics,
    callers: std::net::TcpListener,
    datagrams: UdpSocket,
    views: Publisher,
    members: watch::Receiver<Arc<[SocketAddr]>>,
    status: watch::Sender<Arc<Status>>,
    role: watch::Sender<Role>,
    /// The sender keeps the channel open without a receiver of reports.
    paces: (mpsc::Sender<Pace>, mpsc::Receiver<Pace>),
    office: Option<Office>,
    leaving: watch::Receiver<bool>,
    pulls: pull::Queues,
}

impl Traffic {
    fn run(self) -> Result<(), Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::new("traffic runtime", error))?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<(), Error> {
        let at = |context| move |error: io::Error| Error::new(context, error);
        let listener = TcpListener::from_std(self.callers).map_err(at("callers"))?;
        let socket = tokio::net::UdpSocket::from_std(self.datagrams).map_err(at("peers"))?;
        let duties = self.settings.duties.zip(self.office);
        let meter = duties.map(|(duties, office)| Meter::new(duties.usage(), office));
        let clock = Clock::start();
        let gateway = Gateway::new(self.settings, self.names, self.metrics, clock, meter);
        let gateway = Rc::new(gateway);
        let gossip = Rc::new(Gossip {
            gateway: gateway.clone(),
            socket,
            incarnation: rand::random(),
            members: self.members,
            status: self.status,
            views: self.views.clone(),
            role: self.role,
            pulls: self.pulls,
            sequence: Cell::new(0),
            rounds: Cell::new(0),
            longest_delay: Cell::default(),
        });
        let (close, closing) = watch::channel(false);
        let (end, ending) = watch::channel(false);
        let stopping = Stopping {
            close: closing,
            end: ending,
        };
        let (views, viewing) = (self.views.clone(), gateway.clone());
        run_for_good("follow view", move || {
            follow_view(viewing.clone(), views.subscribe())
        });
        let accepting = serve::accept(gateway.clone(), listener, stopping);
        let accepting = tokio::task::spawn_local(accepting);
        let receiving = gossip.clone();
        run_for_good("receive datagrams", move || {
            let gossip = receiving.clone();
            async move { gossip.receive().await }
        });
        let recording = gateway.clone();
        let (_paces, mut paces) = self.paces;
        tokio::task::spawn_local(async move {
            while let Some(pace) = paces.recv().await {
                recording.record_pace(uptime(), &pace);
            }
        });
        let sending = gossip.clone();
        run_for_good("send datagrams", move || {
            let gossip = sending.clone();
            async move { gossip.send().await }
        });
        let evaluating = gossip.clone();
        run_for_good("evaluate peers", move || {
            let gossip = evaluating.clone();
            async move { gossip.evaluate().await }
        });
        let announcing = gossip.clone();
        run_for_good("announce views", move || {
            let gossip = announcing.clone();
            async move { gossip.announce().await }
        });
        let announcing = gossip.clone();
        run_for_good("announce confirmations", move || {
            let gossip = announcing.clone();
            async move { gossip.announce_confirmations().await }
        });
        if gateway.meter.is_some() {
            let delivering = gossip.clone();
            run_for_good("deliver usage", move || {
                let gossip = delivering.clone();
                async move { gossip.deliver_usage().await }
            });
            let answering = gossip.clone();
            run_for_good("answer usage", move || {
                let gossip = answering.clone();
                async move { gossip.answer_usage().await }
            });
        }
        let mut leaving = self.leaving;
        if leaving.wait_for(|leaving| *leaving).await.is_err() {
            return Err(Error::new("traffic thread", "control thread ended"));
        }
        leave(&gateway, &gossip, &close).await;
        end.send_replace(true);
        accepting
            .await
            .map_err(|error| Error::new("accepting connections", error))?;
        finish(&gateway, &gossip).await;
        Ok(())
    }
}

/// Runs a task on the traffic thread for as long as the process runs.
fn run_for_good<F: Future<Output = ()> + 'static>(
    name: &'static str,
    task: impl Fn() -> F + 'static,
) {
    let spawn = move || tokio::task::spawn_local(task());
    tokio::task::spawn_local(task::supervise(name, spawn));
}

async fn follow_view(gateway: Rc<Gateway>, mut views: watch::Receiver<Arc<crate::view::View>>) {
    loop {
        let view = views.borrow_and_update().clone();
        let version = view.configuration.value.version;
        gateway.metrics.configuration.set(version as i64);
        let servers = &view.servers.value;
        let draining = servers.iter().filter(|server| server.draining).count();
        let (servers, domains) = (servers.len(), view.evacuations.value.join(","));
        gateway.with_state(|state, now| {
            state.update_view(view);
            state.grant_permits(now);
        });
        tracing::info!(
            configuration = version,
            servers,
            draining,
            domains,
            "view in force"
        );
        gateway.view_changed.notify_one();
        gateway.state_changed.notify_one();
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Drains until no request is in progress and callers have refreshed the directory.
async fn leave(gateway: &Gateway, gossip: &Gossip, close: &watch::Sender<bool>) {
    gateway.leave();
    gossip.publish_status();
    let Some(stop) = gateway.stop() else { return };
    let sleep_until = async |time: Instant| {
        let time = time.min(stop.accept_until());
        tokio::time::sleep(gateway.clock.until(time)).await;
    };
    sleep_until(stop.begun() + IDLE_CLOSE_DELAY).await;
    close.send_replace(true);
    sleep_until(stop.begun() + MIN_STOP_TIME).await;
    while gateway.in_progress() > 0 && gateway.clock.now() < stop.accept_until() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits for the last connections: an answer that is complete here may not have been
/// sent yet.
async fn finish(gateway: &Gateway, gossip: &Gossip) {
    let Some(stop) = gateway.stop() else { return };
    while gateway.connections() > 0 && gateway.clock.now() < stop.exit() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    gossip.deliver_last_usage(stop.exit()).await;
    gateway.mark_stopped();
    let (in_progress, connections) = (gateway.in_progress(), gateway.connections());
    // The other connections have an answer that is not written, or no request yet.
    let undelivered = connections.saturating_sub(in_progress);
    let stop_ms = gateway.clock.now().since(stop.begun()).as_millis() as u64;
    tracing::info!(in_progress, undelivered, stop_ms, "stopped");
}
