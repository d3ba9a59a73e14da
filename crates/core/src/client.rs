//! Client accounts and the services they may reach.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a bearer token, in lower-case hexadecimal.
pub fn token_digest(token: &str) -> Arc<str> {
    let digest = Sha256::digest(token.as_bytes());
    digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .into()
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// Share of a contended backend server, relative to other accounts.
    pub weight: u32,
    /// Requests per second across all entries.
    pub rate: u32,
    /// Requests in flight across all entries.
    pub concurrency: u32,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: Arc<str>,
}

impl Account {
    /// Whether `digest` is the digest of this account's token, in constant time.
    pub fn accepts(&self, digest: &str) -> bool {
        self.token_sha256.as_bytes().ct_eq(digest.as_bytes()).into()
    }
}

/// Permission of a client account to use a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
}
