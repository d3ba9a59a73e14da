use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Completion, Digest, key};
use crate::error::{Error, Kind, Result};
use crate::lease::Record;

/// Largest answer stored with a claim, headers and body together.
pub const MAX_RESULT_BYTES: usize = 4096;

// Upper bounds of the JSON text around the values of variable length.
const LEASE_BYTES: usize = 512;
const CLAIM_BYTES: usize = 320;
const ANSWER_BYTES: usize = 128;
const HEADER_BYTES: usize = 16;

/// The backend server a request is dispatched to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the backend server.
    pub server: Arc<str>,
    /// Incarnation of its agent; an agent of another incarnation rejects the
    /// request and cannot tell whether it ran.
    pub incarnation: u64,
}

/// Stored answer of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body, unless truncated.
    #[serde(with = "key::bytes")]
    pub body: Vec<u8>,
    /// Whether the answer was too large to be stored, so that only its status was
    /// kept.
    pub truncated: bool,
}

impl Answer {
    /// Returns the answer as it is stored: truncated if its headers and body exceed
    /// [`MAX_RESULT_BYTES`].
    pub fn into_stored(self) -> Self {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        if headers + self.body.len() <= MAX_RESULT_BYTES {
            return self;
        }
        self.truncate()
    }

    pub(super) fn truncate(self) -> Self {
        Answer {
            status: self.status,
            truncated: true,
            ..Answer::default()
        }
    }

    fn size(&self) -> usize {
        // JSON escapes a control character as six bytes.
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| 6 * (name.len() + value.len()) + HEADER_BYTES)
            .sum();
        ANSWER_BYTES + headers + self.body.len().div_ceil(3) * 4
    }
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The key is claimed and the result unknown.
    Claimed,
    /// The request ran and had this answer.
    Done(Answer),
    /// The grant was not and will not be used; the key may be claimed again.
    NotRun,
}

impl From<Completion> for State {
    fn from(completion: Completion) -> Self {
        match completion {
            Completion::Done(answer) => State::Done(answer.into_stored()),
            Completion::NotRun => State::NotRun,
        }
    }
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of client account, service and idempotency key.
    pub key: Digest,
    /// Digest of the request's content.
    pub body: Digest,
    /// Backend server that the request was to be dispatched to.
    pub target: Target,
    /// Fencing token under which the claim was committed.
    pub token: u64,
    /// Generation of the partition at the time of the claim.
    pub generation: u64,
    /// State of the claim.
    pub state: State,
}

impl Claim {
    /// Returns an upper bound of the bytes that the claim takes in the object.
    pub(super) fn size(&self) -> usize {
        let answer = match &self.state {
            State::Done(answer) => answer.size(),
            // Reserves room for a truncated answer, so that it can always be stored.
            State::Claimed | State::NotRun => ANSWER_BYTES,
        };
        CLAIM_BYTES + 6 * self.target.server.len() + answer
    }
}

/// Value of the platform object `ledger/<partition>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partition {
    /// Lease of the owner.
    pub lease: Record,
    /// Generation number, increased by the owner at fixed intervals of its clock.
    pub generation: u64,
    /// Claims, sorted by key.
    pub claims: Vec<Claim>,
}

impl Partition {
    /// Parses the value of a platform object.
    ///
    /// # Errors
    ///
    /// Fails if the value is not the JSON of a partition.
    pub fn parse(value: &str) -> Result<Self> {
        serde_json::from_str(value)
            .map_err(|error| Error::new(Kind::Parse, "ledger partition", error.to_string()))
    }

    /// Returns the value of the platform object.
    ///
    /// # Panics
    ///
    /// Never: a partition contains no map with non-string keys.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a partition serializes to JSON")
    }

    /// Returns the claim on a key.
    pub fn claim(&self, key: &Digest) -> Option<&Claim> {
        let index = self.find(key).ok()?;
        Some(&self.claims[index])
    }

    pub(super) fn claim_mut(&mut self, key: &Digest) -> Option<&mut Claim> {
        let index = self.find(key).ok()?;
        Some(&mut self.claims[index])
    }

    pub(super) fn put(&mut self, claim: Claim) {
        match self.find(&claim.key) {
            Ok(index) => self.claims[index] = claim,
            Err(index) => self.claims.insert(index, claim),
        }
    }

    /// Removes claims older than `retained` whole generations.
    pub(super) fn prune(&mut self, retained: u64) {
        let generation = self.generation;
        // The generation of the claim itself does not count as whole: it may have
        // been almost over when the claim was made.
        self.claims
            .retain(|claim| generation.saturating_sub(claim.generation) <= retained);
    }

    /// Returns an upper bound of the object's size in bytes.
    pub fn size(&self) -> usize {
        let claims: usize = self.claims.iter().map(Claim::size).sum();
        LEASE_BYTES + 6 * self.lease.holder.name.len() + claims
    }

    fn find(&self, key: &Digest) -> std::result::Result<usize, usize> {
        self.claims.binary_search_by(|claim| claim.key.cmp(key))
    }
}
