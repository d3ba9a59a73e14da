//! Latencies and outcomes of a run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::Error;

/// Significant decimal digits of recorded latencies.
const DIGITS: u8 = 3;

/// Longest recorded latency in µs; longer ones count as this.
const LONGEST_US: u64 = 600_000_000;

/// What the requests of one offer experienced.
#[derive(Clone, Debug)]
pub struct Record {
    /// Name of the offer.
    pub name: String,
    /// Requests sent.
    pub offered: u64,
    /// Complete answers.
    pub complete: u64,
    /// Tokens of all answers.
    pub tokens: u64,
    /// Time to the first token or, without stream, to the answer, in µs.
    pub first: Histogram<u64>,
    /// Time between tokens in µs.
    pub gap: Histogram<u64>,
    /// Time to the end of the answer in µs.
    pub whole: Histogram<u64>,
    /// Failures by reason, sorted.
    pub failures: Vec<(String, u64)>,
    /// Time for which requests were offered.
    pub lasted: Duration,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid")
}

impl Record {
    /// An empty record.
    pub fn new(name: &str) -> Self {
        Record {
            name: name.to_owned(),
            offered: 0,
            complete: 0,
            tokens: 0,
            first: histogram(),
            gap: histogram(),
            whole: histogram(),
            failures: Vec::new(),
            lasted: Duration::ZERO,
        }
    }

    /// Counts a failed request.
    pub fn failed(&mut self, error: &Error) {
        let reason = match error {
            Error::Refused(refusal) => refusal.reason.label(),
            Error::Broken(_) => "broken",
            Error::Unexpected(_) => "unexpected",
        };
        self.count_failures(reason, 1);
    }

    fn count_failures(&mut self, reason: &str, count: u64) {
        let found = self
            .failures
            .binary_search_by(|(known, _)| known.as_str().cmp(reason));
        match found {
            Ok(index) => self.failures[index].1 += count,
            Err(index) => self.failures.insert(index, (reason.to_owned(), count)),
        }
    }

    /// Adds what the requests of another offer experienced in the same time.
    pub fn merge(&mut self, other: &Record) {
        self.offered += other.offered;
        self.complete += other.complete;
        self.tokens += other.tokens;
        for (own, add) in [
            (&mut self.first, &other.first),
            (&mut self.gap, &other.gap),
            (&mut self.whole, &other.whole),
        ] {
            own.add(add).expect("the bounds are the same");
        }
        for (reason, count) in &other.failures {
            self.count_failures(reason, *count);
        }
        self.lasted = self.lasted.max(other.lasted);
    }

    /// Complete answers per second.
    pub fn goodput(&self) -> f64 {
        self.complete as f64 / self.lasted.as_secs_f64().max(1e-9)
    }

    /// Failures for this reason.
    pub fn failures_for(&self, reason: &str) -> u64 {
        let found = self.failures.iter().find(|(known, _)| known == reason);
        found.map_or(0, |(_, count)| *count)
    }

    /// Heading of the lines that a record is shown as.
    pub fn heading() -> String {
        format!(
            "{:<22}{:>8}{:>9}{:>10} {:>24} {:>22} {:>24}  refused or failed",
            "ms (p50/p95/p99)", "offered", "complete", "goodput/s", "first", "gap", "whole",
        )
    }
}

/// Quantiles in milliseconds.
fn quantiles(histogram: &Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    format!("{:.2}/{:.2}/{:.2}", at(0.5), at(0.95), at(0.99))
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<22}{:>8}{:>9}{:>10.1} {:>24} {:>22} {:>24} ",
            self.name,
            self.offered,
            self.complete,
            self.goodput(),
            quantiles(&self.first),
            quantiles(&self.gap),
            quantiles(&self.whole),
        )?;
        for (reason, count) in &self.failures {
            write!(f, " {reason}={count}")?;
        }
        Ok(())
    }
}
