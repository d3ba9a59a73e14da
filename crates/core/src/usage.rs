//! Metering of the requests that backend servers began to run, by client account and
//! window.
//!
//! Load pattern: hundreds of entries count starts of requests at the same time, and one
//! of them, which may be killed, frozen or replaced at any moment, reports the sums.
//! Datagrams between them are lost, repeated and reordered. Each start must count once,
//! and a window must never be reported with two different sums.
//!
//! [`Counter`] counts at an entry and seals what it counted into numbered batches
//! ([`Batch`]). [`Ledger`] is the state of the entry that holds the duty; [`Record`] is
//! its durable form.

mod ledger;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use ledger::Ledger;

/// Times of the windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window; at least 1 s.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
}

/// Starts of requests that an entry counted between two points in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch in its process, from 1.
    pub number: u64,
    /// Windows below this number are complete at this process.
    pub through: u64,
    /// Window, account and starts.
    pub counts: Vec<(u64, Arc<str>, u64)>,
}

/// What the holder has of the batches of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ack {
    /// Number of the last batch that it received with all before.
    pub received: u64,
    /// Number of the last batch that the stored record contains.
    pub durable: u64,
}

/// The counts of a decided window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Starts by account, sorted by account.
    pub counts: Vec<(Arc<str>, u64)>,
}

/// Durable form of a [`Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Era of the store in which the record was written.
    pub era: u64,
}
