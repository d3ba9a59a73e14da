use std::sync::Arc;

use super::Digest;

/// Returns the index of the partition that a key belongs to.
///
/// # Panics
///
/// Panics if `partitions` is 0.
pub fn partition_index(key: &Digest, partitions: u32) -> u32 {
    let index = key.prefix() % u64::from(partitions);
    u32::try_from(index).unwrap_or_default()
}

/// Returns the entry that should own a partition, by rendezvous hashing.
///
/// Entries may disagree about which entries are live; the partition's lease
/// decides.
///
/// ```
/// use berylgw_core::ledger::preferred_owner;
///
/// let entries = ["e1".into(), "e2".into(), "e3".into()];
/// let owner = preferred_owner("p4", &entries).unwrap();
/// let others: Vec<_> = entries.iter().filter(|name| *name != owner).cloned().collect();
/// assert_ne!(preferred_owner("p4", &others), Some(owner));
/// ```
pub fn preferred_owner<'a>(partition: &str, entries: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    entries
        .iter()
        .max_by_key(|entry| Digest::of_parts(&[partition.as_bytes(), entry.as_bytes()]))
}
