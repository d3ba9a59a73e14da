//! Orders to a rank and their fencing.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Settings;

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

#[derive(Debug, Default)]
pub(super) struct Orders {
    highest_token: u64,
    overlapping: u64,
    accepted: Vec<(Order, Instant)>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    pub token: u64,
    /// Orders that were accepted while another one was being carried out.
    pub overlapping: u64,
    pub orders: Vec<Record>,
}

impl Orders {
    /// Accepts an order; one with a known id is not carried out again.
    ///
    /// Fails with the highest token seen if that is newer and checked.
    pub fn accept(&mut self, order: Order, settings: &Settings, now: Instant) -> Result<(), u64> {
        if self.accepted.iter().any(|(known, _)| known.id == order.id) {
            return Ok(());
        }
        if settings.fencing && order.token < self.highest_token {
            return Err(self.highest_token);
        }
        self.highest_token = self.highest_token.max(order.token);
        let busy_until = self.accepted.iter().map(|(_, done_at)| *done_at).max();
        let start = busy_until.map_or(now, |until| until.max(now));
        self.overlapping += u64::from(start > now);
        self.accepted.push((order, start + settings.order));
        Ok(())
    }

    pub fn report(&self, now: Instant) -> Report {
        let record = |(order, done_at): &(Order, Instant)| Record {
            order: order.clone(),
            state: if *done_at <= now { "done" } else { "running" },
        };
        Report {
            token: self.highest_token,
            overlapping: self.overlapping,
            orders: self.accepted.iter().map(record).collect(),
        }
    }
}
