use std::time::Duration;

use super::{Ack, Batch, Record, Report, Settings};

/// State of the entry that holds the duty.
#[derive(Clone, Debug)]
pub struct Ledger {
    _settings: Settings,
}

impl Ledger {
    /// Creates a ledger without counts.
    pub fn new(settings: Settings) -> Self {
        Ledger {
            _settings: settings,
        }
    }

    /// Takes the state of the stored record in the store's `era`, at the true time
    /// `true_now` since the start of 1970.
    pub fn restore(&mut self, _stored: Option<Record>, _era: u64, _true_now: Duration) {}

    /// Applies a batch of the process with the random number `process`.
    pub fn apply(&mut self, _process: u64, _batch: &Batch) -> Ack {
        Ack::default()
    }

    /// Decides the windows whose counts are complete or whose time is over. `live` are
    /// the processes of the live entries, this one included.
    pub fn decide(&mut self, _true_now: Duration, _live: &[u64]) {}

    /// Returns the record to write and its generation, `None` if the stored one is
    /// current.
    pub fn unsaved(&self) -> Option<(u64, Record)> {
        None
    }

    /// Records that the record of `generation` was written.
    pub fn saved(&mut self, _generation: u64) {}

    /// Returns the oldest decided window that is saved and not accepted.
    pub fn due(&self) -> Option<Report> {
        None
    }

    /// Records that the report of `window` was accepted.
    pub fn accepted(&mut self, _window: u64) {}

    /// Gives up the windows whose report was not accepted in time, and returns them.
    pub fn expire(&mut self, _true_now: Duration) -> Vec<u64> {
        Vec::new()
    }
}
