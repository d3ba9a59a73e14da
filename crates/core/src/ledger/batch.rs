use super::{Claim, Digest, Partition, Request, Settings, State};
use crate::clock::Instant;
use crate::lease::Record;

/// A claim request that waits for a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Waiter {
    pub request: Request,
    pub since: Instant,
}

/// Result of a grant that is not written to the partition yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Completed {
    pub key: Digest,
    pub token: u64,
    pub state: State,
}

impl Completed {
    /// Returns whether the partition still lacks this result.
    pub fn is_open_in(&self, partition: &Partition) -> bool {
        partition
            .claim(&self.key)
            .is_some_and(|claim| claim.token == self.token && claim.state == State::Claimed)
    }
}

/// The next value of a partition and the requests it claims.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub partition: Partition,
    pub claimed: Vec<Waiter>,
    /// Requests for a key that this batch already claims.
    pub deferred: Vec<Waiter>,
    /// Requests for which the object has no room left.
    pub rejected: Vec<Waiter>,
}

/// Builds the next value of a partition from its results and claim requests.
///
/// `queue` must hold only requests whose key may be claimed.
pub(super) fn build(
    mut partition: Partition,
    mut lease: Record,
    settings: &Settings,
    completions: &[Completed],
    queue: Vec<Waiter>,
) -> Batch {
    partition.prune(settings.retained_generations);
    let mut size = partition.size();
    for completed in completions {
        size = complete(&mut partition, completed, size, settings.max_bytes);
    }
    let granted_before = |waiter: &Waiter| partition.claim(&waiter.request.key).is_some();
    // An agent rejects a second grant of a key with the same token.
    if queue.iter().any(granted_before) {
        lease.token += 1;
    }
    let token = lease.token;
    partition.lease = lease;
    let mut batch = Batch {
        partition,
        claimed: Vec::new(),
        deferred: Vec::new(),
        rejected: Vec::new(),
    };
    for waiter in queue {
        let key = waiter.request.key;
        if batch.claimed.iter().any(|other| other.request.key == key) {
            batch.deferred.push(waiter);
            continue;
        }
        let claim = Claim {
            key,
            body: waiter.request.body,
            target: waiter.request.target.clone(),
            token,
            generation: batch.partition.generation,
            state: State::Claimed,
        };
        let old = batch.partition.claim(&key).map_or(0, Claim::size);
        let new_size = size - old + claim.size();
        if new_size > settings.max_bytes {
            batch.rejected.push(waiter);
            continue;
        }
        size = new_size;
        batch.partition.put(claim);
        batch.claimed.push(waiter);
    }
    batch
}

/// Stores a result, truncated if the object would exceed `max` bytes; returns the
/// new size of the partition.
fn complete(partition: &mut Partition, completed: &Completed, size: usize, max: usize) -> usize {
    if !completed.is_open_in(partition) {
        return size;
    }
    let Some(claim) = partition.claim_mut(&completed.key) else {
        return size;
    };
    let without = size - claim.size();
    claim.state = completed.state.clone();
    if without + claim.size() > max {
        claim.state = match completed.state.clone() {
            State::Done(answer) => State::Done(answer.truncate()),
            state => state,
        };
    }
    without + claim.size()
}
