//! Shares of a service's permits under scarcity, by priority and by account.
//!
//! Load pattern: demand above the concurrency limit, spread over many entries. Each
//! entry has a few requests per second of its own, so that an order among them alone
//! does not keep a less urgent request at one entry from taking the permit that an
//! urgent one at another entry waits for. Every entry therefore derives a [`Cutoff`]
//! from the demand, the admissions and the requests in flight of all entries. Entries
//! with the same reports have the same cutoff and admit the same part of each class,
//! so that the sum holds without a coordinator.
//!
//! Bound on the error of the sum: an entry that freezes counts for the lifetime of its
//! last report, so that the others admit up to its part of the demand too little for
//! that time. An entry that joins is known after one report; until then, the sum exceeds
//! the capacity by what it admits, at most its part of the demand. In a partition into k
//! parts, each part uses up to the whole limit, so that the sum is at most k times the
//! limit, until longer pauses lower the limit of each part.

use std::cmp::Ordering;
use std::time::Duration;

use crate::clock::Instant;

/// Time between two updates of a cutoff.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time constant of the rates of demand and admissions.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time constant of the recent use of an account. Accounts have few requests per
/// second, whose rate is noise in a shorter time.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time constant of the usual use of an account: far longer than a flood.
const USUAL_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Part of the allowed use of an account over which ever more of its requests count as
/// flooding.
const FLOOD_RAMP: f64 = 0.15;

/// Factor on the usual use of an account up to which it is served as usual.
const USUAL_HEADROOM: f64 = 1.25;

/// Time for which a report is taken as current; in a large fleet the next one arrives
/// that much later. Its rates decay from then on.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// Shortest time in which the requests in flight are led to the limit. Twice the age of
/// the reports is added, so that the loop does not oscillate.
const MIN_SETTLING_TIME: Duration = Duration::from_millis(500);

/// Time for which the permits that admitted requests will need are kept from requests
/// beyond the cutoff.
const RESERVED_TIME: Duration = Duration::from_millis(100);

/// Share of the limit that is kept from what accounts request beyond their usual use.
/// Chance moves the requests in flight by about as much, and others would be refused.
const FLOOD_RESERVE: f64 = 0.15;

/// Time in which the cutoff rises by one class at most.
const STEP_TIME: Duration = Duration::from_millis(300);

/// Time after the start of an entry in which it takes over the cutoff of the others.
const JOINING_TIME: Duration = Duration::from_secs(2);

/// Share of what is admitted of a priority that is reserved for refused clients.
const RETURN_SHARE: f64 = 0.25;

/// Rate per second below which an account or class is forgotten.
const MIN_RATE: f64 = 0.02;

/// Most accounts in a report; those with the most recent use.
pub const MAX_REPORTED_ACCOUNTS: usize = 96;

/// Most classes in a report: six for each of six priorities, the most urgent first.
pub const MAX_REPORTED_CLASSES: usize = 36;

/// Most accounts whose usual use is known.
const MAX_ACCOUNTS: usize = 8_192;

/// When a request arrives relative to its client's first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Turn {
    /// A refused client returns at the time that it was given.
    Returning,
    /// The response can still be on time.
    InTime,
    /// The response is late already.
    Late,
}

/// Class of requests that are admitted alike. Classes are ordered by urgency, the most
/// urgent first.
///
/// What an account requests beyond its usual use comes after the usual requests of all
/// priorities: otherwise an account could flood the urgent routes at the expense of the
/// others' less urgent requests. Late requests come after those of all priorities that
/// can be on time: otherwise the retries of an earlier shortage keep new requests late
/// after its end, while there are permits for nearly all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Whether the account has used more than usual.
    pub flooding: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// When the request arrives.
    pub turn: Turn,
}

impl Class {
    fn key(&self) -> (bool, bool, u32, Turn) {
        let is_late = self.turn == Turn::Late;
        (self.flooding, is_late, self.priority, self.turn)
    }
}

impl Ord for Class {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Class {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A level among the classes: those before `class` are admitted, those after it are
/// refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cutoff {
    /// The class of which a part is admitted.
    pub class: Class,
    /// That part, from 0 to 1.
    pub part: f64,
}

impl Cutoff {
    /// Returns whether a request is admitted. `draw` is uniformly random from 0 to 1.
    pub fn admits(&self, class: Class, draw: f64) -> bool {
        class < self.class || (class == self.class && draw < self.part)
    }
}

/// What an entry tells the others about one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests per second that arrive, by class.
    pub demand: Vec<(Class, f64)>,
    /// Requests per second that are admitted.
    pub admitted: f64,
    /// Recent use in requests per second, by digest of the account.
    pub accounts: Vec<(u32, f64)>,
    /// The cutoff in force.
    pub cutoff: Option<Cutoff>,
}

/// Load of a service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that may be in flight.
    pub limit: usize,
    /// Requests in flight.
    pub in_flight: usize,
}

/// Rate of events, an average that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated: Instant,
}

impl Rate {
    fn at(&self, now: Instant, time_constant: Duration) -> f64 {
        self.per_second * decay(now.since(self.updated), time_constant)
    }

    fn record(&mut self, now: Instant, time_constant: Duration) {
        self.per_second = self.at(now, time_constant) + 1.0 / time_constant.as_secs_f64();
        self.updated = now;
    }
}

fn decay(passed: Duration, time_constant: Duration) -> f64 {
    (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Use of an account over all entries, in requests per second.
#[derive(Clone, Copy, Debug)]
struct Use {
    account: u32,
    recent: f64,
    usual: f64,
}

/// What one entry knows of the shares of a service.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::share::{Load, Share, Turn};
/// use std::time::Duration;
///
/// let mut share = Share::default();
/// let urgent = share.classify(0, 7, Turn::InTime, 0.5);
/// let other = share.classify(2, 7, Turn::InTime, 0.5);
/// for millis in 0..2_000 {
///     let now = Instant::from_millis(millis);
///     if millis % 20 == 0 {
///         share.arrive(now, if millis % 40 == 0 { urgent } else { other });
///     }
///     share.update(now, Load { limit: 10, in_flight: 12 }, &[]);
/// }
/// assert!(!share.admits(other, Load { limit: 10, in_flight: 12 }, 0.9));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// Requests that arrive at this entry, by class, sorted.
    demand: Vec<(Class, Rate)>,
    admitted: Rate,
    /// Requests of this entry that were admitted, by digest of the account, sorted.
    accounts: Vec<(u32, Rate)>,
    /// Of all entries, sorted.
    uses: Vec<Use>,
    /// Mean of the usual use of the accounts.
    mean_use: f64,
    /// Demand of all entries per second, by class, sorted.
    total: Vec<(Class, f64)>,
    cutoff: Option<Cutoff>,
    /// Demand beyond the cutoff per second.
    beyond: f64,
    /// Time until other entries know of a request that one admits.
    delay: Duration,
    started: Option<Instant>,
    updated: Instant,
}

impl Share {
    /// Returns the class of a request of an account. `draw` is uniformly random from 0
    /// to 1: of an account that exceeds its usual use, the part up to it is usual.
    pub fn classify(&self, priority: u32, account: u32, turn: Turn, draw: f64) -> Class {
        let found = self
            .uses
            .binary_search_by_key(&account, |use_| use_.account);
        let flooding = found.is_ok_and(|index| {
            let Use { recent, usual, .. } = self.uses[index];
            let allowed = allowed(usual, self.mean_use);
            // Certain from what is allowed on, so that the use of a flooding account
            // settles below it.
            draw * FLOOD_RAMP * allowed < recent - (1.0 - FLOOD_RAMP) * allowed
        });
        Class {
            flooding,
            priority,
            turn,
        }
    }

    /// Counts a request that arrives.
    pub fn arrive(&mut self, now: Instant, class: Class) {
        let index = match self.demand.binary_search_by_key(&class, |known| known.0) {
            Ok(index) => index,
            Err(index) => {
                self.demand.insert(index, (class, Rate::default()));
                index
            }
        };
        self.demand[index].1.record(now, DEMAND_TIME_CONSTANT);
    }

    /// Returns whether a request may take a permit or wait for one. `draw` is uniformly
    /// random from 0 to 1.
    ///
    /// Requests beyond the cutoff share the permits that are left free, so that none
    /// stays free. All entries see the same free permits until their next reports;
    /// each admits the part that fills them in this time.
    pub fn admits(&self, class: Class, load: Load, draw: f64) -> bool {
        let Some(cutoff) = self.cutoff else {
            return true;
        };
        if cutoff.admits(class, draw) {
            return true;
        }
        let draw = match class == cutoff.class {
            true => (draw - cutoff.part) / (1.0 - cutoff.part),
            false => draw,
        };
        let within: f64 = self.total.iter().map(|known| known.1).sum::<f64>() - self.beyond;
        let mut reserved = within * RESERVED_TIME.as_secs_f64();
        if class.flooding {
            reserved = reserved.max(load.limit as f64 * FLOOD_RESERVE);
        }
        let free = load.limit as f64 - load.in_flight as f64 - reserved;
        let arriving = self.beyond * self.delay.as_secs_f64();
        free > 0.0 && draw * arriving < free
    }

    /// Counts a request of an account that takes a permit.
    pub fn admit(&mut self, now: Instant, account: u32) {
        self.admitted.record(now, DEMAND_TIME_CONSTANT);
        let index = match self
            .accounts
            .binary_search_by_key(&account, |known| known.0)
        {
            Ok(index) => index,
            Err(index) => {
                self.accounts.insert(index, (account, Rate::default()));
                index
            }
        };
        self.accounts[index].1.record(now, USE_TIME_CONSTANT);
    }

    /// Returns what the other entries are told.
    pub fn report(&self, now: Instant) -> Report {
        let demand = self.demand.iter();
        let demand = demand.map(|(class, rate)| (*class, rate.at(now, DEMAND_TIME_CONSTANT)));
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|(account, rate)| (*account, rate.at(now, USE_TIME_CONSTANT)));
        let mut report = Report {
            demand: demand.filter(|(_, rate)| *rate >= MIN_RATE).collect(),
            admitted: self.admitted.at(now, DEMAND_TIME_CONSTANT),
            accounts: accounts.filter(|(_, rate)| *rate >= MIN_RATE).collect(),
            cutoff: self.cutoff,
        };
        report.demand.truncate(MAX_REPORTED_CLASSES);
        if report.accounts.len() > MAX_REPORTED_ACCOUNTS {
            report.accounts.sort_by(|a, b| b.1.total_cmp(&a.1));
            report.accounts.truncate(MAX_REPORTED_ACCOUNTS);
            report.accounts.sort_by_key(|known| known.0);
        }
        report
    }

    /// Returns whether [`Share::update`] would do anything.
    pub fn is_due(&self, now: Instant) -> bool {
        self.started.is_none() || now.since(self.updated) >= UPDATE_INTERVAL
    }

    /// Derives the cutoff from the load, the demand of this entry and the reports of
    /// the other live entries with their ages; returns whether the class of the cutoff
    /// changed. Does nothing within [`UPDATE_INTERVAL`] after the last update.
    pub fn update(&mut self, now: Instant, load: Load, reports: &[(Duration, &Report)]) -> bool {
        if !self.is_due(now) {
            return false;
        }
        let started = *self.started.get_or_insert(now);
        let passed = now.since(self.updated);
        self.updated = now;
        self.demand
            .retain(|(_, rate)| rate.at(now, DEMAND_TIME_CONSTANT) >= MIN_RATE);
        self.accounts
            .retain(|(_, rate)| rate.at(now, USE_TIME_CONSTANT) >= MIN_RATE);
        let own = self.report(now);
        let all = || {
            let own = std::iter::once((Duration::ZERO, &own));
            own.chain(reports.iter().copied())
        };
        self.sum_uses(now.since(started), passed, all());
        self.total = sum(all().flat_map(|(age, report)| {
            let factor = age_factor(age, DEMAND_TIME_CONSTANT);
            let demand = report.demand.iter();
            demand.map(move |(class, rate)| (*class, rate * factor))
        }));
        let admitted: f64 = all()
            .map(|(age, report)| report.admitted * age_factor(age, DEMAND_TIME_CONSTANT))
            .sum();
        let ages: Duration = reports.iter().map(|(age, _)| *age).sum();
        let mean_age = ages / (reports.len() + 1) as u32;
        let capacity = capacity(load, admitted, mean_age);
        if self.cutoff.is_none() && now.since(started) < JOINING_TIME {
            self.cutoff = cutoff_of_others(reports);
        }
        let before = self.cutoff;
        let settling_time = settling_time(mean_age).as_secs_f64();
        let flood_reserve = load.limit as f64 * FLOOD_RESERVE / settling_time;
        self.move_cutoff(passed, capacity, flood_reserve);
        self.delay = mean_age + UPDATE_INTERVAL;
        before.map(|cutoff| cutoff.class) != self.cutoff.map(|cutoff| cutoff.class)
    }

    /// Returns the requests per second of a priority, over all entries, that clients
    /// which return may take: a part of what is admitted of it, so that new requests,
    /// whose responses are on time, get the rest.
    pub fn room(&self, priority: u32) -> f64 {
        let classes = self.total.iter();
        let same = classes.filter(|(class, _)| class.priority == priority && !class.flooding);
        let admitted = same.map(|(class, demand)| match self.cutoff {
            Some(cutoff) if *class == cutoff.class => demand * cutoff.part,
            Some(cutoff) if *class > cutoff.class => 0.0,
            _ => *demand,
        });
        admitted.sum::<f64>() * RETURN_SHARE
    }

    /// Returns the demand of all entries per second by class, as of the last update.
    pub fn demand(&self) -> &[(Class, f64)] {
        &self.total
    }

    /// Returns the cutoff in force, `None` if all classes are admitted.
    pub fn cutoff(&self) -> Option<Cutoff> {
        self.cutoff
    }

    /// Lowers the cutoff at once to the level that the capacity allows, in requests per
    /// second, or raises it by one class in [`STEP_TIME`].
    fn move_cutoff(&mut self, passed: Duration, capacity: f64, flood_reserve: f64) {
        let mut left = capacity;
        let mut level = 0.0;
        let mut flooding = false;
        for (class, demand) in &self.total {
            if class.flooding && !flooding {
                flooding = true;
                left -= flood_reserve;
            }
            let part = (left / demand.max(MIN_RATE)).clamp(0.0, 1.0);
            level += part;
            left -= demand;
            if part < 1.0 {
                break;
            }
        }
        let classes = self.total.len() as f64;
        let current = self.cutoff.map_or(classes, |cutoff| {
            let index = self.total.partition_point(|known| known.0 < cutoff.class);
            let same = self
                .total
                .get(index)
                .is_some_and(|known| known.0 == cutoff.class);
            index as f64 + if same { cutoff.part } else { 0.0 }
        });
        let raised = current + passed.as_secs_f64() / STEP_TIME.as_secs_f64();
        level = level.min(raised);
        // A level at the end of a class is the beginning of the next one.
        let class = self.total.get(level as usize);
        self.cutoff = class.map(|(class, _)| Cutoff {
            class: *class,
            part: level.fract(),
        });
        let from = self.total.get(level as usize..).unwrap_or_default();
        let beyond: f64 = from.iter().map(|known| known.1).sum();
        let part = from.first().map_or(0.0, |known| known.1 * level.fract());
        self.beyond = beyond - part;
    }

    /// Updates the recent and the usual use of the accounts. What an account uses
    /// beyond what it is allowed does not become usual.
    fn sum_uses<'a>(
        &mut self,
        age: Duration,
        passed: Duration,
        reports: impl Iterator<Item = (Duration, &'a Report)>,
    ) {
        let recent = sum(reports.flat_map(|(age, report)| {
            let factor = age_factor(age, USE_TIME_CONSTANT);
            let accounts = report.accounts.iter();
            accounts.map(move |(account, rate)| (*account, rate * factor))
        }));
        for use_ in &mut self.uses {
            use_.recent = 0.0;
        }
        for (account, recent) in recent {
            match self
                .uses
                .binary_search_by_key(&account, |use_| use_.account)
            {
                Ok(index) => self.uses[index].recent = recent,
                Err(_) if self.uses.len() >= MAX_ACCOUNTS => {}
                Err(index) => {
                    let use_ = Use {
                        account,
                        recent,
                        usual: 0.0,
                    };
                    self.uses.insert(index, use_);
                }
            }
        }
        // The average since the start, until that is longer than the time constant.
        let history = age.max(passed).max(UPDATE_INTERVAL);
        let gain = passed.as_secs_f64() / history.min(USUAL_TIME_CONSTANT).as_secs_f64();
        let learning = age < USE_TIME_CONSTANT * 2;
        for use_ in &mut self.uses {
            let counted = match learning {
                true => use_.recent,
                false => use_.recent.min(allowed(use_.usual, self.mean_use)),
            };
            use_.usual += gain.min(1.0) * (counted - use_.usual);
        }
        self.uses
            .retain(|use_| use_.recent > 0.0 || use_.usual >= MIN_RATE / 10.0);
        let sum: f64 = self.uses.iter().map(|use_| use_.usual).sum();
        self.mean_use = sum / self.uses.len().max(1) as f64;
    }
}

/// Returns the recent use up to which an account is served as usual: its usual use, or
/// the mean of all accounts if that is higher, with headroom for chance.
fn allowed(usual: f64, mean: f64) -> f64 {
    let usual = usual.max(mean);
    // The standard deviation of the average of random arrivals.
    let deviation = (usual / (2.0 * USE_TIME_CONSTANT.as_secs_f64())).sqrt();
    USUAL_HEADROOM * usual + 2.0 * deviation
}

/// Returns the requests per second that can be admitted: as many as lately, and those
/// that lead the requests in flight to the limit.
fn capacity(load: Load, admitted: f64, age: Duration) -> f64 {
    let free = load.limit as f64 - load.in_flight as f64;
    admitted + free / settling_time(age).as_secs_f64()
}

fn settling_time(age: Duration) -> Duration {
    MIN_SETTLING_TIME + 2 * age
}

/// Returns the cutoff of the youngest report if most reports have one.
fn cutoff_of_others(reports: &[(Duration, &Report)]) -> Option<Cutoff> {
    let with = reports.iter().filter(|(_, report)| report.cutoff.is_some());
    if with.clone().count() * 2 <= reports.len() {
        return None;
    }
    let youngest = with.min_by_key(|(age, _)| *age)?;
    youngest.1.cutoff
}

/// Returns what is left of a reported rate.
fn age_factor(age: Duration, time_constant: Duration) -> f64 {
    decay(age.saturating_sub(REPORT_LIFETIME), time_constant)
}

/// Adds up the rates of each key; sorts by key.
fn sum<K: Ord + Copy>(rates: impl Iterator<Item = (K, f64)>) -> Vec<(K, f64)> {
    let mut sorted: Vec<(K, f64)> = rates.collect();
    sorted.sort_by_key(|known| known.0);
    let mut sums: Vec<(K, f64)> = Vec::new();
    for (key, rate) in sorted {
        match sums.last_mut() {
            Some(last) if last.0 == key => last.1 += rate,
            _ => sums.push((key, rate)),
        }
    }
    sums
}
