//! Register of claims, each of which runs at most once on this agent.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_wire as wire;
use bytes::Bytes;

use crate::call::MAX_RESULT_BYTES;

/// Retry delay in refusals.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Identifies a claim within an agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Object name of the partition.
    pub partition: Arc<str>,
    /// Digest of client account, service and idempotency key.
    pub key: Bytes,
}

/// Bounds of the register.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Minimum time for which an ended or sealed claim is retained.
    pub retention: Duration,
    /// Maximum number of claims retained at the same time.
    pub capacity: usize,
    /// Maximum memory of retained results, in bytes.
    pub result_bytes: usize,
}

#[derive(Clone, Debug)]
enum Progress {
    Reserved,
    Running,
    Done(wire::Result),
    /// Sent to the server; its result is unknown, too large or no longer retained.
    Lost,
    Sealed,
}

#[derive(Clone, Debug)]
struct Record {
    key: Key,
    /// Highest token reserved, run or sealed.
    token: u64,
    /// Highest token that is sealed and must never run, 0 if there is none.
    sealed: u64,
    progress: Progress,
    changed: Instant,
}

/// Highest token reserved in a partition, and the highest tokens of its evicted
/// claims and of its evicted seals.
#[derive(Clone, Debug)]
struct Partition {
    name: Arc<str>,
    newest_reserved: u64,
    forgotten: Option<u64>,
    forgotten_seal: Option<u64>,
}

/// Claims that an incarnation retains, sorted by key.
#[derive(Clone, Debug)]
pub struct Register {
    bounds: Bounds,
    records: Vec<Record>,
    partitions: Vec<Partition>,
    result_bytes: usize,
    unfinished: usize,
}

impl Register {
    /// Creates an empty register.
    pub fn new(bounds: Bounds) -> Self {
        Register {
            bounds,
            records: Vec::new(),
            partitions: Vec::new(),
            result_bytes: 0,
            unfinished: 0,
        }
    }

    /// Reserves the single run of a claim.
    ///
    /// # Errors
    ///
    /// Fails with `not run` if the token is sealed or the register is full, and with
    /// `unknown` if the key is reserved, running or ended.
    pub fn reserve(&mut self, now: Instant, key: &Key, token: u64) -> Result<(), Refusal> {
        let sealed = match self.index(key) {
            Ok(index) => match self.records[index].progress {
                Progress::Sealed => Some(self.records[index].token),
                _ => {
                    return Err(Refusal::unknown(Reason::KeyPending, RETRY_AFTER)
                        .with_message("the key is in use or has ended"));
                }
            },
            Err(_) => self
                .partition(&key.partition)
                .and_then(|partition| partition.forgotten_seal),
        };
        if sealed >= Some(token) {
            return Err(Refusal::not_run(Reason::StaleToken, RETRY_AFTER)
                .with_message("the claim is sealed and never runs here"));
        }
        let results = self.result_bytes + (self.unfinished + 1) * MAX_RESULT_BYTES;
        if results > self.bounds.result_bytes {
            self.drop_results(now);
        }
        let results = self.result_bytes + (self.unfinished + 1) * MAX_RESULT_BYTES;
        let has_record = self.index(key).is_ok();
        if results > self.bounds.result_bytes
            || !(has_record || self.make_room(now, &key.partition))
        {
            return Err(Refusal::not_run(Reason::ServerFull, RETRY_AFTER)
                .with_message("the memory of claims is full"));
        }
        self.note_token(&key.partition, token);
        match self.index(key) {
            Ok(index) => {
                self.records[index].token = token;
                self.change(now, key, Progress::Reserved);
            }
            Err(_) => self.insert(now, key, token, Progress::Reserved),
        }
        self.unfinished += 1;
        Ok(())
    }

    /// Records that the request of a reserved claim is being sent to the server.
    pub fn start(&mut self, now: Instant, key: &Key) {
        self.change(now, key, Progress::Running);
    }

    /// Releases a claim whose request never reached the server. A seal of the
    /// claim stays in force.
    pub fn release(&mut self, now: Instant, key: &Key) {
        let Ok(index) = self.index(key) else { return };
        self.unfinished -= 1;
        let record = &mut self.records[index];
        if record.sealed == 0 {
            self.records.remove(index);
            return;
        }
        record.token = record.sealed;
        self.change(now, key, Progress::Sealed);
    }

    /// Records the end of a run, with its result if that is known.
    pub fn finish(&mut self, now: Instant, key: &Key, result: Option<wire::Result>) {
        self.unfinished -= 1;
        let progress = match result {
            Some(result) => {
                self.result_bytes += result.body.len();
                Progress::Done(result)
            }
            None => Progress::Lost,
        };
        self.change(now, key, progress);
    }

    /// Returns the outcome of a claim, or seals it so that it never runs.
    pub fn seal(
        &mut self,
        now: Instant,
        key: &Key,
        token: u64,
    ) -> (wire::Outcome, Option<wire::Result>) {
        let would_be_retained = self.knows(&key.partition, token);
        if let Ok(index) = self.index(key) {
            let record = &mut self.records[index];
            if matches!(record.progress, Progress::Sealed) {
                record.token = record.token.max(token);
                record.sealed = record.token;
            }
            return match &record.progress {
                Progress::Done(result) => (wire::Outcome::Done, Some(result.clone())),
                Progress::Sealed if would_be_retained => (wire::Outcome::NotRun, None),
                _ => (wire::Outcome::Unknown, None),
            };
        }
        // A seal that cannot be stored must not be reported as `not run`.
        if !self.make_room(now, &key.partition) {
            return (wire::Outcome::Unknown, None);
        }
        let would_be_retained = self.knows(&key.partition, token);
        self.insert(now, key, token, Progress::Sealed);
        if would_be_retained {
            (wire::Outcome::NotRun, None)
        } else {
            (wire::Outcome::Unknown, None)
        }
    }

    /// Returns whether a claim with this token would still be in the register if
    /// it had run.
    fn knows(&self, partition: &str, token: u64) -> bool {
        let forgotten = self
            .partition(partition)
            .and_then(|partition| partition.forgotten);
        forgotten.is_none_or(|newest| token > newest)
    }

    /// Returns whether one more claim fits, after evicting the oldest evictable
    /// claim if necessary.
    fn make_room(&mut self, now: Instant, partition: &Arc<str>) -> bool {
        let has_partition = self.partition(partition).is_some();
        if !has_partition && self.partitions.len() >= self.bounds.capacity {
            return false;
        }
        if self.records.len() < self.bounds.capacity {
            return true;
        }
        let over = (0..self.records.len()).filter(|&index| self.is_over(now, index));
        let Some(oldest) = over.min_by_key(|&index| self.records[index].changed) else {
            return false;
        };
        let record = self.records.remove(oldest);
        if let Progress::Done(result) = &record.progress {
            self.result_bytes -= result.body.len();
        }
        let partition = self.partition_mut(&record.key.partition);
        partition.forgotten = partition.forgotten.max(Some(record.token));
        if record.sealed > 0 {
            partition.forgotten_seal = partition.forgotten_seal.max(Some(record.sealed));
        }
        true
    }

    /// Drops results whose retention time is over. Their claims stay in the
    /// register as `Lost`.
    fn drop_results(&mut self, now: Instant) {
        for index in 0..self.records.len() {
            if !self.is_over(now, index) {
                continue;
            }
            if let Progress::Done(result) = &self.records[index].progress {
                self.result_bytes -= result.body.len();
                self.records[index].progress = Progress::Lost;
            }
        }
    }

    fn is_over(&self, now: Instant, index: usize) -> bool {
        let record = &self.records[index];
        let ended = match record.progress {
            Progress::Reserved | Progress::Running => false,
            Progress::Done(_) | Progress::Lost => true,
            // After its eviction, a sealed claim is rejected only by its token.
            // Its record stays until its partition has reserved a newer token.
            Progress::Sealed => {
                let partition = self.partition(&record.key.partition);
                partition.is_some_and(|partition| record.token < partition.newest_reserved)
            }
        };
        ended && now.since(record.changed) >= self.bounds.retention
    }

    fn change(&mut self, now: Instant, key: &Key, progress: Progress) {
        let Ok(index) = self.index(key) else { return };
        self.records[index].progress = progress;
        self.records[index].changed = now;
    }

    fn insert(&mut self, now: Instant, key: &Key, token: u64, progress: Progress) {
        let Err(index) = self.index(key) else { return };
        let record = Record {
            key: key.clone(),
            token,
            sealed: if matches!(progress, Progress::Sealed) {
                token
            } else {
                0
            },
            progress,
            changed: now,
        };
        self.records.insert(index, record);
    }

    fn index(&self, key: &Key) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.key.cmp(key))
    }

    fn note_token(&mut self, partition: &Arc<str>, token: u64) {
        let partition = self.partition_mut(partition);
        partition.newest_reserved = partition.newest_reserved.max(token);
    }

    fn partition(&self, name: &str) -> Option<&Partition> {
        let found = self
            .partitions
            .binary_search_by(|partition| (*partition.name).cmp(name));
        found.ok().map(|index| &self.partitions[index])
    }

    fn partition_mut(&mut self, name: &Arc<str>) -> &mut Partition {
        let found = self
            .partitions
            .binary_search_by(|partition| partition.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            let partition = Partition {
                name: name.clone(),
                newest_reserved: 0,
                forgotten: None,
                forgotten_seal: None,
            };
            self.partitions.insert(index, partition);
            index
        });
        &mut self.partitions[index]
    }
}
