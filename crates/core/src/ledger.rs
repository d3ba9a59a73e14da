//! Claim ledger: runs a request with an idempotency key at most once.
//!
//! [`partition_index`] maps each key to a partition by its hash. A partition is
//! one platform object, a [`Partition`], that carries its own lease. The entry
//! that holds the lease runs an [`Owner`], which commits claims in batches and
//! replies with a grant only after the platform has confirmed the update.
//!
//! Three rules together keep a request from running twice:
//!
//! 1. An entry dispatches only with a [`Grant`], once per grant, and only to
//!    the [`Target`] that it named in its request.
//! 2. Each grant of a key has a higher fencing token than the previous one. An
//!    agent records the highest token that it has run or sealed for a key and
//!    rejects every grant that is not higher.
//! 3. A claim is granted again only if the earlier grant was certainly never
//!    issued, or after the agent has reported or guaranteed that the earlier
//!    grant does not run ([`Completion::NotRun`]).
//!
//! An owner that took over a partition cannot tell which claims were dispatched
//! and replies [`Reply::Pending`]; the entry then asks the agent to seal the
//! claim and reports the result as a completion.

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
pub use placement::{partition_index, preferred_owner};
pub use record::{Answer, Claim, MAX_RESULT_BYTES, Partition, State, Target};
pub use settings::Settings;

use crate::clock::Instant;
use crate::outcome::Refusal;

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Correlation id set by the process; returned in [`Action::Reply`].
    pub id: u64,
    /// Digest of client account, service and idempotency key.
    pub key: Digest,
    /// Digest of the request's content.
    pub body: Digest,
    /// Backend server that the request will be dispatched to.
    pub target: Target,
    /// Time at which the requester stops waiting.
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

/// Result of a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The request ran with this answer.
    Done(Answer),
    /// The grant was never used, or the agent rejected or sealed it.
    NotRun,
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key is claimed; the grant permits one dispatch.
    Granted(Grant),
    /// The request has already run and had this answer.
    Done(Answer),
    /// The key was granted before, to this target, and the result is unknown.
    Pending(Grant, Target),
    /// The request was not claimed.
    Refused(Refusal),
}
