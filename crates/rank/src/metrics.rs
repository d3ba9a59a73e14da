//! Prometheus metrics of the sidecar.

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the sidecar of a rank.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Orders to ranks by kind and outcome.
    pub orders: IntCounterVec,
    /// Maps that came into use.
    pub switches: IntCounter,
    /// Experts that maps required ranks to load.
    pub copies: IntCounter,
    /// Detected shifts of demand.
    pub shifts: IntCounter,
    /// Ratio of the maximum to the mean load of the ranks, averaged over the sets.
    pub skew: Gauge,
    /// Ranks whose sidecars reported recently.
    pub ranks: IntGauge,
    /// Datagrams dropped before they were sent.
    pub dropped: IntCounter,
    /// Pace that the rank states.
    pub pace: Gauge,
    /// Reports of the pace sent to entries.
    pub pace_reports: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be registered.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Metrics {
            registry: Registry::new(),
            orders: IntCounterVec::new(
                Opts::new("berylgw_rank_orders_total", "Orders to ranks"),
                &["order", "outcome"],
            )?,
            switches: IntCounter::new("berylgw_rank_switches_total", "Maps that came into use")?,
            copies: IntCounter::new("berylgw_rank_copies_total", "Experts to load, of all ranks")?,
            shifts: IntCounter::new("berylgw_rank_shifts_total", "Steps of demand noticed")?,
            skew: Gauge::new(
                "berylgw_rank_skew",
                "Load of the most loaded rank over the mean",
            )?,
            ranks: IntGauge::new("berylgw_rank_members", "Ranks heard lately")?,
            dropped: IntCounter::new(
                "berylgw_rank_unsent_datagrams_total",
                "Datagrams to other ranks that were dropped before they were sent",
            )?,
            pace: Gauge::new(
                "berylgw_rank_pace",
                "Time of the rank for a unit of work over that of another rank",
            )?,
            pace_reports: IntCounter::new(
                "berylgw_rank_pace_reports_total",
                "Reports of the pace sent to entries",
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.switches.clone()))?;
        registry.register(Box::new(metrics.copies.clone()))?;
        registry.register(Box::new(metrics.shifts.clone()))?;
        registry.register(Box::new(metrics.skew.clone()))?;
        registry.register(Box::new(metrics.ranks.clone()))?;
        registry.register(Box::new(metrics.dropped.clone()))?;
        registry.register(Box::new(metrics.pace.clone()))?;
        registry.register(Box::new(metrics.pace_reports.clone()))?;
        Ok(metrics)
    }

    /// Returns the registry to serve on the metrics endpoint.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }
}
