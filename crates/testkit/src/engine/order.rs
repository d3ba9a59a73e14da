//! Orders to a rank and their fencing.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Settings;

/// Orders that are reported after their end.
const KEPT: usize = 256;

/// An order as it is posted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Order {
    pub id: String,
    pub token: u64,
    pub action: String,
    /// Fields of the action.
    #[serde(flatten)]
    pub rest: Value,
}

/// An accepted order as `GET /orders` reports it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Record {
    #[serde(flatten)]
    pub order: Order,
    pub state: &'static str,
}

#[derive(Debug)]
struct Accepted {
    order: Order,
    done_at: Instant,
    failed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Orders {
    highest_token: u64,
    overlapping: u64,
    stale: u64,
    accepted: VecDeque<Accepted>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    pub token: u64,
    /// Orders that were accepted while another one was being carried out.
    pub overlapping: u64,
    /// Orders that were accepted after one with a newer token.
    pub stale: u64,
    pub orders: Vec<Record>,
}

/// An order that was accepted now, with the time of its end.
pub(super) struct Start {
    pub done_at: Instant,
}

impl Orders {
    /// Accepts an order; one with a known id is not carried out again.
    ///
    /// Fails with the highest token seen if that is newer and checked.
    pub fn accept(
        &mut self,
        order: Order,
        settings: &Settings,
        now: Instant,
    ) -> Result<Option<Start>, u64> {
        if self.accepted.iter().any(|known| known.order.id == order.id) {
            return Ok(None);
        }
        let stale = order.token < self.highest_token;
        if settings.fencing && stale {
            return Err(self.highest_token);
        }
        self.stale += u64::from(stale);
        self.highest_token = self.highest_token.max(order.token);
        let busy_until = self.accepted.iter().map(|known| known.done_at).max();
        let start = busy_until.map_or(now, |until| until.max(now));
        self.overlapping += u64::from(start > now);
        let done_at = start + duration(&order, settings);
        if self.accepted.len() >= KEPT {
            self.accepted.pop_front();
        }
        let mut order = order;
        if let Some(fields) = order.rest.as_object_mut() {
            // Placements would make the report of orders large.
            fields.remove("placement");
        }
        self.accepted.push_back(Accepted {
            order,
            done_at,
            failed: false,
        });
        Ok(Some(Start { done_at }))
    }

    /// Notes that the order accepted last has no effect.
    pub fn fail_last(&mut self) {
        if let Some(last) = self.accepted.back_mut() {
            last.failed = true;
        }
    }

    pub fn report(&self, now: Instant) -> Report {
        let record = |known: &Accepted| Record {
            order: known.order.clone(),
            state: match known.done_at <= now {
                false => "running",
                true if known.failed => "failed",
                true => "done",
            },
        };
        Report {
            token: self.highest_token,
            overlapping: self.overlapping,
            stale: self.stale,
            orders: self.accepted.iter().map(record).collect(),
        }
    }
}

fn duration(order: &Order, settings: &Settings) -> Duration {
    match &*order.action {
        "load_map" => settings.map_load,
        // The memory of a map is freed, and a stamp set, between two steps.
        "stamp_map" | "unload_map" => Duration::ZERO,
        _ => settings.order,
    }
}
