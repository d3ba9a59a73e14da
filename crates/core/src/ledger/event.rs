use std::sync::Arc;

use super::{Completion, Grant, Partition, Reply, Request};
use crate::lease::Update;

/// Input of an [`Owner`](super::Owner).
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`Owner::wake_at`](super::Owner::wake_at) was reached.
    Tick,
    /// An entry requests a claim on a key.
    Claim(Request),
    /// An entry reports the result of a grant.
    Complete {
        /// Correlation id set by the process; returned in [`Action::Completed`].
        id: u64,
        /// The grant.
        grant: Grant,
        /// Its result.
        completion: Completion,
    },
    /// The outstanding [`Action::Write`] ended with this result.
    Written(Update),
    /// The outstanding [`Action::Read`] returned this version and value, or no
    /// object.
    ReadDone(Option<(u64, Arc<Partition>)>),
    /// The outstanding [`Action::Read`] failed.
    ReadFailed,
    /// Sets whether this entry should own the partition; `false` releases it.
    SetWanted(bool),
}

/// Output of an [`Owner`](super::Owner), carried out by the process.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if it still has the expected version; 0 means that it must
    /// not exist.
    Write {
        /// Version the object must have.
        expected: u64,
        /// New value.
        partition: Arc<Partition>,
    },
    /// Reply to a claim request.
    Reply {
        /// The request's id.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// Reply to a completion.
    Completed {
        /// The completion's id.
        id: u64,
        /// Whether it was accepted; it is not if its grant is not the current one
        /// or the partition is not held.
        accepted: bool,
    },
    /// The owner now holds the partition.
    LeaseAcquired,
    /// The owner no longer holds the partition.
    LeaseEnded,
}
