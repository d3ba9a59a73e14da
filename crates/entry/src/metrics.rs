//! Metrics of the entry process.

use berylgw_core::outcome::Reason;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and gauges of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    pub registry: Registry,
    pub requests: IntCounter,
    pub refusals: IntCounterVec,
    pub retries: IntCounterVec,
    pub resumed: IntCounter,
    pub in_flight: IntGauge,
    pub config_version: IntGauge,
    pub config_age_ms: IntGauge,
    pub config_errors: IntCounter,
    pub buffered_bytes: IntGauge,
    pub suspects: IntGauge,
    pub probes: IntCounter,
    pub probe_failures: IntCounter,
    pub connections_refused: IntCounter,
}

impl Metrics {
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let metrics = Metrics {
            requests: IntCounter::new("berylgw_requests_total", "Requests of callers")?,
            refusals: by_reason("berylgw_refusals_total", "Refusals sent to callers")?,
            retries: by_reason("berylgw_retries_total", "Further attempts by cause")?,
            resumed: IntCounter::new("berylgw_slow_reader_resumes_total", "Streams suspended")?,
            in_flight: IntGauge::new("berylgw_requests_in_flight", "Requests in flight")?,
            config_version: IntGauge::new("berylgw_config_version", "Version in force")?,
            config_age_ms: IntGauge::new(
                "berylgw_config_age_ms",
                "Time since the platform or a peer confirmed the configuration",
            )?,
            config_errors: IntCounter::new("berylgw_config_errors_total", "Unreadable objects")?,
            buffered_bytes: IntGauge::new("berylgw_buffered_bytes", "Held for slow readers")?,
            suspects: IntGauge::new("berylgw_suspects", "Suspected or convicted requests")?,
            probes: IntCounter::new("berylgw_probes_total", "Probes sent")?,
            probe_failures: IntCounter::new("berylgw_probe_failures_total", "Probes failed")?,
            connections_refused: IntCounter::new(
                "berylgw_connections_refused_total",
                "Connections of callers closed at the connection limit",
            )?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.resumed.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.config_version.clone()))?;
        registry.register(Box::new(metrics.config_age_ms.clone()))?;
        registry.register(Box::new(metrics.config_errors.clone()))?;
        registry.register(Box::new(metrics.buffered_bytes.clone()))?;
        registry.register(Box::new(metrics.suspects.clone()))?;
        registry.register(Box::new(metrics.probes.clone()))?;
        registry.register(Box::new(metrics.probe_failures.clone()))?;
        registry.register(Box::new(metrics.connections_refused.clone()))?;
        Ok(metrics)
    }
}

fn by_reason(name: &str, help: &str) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &["reason"])?;
    for reason in Reason::ALL {
        counters.with_label_values(&[reason.label()]);
    }
    Ok(counters)
}
