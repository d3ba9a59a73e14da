//! Concurrency limit of a service.
//!
//! Load pattern: demand above what the group can serve within the pause that
//! callers accept. Without a limit, all responses in progress become late at
//! the same moment, since all of them pause for the same pass.
//!
//! Failure: a slow rank, which makes the responses late even with few requests. Late
//! responses are then preferred to refusals, and as many requests run as can end within
//! their time limit. If the pace that the rank reports shows that no pass can be in
//! time ([`Limit::set_delay`]), this begins at once, and the former limit is in force
//! again as soon as the pace is usual. Otherwise both are derived from the pauses.

use std::time::Duration;

use crate::clock::Instant;
use crate::group::capacity::differs;

/// Shortest time between two adjustments of the limit; several passes long.
pub const ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// Initial limit as a share of the ceiling. After a restart of all entries,
/// all clients reconnect at once.
const INITIAL_SHARE: f64 = 0.7;

/// Share of permits in use at which a group counts as full.
const FULL_SHARE: f64 = 0.9;

/// Share of the ceiling below which the load of a healthy group does not cause
/// long pauses.
const LOW_LOAD_SHARE: f64 = 0.35;

/// Largest number of pauses kept between two adjustments; the oldest is dropped
/// first.
const MAX_PAUSES: usize = 256;

/// Ratio of a pause to the one expected from recent pauses at the same load below which
/// the cause of those counts as over. Within one state, the quantile of the pauses
/// varies less.
const EASED_RATIO: f64 = 0.6;

/// Number of former pauses that a pause is compared with: the pauses of one adjustment
/// may be from before and after a change.
const COMPARED_PAUSES: usize = 3;

/// Share of the shortest possible pause below which an observed one contradicts the
/// reported pace; the times of a step are not exact.
const POSSIBLE_SHARE: f64 = 0.7;

/// Number of adjustments in a row after which such pauses disprove a report. The first
/// ones may be from before the rank became slow.
const DISPROVING_ADJUSTMENTS: u32 = 5;

/// Part of the distance to the limit covered by one adjustment while the delay of the
/// slowest rank is known, so that it is reached within a second.
const DELAYED_GAIN: f64 = 0.5;

/// Share of the time limit of late responses that their events may take up. The rest
/// covers the wait for the first event and longer passes.
const TIME_LIMIT_SHARE: f64 = 0.85;

/// Shortest possible pass, as a share of the accepted pause, above which no response counts
/// as on time. The times of a step overstate what a slow rank adds: at 1.13, a group of 72
/// ranks answered 97 in 100 requests on time once the experts of that rank had been moved.
const LATE_SHARE: f64 = 1.5;

/// Number of responses whose events are kept, the last ones.
const MAX_RESPONSES: usize = 64;

/// Number of responses from which their events are used.
const MIN_RESPONSES: usize = 8;

/// Number of limits that are compared while all responses are late.
const COMPARED_LIMITS: usize = 32;

/// What the slowest rank adds to each pass, by its reported pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delay {
    /// Shortest time of a pass, with no request at that rank.
    pub shortest: Duration,
    /// Part of it in excess of that of a rank of usual pace.
    pub excess: Duration,
}

/// How long callers wait for late responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Time limit of a response.
    pub time_limit: Duration,
    /// Pause after which callers give up a response.
    pub max_pause: Duration,
}

/// Parameters of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Allowed pause, as a share of the accepted one.
    pub pause_share: f64,
    /// Quantile of the pauses since the last adjustment that is compared with the
    /// allowed pause.
    pub quantile: f64,
    /// Part of the distance to the predicted limit covered by one adjustment.
    pub gain: f64,
    /// Share of the time of a pass that grows with the number of requests.
    pub load_share: f64,
    /// Smallest limit; with no requests in flight there would be no pauses to
    /// observe.
    pub floor: f64,
    /// Factor on the accepted pause while no response can be on time.
    pub late_factor: f64,
}

/// A limit on the requests in flight, adjusted from observed pauses.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::concurrency::{Limit, Tuning};
/// use std::time::Duration;
///
/// let tuning = Tuning { pause_share: 0.9, quantile: 0.9, gain: 0.5, load_share: 0.6, floor: 8.0, late_factor: 1.75 };
/// let mut limit = Limit::new(tuning, 100.0);
/// limit.observe(Duration::from_millis(200));
/// limit.adjust(Instant::from_micros(200_000), 100, Duration::from_millis(120));
/// assert!(limit.permits() < 100);
/// ```
#[derive(Clone, Debug)]
pub struct Limit {
    tuning: Tuning,
    permits: f64,
    ceiling: f64,
    pauses: Vec<Duration>,
    /// Whether pauses are too long even with few requests, for example because
    /// of a slow rank. Late responses are then preferred to refusals.
    all_late: bool,
    last_adjusted: Instant,
    /// Pause and requests in flight of the last adjustments, oldest first.
    recent: Vec<(f64, f64)>,
    /// The last limit before pauses became too long.
    sound: f64,
    delay: Delay,
    /// Whether `delay` is above the share of the accepted pause that counts.
    delayed: bool,
    /// Whether no pass can be in time by `delay`.
    known_late: bool,
    tolerance: Option<Tolerance>,
    /// Numbers of events of the last responses, oldest first.
    responses: Vec<u32>,
    /// Adjustments in a row with pauses shorter than `delay` allows.
    disproving: u32,
    /// Shortest time of a pass above which a reported delay is not believed, as pauses
    /// were shorter.
    disproved: Option<Duration>,
}

impl Limit {
    /// Creates a limit below `ceiling` that grows once short pauses are observed.
    pub fn new(tuning: Tuning, ceiling: f64) -> Self {
        let permits = (ceiling * INITIAL_SHARE).max(tuning.floor);
        Limit {
            tuning,
            permits,
            ceiling,
            pauses: Vec::new(),
            all_late: false,
            last_adjusted: Instant::ORIGIN,
            recent: Vec::new(),
            sound: permits,
            delay: Delay::default(),
            delayed: false,
            known_late: false,
            tolerance: None,
            responses: Vec::new(),
            disproving: 0,
            disproved: None,
        }
    }

    /// Replaces the number of requests that may be in flight, within the bounds.
    pub fn with_permits(mut self, permits: f64) -> Self {
        self.permits = permits.min(self.ceiling).max(self.tuning.floor);
        self.sound = self.permits;
        self
    }

    /// Returns the limit as a fraction, for its division among groups.
    pub fn exact(&self) -> f64 {
        self.permits
    }

    /// Returns whether no response can be on time.
    pub fn is_late(&self) -> bool {
        self.known_late || self.all_late
    }

    /// Sets how long callers wait for late responses.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = Some(tolerance);
    }

    /// Records the number of events of a response that has ended.
    ///
    /// While responses are late, only the short ones end, so these do not count.
    pub fn record_response(&mut self, events: u32) {
        if self.is_late() || events == 0 {
            return;
        }
        if self.responses.len() >= MAX_RESPONSES {
            self.responses.remove(0);
        }
        self.responses.push(events);
    }

    /// Sets the delay of the slowest rank, with the pause that callers accept. Returns
    /// whether no pass can be in time any more, or can be again.
    ///
    /// ```
    /// use berylgw_core::group::concurrency::{Delay, Limit, Tuning};
    /// use std::time::Duration;
    ///
    /// let tuning = Tuning { pause_share: 0.9, quantile: 0.9, gain: 0.5, load_share: 0.6, floor: 8.0, late_factor: 1.75 };
    /// let mut limit = Limit::new(tuning, 100.0);
    /// let accepted = Duration::from_millis(120);
    /// let (shortest, excess) = (Duration::from_millis(200), Duration::from_millis(160));
    /// assert!(limit.set_delay(Delay { shortest, excess }, accepted));
    /// assert!(limit.is_late());
    /// ```
    pub fn set_delay(&mut self, delay: Delay, accepted: Duration) -> bool {
        if delay == self.delay {
            return false;
        }
        let (before, after) = (self.delay.shortest, delay.shortest);
        if differs(before.as_secs_f64(), after.as_secs_f64()) {
            self.disproving = 0;
            self.disproved = None;
        }
        self.delay = delay;
        self.apply_delay(accepted)
    }

    /// Returns whether the pauses show that passes do not take the time `shortest` that
    /// the pace of a rank amounts to.
    pub fn disproves(&self, shortest: Duration) -> bool {
        self.disproved.is_some_and(|observed| shortest > observed)
    }

    /// Returns whether the pauses contradict the reported delay.
    pub fn has_disproved(&self) -> bool {
        self.disproved.is_some()
    }

    fn apply_delay(&mut self, accepted: Duration) -> bool {
        let (was_late, was_delayed) = (self.known_late, self.delayed);
        let delay = match self.disproves(self.delay.shortest) {
            true => Delay::default(),
            false => self.delay,
        };
        self.known_late = delay.shortest > accepted.mul_f64(LATE_SHARE) && !delay.excess.is_zero();
        self.delayed = self.known_late;
        if was_delayed && !self.delayed {
            self.permits = self.permits.max(self.sound).min(self.ceiling);
            if was_late {
                self.permits = self.sound.min(self.ceiling);
            }
            self.all_late = false;
        }
        if was_delayed != self.delayed {
            // Pauses from before the change do not show its effect.
            self.pauses.clear();
            self.recent.clear();
        }
        was_late != self.known_late
    }

    /// Returns the number of requests that may be in flight.
    pub fn permits(&self) -> usize {
        // The value is not negative and below 2^52.
        self.permits as usize
    }

    /// Sets the largest limit, from the slots of the servers.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        if ceiling > self.ceiling {
            self.permits += (ceiling - self.ceiling) * INITIAL_SHARE;
        }
        self.ceiling = ceiling;
        self.permits = self.permits.min(ceiling).max(self.tuning.floor);
    }

    /// Records the pause between two events of one response.
    pub fn observe(&mut self, pause: Duration) {
        if self.pauses.len() >= MAX_PAUSES {
            self.pauses.remove(0);
        }
        self.pauses.push(pause);
    }

    /// Moves the limit towards the number of requests at which the pauses are
    /// predicted to reach their allowed share of `accepted`.
    ///
    /// `in_flight` counts the requests of all entries. Returns whether the
    /// pauses were evaluated, which happens at most once per [`ADJUST_INTERVAL`].
    pub fn adjust(&mut self, now: Instant, in_flight: usize, accepted: Duration) -> bool {
        if now.since(self.last_adjusted) < ADJUST_INTERVAL || self.pauses.is_empty() {
            return false;
        }
        self.last_adjusted = now;
        let pause = self.pause_quantile().as_secs_f64();
        self.pauses.clear();
        let running = in_flight as f64;
        let on_time = accepted.as_secs_f64() * self.tuning.pause_share;
        self.check_delay(pause, accepted);
        if self.known_late {
            if let Some(best) = self.best_late_limit(pause, running) {
                self.permits += DELAYED_GAIN * (best - self.permits);
            }
            return true;
        }
        let excess = match self.delayed {
            true => self.delay.excess.as_secs_f64(),
            false => 0.0,
        };
        let eased = self.has_eased(pause, running);
        if self.recent.len() >= COMPARED_PAUSES {
            self.recent.remove(0);
        }
        self.recent.push((pause, running));
        self.all_late = self.is_all_late(pause, running, on_time);
        if eased && pause <= on_time {
            self.permits = self.permits.max(self.sound).min(self.ceiling);
        }
        let allowed = if self.all_late {
            accepted.as_secs_f64() * self.tuning.late_factor
        } else {
            on_time
        };
        let by_load = self.tuning.load_share * (pause - excess).max(1e-3);
        let change = (allowed - pause) / by_load;
        let predicted = running * (1.0 + change);
        // Short pauses never lower the limit, and raise it only if the group is
        // full: otherwise they do not show that it can serve more requests.
        let full = running >= self.permits * FULL_SHARE;
        if change >= 0.0 && !self.delayed && !self.all_late {
            self.sound = if full {
                self.permits
            } else {
                self.sound.max(self.permits)
            };
        }
        if change >= 0.0 && (predicted <= self.permits || !full) {
            return true;
        }
        let gain = match self.delayed {
            true => DELAYED_GAIN,
            false => self.tuning.gain,
        };
        self.permits += gain * (predicted - self.permits);
        self.permits = self.permits.max(self.tuning.floor).min(self.ceiling);
        true
    }

    fn is_all_late(&self, pause: f64, running: f64, on_time: f64) -> bool {
        let low_load = self.ceiling * LOW_LOAD_SHARE;
        if !self.all_late {
            return pause > on_time && running <= low_load && self.permits <= low_load;
        }
        // Predicts the pause at `low_load` requests, the largest number at which
        // `all_late` is set.
        let load_part = self.tuning.load_share * (low_load / running.max(1.0)).min(1.0);
        pause * (1.0 - self.tuning.load_share + load_part) > on_time
    }

    /// Stops to believe the reported delay if pauses are shorter than it allows.
    fn check_delay(&mut self, pause: f64, accepted: Duration) {
        let contradicted = pause < self.delay.shortest.as_secs_f64() * POSSIBLE_SHARE;
        if !self.delayed || !contradicted {
            self.disproving = 0;
            return;
        }
        self.disproving += 1;
        if self.disproving >= DISPROVING_ADJUSTMENTS {
            self.disproved = Some(Duration::from_secs_f64(pause / POSSIBLE_SHARE));
            self.apply_delay(accepted);
        }
    }

    /// Returns whether a pause is much shorter than recent ones, and not for fewer
    /// requests.
    fn has_eased(&self, pause: f64, running: f64) -> bool {
        let load_share = self.tuning.load_share;
        let expected = |&(pause, at): &(f64, f64)| {
            pause * (1.0 - load_share + load_share * (running / at.max(1.0)).min(1.0))
        };
        let expected = self.recent.iter().map(expected).fold(0.0, f64::max);
        pause < EASED_RATIO * expected
    }

    /// Returns the limit at which most responses per second end within their time limit,
    /// if the events of enough responses are known.
    fn best_late_limit(&self, pause: f64, running: f64) -> Option<f64> {
        let tolerance = self.tolerance?;
        if self.responses.len() < MIN_RESPONSES {
            return None;
        }
        let time_limit = tolerance.time_limit.as_secs_f64() * TIME_LIMIT_SHARE;
        let max_pause = tolerance.max_pause.as_secs_f64() * TIME_LIMIT_SHARE;
        let excess = self.delay.excess.as_secs_f64().min(pause);
        let per_request = self.tuning.load_share * (pause - excess) / running.max(1.0);
        let (floor, ceiling) = (self.tuning.floor, self.ceiling.max(self.tuning.floor));
        let mut best = (0.0, floor);
        for index in 0..=COMPARED_LIMITS {
            let limit = floor + (ceiling - floor) * index as f64 / COMPARED_LIMITS as f64;
            let pause = pause + per_request * (limit - running);
            if pause > max_pause {
                break;
            }
            let (mut ended, mut held) = (0.0, 0.0);
            for events in &self.responses {
                let length = f64::from(*events) * pause;
                ended += if length <= time_limit { 1.0 } else { 0.0 };
                held += length.min(time_limit);
            }
            let rate = limit * ended / held.max(1e-6);
            if rate > best.0 {
                best = (rate, limit);
            }
        }
        Some(best.1)
    }

    fn pause_quantile(&mut self) -> Duration {
        self.pauses.sort_unstable();
        let last = self.pauses.len() - 1;
        let index = (last as f64 * self.tuning.quantile).round() as usize;
        self.pauses[index.min(last)]
    }
}
