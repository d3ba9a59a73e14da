//! Hashes for prefix affinity.

use sha2::{Digest, Sha256};

/// Returns the hash of a prompt prefix, salted by client account, so that an
/// account cannot learn from service times that another one sent the same prefix.
pub fn affinity(account: &str, prefix: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update((account.len() as u64).to_be_bytes());
    hash.update(account.as_bytes());
    hash.update(prefix);
    first_word(&hash.finalize())
}

/// Returns the first eight bytes of a digest.
pub(super) fn first_word(digest: &[u8]) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

/// Mixes a word by one folded multiplication. One round is enough since the
/// inputs are parts of SHA-256 digests.
pub(super) fn mix(word: u64) -> u64 {
    let product = u128::from(word) * 0x9e37_79b9_7f4a_7c15;
    (product as u64) ^ ((product >> 64) as u64)
}

/// Returns the score of a server in weighted rendezvous hashing.
///
/// The probability that a server has the highest score is its share of the
/// weights. A higher weight moves prefixes only from other servers to this one.
pub(super) fn score(hash: u64, weight: u32) -> f64 {
    // 53 bits fill the mantissa; the half keeps the logarithm finite.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight) / -unit.ln()
}
