//! Claims seen by one agent: each runs at most once.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Reason, Refusal};
use berylgw_wire as wire;
use bytes::Bytes;

use crate::call::MAX_RESULT;

/// Retry time of refusals.
const RETRY: Duration = Duration::from_millis(250);

/// Identifies a claim within an agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Object name of the partition.
    pub partition: Arc<str>,
    /// Digest of client account, service and idempotency key.
    pub key: Bytes,
}

/// Bounds of the memory of claims.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time for which an ended or sealed claim is kept in any case.
    pub retention: Duration,
    /// Claims remembered at the same time.
    pub capacity: usize,
    /// Memory of kept results, in bytes.
    pub result_bytes: usize,
}

#[derive(Clone, Debug)]
enum Progress {
    Reserved,
    Running,
    Done(wire::Result),
    /// Passed on, without a result that is known or short enough to keep.
    Lost,
    Sealed,
}

#[derive(Clone, Debug)]
struct Record {
    key: Key,
    token: u64,
    progress: Progress,
    changed: Instant,
}

/// The newest token seen of a partition, and the newest one with a claim that
/// is not remembered any more.
#[derive(Clone, Debug)]
struct Partition {
    name: Arc<str>,
    newest: u64,
    forgotten: Option<u64>,
}

/// All claims an incarnation remembers, sorted by key.
#[derive(Clone, Debug)]
pub struct Register {
    bounds: Bounds,
    records: Vec<Record>,
    partitions: Vec<Partition>,
    result_bytes: usize,
    unfinished: usize,
}

impl Register {
    /// An empty register of an incarnation that starts at [`Instant::ORIGIN`].
    pub fn new(bounds: Bounds) -> Self {
        Register {
            bounds,
            records: Vec::new(),
            partitions: Vec::new(),
            result_bytes: 0,
            unfinished: 0,
        }
    }

    /// Reserves the one run of a claim.
    ///
    /// # Errors
    ///
    /// Fails with `not run` if the token is old, the claim is sealed or memory
    /// is full, and with `unknown` if the claim was seen before.
    pub fn reserve(&mut self, now: Instant, key: &Key, token: u64) -> Result<(), Refusal> {
        if token
            < self
                .partition(&key.partition)
                .map_or(0, |known| known.newest)
        {
            return Err(Refusal::not_run(Reason::StaleToken, RETRY));
        }
        if let Ok(index) = self.index(key) {
            return Err(match self.records[index].progress {
                Progress::Sealed => Refusal::not_run(Reason::StaleToken, RETRY)
                    .with_message("the claim is sealed and never runs here"),
                _ => Refusal::unknown(Reason::KeyPending, RETRY)
                    .with_message("the claim was dispatched before"),
            });
        }
        let results = self.result_bytes + (self.unfinished + 1) * MAX_RESULT;
        if results > self.bounds.result_bytes {
            self.drop_results(now);
        }
        let results = self.result_bytes + (self.unfinished + 1) * MAX_RESULT;
        if results > self.bounds.result_bytes || !self.make_room(now, &key.partition) {
            return Err(Refusal::not_run(Reason::ServerFull, RETRY)
                .with_message("the memory of claims is full"));
        }
        self.note_token(&key.partition, token);
        self.insert(now, key, token, Progress::Reserved);
        self.unfinished += 1;
        Ok(())
    }

    /// Notes that the request of a reserved claim is being passed on.
    pub fn start(&mut self, now: Instant, key: &Key) {
        self.change(now, key, Progress::Running);
    }

    /// Forgets a claim whose request the server has not seen.
    pub fn give_back(&mut self, key: &Key) {
        let Ok(index) = self.index(key) else { return };
        self.records.remove(index);
        self.unfinished -= 1;
    }

    /// Notes the end of a run, with its result if it is known.
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

    /// Reports on a claim, or promises never to run it.
    ///
    /// A claim that this incarnation has not seen may have been run by an
    /// earlier one. Until a whole retention time has passed since the start,
    /// the promise is kept but the outcome is reported as unknown.
    pub fn seal(
        &mut self,
        now: Instant,
        key: &Key,
        token: u64,
    ) -> (wire::Outcome, Option<wire::Result>) {
        if let Ok(index) = self.index(key) {
            // The promise now covers the newer claim as well.
            let record = &mut self.records[index];
            if matches!(record.progress, Progress::Sealed) {
                record.token = record.token.max(token);
            }
            return match &self.records[index].progress {
                Progress::Done(result) => (wire::Outcome::Done, Some(result.clone())),
                Progress::Sealed if self.knows(now, &key.partition, token) => {
                    (wire::Outcome::NotRun, None)
                }
                _ => (wire::Outcome::Unknown, None),
            };
        }
        // Without room for the promise, no promise is made.
        if !self.make_room(now, &key.partition) {
            return (wire::Outcome::Unknown, None);
        }
        let known = self.knows(now, &key.partition, token);
        self.insert(now, key, token, Progress::Sealed);
        if known {
            (wire::Outcome::NotRun, None)
        } else {
            (wire::Outcome::Unknown, None)
        }
    }

    /// Whether a claim with this token would be remembered if it had been run.
    fn knows(&self, now: Instant, partition: &str, token: u64) -> bool {
        let forgotten = self.partition(partition).and_then(|known| known.forgotten);
        let since_start = now.since(Instant::ORIGIN);
        since_start >= self.bounds.retention && forgotten.is_none_or(|newest| token > newest)
    }

    /// Makes room for one claim by forgetting the oldest ended one whose
    /// retention is over.
    fn make_room(&mut self, now: Instant, partition: &Arc<str>) -> bool {
        let known = self.partition(partition).is_some();
        if !known && self.partitions.len() >= self.bounds.capacity {
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
        true
    }

    /// Drops results whose retention is over; the claims stay known as run.
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
            // Without its record, only an old token keeps it from being run.
            Progress::Sealed => {
                let known = self.partition(&record.key.partition);
                known.is_some_and(|known| record.token < known.newest)
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
        partition.newest = partition.newest.max(token);
    }

    fn partition(&self, name: &str) -> Option<&Partition> {
        let found = self
            .partitions
            .binary_search_by(|known| (*known.name).cmp(name));
        found.ok().map(|index| &self.partitions[index])
    }

    fn partition_mut(&mut self, name: &Arc<str>) -> &mut Partition {
        let found = self
            .partitions
            .binary_search_by(|known| known.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            let partition = Partition {
                name: name.clone(),
                newest: 0,
                forgotten: None,
            };
            self.partitions.insert(index, partition);
            index
        });
        &mut self.partitions[index]
    }
}
