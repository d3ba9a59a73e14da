//! Client accounts and the services they may reach.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the SHA-256 of a bearer token in lower-case hexadecimal.
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
    /// Weight of its share of a contended backend server, relative to other
    /// accounts.
    pub weight: u32,
    /// Requests per second across all entries.
    pub rate: u32,
    /// Requests in flight across all entries.
    pub concurrency: u32,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: Arc<str>,
}

impl Account {
    /// Returns whether `digest` is the digest of this account's token, in constant
    /// time.
    pub fn accepts(&self, digest: &str) -> bool {
        self.token_sha256.as_bytes().ct_eq(digest.as_bytes()).into()
    }
}

/// Index of client accounts by token digest.
///
/// It holds the accounts' positions, sorted by digest.
///
/// ```
/// use berylgw_core::client::{Account, Tokens, token_digest};
///
/// let account = Account {
///     name: "a".into(),
///     weight: 1,
///     rate: 1,
///     concurrency: 1,
///     token_sha256: token_digest("secret"),
/// };
/// let accounts = [account];
/// let tokens = Tokens::new(&accounts);
/// assert!(tokens.find(&accounts, &token_digest("secret")).is_some());
/// assert!(tokens.find(&accounts, &token_digest("guess")).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tokens(Vec<u32>);

impl Tokens {
    /// Creates the index of these accounts.
    pub fn new(accounts: &[Account]) -> Self {
        let mut order: Vec<u32> = (0..accounts.len() as u32).collect();
        order.sort_by(|a, b| {
            let digest = |index: u32| &accounts[index as usize].token_sha256;
            digest(*a).cmp(digest(*b))
        });
        Tokens(order)
    }

    /// Returns the account whose token has this digest.
    ///
    /// The search is not constant-time, but its time depends only on digests, and
    /// a caller cannot choose a token with a given digest prefix. The account that
    /// it finds is compared in constant time.
    pub fn find<'a>(&self, accounts: &'a [Account], digest: &str) -> Option<&'a Account> {
        let position = self.0.partition_point(|index| {
            let account = accounts.get(*index as usize);
            account.is_some_and(|account| *account.token_sha256 < *digest)
        });
        let account = accounts.get(*self.0.get(position)? as usize)?;
        account.accepts(digest).then_some(account)
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
