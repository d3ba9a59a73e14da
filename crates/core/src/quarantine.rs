//! Quarantine of poison requests: those that crash the backend servers that run
//! them.

use std::time::Duration;

use crate::clock::Instant;

/// Number of crashes after which a request is quarantined.
///
/// One crash is not enough: every request in flight at a crash is suspected.
pub const QUARANTINE_CRASHES: u32 = 2;

/// The last part of its lifetime in which a record is not taken over from others, one in
/// this many. A process that has forgotten it would else hear it back from one that heard
/// it a little later, and so on without end.
const FORGETTING_SHARE: u32 = 60;

/// Crash record of one fingerprint, as exchanged between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the client account and the body.
    pub fingerprint: u64,
    /// Crashes during which it was in flight.
    pub crashes: u32,
    /// Time until the suspicion, or from [`QUARANTINE_CRASHES`] crashes on the
    /// quarantine, ends. It is at most the lifetime of the table that takes it over.
    pub remaining: Duration,
}

/// How to treat a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs normally.
    Clear,
    /// It runs alone, so that a further crash identifies it; the suspicion ends after
    /// this time.
    Suspected(Duration),
    /// It is refused for this time.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    fingerprint: u64,
    crashes: u32,
    expires: Instant,
}

/// Suspected and quarantined fingerprints.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::quarantine::{Table, Verdict};
/// use std::time::Duration;
///
/// let now = Instant::ORIGIN;
/// let mut table = Table::new(Duration::from_secs(600), 8);
/// table.record_crash(now, &[7]);
/// assert_eq!(table.verdict(now, 7), Verdict::Suspected(Duration::from_secs(600)));
/// table.record_crash(now, &[7]);
/// assert_eq!(table.verdict(now, 7), Verdict::Quarantined(Duration::from_secs(600)));
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    // Sorted by fingerprint.
    records: Vec<Record>,
    duration: Duration,
    capacity: usize,
}

impl Table {
    /// Creates an empty table of at most `capacity` fingerprints.
    ///
    /// A suspicion or quarantine ends after `duration` without another crash.
    pub fn new(duration: Duration, capacity: usize) -> Self {
        Table {
            records: Vec::new(),
            duration,
            capacity,
        }
    }

    /// Records a crash during which these fingerprints were in flight.
    pub fn record_crash(&mut self, now: Instant, in_flight: &[u64]) {
        let mut fingerprints = in_flight.to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        for fingerprint in fingerprints {
            let crashes = self.crashes(now, fingerprint) + 1;
            let expires = now + self.duration;
            self.put(
                now,
                Record {
                    fingerprint,
                    crashes,
                    expires,
                },
            );
        }
    }

    /// Records that this process suspects a fingerprint, whose crash others may count.
    pub fn suspect(&mut self, now: Instant, fingerprint: u64) {
        let suspect = Suspect {
            fingerprint,
            crashes: 1,
            remaining: self.duration,
        };
        self.merge(now, suspect);
    }

    /// Merges a record of another process.
    ///
    /// Crash counts are not added, because both may include the same crash.
    pub fn merge(&mut self, now: Instant, suspect: Suspect) {
        let known = self.crashes(now, suspect.fingerprint);
        // A repeated report does not extend an existing record.
        if suspect.crashes <= known {
            return;
        }
        let remaining = suspect.remaining.min(self.duration);
        if known == 0 && remaining <= self.duration / FORGETTING_SHARE {
            return;
        }
        let record = Record {
            fingerprint: suspect.fingerprint,
            crashes: suspect.crashes,
            expires: now + remaining,
        };
        self.put(now, record);
    }

    /// Returns how to treat a request with this fingerprint.
    pub fn verdict(&self, now: Instant, fingerprint: u64) -> Verdict {
        let Some(record) = self.unexpired(now, fingerprint) else {
            return Verdict::Clear;
        };
        let remaining = record.expires.since(now);
        match record.crashes < QUARANTINE_CRASHES {
            true => Verdict::Suspected(remaining),
            false => Verdict::Quarantined(remaining),
        }
    }

    /// Removes a suspect that ran alone without a crash; a quarantine stays.
    pub fn clear_suspicion(&mut self, fingerprint: u64) {
        self.records.retain(|record| {
            record.fingerprint != fingerprint || record.crashes >= QUARANTINE_CRASHES
        });
    }

    /// Returns all unexpired records, for exchange with other processes.
    pub fn suspects(&self, now: Instant) -> Vec<Suspect> {
        let unexpired = self.records.iter().filter(|record| record.expires > now);
        unexpired
            .map(|record| Suspect {
                fingerprint: record.fingerprint,
                crashes: record.crashes,
                remaining: record.expires.since(now),
            })
            .collect()
    }

    fn crashes(&self, now: Instant, fingerprint: u64) -> u32 {
        self.unexpired(now, fingerprint)
            .map_or(0, |record| record.crashes)
    }

    fn unexpired(&self, now: Instant, fingerprint: u64) -> Option<&Record> {
        let index = self.index(fingerprint).ok()?;
        Some(&self.records[index]).filter(|record| record.expires > now)
    }

    fn index(&self, fingerprint: u64) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.fingerprint.cmp(&fingerprint))
    }

    fn put(&mut self, now: Instant, record: Record) {
        if let Ok(index) = self.index(record.fingerprint) {
            self.records[index] = record;
            return;
        }
        self.records.retain(|known| known.expires > now);
        if self.records.len() >= self.capacity {
            self.evict();
        }
        let index = self.index(record.fingerprint).unwrap_or_else(|index| index);
        self.records.insert(index, record);
    }

    /// Evicts the record with the fewest crashes, so that suspicions go before
    /// quarantines; among equals the one that expires first.
    fn evict(&mut self) {
        let evicted = (0..self.records.len())
            .min_by_key(|&index| (self.records[index].crashes, self.records[index].expires));
        if let Some(index) = evicted {
            self.records.remove(index);
        }
    }
}
