//! State and resources shared by all requests on the traffic thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::{self, Content};
use berylgw_core::group::health;
use berylgw_core::stop::Schedule;
use berylgw_runtime::clock::Clock;
use berylgw_wire::rank::Pace;
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use crate::backend::Server;
use crate::header::Names;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::{Notice, ServerKey, ServiceKey, State};
use crate::usage::Meter;

/// State and resources shared by all requests of an entry.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the process.
    pub settings: Settings,
    /// Header names of the deployment.
    pub names: Names,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// The clock for all time-dependent decisions.
    pub clock: Clock,
    /// Counts usage; `None` if the settings name no duties.
    pub meter: Option<Meter>,
    /// Signalled when the load or the view changes or the entry begins to drain,
    /// so that other entries receive a datagram.
    pub state_changed: Notify,
    /// Signalled when a new view is in force, so that it is announced to other
    /// entries at once.
    pub view_changed: Notify,
    /// Signalled when more requests are quarantined, so that those on their way are
    /// withdrawn.
    pub quarantine_changed: Notify,
    state: RefCell<State>,
    stop: watch::Sender<Option<Schedule>>,
    stopped: Cell<bool>,
    /// Shared with the bytes of answers, which are freed once they have been sent.
    reserved_bytes: Arc<AtomicUsize>,
    in_progress: Cell<usize>,
    connections: Cell<usize>,
}

/// Most bytes of bodies that an entry buffers at once, below the memory of the
/// smallest hosts.
const MAX_BODY_BYTES: usize = 48 << 20;

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(
        settings: Settings,
        names: Names,
        metrics: Metrics,
        clock: Clock,
        meter: Option<Meter>,
    ) -> Self {
        Gateway {
            meter,
            state: RefCell::new(State::new(settings.clone())),
            settings,
            names,
            metrics,
            clock,
            state_changed: Notify::new(),
            view_changed: Notify::new(),
            quarantine_changed: Notify::new(),
            stop: watch::Sender::new(None),
            stopped: Cell::new(false),
            reserved_bytes: Arc::default(),
            in_progress: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    /// Calls `decide` with the state and the current time.
    pub fn with_state<T>(&self, decide: impl FnOnce(&mut State, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.peers.expire(now);
        decide(&mut state, now)
    }

    /// Records the pace that a rank has reported to this entry, received at the uptime
    /// `now`.
    pub fn record_pace(&self, now: Instant, pace: &Pace) {
        let outcome = self.with_state(|state, _| {
            let outcome = state.record_pace(now, pace);
            state.evaluate_capacity(now);
            outcome
        });
        self.metrics.count_pace("rank", outcome);
        self.state_changed.notify_one();
    }

    /// Begins to drain: the directory no longer lists this entry.
    pub fn leave(&self) {
        self.stop.send_if_modified(|stop| {
            let grace = Duration::from_secs_f64(self.settings.stop_s);
            let begins = stop.is_none();
            stop.get_or_insert_with(|| Schedule::new(self.clock.now(), grace));
            begins
        });
        self.state_changed.notify_one();
    }

    /// Returns the schedule of the stop, `None` while the entry does not drain.
    pub fn stop(&self) -> Option<Schedule> {
        *self.stop.borrow()
    }

    /// Waits until the last answers of a stopping entry are due.
    pub async fn answers_due(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the gateway.
        let schedule = stop.wait_for(Option::is_some).await.ok();
        let Some(schedule) = schedule.and_then(|stop| *stop) else {
            return std::future::pending().await;
        };
        tokio::time::sleep(self.clock.until(schedule.answer_by())).await;
    }

    /// Marks the process as about to exit, whatever is still in progress.
    pub fn mark_stopped(&self) {
        self.stopped.set(true);
    }

    /// Returns whether the process is about to exit.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Counts a request that begins.
    pub fn begin(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// Counts a request that ends.
    pub fn finish(&self) {
        self.in_progress
            .set(self.in_progress.get().saturating_sub(1));
    }

    /// Returns the number of requests whose answers have not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub fn open_connection(self: &Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection(self.clone())
    }

    /// Grants free permits to queued requests.
    pub fn grant_permits(&self) {
        self.with_state(State::grant_permits);
    }

    /// Reserves memory for `bytes` of a body, `None` if too much is
    /// reserved already.
    pub fn reserve_body(&self, bytes: usize) -> Option<BodyReservation> {
        let reserved = self.reserved_bytes.load(Ordering::Relaxed) + bytes;
        if reserved > MAX_BODY_BYTES {
            return None;
        }
        self.reserved_bytes.store(reserved, Ordering::Relaxed);
        Some(BodyReservation {
            reserved: self.reserved_bytes.clone(),
            bytes,
        })
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct OpenConnection(Rc<Gateway>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connections = self.0.connections.get();
        self.0.connections.set(connections.saturating_sub(1));
    }
}

/// Memory reserved for a body, released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    reserved: Arc<AtomicUsize>,
    bytes: usize,
}

impl BodyReservation {
    /// Adds the memory of another reservation to this one.
    pub fn extend(&mut self, mut other: BodyReservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns `body` as bytes that hold this reservation until the last copy of them is
    /// dropped, which for an answer is when it has been written to its caller.
    pub fn hold(self, body: Vec<u8>) -> Bytes {
        Bytes::from_owner(Reserved {
            body,
            _reservation: self,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body and the memory reserved for it.
struct Reserved {
    body: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Permission to run one request in a group, released on drop.
#[derive(Debug)]
pub struct Permit {
    gateway: Rc<Gateway>,
    service: ServiceKey,
    account: Arc<str>,
}

impl Permit {
    /// Creates the guard of a permit that the state has counted already.
    pub fn new(gateway: &Rc<Gateway>, service: ServiceKey, account: &Arc<str>) -> Self {
        Permit {
            gateway: gateway.clone(),
            service,
            account: account.clone(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gateway.with_state(|state, now| {
            state.release_permit(self.service, &self.account);
            state.grant_permits(now);
        });
    }
}

/// A stream that a server writes, forgotten on drop.
#[derive(Debug)]
pub struct Stream {
    gateway: Rc<Gateway>,
    key: blame::Stream,
}

impl Stream {
    /// Records that `server` begins to write a stream that answers a request.
    pub fn begin(
        gateway: &Rc<Gateway>,
        service: ServiceKey,
        server: &Server,
        content: &Content,
    ) -> Self {
        let key =
            gateway.with_state(|state, now| state.begin_stream(now, service, server, content));
        Stream {
            gateway: gateway.clone(),
            key,
        }
    }

    /// Returns the key under which its crash is recorded.
    pub fn key(&self) -> blame::Stream {
        self.key
    }

    /// Records that it broke off; returns whether that may be the end of its server, which
    /// it may have crashed.
    pub fn may_have_crashed(&self) -> bool {
        self.gateway.with_state(|state, now| {
            state.break_stream(now, self.key);
            state.may_have_crashed(self.key)
        })
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.gateway
            .with_state(|state, _| state.end_stream(self.key));
    }
}

/// A server chosen for a request, counted as in flight there until drop.
#[derive(Debug)]
pub struct Assignment {
    gateway: Rc<Gateway>,
    key: ServerKey,
    /// The server as listed when it was chosen.
    pub server: Arc<Server>,
}

impl Assignment {
    /// Chooses a server that is not in `tried`.
    pub fn choose(
        gateway: &Rc<Gateway>,
        service: ServiceKey,
        tried: &[Arc<str>],
        content: &Content,
    ) -> Option<Self> {
        let chosen =
            gateway.with_state(|state, now| state.choose_server(now, service, tried, content));
        let (key, server) = chosen?;
        gateway.state_changed.notify_one();
        Some(Assignment {
            gateway: gateway.clone(),
            key,
            server,
        })
    }

    /// Records that another process has the server's address.
    pub fn mark_replaced(&self) {
        self.gateway
            .with_state(|state, now| state.mark_replaced(now, self.key));
    }

    /// Records what an answer of the server says of the server.
    pub fn record_notice(&self, notice: Notice) {
        self.gateway.with_state(|state, now| {
            for subject in state.record_notice(now, self.key, notice) {
                self.gateway.metrics.count_notice(subject, "answer", 1);
            }
        });
    }

    /// Returns whether the request may still be sent: the server may have said
    /// meanwhile that it leaves or pauses.
    pub fn may_send(&self) -> bool {
        self.gateway
            .with_state(|state, now| state.may_send(now, self.key))
    }

    /// Records a pause between two events of a stream of the server.
    pub fn record_pause(&self, service: ServiceKey, pause: Duration, target: Duration) {
        self.gateway
            .with_state(|state, now| state.record_pause(now, service, self.key, pause, target));
    }

    /// Returns what is needed to record the time of the response after the server is no
    /// longer assigned: its key and the requests in flight there.
    pub fn load(&self) -> (ServerKey, u32) {
        let load = self.gateway.with_state(|state, _| state.load(self.key));
        (self.key, load)
    }

    /// Records the number of events of a stream of the server that has ended.
    pub fn record_response(&self, service: ServiceKey, events: u32) {
        self.gateway
            .with_state(|state, _| state.record_response(service, self.key, events));
    }

    /// Records an outcome of the server.
    pub fn report(&self, record: impl FnOnce(&mut health::Record, Instant)) {
        self.gateway.with_state(|state, now| {
            if let Some(health) = state.health(self.key) {
                record(health, now);
            }
        });
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        self.gateway
            .with_state(|state, _| state.finish_request(self.key));
        self.gateway.state_changed.notify_one();
    }
}
