//! Effective capacity of each server.
//!
//! Load pattern: one server is slower than the others. The ranks of a group execute
//! each pass together, so one rank at four times the usual time delays the responses of
//! all others. Their pauses are alike and cannot show which rank is slow, but each rank
//! reports its own [`Report::pace`].
//!
//! [`Paces`] holds the reports and derives the [`Slowdown`] of each rank: how many
//! requests at a usual rank its own part of a pass amounts to. Reports of different
//! entries about the same rank are merged by the time at which the rank was read.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::group::concurrency::Delay;

/// Age at which a report is no longer valid: three times the interval of the reports.
pub const VALIDITY: Duration = Duration::from_secs(6);

/// Ratio to the usual pace up to which a rank counts as usual. Sidecars report smaller
/// changes only with their next regular report.
const USUAL: f64 = 1.1;

/// Ratio to the usual pace from which a rank gets no requests while the time of a step
/// is not known.
const MAX_RATIO: f64 = 2.0;

/// Time between two evaluations without a pace that has changed by more than a tenth.
/// Measured paces vary with each report, and there are thousands of ranks.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Largest pace that is used. It bounds the sums that a report enters.
const MAX_PACE: f64 = 1_000.0;

/// Longest delay of a pass that is used, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// Largest number of ranks whose reports are kept, against reports of ranks that do not
/// exist.
const MAX_REPORTS: usize = 8_192;

/// Time of a rank's own part of a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time without requests, in milliseconds.
    pub base_ms: f64,
    /// Time for each request in progress, in milliseconds.
    pub per_request_ms: f64,
    /// Steps from one event of a response to the next.
    pub steps: f64,
}

/// How slow a server is, as a function of its requests in flight.
///
/// The server takes as long as a usual one that has `factor` times as many requests,
/// plus `offset`.
///
/// ```
/// use berylgw_core::group::capacity::{Slowdown, Step};
///
/// let step = Step { base_ms: 2.0, per_request_ms: 0.5, steps: 5.0 };
/// let slow = Slowdown::of_pace(1.5, Some(step));
/// assert_eq!(slow.capacity(6.0, 12.0), 2.0);
/// assert_eq!(Slowdown::of_pace(4.0, Some(step)).capacity(6.0, 12.0), 0.0);
/// assert_eq!(Slowdown::default().capacity(6.0, 12.0), 12.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    /// Time for a request, relative to a usual server; at least 1.
    pub factor: f64,
    /// Time without requests in excess of a usual server's, in requests at that one.
    pub offset: f64,
}

impl Default for Slowdown {
    /// Returns that of a usual server.
    fn default() -> Self {
        Slowdown {
            factor: 1.0,
            offset: 0.0,
        }
    }
}

impl Slowdown {
    /// Returns the slowdown of a rank with `ratio` times the usual pace. While the times
    /// of a step are not known, only the time of the requests counts.
    pub fn of_pace(ratio: f64, step: Option<Step>) -> Self {
        if ratio <= USUAL {
            return Slowdown::default();
        }
        let step = step.filter(|step| step.per_request_ms > 0.0);
        let offset = match step {
            Some(step) => (ratio - 1.0) * step.base_ms / step.per_request_ms,
            None if ratio >= MAX_RATIO => f64::INFINITY,
            None => 0.0,
        };
        Slowdown {
            factor: ratio,
            offset,
        }
    }

    /// Returns whether the server does not differ from a usual one.
    pub fn is_usual(self) -> bool {
        self == Slowdown::default()
    }

    /// Returns the number of requests at a usual server that take as long as `in_flight`
    /// at this one.
    pub fn usual_load(self, in_flight: f64) -> f64 {
        in_flight * self.factor + self.offset
    }

    /// Returns the largest number of requests that the server handles in the time that a
    /// usual server takes for `mean` requests; `slots` if it is usual.
    pub fn capacity(self, mean: f64, slots: f64) -> f64 {
        if self.is_usual() {
            return slots;
        }
        ((mean - self.offset) / self.factor)
            .floor()
            .clamp(0.0, slots)
    }
}

/// Report of a rank about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Digest of the rank's address.
    pub rank: u32,
    /// Digest of the group's name.
    pub group: u32,
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of ranks of the group.
    pub size: u32,
    /// Time that the rank takes for the work that another rank does in 1.
    pub pace: f64,
    /// When the rank was read, by the clock of its host.
    pub read: Instant,
}

/// A report as an entry knows it.
#[derive(Clone, Copy, Debug)]
struct Known {
    report: Report,
    /// When the rank was read, by the clock of the entry.
    read: Instant,
    /// Whether the rank reported to this entry itself.
    direct: bool,
    /// When a pace that differs by more than a tenth was first known.
    changed: Instant,
    /// Pace relative to the usual one of the group.
    ratio: f64,
}

/// Where a report comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The rank.
    Rank,
    /// Another entry.
    Entry,
}

/// Why a report was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Rejected {
    /// A newer report of the rank is known.
    #[display("old")]
    Old,
    /// The report is older than [`VALIDITY`].
    #[display("expired")]
    Expired,
    /// The pace is not a positive number, or the group has no ranks.
    #[display("invalid")]
    Invalid,
    /// Reports of too many ranks are kept.
    #[display("too many")]
    TooMany,
}

/// The last valid report of each rank.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::capacity::{Paces, Report, Source};
/// use std::time::Duration;
///
/// let now = Instant::from_millis(10_000);
/// let mut paces = Paces::default();
/// let usual = Report { rank: 1, group: 9, epoch: 3, size: 4, pace: 1.0, read: now };
/// paces.record(now, usual, Duration::ZERO, Source::Rank)?;
/// paces.record(now, Report { rank: 2, pace: 4.0, ..usual }, Duration::ZERO, Source::Entry)?;
/// paces.evaluate(now);
/// assert_eq!((paces.ratio(1), paces.ratio(2)), (1.0, 4.0));
/// # Ok::<(), berylgw_core::group::capacity::Rejected>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// Sorted by rank.
    known: Vec<Known>,
    /// Whether a pace has changed by more than a tenth, or a group, since the ratios were
    /// derived.
    changed: bool,
    /// Whether a pace has changed at all since then.
    drifted: bool,
    evaluated: Instant,
}

impl Paces {
    /// Adds a report that was read `age` before `now`, by the uptime of the host.
    ///
    /// # Errors
    ///
    /// Fails if the report is invalid, expired or older than the known one; the known one
    /// then remains.
    pub fn record(
        &mut self,
        now: Instant,
        report: Report,
        age: Duration,
        source: Source,
    ) -> Result<(), Rejected> {
        if !report.pace.is_finite() || report.pace <= 0.0 || report.size == 0 {
            return Err(Rejected::Invalid);
        }
        if age >= VALIDITY {
            return Err(Rejected::Expired);
        }
        let found = self
            .known
            .binary_search_by_key(&report.rank, |known| known.report.rank);
        let mut added = Known {
            report: Report {
                pace: report.pace.clamp(1.0, MAX_PACE),
                ..report
            },
            read: now.before(age),
            direct: source == Source::Rank,
            changed: now,
            ratio: 1.0,
        };
        let index = match found {
            Ok(index) => index,
            Err(_) if self.known.len() >= MAX_REPORTS => return Err(Rejected::TooMany),
            Err(index) => {
                self.known.insert(index, added);
                self.changed = true;
                return Ok(());
            }
        };
        let known = &mut self.known[index];
        // The clock of a rank's host begins again at a restart of the host.
        if report.read <= known.report.read && now.since(known.read) < VALIDITY {
            known.direct |= added.direct && report.read == known.report.read;
            return Err(Rejected::Old);
        }
        let place = |report: &Report| (report.group, report.epoch, report.size);
        let same_place = place(&added.report) == place(&known.report);
        if same_place && !differs(known.report.pace, added.report.pace) {
            added.changed = known.changed;
        }
        self.changed |= added.changed == now;
        self.drifted |= added.report.pace != known.report.pace;
        added.ratio = known.ratio;
        *known = added;
        Ok(())
    }

    /// Removes reports that are no longer valid and compares the paces of each group, if
    /// any has changed; returns whether the ratios may have changed.
    pub fn evaluate(&mut self, now: Instant) -> bool {
        let due = now.since(self.evaluated) >= EVALUATION_INTERVAL;
        if !self.changed && !due {
            return false;
        }
        let before = self.known.len();
        self.known.retain(|known| now.since(known.read) < VALIDITY);
        let expired = self.known.len() < before;
        self.evaluated = now;
        if !(std::mem::take(&mut self.changed) | std::mem::take(&mut self.drifted) | expired) {
            return false;
        }
        let key = |known: &Known| (known.report.group, known.report.epoch);
        let mut order: Vec<usize> = (0..self.known.len()).collect();
        order.sort_unstable_by(|a, b| {
            let (a, b) = (&self.known[*a], &self.known[*b]);
            let paces = a.report.pace.total_cmp(&b.report.pace);
            key(a).cmp(&key(b)).then(paces)
        });
        let mut begin = 0;
        while begin < order.len() {
            let first = key(&self.known[order[begin]]);
            let mut end = begin + 1;
            while end < order.len() && key(&self.known[order[end]]) == first {
                end += 1;
            }
            let usual = self.usual(&order[begin..end]);
            for index in &order[begin..end] {
                let known = &mut self.known[*index];
                known.ratio = (known.report.pace / usual).max(1.0);
            }
            begin = end;
        }
        true
    }

    /// Returns the median pace of a group whose known ranks are given in the order of
    /// their paces. A rank without a report counts as usual.
    fn usual(&self, ranks: &[usize]) -> f64 {
        let size = ranks.iter().map(|rank| self.known[*rank].report.size);
        let size = size.max().unwrap_or(1) as usize;
        let unknown = size.saturating_sub(ranks.len());
        let middle = (unknown + ranks.len() - 1) / 2;
        match middle.checked_sub(unknown) {
            Some(index) => self.known[ranks[index]].report.pace,
            None => 1.0,
        }
    }

    /// Returns the pace of a rank relative to the usual one of its group, 1 if it is not
    /// known.
    pub fn ratio(&self, rank: u32) -> f64 {
        self.find(rank).map_or(1.0, |known| known.ratio)
    }

    /// Returns the report of a rank and its age, if it is valid.
    pub fn report(&self, now: Instant, rank: u32) -> Option<(Report, Duration)> {
        let known = self.find(rank)?;
        Some((known.report, now.since(known.read)))
    }

    /// Returns the delay of the slowest rank of a group, by the valid reports.
    pub fn delay(&self, group: u32, step: Step) -> Delay {
        let ranks = self
            .known
            .iter()
            .filter(|known| known.report.group == group);
        let pace = ranks.map(|known| known.report.pace).fold(1.0, f64::max);
        let usual_ms = step.steps * step.base_ms;
        let millis = |millis: f64| Duration::from_secs_f64(millis.clamp(0.0, MAX_DELAY_MS) / 1e3);
        Delay {
            shortest: millis(usual_ms * pace),
            excess: millis(usual_ms * (pace - 1.0)),
        }
    }

    fn find(&self, rank: u32) -> Option<&Known> {
        let found = self
            .known
            .binary_search_by_key(&rank, |known| known.report.rank);
        found.ok().map(|index| &self.known[index])
    }

    /// Returns the reports that ranks sent to this entry itself and their ages, slowest
    /// first. With `changed_within`, only those of paces that changed in that time.
    pub fn direct(
        &self,
        now: Instant,
        changed_within: Option<Duration>,
    ) -> Vec<(Report, Duration)> {
        let recent = |known: &&Known| {
            let changed = now.since(known.changed);
            changed_within.is_none_or(|within| changed < within)
        };
        let direct = self.known.iter().filter(|known| known.direct);
        let mut reports: Vec<(Report, Duration)> = direct
            .filter(recent)
            .map(|known| (known.report, now.since(known.read)))
            .collect();
        reports.sort_by(|(a, _), (b, _)| b.pace.total_cmp(&a.pace));
        reports
    }
}

/// Returns whether two paces differ by more than a tenth, at which a rank's sidecar
/// reports at once.
pub fn differs(before: f64, after: f64) -> bool {
    (after - before).abs() > before * 0.1
}
