//! Concurrency limit of a service.
//!
//! Load pattern: demand above what the group can serve within the pause that
//! callers accept. Without a limit, all responses in progress become late at
//! the same moment, since all of them pause for the same pass.

use std::time::Duration;

use crate::clock::Instant;

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
}

impl Limit {
    /// Creates a limit below `ceiling` that grows once short pauses are observed.
    pub fn new(tuning: Tuning, ceiling: f64) -> Self {
        Limit {
            tuning,
            permits: (ceiling * INITIAL_SHARE).max(tuning.floor),
            ceiling,
            pauses: Vec::new(),
            all_late: false,
            last_adjusted: Instant::ORIGIN,
        }
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
        self.all_late = self.is_all_late(pause, running, on_time);
        let allowed = if self.all_late {
            accepted.as_secs_f64() * self.tuning.late_factor
        } else {
            on_time
        };
        let change = (allowed - pause) / (self.tuning.load_share * pause.max(1e-3));
        let predicted = running * (1.0 + change);
        // Short pauses never lower the limit, and raise it only if the group is
        // full: otherwise they do not show that it can serve more requests.
        let full = running >= self.permits * FULL_SHARE;
        if change >= 0.0 && (predicted <= self.permits || !full) {
            return true;
        }
        let gain = self.tuning.gain;
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

    fn pause_quantile(&mut self) -> Duration {
        self.pauses.sort_unstable();
        let last = self.pauses.len() - 1;
        let index = (last as f64 * self.tuning.quantile).round() as usize;
        self.pauses[index.min(last)]
    }
}
