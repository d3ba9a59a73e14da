//! The log line and the metrics of one request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;

use crate::call::Call;
use crate::config::RequestKind;
use crate::gateway::Gateway;
use crate::metrics::{End, Phase, Retry};
use crate::state::{Ruling, State};

/// Collects what happens to one request; logs it on drop.
#[derive(Debug)]
pub struct Record {
    gateway: Rc<Gateway>,
    id: String,
    started: Instant,
    stopping: Option<Duration>,
    service: Arc<str>,
    account: Arc<str>,
    kind: &'static str,
    client_timeout: Duration,
    in_time: bool,
    waited: Option<Duration>,
    share: Option<(String, Ruling, Option<String>)>,
    concurrency_limit: usize,
    in_flight: usize,
    servers: Vec<Arc<str>>,
    domain: Arc<str>,
    retries: Vec<Retry>,
    first: Option<Duration>,
    last_event: Option<Instant>,
    longest_pause: Duration,
    events: u32,
    retry_after: Option<Duration>,
    status: u16,
    end: Option<End>,
}

impl Record {
    /// Starts the record of a request whose head has arrived.
    pub fn new(gateway: &Rc<Gateway>, id: String) -> Self {
        gateway.begin();
        let started = gateway.clock.now();
        let stopping = gateway.stop().map(|stop| started.since(stop.begun()));
        Record {
            gateway: gateway.clone(),
            id,
            started,
            stopping,
            service: Arc::from(""),
            account: Arc::from(""),
            kind: "unknown",
            client_timeout: Duration::ZERO,
            in_time: true,
            waited: None,
            share: None,
            concurrency_limit: 0,
            in_flight: 0,
            servers: Vec::new(),
            domain: Arc::from(""),
            retries: Vec::new(),
            first: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            events: 0,
            retry_after: None,
            status: 0,
            end: None,
        }
    }

    /// Records the route, account and limits of the request.
    pub fn routed(&mut self, call: &Call) {
        self.service = call.service_name.clone();
        self.account = call.account.clone();
        self.client_timeout = call.client_timeout;
        self.in_time = call.in_time;
        self.kind = match call.kind() {
            RequestKind::Idempotent => "idempotent",
            RequestKind::AtMostOnce => "once",
            RequestKind::Stream => "stream",
            RequestKind::ResumableStream => "resumable_stream",
        };
        let limits = |state: &mut State, _| {
            let concurrency_limit = state.concurrency_limit(call.service);
            (concurrency_limit, state.in_flight(call.service))
        };
        (self.concurrency_limit, self.in_flight) = self.gateway.with_state(limits);
    }

    /// Records the class of the request among those that share permits, what that
    /// decided, and the cutoff in force.
    pub fn classified(&mut self, class: String, ruling: Ruling, cutoff: Option<String>) {
        self.share = Some((class, ruling, cutoff));
    }

    /// Records that the request was admitted.
    pub fn admitted(&mut self) {
        let waited = self.age();
        self.waited = Some(waited);
        self.phase(Phase::Wait, waited);
    }

    /// Records that the request is sent to a server.
    pub fn sent(&mut self, server: &crate::backend::Server) {
        self.servers.push(server.id.clone());
        self.domain = server.domain.clone();
    }

    /// Records why an attempt failed, if another one may follow.
    pub fn retried(&mut self, reason: Retry) {
        self.gateway.metrics.count_retry(reason);
        self.retries.push(reason);
    }

    /// Returns the number of arrivals of events so far.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Records the arrival of one or more events at once, or of a complete
    /// answer; returns the pause before it, `None` for the first.
    pub fn event(&mut self) -> Option<Duration> {
        let now = self.gateway.clock.now();
        self.events += 1;
        let pause = self.last_event.map(|last| now.since(last));
        self.last_event = Some(now);
        match pause {
            Some(pause) => {
                self.longest_pause = self.longest_pause.max(pause);
                self.phase(Phase::Pause, pause);
            }
            None => {
                let first = self.age();
                self.first = Some(first);
                self.phase(Phase::FirstEvent, first);
            }
        }
        pause
    }

    /// Records how the request ends.
    pub fn end(&mut self, end: End, status: u16, retry_after: Option<Duration>) {
        self.end = Some(end);
        self.status = status;
        self.retry_after = retry_after;
    }

    fn age(&self) -> Duration {
        self.gateway.clock.now().since(self.started)
    }

    fn phase(&self, phase: Phase, time: Duration) {
        let metrics = &self.gateway.metrics;
        metrics.record(phase, self.kind, &self.domain, time);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.gateway.finish();
        let end = self.end.unwrap_or(match std::thread::panicking() {
            true => End::Internal,
            false if self.gateway.is_stopped() => End::Stopped,
            false => End::ClientLeft,
        });
        let total = self.age();
        self.gateway.metrics.count_end(end);
        if end == End::Answered {
            self.phase(Phase::Total, total);
        }
        let revisions = self.gateway.with_state(|state, _| state.view.revisions());
        let millis = |time: Duration| time.as_millis() as u64;
        let labels = |retries: &[Retry]| {
            let labels: Vec<String> = retries.iter().map(Retry::to_string).collect();
            labels.join(",")
        };
        let share = self.share.as_ref();
        tracing::info!(
            request = self.id,
            %end,
            status = self.status,
            retry_after_ms = self.retry_after.map(millis),
            service = %self.service,
            account = %self.account,
            kind = self.kind,
            places = self.concurrency_limit,
            in_flight = self.in_flight,
            class = share.map(|share| &*share.0),
            ruling = share.map(|share| share.1.to_string()),
            cutoff = share.and_then(|share| share.2.as_deref()),
            patience_ms = millis(self.client_timeout),
            in_time = self.in_time,
            stopping_ms = self.stopping.map(millis),
            waited_ms = self.waited.map(millis),
            servers = self.servers.join(","),
            retries = labels(&self.retries),
            first_ms = self.first.map(millis),
            longest_pause_ms = millis(self.longest_pause),
            events = self.events,
            whole_ms = millis(total),
            configuration = revisions.configuration.number(),
            server_list = revisions.servers.number(),
            "request"
        );
    }
}
