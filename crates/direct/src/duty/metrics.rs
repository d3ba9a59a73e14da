//! Metrics of the duties.

use std::time::Duration;

use berylgw_core::duty::Subject;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use super::Outcome;

/// Metrics of the duties of an entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    holder: IntGauge,
    token: IntGauge,
    report_age: IntGauge,
    late: IntCounter,
    given_up: IntCounter,
    calls: IntCounterVec,
    writes: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have one name.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let metrics = Metrics {
            holder: IntGauge::new(
                "berylgw_direct_duty_holder",
                "1 while this entry holds the lease of the duties",
            )?,
            token: IntGauge::new(
                "berylgw_direct_duty_token",
                "Fencing token while this entry holds the lease of the duties, 0 otherwise",
            )?,
            report_age: IntGauge::new(
                "berylgw_direct_duty_report_age_seconds",
                "Seconds since a usage report was accepted from this holder, -1 if none was",
            )?,
            late: IntCounter::new(
                "berylgw_direct_duty_windows_late_total",
                "Usage reports that were accepted after they were due",
            )?,
            given_up: IntCounter::new(
                "berylgw_direct_duty_windows_given_up_total",
                "Usage windows whose report was never accepted",
            )?,
            calls: counter(
                "berylgw_direct_duty_calls_total",
                "Calls to the interface of the duties by subject and outcome",
                &["subject", "outcome"],
            )?,
            writes: counter(
                "berylgw_direct_duty_record_writes_total",
                "Writes of the usage record by outcome",
                &["outcome"],
            )?,
        };
        registry.register(Box::new(metrics.holder.clone()))?;
        registry.register(Box::new(metrics.token.clone()))?;
        registry.register(Box::new(metrics.report_age.clone()))?;
        registry.register(Box::new(metrics.late.clone()))?;
        registry.register(Box::new(metrics.given_up.clone()))?;
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.writes.clone()))?;
        Ok(metrics)
    }

    /// Sets whether this entry holds the lease, and with which token.
    pub fn set_holder(&self, token: Option<u64>) {
        self.holder.set(token.is_some().into());
        let token = i64::try_from(token.unwrap_or(0)).unwrap_or(i64::MAX);
        self.token.set(token);
    }

    /// Sets the time since a usage report was accepted.
    pub fn set_report_age(&self, age: Option<Duration>) {
        self.report_age
            .set(age.map_or(-1, |age| age.as_secs() as i64));
    }

    /// Counts a report that was accepted after it was due.
    pub fn count_late(&self) {
        self.late.inc();
    }

    /// Counts a window that was given up.
    pub fn count_given_up(&self) {
        self.given_up.inc();
    }

    /// Counts a call to the interface.
    pub fn count_call(&self, subject: Subject, outcome: Outcome) {
        let labels = [subject.to_string(), outcome.to_string()];
        self.calls.with_label_values(&labels).inc();
    }

    /// Counts a write of the usage record.
    pub fn count_write(&self, outcome: &str) {
        self.writes.with_label_values(&[outcome]).inc();
    }
}
