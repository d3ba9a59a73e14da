//! Claims that make a request with an idempotency key run at most once.
//!
//! The keys are spread over partitions by [`partition`]. A partition is one
//! platform object, a [`Partition`], that carries its own lease. The entry
//! that holds the lease runs an [`Owner`], which commits claims in batches
//! and answers an entry only after the update is known to be applied.
//!
//! Rules that together keep a request from running twice:
//!
//! 1. An entry dispatches only with a [`Grant`], once per grant, and only to
//!    the [`Target`] it named in its request.
//! 2. Each grant of a key has a higher token than the one before. An agent
//!    records the highest token it has run or sealed for a key and refuses
//!    every grant that is not higher.
//! 3. A claim is granted again only if it is known that the earlier grant
//!    was never given out, or after the agent reported or promised that the
//!    earlier grant does not run ([`Completion::NotRun`]).
//!
//! An owner that took a partition over does not know which claims were
//! dispatched and answers [`Reply::Pending`]; the entry then asks the agent
//! to seal the claim and reports the result as a completion.

mod batch;
mod event;
mod key;
mod owner;
mod placement;
mod record;
mod settings;

pub use event::{Action, Event};
pub use key::Digest;
pub use owner::Owner;
pub use placement::{partition, preferred};
pub use record::{Answer, Claim, MAX_RESULT_BYTES, Partition, State, Target};
pub use settings::Settings;

use crate::clock::Instant;
use crate::outcome::Refusal;

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Chosen by the process, returned in the reply.
    pub id: u64,
    /// Digest of client account, service and idempotency key.
    pub key: Digest,
    /// Digest of the request's content.
    pub body: Digest,
    /// Where the request will be dispatched.
    pub target: Target,
    /// When the asker stops waiting.
    pub deadline: Instant,
}

/// Permission to dispatch a request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Digest of client account, service and idempotency key.
    pub key: Digest,
    /// Fencing token under which the claim was committed.
    pub token: u64,
}

/// What became of a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The request ran with this answer.
    Done(Answer),
    /// The agent refused or sealed the grant, or it was never used.
    NotRun,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Dispatch once with this grant.
    Granted(Grant),
    /// The request ran before with this answer.
    Done(Answer),
    /// The key was granted before and the result is not known.
    Pending(Grant, Target),
    /// The request was not claimed.
    Refused(Refusal),
}
