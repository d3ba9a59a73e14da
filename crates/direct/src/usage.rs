//! Metering of starts of requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylgw_core::usage::{Ledger, Record, Settings};
use berylgw_runtime::clock::uptime;

/// The ledger of this entry, shared by the traffic thread and the task that writes the
/// record and sends the reports.
#[derive(Clone, Debug)]
pub struct Office(Arc<Mutex<Desk>>);

#[derive(Debug)]
struct Desk {
    /// Fencing token while this entry holds the duty.
    token: Option<u64>,
    ledger: Ledger,
    /// True time less the time since the host booted, in microseconds.
    offset_us: i64,
}

impl Office {
    /// Creates the office of an entry that does not hold the duty.
    pub fn new(settings: Settings) -> Self {
        Office(Arc::new(Mutex::new(Desk {
            token: None,
            ledger: Ledger::new(settings),
            offset_us: 0,
        })))
    }

    /// Begins to hold the duty with a fencing token, or takes over the stored record
    /// while holding it: another write of the record has won.
    pub fn begin(&self, token: u64, stored: Option<Record>, era: u64) {
        self.with(|desk| {
            let now = desk.true_now();
            desk.ledger.restore(stored, era, now);
            desk.token = Some(token);
        });
    }

    /// Ends holding the duty.
    pub fn end(&self) {
        self.with(|desk| desk.token = None);
    }

    /// Returns the fencing token while this entry holds the duty.
    pub fn token(&self) -> Option<u64> {
        self.with(|desk| desk.token)
    }

    /// Calls `decide` with the ledger and the true time since the start of 1970, while
    /// this entry holds the duty.
    pub fn with_ledger<T>(&self, decide: impl FnOnce(&mut Ledger, Duration) -> T) -> Option<T> {
        self.with(|desk| {
            desk.token?;
            let now = desk.true_now();
            Some(decide(&mut desk.ledger, now))
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Desk) -> T) -> T {
        // A panic in another task leaves the ledger as of its last complete change.
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Desk {
    fn true_now(&self) -> Duration {
        let now_us = i128::from(uptime().as_micros()) + i128::from(self.offset_us);
        Duration::from_micros(u64::try_from(now_us).unwrap_or(0))
    }
}
