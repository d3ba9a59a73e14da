use std::sync::Arc;

use super::Digest;

/// The partition a key belongs to, from 0.
///
/// # Panics
///
/// Panics if `partitions` is 0.
pub fn partition(key: &Digest, partitions: u32) -> u32 {
    let index = key.prefix() % u64::from(partitions);
    u32::try_from(index).unwrap_or_default()
}

/// The entry that should own a partition, by rendezvous hashing.
///
/// Entries may disagree about who is live; the lease of the partition decides.
///
/// ```
/// use berylgw_core::ledger::preferred;
///
/// let entries = ["e1".into(), "e2".into(), "e3".into()];
/// let owner = preferred("p4", &entries).unwrap();
/// let others: Vec<_> = entries.iter().filter(|name| *name != owner).cloned().collect();
/// assert_ne!(preferred("p4", &others), Some(owner));
/// ```
pub fn preferred<'a>(partition: &str, entries: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    entries
        .iter()
        .max_by_key(|entry| Digest::of_parts(&[partition.as_bytes(), entry.as_bytes()]))
}
