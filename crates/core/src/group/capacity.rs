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
//!
//! Servers that report no pace are judged by their response times: [`UsualTimes`] has the
//! usual time of each route, [`Responses`] what an entry observed of each server, and
//! [`factors`] compares the servers by what all entries have observed together.

use std::collections::VecDeque;
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

impl Step {
    /// Returns the time from one event to the next with a rank of this pace that has no
    /// requests.
    pub fn shortest_pass(self, pace: f64) -> Duration {
        let millis = self.steps * pace * self.base_ms;
        Duration::from_secs_f64(millis.clamp(0.0, MAX_DELAY_MS) / 1e3)
    }
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
        let shortest = step.shortest_pass(pace);
        Delay {
            shortest,
            excess: shortest.saturating_sub(step.shortest_pass(1.0)),
        }
    }

    /// Returns the pace that a rank has reported, 1 if it is not known.
    pub fn pace(&self, rank: u32) -> f64 {
        self.find(rank).map_or(1.0, |known| known.report.pace)
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

/// Time for which response times count.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Largest ratio of a response time to the usual one that counts, so that a single
/// response does not decide.
const MAX_TIME_RATIO: f64 = 8.0;

/// Responses of a route before its usual time is known.
const MIN_ROUTE_SAMPLES: u32 = 20;

/// Step of the estimated median in its logarithm for each response. Half of the
/// responses move it up and half down, so a minority of slow ones hardly does.
const MEDIAN_STEP: f64 = 0.03;

/// Largest number of routes whose usual time is kept.
const MAX_ROUTES: usize = 1_024;

/// Responses from which a server that was usual may count as slow.
const MIN_SAMPLES: u32 = 8;

/// Responses from which a slow server may count as recovering. Probe requests bring
/// about this many in [`WINDOW`].
const MIN_PROBES: u32 = 2;

/// Ratio to the other servers from which a server is slow, after the error of the mean
/// has been subtracted.
const SLOW_RATIO: f64 = 1.2;

/// Ratio to the other servers below which a slow server is recovering.
const RECOVERING_RATIO: f64 = 1.3;

/// Errors of the mean that are subtracted.
const ERRORS: f64 = 1.5;

/// Part of the distance to the observed ratio that one evaluation covers.
const FACTOR_GAIN: f64 = 0.5;

/// Factor below which a server that recovers is usual again.
const RECOVERED_FACTOR: f64 = 1.15;

/// Usual response time of each route, the median over all servers.
///
/// ```
/// use berylgw_core::group::capacity::UsualTimes;
/// use std::time::Duration;
///
/// let mut usual = UsualTimes::default();
/// for _ in 0..40 {
///     usual.ratio(7, 2, 6, Duration::from_millis(50));
/// }
/// let busy = usual.ratio(7, 12, 6, Duration::from_millis(100));
/// let slow = usual.ratio(7, 2, 6, Duration::from_millis(100));
/// assert!(busy.is_some_and(|ratio| ratio < 1.1) && slow.is_some_and(|ratio| ratio > 1.9));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualTimes {
    /// Logarithm of the median in seconds and number of responses by route, sorted.
    routes: Vec<(u32, (f64, u32))>,
}

impl UsualTimes {
    /// Returns the ratio of a response time to the usual one of its route, which it then
    /// adjusts; `None` while too few responses are known.
    ///
    /// `in_flight` is the number of requests at the server as the request was sent, and
    /// `slots` those that it runs at once: beyond them, requests wait for each other.
    pub fn ratio(&mut self, route: u32, in_flight: u32, slots: u32, time: Duration) -> Option<f64> {
        let wait = (f64::from(in_flight) / f64::from(slots.max(1))).max(1.0);
        let logarithm = (time.as_secs_f64().max(1e-6) / wait).ln();
        let index = match self.routes.binary_search_by_key(&route, |known| known.0) {
            Ok(index) => index,
            Err(_) if self.routes.len() >= MAX_ROUTES => return None,
            Err(index) => {
                self.routes.insert(index, (route, (logarithm, 1)));
                return None;
            }
        };
        let (median, samples) = &mut self.routes[index].1;
        let ratio = (logarithm - *median).exp().min(MAX_TIME_RATIO);
        // Larger steps at first, when the median may be far off.
        let step = MEDIAN_STEP.max(1.0 / f64::from(*samples));
        *median += step * (logarithm - *median).clamp(-1.0, 1.0).signum();
        *samples = samples.saturating_add(1);
        (*samples > MIN_ROUTE_SAMPLES).then_some(ratio)
    }
}

/// Response times of a server relative to the usual ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Digest of the server's process.
    pub process: u32,
    /// Number of responses.
    pub samples: u32,
    /// Sum of the ratios.
    pub ratio_sum: f64,
}

impl Total {
    /// Returns the total of values that another entry has sent; `None` if they are not
    /// possible.
    pub fn from_parts(process: u32, samples: u32, ratio_sum: f64) -> Option<Self> {
        let possible = samples > 0 && ratio_sum >= 0.0;
        let total = Total {
            process,
            samples,
            ratio_sum,
        };
        (possible && ratio_sum <= f64::from(samples) * MAX_TIME_RATIO * 1.01).then_some(total)
    }
}

/// Response times that an entry itself has observed in the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct Responses {
    /// Oldest first.
    samples: VecDeque<(Instant, u32, f64)>,
}

impl Responses {
    /// Records the ratio of a response time of a server to the usual one.
    pub fn record(&mut self, now: Instant, process: u32, ratio: f64) {
        self.samples.push_back((now, process, ratio));
        self.expire(now);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, ..)) = self.samples.front()
            && now.since(*at) >= WINDOW
        {
            self.samples.pop_front();
        }
    }

    /// Returns the totals of the servers with responses, sorted by process.
    pub fn totals(&mut self, now: Instant) -> Vec<Total> {
        self.expire(now);
        let samples = self.samples.iter();
        let single = samples.map(|&(_, process, ratio_sum)| Total {
            process,
            samples: 1,
            ratio_sum,
        });
        sum(single.collect())
    }
}

/// Adds up the totals of each server; returns them sorted by process.
pub fn sum(mut totals: Vec<Total>) -> Vec<Total> {
    totals.sort_unstable_by_key(|total| total.process);
    totals.dedup_by(|next, sum| {
        let same = next.process == sum.process;
        if same {
            sum.samples = sum.samples.saturating_add(next.samples);
            sum.ratio_sum += next.ratio_sum;
        }
        same
    });
    totals
}

/// Returns the next slowdown factor of each server of a service, given the totals over
/// all entries and the factor until now.
///
/// A server is compared with the median of the others, so that nothing changes if all
/// are slow. A slow server without responses keeps its factor.
pub fn factors(servers: &[(Total, f64)]) -> Vec<f64> {
    let known = servers
        .iter()
        .filter(|(total, _)| total.samples >= MIN_SAMPLES);
    let mut means: Vec<f64> = known.map(|(total, _)| mean(total)).collect();
    means.sort_by(f64::total_cmp);
    // The lower one of two, so that one of two servers can be slow.
    let usual = means.get(means.len().saturating_sub(1) / 2);
    let usual = usual.copied().unwrap_or(1.0).max(1e-3);
    let next = |(total, factor): &(Total, f64)| {
        let ratio = (mean(total) / usual).max(1.0);
        let samples = f64::from(total.samples.max(1));
        let certain = ratio * (1.0 - ERRORS / samples.sqrt());
        let moved = factor + FACTOR_GAIN * (ratio - factor);
        if *factor <= 1.0 {
            let slow = means.len() > 1 && total.samples >= MIN_SAMPLES && certain > SLOW_RATIO;
            return if slow { ratio } else { 1.0 };
        }
        if total.samples >= MIN_SAMPLES || (total.samples >= MIN_PROBES && ratio < RECOVERING_RATIO)
        {
            return if moved < RECOVERED_FACTOR { 1.0 } else { moved };
        }
        *factor
    };
    servers.iter().map(next).collect()
}

fn mean(total: &Total) -> f64 {
    total.ratio_sum / f64::from(total.samples.max(1))
}
