//! Counters of the process.

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the process beside a rank.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Orders to ranks by kind and outcome.
    pub orders: IntCounterVec,
    /// Maps that came into use.
    pub switches: IntCounter,
    /// Experts that ranks were told to load.
    pub copies: IntCounter,
    /// Steps of demand that were noticed.
    pub shifts: IntCounter,
    /// Load of the most loaded rank over the mean, as a mean over the sets.
    pub skew: Gauge,
    /// Ranks heard lately.
    pub ranks: IntGauge,
}

impl Metrics {
    /// Metrics at zero.
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
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.switches.clone()))?;
        registry.register(Box::new(metrics.copies.clone()))?;
        registry.register(Box::new(metrics.shifts.clone()))?;
        registry.register(Box::new(metrics.skew.clone()))?;
        registry.register(Box::new(metrics.ranks.clone()))?;
        Ok(metrics)
    }

    /// The registry that is served.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }
}
