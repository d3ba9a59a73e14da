//! Placement of keys and partitions.

use std::sync::Arc;

use berylgw_core::ledger::{Digest, partition_index, preferred_owner};

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("e{index}").into()).collect()
}

// Guards against an uneven distribution of partitions over entries.
#[test]
fn preferred_owner_spreads() {
    let entries = names(8);
    let owners: Vec<_> = (0..64)
        .filter_map(|index| preferred_owner(&format!("p{index}"), &entries))
        .collect();
    for entry in &entries {
        let owned = owners.iter().filter(|owner| **owner == entry).count();
        assert!((1..=24).contains(&owned), "{entry} owns {owned}");
    }
}

// Guards against partitions that move although their owner is still live.
#[test]
fn preferred_owner_keeps_other_owners() {
    let all = names(8);
    let fewer = &all[..7];
    for index in 0..64 {
        let name = format!("p{index}");
        let before = preferred_owner(&name, &all).unwrap();
        if *before != all[7] {
            assert_eq!(preferred_owner(&name, fewer), Some(before));
        }
    }
}

#[test]
fn partition_index_spreads() {
    let mut counts = [0; 16];
    for key in 0..1_600_u32 {
        let digest = Digest::of_key("wash", "yard-app", &key.to_be_bytes());
        counts[partition_index(&digest, 16) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (50..200).contains(count)));
}

// Guards against equal digests of keys of different accounts or services.
#[test]
fn of_key_separates_fields() {
    let one = Digest::of_key("a", "bc", b"d");
    assert_ne!(one, Digest::of_key("ab", "c", b"d"));
    assert_ne!(one, Digest::of_key("a", "b", b"cd"));
}
