use std::sync::Arc;

use super::{Completion, Grant, Partition, Reply, Request};
use crate::lease::Update;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An entry asks for a key.
    Claim(Request),
    /// An entry knows what became of a grant.
    Complete {
        /// Chosen by the process, returned in [`Action::Completed`].
        id: u64,
        /// The grant.
        grant: Grant,
        /// What became of it.
        completion: Completion,
    },
    /// The outstanding [`Action::Write`] ended.
    Written(Update),
    /// The outstanding [`Action::Read`] returned the object, or none.
    Found(Option<(u64, Arc<Partition>)>),
    /// The outstanding [`Action::Read`] failed.
    ReadFailed,
    /// Whether this entry wants the partition; `false` releases it.
    Want(bool),
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if it still has the version; 0 means it must not exist.
    Write {
        /// Version the object must have.
        expected: u64,
        /// New value.
        partition: Arc<Partition>,
    },
    /// Answer a claim request.
    Reply {
        /// The request's id.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// Answer a completion.
    Completed {
        /// The completion's id.
        id: u64,
        /// Whether it was taken; if not, its grant is not the current one or
        /// the partition is not held.
        accepted: bool,
    },
    /// The partition is held from now on.
    Started,
    /// The partition is no longer held.
    Stopped,
}
