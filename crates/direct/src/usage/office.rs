use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylgw_core::usage::{Ledger, Record, Settings};
use berylgw_core::wall;
use berylgw_runtime::clock::uptime;

/// The ledger of this entry, shared by the traffic thread and the task that writes the
/// record and sends the reports.
#[derive(Clone, Debug)]
pub struct Office(Arc<Mutex<Desk>>);

#[derive(Debug)]
struct Desk {
    /// Fencing token while this entry holds the duty.
    token: Option<u64>,
    /// Fencing token with which it held the duty last.
    last_token: u64,
    ledger: Ledger,
    /// True time less the time since the host booted, in microseconds.
    offset_us: i64,
}

impl Office {
    /// Creates the office of an entry that does not hold the duty.
    pub fn new(settings: Settings) -> Self {
        let mut estimate = wall::Estimate::default();
        estimate.observe_own(time_of_day(), uptime());
        estimate.update(&[]);
        Office(Arc::new(Mutex::new(Desk {
            token: None,
            last_token: 0,
            ledger: Ledger::new(settings),
            offset_us: estimate.offset_us(),
        })))
    }

    /// Begins to hold the duty with a fencing token, in an era of the store; or takes
    /// over the stored record while holding it, because another write of it has won.
    pub fn begin(&self, token: u64, stored: Option<Record>, era: u64) {
        self.with(|desk| {
            let now = desk.true_now();
            desk.ledger.restore(stored, era, now);
            desk.token = Some(token);
            desk.last_token = token;
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

    /// Sets the offset of true time; `other_token` is the highest fencing token that
    /// another live entry announces.
    pub(super) fn update(&self, offset_us: i64, other_token: Option<u64>) {
        self.with(|desk| {
            desk.offset_us = offset_us;
            if other_token.is_some_and(|other| other > desk.last_token) {
                desk.ledger.superseded();
            }
        });
    }

    fn with<T>(&self, access: impl FnOnce(&mut Desk) -> T) -> T {
        // A panic under the lock leaves at worst a state that is not written; the lease
        // ends, and the next holder starts from the stored record.
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Desk {
    fn true_now(&self) -> Duration {
        wall::true_time(uptime(), self.offset_us)
    }
}

/// Returns the time of day of this host since the start of 1970.
pub(super) fn time_of_day() -> Duration {
    // A clock set to before 1970 counts as wrong like any other.
    std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default()
}
