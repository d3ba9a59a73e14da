//! Hashes for prefix affinity.

use sha2::{Digest, Sha256};

/// Hash of a prompt prefix, salted by client account: accounts that send the
/// same prefix do not learn from the service time that the other did.
pub fn affinity(account: &str, prefix: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update((account.len() as u64).to_be_bytes());
    hash.update(account.as_bytes());
    hash.update(prefix);
    first_word(&hash.finalize())
}

/// The first eight bytes of a digest.
pub(super) fn first_word(digest: &[u8]) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

/// Mixes a word by one folded multiplication. The inputs are parts of SHA-256
/// digests, so a longer mix is not needed.
pub(super) fn mix(word: u64) -> u64 {
    let product = u128::from(word) * 0x9e37_79b9_7f4a_7c15;
    (product as u64) ^ ((product >> 64) as u64)
}

/// Score of a server in weighted rendezvous hashing: its chance to have the
/// highest one is its share of the weights, and a rise of its weight takes
/// prefixes from the others only for itself.
pub(super) fn score(hash: u64, weight: u32) -> f64 {
    // 53 bits fill the mantissa; the half keeps the logarithm finite.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight) / -unit.ln()
}
