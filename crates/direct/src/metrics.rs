//! Counters and histograms of an entry.

use std::time::Duration;

use berylgw_core::group::capacity::Rejected;
use berylgw_runtime::{log, task};
use derive_more::Display;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

use crate::view::Section;

/// Upper bounds of the buckets of the latency histograms in seconds, dense
/// around the callers' targets for the first event and between events.
const BUCKETS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// Largest number of servers with a capacity of their own in the metrics.
pub const MAX_SERVER_LABELS: usize = 20;

/// Least urgent priority with a label value of its own.
const MAX_PRIORITY_LABEL: u32 = 7;

/// How a request ended, a label value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum End {
    /// The complete answer of a server was sent.
    #[display("answered")]
    Answered,
    /// No route matches the host and path.
    #[display("no_route")]
    NoRoute,
    /// The API key belongs to no client account.
    #[display("unauthenticated")]
    Unauthenticated,
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The body is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// No configuration is known yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The concurrency limit is reached and no permit became free in time.
    #[display("no_place")]
    NoPermit,
    /// The group of ranks does not run.
    #[display("group_closed")]
    GroupClosed,
    /// No server is eligible.
    #[display("no_server")]
    NoServer,
    /// All servers have asked for a pause.
    #[display("servers_pause")]
    ServersPause,
    /// All servers that were tried refused it.
    #[display("servers_refused")]
    ServersRefused,
    /// It holds what crashes servers.
    #[display("quarantined")]
    Quarantined,
    /// A server crashed under it, and it is not sent again now.
    #[display("suspected")]
    Suspected,
    /// The entry drains.
    #[display("leaving")]
    Leaving,
    /// A server may have run it, but its answer is lost.
    #[display("answer_lost")]
    AnswerLost,
    /// The deadline passed.
    #[display("timeout")]
    Timeout,
    /// The stream broke off and could not be continued.
    #[display("broken_off")]
    BrokenOff,
    /// The client closed the connection.
    #[display("client_left")]
    ClientLeft,
    /// The stop of the entry ended it.
    #[display("stopped")]
    Stopped,
    /// The entry itself failed.
    #[display("internal")]
    Internal,
}

/// Why a request was sent to another server, a label value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Retry {
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// The server states that it did not run the request.
    #[display("not_run")]
    NotRun,
    /// Another process has the server's address.
    #[display("replaced")]
    Replaced,
    /// The server's answer is lost or belongs to another request.
    #[display("answer_lost")]
    AnswerLost,
    /// The server answered with a 5xx status.
    #[display("failed")]
    Failed,
    /// The stream broke off.
    #[display("broken_off")]
    BrokenOff,
    /// The server has said that it leaves or pauses before the request was sent.
    #[display("withheld")]
    Withheld,
}

/// The metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    retries: IntCounterVec,
    latency: HistogramVec,
    /// Concurrency limit by service.
    pub concurrency_limit: IntGaugeVec,
    /// Requests in flight from all entries, by service.
    pub in_flight: IntGaugeVec,
    /// Version of the configuration in force.
    pub configuration: IntGauge,
    view_age: IntGaugeVec,
    confirmation_age: IntGaugeVec,
    dropped_lines: IntGauge,
    task_restarts: IntGauge,
    /// Live entries that do not drain, without this one.
    pub peers: IntGauge,
    /// Datagrams that the host could not send at once, and dropped.
    pub unsent_datagrams: IntCounter,
    /// Longest time that a datagram of another entry waited lately, in milliseconds.
    pub datagram_delay: IntGauge,
    /// Requests whose server crashed before it answered them.
    pub crashes: IntCounter,
    notices: IntCounterVec,
    paces: IntCounterVec,
    server_capacity: GaugeVec,
    slow_servers: IntGaugeVec,
    /// Sealed usage batches that are not known to be durable.
    pub usage_batches: IntGauge,
    /// Milliseconds by which the clock of this host is ahead of true time.
    pub clock_lead: IntGauge,
    usage_faults: IntCounterVec,
    usage_windows: IntCounterVec,
    shares: IntCounterVec,
}

/// Phases of a request with a histogram.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// From the request to its permit.
    #[display("wait")]
    Wait,
    /// From the request to the first event or the head of the answer.
    #[display("first_event")]
    FirstEvent,
    /// Between two events.
    #[display("pause")]
    Pause,
    /// From the request to the end of the answer.
    #[display("whole")]
    Total,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have one name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let gauges =
            |name: &str, help: &str, label: &str| IntGaugeVec::new(Opts::new(name, help), &[label]);
        let options = HistogramOpts::new(
            "berylgw_direct_seconds",
            "Latency of requests by phase, kind of request and failure domain of the server",
        );
        let metrics = Metrics {
            requests: counter(
                "berylgw_direct_requests_total",
                "Requests by outcome",
                &["end"],
            )?,
            retries: counter(
                "berylgw_direct_retries_total",
                "Retries at another server by reason",
                &["reason"],
            )?,
            latency: HistogramVec::new(
                options.buckets(BUCKETS.to_vec()),
                &["phase", "kind", "domain"],
            )?,
            concurrency_limit: gauges(
                "berylgw_direct_places",
                "Concurrency limit in force",
                "service",
            )?,
            in_flight: gauges("berylgw_direct_in_flight", "Requests in flight", "service")?,
            configuration: IntGauge::new(
                "berylgw_direct_configuration_version",
                "Version of the configuration in force",
            )?,
            view_age: gauges(
                "berylgw_direct_view_age_seconds",
                "Seconds since the store last answered this entry",
                "kind",
            )?,
            confirmation_age: gauges(
                "berylgw_direct_confirmation_age_ms",
                "Milliseconds since the store confirmed the part of the view to any entry",
                "part",
            )?,
            dropped_lines: IntGauge::new(
                "berylgw_direct_log_lines_dropped",
                "Log lines dropped since the start",
            )?,
            task_restarts: IntGauge::new(
                "berylgw_direct_task_restarts",
                "Tasks started again after a panic, since the start",
            )?,
            peers: IntGauge::new(
                "berylgw_direct_peers",
                "Live entries that do not drain, without this one",
            )?,
            unsent_datagrams: IntCounter::new(
                "berylgw_direct_unsent_datagrams_total",
                "Datagrams to other entries that were dropped before they were sent",
            )?,
            datagram_delay: IntGauge::new(
                "berylgw_direct_datagram_delay_ms",
                "Longest time that a datagram of another entry waited in the last 0.4 s",
            )?,
            crashes: IntCounter::new(
                "berylgw_direct_crashes_total",
                "Requests whose server crashed before it answered them",
            )?,
            notices: counter(
                "berylgw_direct_server_notices_total",
                "Changes that servers have named in their answers, by subject and source",
                &["subject", "source"],
            )?,
            paces: counter(
                "berylgw_direct_pace_reports_total",
                "Paces of ranks received, by source and outcome",
                &["source", "outcome"],
            )?,
            server_capacity: GaugeVec::new(
                Opts::new(
                    "berylgw_direct_server_capacity",
                    "Requests in flight that a slow server handles, of the slowest servers",
                ),
                &["server"],
            )?,
            slow_servers: gauges(
                "berylgw_direct_slow_servers",
                "Servers that are slower than the others",
                "service",
            )?,
            usage_batches: IntGauge::new(
                "berylgw_direct_usage_batches",
                "Sealed usage batches that are not known to be durable",
            )?,
            clock_lead: IntGauge::new(
                "berylgw_direct_clock_lead_ms",
                "Milliseconds by which the clock of the host is ahead of the median of all",
            )?,
            usage_faults: counter(
                "berylgw_direct_usage_faults_total",
                "Starts, batches or datagrams of usage that could not be used, by reason",
                &["reason"],
            )?,
            usage_windows: counter(
                "berylgw_direct_usage_windows_total",
                "Usage windows that this entry decided, by what ended the wait",
                &["end"],
            )?,
            shares: counter(
                "berylgw_direct_shared_requests_total",
                "Requests for shared permits by priority, class of the account and decision",
                &["priority", "account", "decision"],
            )?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.concurrency_limit.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.configuration.clone()))?;
        registry.register(Box::new(metrics.view_age.clone()))?;
        registry.register(Box::new(metrics.confirmation_age.clone()))?;
        registry.register(Box::new(metrics.dropped_lines.clone()))?;
        registry.register(Box::new(metrics.task_restarts.clone()))?;
        registry.register(Box::new(metrics.peers.clone()))?;
        registry.register(Box::new(metrics.unsent_datagrams.clone()))?;
        registry.register(Box::new(metrics.datagram_delay.clone()))?;
        registry.register(Box::new(metrics.crashes.clone()))?;
        registry.register(Box::new(metrics.notices.clone()))?;
        registry.register(Box::new(metrics.paces.clone()))?;
        registry.register(Box::new(metrics.server_capacity.clone()))?;
        registry.register(Box::new(metrics.slow_servers.clone()))?;
        registry.register(Box::new(metrics.usage_batches.clone()))?;
        registry.register(Box::new(metrics.clock_lead.clone()))?;
        registry.register(Box::new(metrics.usage_faults.clone()))?;
        registry.register(Box::new(metrics.usage_windows.clone()))?;
        registry.register(Box::new(metrics.shares.clone()))?;
        Ok(metrics)
    }

    /// Returns the registry to serve.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// Sets the gauges of the view's age, by kind of object, and of dropped log
    /// lines.
    pub fn export_ages(&self, ages: &[(&'static str, Duration)]) {
        for &(kind, age) in ages {
            let seconds = age.as_secs() as i64;
            self.view_age.with_label_values(&[kind]).set(seconds);
        }
        self.dropped_lines.set(log::dropped_lines() as i64);
        self.task_restarts.set(task::restarts() as i64);
    }

    /// Sets the gauge of the time since the store confirmed a part of the view.
    pub fn export_confirmation_age(&self, section: Section, age: Duration) {
        let gauge = &self.confirmation_age;
        let millis = age.as_millis() as i64;
        gauge.with_label_values(&[&section.to_string()]).set(millis);
    }

    /// Counts the end of a request.
    pub fn count_end(&self, end: End) {
        self.requests.with_label_values(&[&end.to_string()]).inc();
    }

    /// Counts a retry at another server.
    pub fn count_retry(&self, reason: Retry) {
        let reason = reason.to_string();
        self.retries.with_label_values(&[&reason]).inc();
    }

    /// Counts changes that a server has named in its answers.
    pub fn count_notice(&self, subject: &str, source: &str, count: u64) {
        self.notices
            .with_label_values(&[subject, source])
            .inc_by(count);
    }

    /// Counts a report of a rank's pace, which came from the rank or another entry.
    pub fn count_pace(&self, source: &str, outcome: Result<(), Rejected>) {
        let outcome = outcome.map_or_else(|rejected| rejected.to_string(), |()| "used".to_owned());
        self.paces.with_label_values(&[source, &outcome]).inc();
    }

    /// Sets the gauges of the slow servers: their number by service, and the capacities
    /// by server. Servers set before that are not among them are removed.
    pub fn export_capacities(&self, slow: &[(&str, i64)], capacities: &[(f64, &str)]) {
        for (service, count) in slow {
            self.slow_servers.with_label_values(&[service]).set(*count);
        }
        self.server_capacity.reset();
        for (capacity, server) in capacities {
            let gauge = self.server_capacity.with_label_values(&[server]);
            gauge.set(*capacity);
        }
    }

    /// Counts usage that could not be used.
    pub fn count_usage_fault(&self, reason: &str, count: u64) {
        self.usage_faults.with_label_values(&[reason]).inc_by(count);
    }

    /// Counts a usage window that this entry decided.
    pub fn count_window(&self, end: &str) {
        self.usage_windows.with_label_values(&[end]).inc();
    }

    /// Counts a request for one of the permits that are shared by priority and account.
    pub fn count_share(&self, priority: u32, flooding: bool, admitted: bool) {
        // Bounds the number of label values.
        let priority = match priority {
            0..=MAX_PRIORITY_LABEL => priority.to_string(),
            _ => "lower".to_owned(),
        };
        let account = if flooding { "flooding" } else { "usual" };
        let decision = if admitted { "admitted" } else { "refused" };
        self.shares
            .with_label_values(&[&*priority, account, decision])
            .inc();
    }

    /// Records the duration of a phase.
    pub fn record(&self, phase: Phase, kind: &str, domain: &str, time: Duration) {
        let phase = phase.to_string();
        self.latency
            .with_label_values(&[&*phase, kind, domain])
            .observe(time.as_secs_f64());
    }
}
