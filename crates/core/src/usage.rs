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

mod counter;
mod ledger;
mod record;

use std::sync::Arc;
use std::time::Duration;

pub use counter::Counter;
pub use ledger::{Decision, Ledger, Tally};
pub use record::Record;

/// Time after the end of a window at which an entry reports it complete. Requests that
/// are counted only when their response arrives have begun at most this long before.
const COMPLETE_AFTER: Duration = Duration::from_secs(2);

/// Longest name of an account in bytes. Longer ones come from a malformed batch.
pub const MAX_ACCOUNT_BYTES: usize = 256;

/// Times of the windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window; at least 1 s.
    pub window: Duration,
    /// Time after the end of a window at which its report is due; at least 5 s.
    pub due: Duration,
}

impl Settings {
    /// Returns the number of the window that a true time is in.
    pub fn window_at(self, time: Duration) -> u64 {
        let window = time.as_micros() / self.window.as_micros().max(1);
        u64::try_from(window).unwrap_or(u64::MAX)
    }

    /// Returns the true time of the end of a window.
    pub fn end(self, window: u64) -> Duration {
        let end_us = (u128::from(window) + 1) * self.window.as_micros();
        Duration::from_micros(u64::try_from(end_us).unwrap_or(u64::MAX))
    }

    /// Returns the time after its end at which a window is decided at the latest. The
    /// rest of the time until the report is due is for writing the record and for
    /// repeating the report.
    fn decide_by(self) -> Duration {
        self.due.mul_f64(0.6)
    }

    /// Returns the time after its end at which a window without an accepted report is
    /// given up.
    fn give_up(self) -> Duration {
        self.due * 3
    }

    /// Returns the number of the first window that ended at most `age` before `now`.
    fn first_within(self, now: Duration, age: Duration) -> u64 {
        self.window_at(now.saturating_sub(age))
    }
}

/// Starts by account, sorted by account.
pub type Counts = Vec<(Arc<str>, u64)>;

/// Starts of requests that an entry counted between two points in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch in its process, from 1.
    pub number: u64,
    /// Windows below this number are complete at this process.
    pub through: u64,
    /// Window, account and starts, sorted by window and account.
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
    /// The starts in it.
    pub counts: Counts,
}

/// Adds starts to counts that are sorted by account.
fn add(counts: &mut Counts, account: &Arc<str>, starts: u64) {
    match counts.binary_search_by(|(known, _)| known.cmp(account)) {
        Ok(at) => counts[at].1 = counts[at].1.saturating_add(starts),
        Err(at) => counts.insert(at, (account.clone(), starts)),
    }
}
