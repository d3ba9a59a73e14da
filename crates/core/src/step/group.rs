use std::time::Duration;

use super::{Action, Number, Order, Report};
use crate::clock::Instant;
use crate::expert::Rank;

/// The last reports of the ranks of a group, as known to its controller.
///
/// Outdated reports are safe: the rules of [`Member`](super::Member) and the
/// sequence of load, stamp and unload are correct for reports of any age. The age
/// limit keeps a controller from repeating orders to a rank that does not respond.
#[derive(Clone, Debug)]
pub struct Group {
    max_age: Duration,
    observations: Vec<Option<Observation>>,
}

#[derive(Clone, Debug)]
struct Observation {
    requested_at: Instant,
    report: Report,
}

/// Progress of a group in the switch to its newest map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// A rank has not reported within the age limit.
    Unknown,
    /// A step with a newer map has begun, so the target is out of date.
    Overtaken,
    /// A rank has not loaded the map.
    Loading,
    /// No step with the map has begun.
    Stamping,
    /// A rank still holds an older map.
    Unloading,
    /// Every rank holds the map and no older one, and steps use it.
    Settled,
}

impl Group {
    /// Creates a group of `ranks` ranks; reports older than `max_age` are ignored.
    pub fn new(ranks: usize, max_age: Duration) -> Self {
        Group {
            max_age,
            observations: vec![None; ranks],
        }
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.observations.len()
    }

    /// Records the response to a request for a report sent at `requested_at`.
    ///
    /// Returns `false` if a response to a later request is known. A report of a rank
    /// that the group does not have is ignored.
    pub fn report(&mut self, rank: Rank, report: Report, requested_at: Instant) -> bool {
        let Some(slot) = self.observations.get_mut(rank.index()) else {
            return false;
        };
        if slot
            .as_ref()
            .is_some_and(|known| known.requested_at > requested_at)
        {
            return false;
        }
        *slot = Some(Observation {
            requested_at,
            report,
        });
        true
    }

    /// Returns the orders that bring the group closer to using `target`.
    pub fn plan(&self, target: Number, now: Instant) -> Vec<Order> {
        let first = self.fresh_report(0, now);
        // A newer map exists that this controller has not read yet.
        if first.is_some_and(|first| first.stamp > target) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        let mut all_loaded = true;
        for index in 0..self.ranks() {
            let report = self.fresh_report(index, now);
            if report.is_some_and(|report| report.holds(target)) {
                continue;
            }
            all_loaded = false;
            if report.is_some() {
                orders.push(order(index, Action::Load(target)));
            }
        }
        let Some(first) = first else {
            return orders;
        };
        if all_loaded && first.stamp < target {
            orders.push(order(0, Action::Stamp(target)));
        }
        // The stamp alone is not sufficient: a step that began with the old map may
        // still wait for a rank.
        if first.begun == target {
            self.unload(target, now, &mut orders);
        }
        orders
    }

    fn unload(&self, target: Number, now: Instant, orders: &mut Vec<Order>) {
        for index in 0..self.ranks() {
            let Some(report) = self.fresh_report(index, now) else {
                continue;
            };
            let old = report.loaded.iter().filter(|map| **map < target);
            orders.extend(old.map(|map| order(index, Action::Unload(*map))));
        }
    }

    /// Returns the progress of the group in the switch to `target`.
    ///
    /// If a controller wrote the next map before the group has settled, ranks would
    /// hold more than two maps.
    pub fn progress(&self, target: Number, now: Instant) -> Progress {
        let reports: Option<Vec<&Report>> = (0..self.ranks())
            .map(|index| self.fresh_report(index, now))
            .collect();
        let Some(reports) = reports else {
            return Progress::Unknown;
        };
        let Some(first) = reports.first() else {
            return Progress::Unknown;
        };
        if first.stamp > target {
            return Progress::Overtaken;
        }
        if !reports.iter().all(|report| report.holds(target)) {
            return Progress::Loading;
        }
        if first.begun != target {
            return Progress::Stamping;
        }
        let alone = |report: &&Report| report.loaded.iter().all(|map| *map >= target);
        if reports.iter().all(alone) {
            Progress::Settled
        } else {
            Progress::Unloading
        }
    }

    fn fresh_report(&self, index: usize, now: Instant) -> Option<&Report> {
        let observation = self.observations[index].as_ref()?;
        let fresh = now.since(observation.requested_at) <= self.max_age;
        fresh.then_some(&observation.report)
    }
}

fn order(index: usize, action: Action) -> Order {
    Order {
        rank: Rank::from(index as u16),
        action,
    }
}
