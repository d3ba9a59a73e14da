//! Prometheus metrics of an agent.

use berylgw_core::outcome::Reason;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::admission::Controller;

/// Counters and gauges, registered in one registry.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that the metrics listener serves.
    pub registry: Registry,
    refusals: IntCounterVec,
    in_flight: IntGauge,
    queued: IntGauge,
    limit: IntGauge,
    cold: IntGauge,
    config_version: IntGauge,
    config_age: IntGauge,
    crashes: IntGauge,
    suspects: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a metric is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let options = Opts::new("berylgw_agent_refusals_total", "Refusals by reason.");
        let refusals = IntCounterVec::new(options, &["reason"])?;
        registry.register(Box::new(refusals.clone()))?;
        for reason in Reason::ALL {
            refusals.with_label_values(&[reason.label()]);
        }
        Ok(Metrics {
            refusals,
            in_flight: gauge("berylgw_agent_in_flight", "Requests the server may hold.")?,
            queued: gauge("berylgw_agent_queued", "Requests that wait for a place.")?,
            limit: gauge("berylgw_agent_limit", "Current limit of the server.")?,
            cold: gauge("berylgw_agent_cold", "1 while below the warm limit.")?,
            config_version: gauge(
                "berylgw_agent_config_version",
                "Configuration version in force.",
            )?,
            config_age: gauge(
                "berylgw_agent_config_age_ms",
                "Time since an entry last confirmed the configuration.",
            )?,
            crashes: gauge(
                "berylgw_agent_server_crashes",
                "Crashes of the server noticed.",
            )?,
            suspects: gauge(
                "berylgw_agent_suspects",
                "Suspected or convicted fingerprints.",
            )?,
            registry,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals.with_label_values(&[reason.label()]).inc();
    }

    /// Sets the gauges from the admission state.
    pub fn refresh(&self, controller: &Controller) {
        let status = controller.status();
        self.in_flight.set(i64::from(status.load.in_flight));
        self.queued.set(i64::from(status.load.queued));
        self.limit.set(i64::from(status.load.limit));
        self.cold.set(i64::from(status.load.cold));
        self.config_version
            .set(i64::try_from(status.config_version).unwrap_or(i64::MAX));
        self.config_age
            .set(i64::try_from(status.config_age.as_millis()).unwrap_or(i64::MAX));
        self.crashes
            .set(i64::try_from(status.crashes).unwrap_or(i64::MAX));
        self.suspects
            .set(i64::try_from(status.suspects).unwrap_or(i64::MAX));
    }
}
