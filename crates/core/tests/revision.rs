//! Order of changes and what holds of lists while a store comes back from copies.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::drained::Table;
use berylgw_core::group::grace::{Grace, Many, Read};
use berylgw_core::revision::Revision;
use proptest::prelude::*;

/// A store that an operator writes a growing version to, and that is now and then
/// replaced by an older copy, after which the operator writes the version again.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    number: u64,
    version: u64,
    copies: Vec<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Write,
    Copy,
    Restore,
    RestoreLosing,
    /// The entry reads the store.
    Read(usize),
    /// The second entry takes over what the first one has, if it is newer.
    Tell(usize, usize),
}

const ENTRIES: usize = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let entry = 0..ENTRIES;
    let step = prop_oneof![
        3 => Just(Step::Write),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        1 => Just(Step::RestoreLosing),
        4 => entry.clone().prop_map(Step::Read),
        6 => (entry.clone(), entry).prop_map(|(from, to)| Step::Tell(from, to)),
    ];
    proptest::collection::vec(step, 0..80)
}

proptest! {
    /// Guards against entries that keep different values, whatever order they read
    /// the store and each other in, and against a version that goes back.
    #[test]
    fn newest_era_wins(steps in steps()) {
        let mut store = Store { number: 1, version: 1, ..Store::default() };
        let mut written = 1;
        // Position and value of a configuration, and of a list without a version.
        let mut entries = vec![[(Revision::default(), 0); 2]; ENTRIES];
        let read = |store: &Store| {
            let list = Revision::new(store.era, store.number);
            let value = store.era * 1_000_000 + store.number * 1_000 + store.version;
            [(list.with_version(store.version), store.version), (list, value)]
        };
        let merge = |known: &mut [(Revision, u64); 2], newer: [(Revision, u64); 2]| {
            for (known, newer) in known.iter_mut().zip(newer) {
                if newer.0 > known.0 {
                    *known = newer;
                }
            }
        };
        for step in steps {
            match step {
                Step::Write => {
                    written += 1;
                    store.number += 1;
                    store.version = written;
                }
                Step::Copy => store.copies.push((store.number, store.version)),
                Step::Restore | Step::RestoreLosing => {
                    let Some((number, version)) = store.copies.pop() else { continue };
                    store.copies.clear();
                    store.era += 1;
                    (store.number, store.version) = (number, version);
                    if matches!(step, Step::Restore) {
                        store.number += 1;
                        store.version = written;
                    }
                }
                Step::Read(entry) => {
                    let before = entries[entry][0].1;
                    merge(&mut entries[entry], read(&store));
                    prop_assert!(entries[entry][0].1 >= before);
                }
                Step::Tell(from, to) => {
                    let told = entries[from];
                    merge(&mut entries[to], told);
                }
            }
        }
        // The operator has written everything again, one entry reads it, all tell all.
        store.number += 1;
        store.version = written;
        merge(&mut entries[0], read(&store));
        for _ in 0..2 {
            for entry in 0..ENTRIES {
                let told = entries[entry];
                merge(&mut entries[(entry + 1) % ENTRIES], told);
            }
        }
        for entry in &entries {
            prop_assert_eq!(*entry, read(&store));
        }
    }
}

const MANY: Many = Many {
    above: 0.3,
    keep: Duration::from_secs(2),
};

fn read(listed: &[(&'static str, u64)], number: u64) -> Read<&'static str> {
    Read {
        listed: listed.to_vec(),
        number,
        recovered: false,
        restored: false,
    }
}

fn merge(
    grace: &mut Grace,
    at_ms: u64,
    known: &[&'static str],
    read: Read<&'static str>,
) -> Vec<&'static str> {
    grace.merge(
        Instant::from_millis(at_ms),
        known,
        read,
        |name| *name,
        |_| true,
    )
}

/// Guards against servers that are dropped while they write their objects again, and
/// against ones that are kept for ever.
#[test]
fn missing_kept_for_a_while() {
    let mut grace = Grace::new(Duration::from_secs(2), MANY);
    let known = ["a", "b", "c"];
    // A large share is missing at once.
    assert_eq!(merge(&mut grace, 0, &known, read(&[("a", 1)], 5)), known);
    assert_eq!(grace.next(), Some(Instant::from_millis(2_000)));
    assert_eq!(
        merge(&mut grace, 1_999, &known, read(&[("a", 1)], 5)),
        known
    );
    assert_eq!(
        merge(&mut grace, 2_000, &known, read(&[("a", 1)], 5)),
        ["a"]
    );
    assert_eq!(grace.next(), None);
    // One of many left.
    let listed = [("a", 1), ("b", 1), ("c", 1)];
    let held = merge(&mut grace, 3_000, &["a", "b", "c", "d"], read(&listed, 6));
    assert_eq!(held, known);
}

/// Guards against objects that are kept as long as after an outage although the store
/// answers, and an outage that is taken for a removal of many.
#[test]
fn many_removed_kept_shorter() {
    let many = Many {
        keep: Duration::from_secs(1),
        ..MANY
    };
    let mut grace = Grace::new(Duration::from_secs(2), many);
    let known = ["a", "b", "c"];
    let listed = [("a", 1)];
    assert_eq!(merge(&mut grace, 0, &known, read(&listed, 5)), known);
    assert_eq!(merge(&mut grace, 999, &known, read(&listed, 5)), known);
    assert_eq!(merge(&mut grace, 1_000, &known, read(&listed, 5)), ["a"]);
    let mut recovered = read(&listed, 5);
    recovered.recovered = true;
    assert_eq!(merge(&mut grace, 2_000, &known, recovered), known);
    assert_eq!(merge(&mut grace, 3_999, &known, read(&listed, 5)), known);
    assert_eq!(merge(&mut grace, 4_000, &known, read(&listed, 5)), ["a"]);
}

/// Guards against objects that were removed and come back with a copy, and against new
/// ones that wait for the end of the grace period.
#[test]
fn unknown_of_copy_ignored() {
    let mut grace = Grace::new(Duration::from_secs(2), MANY);
    let mut restored = read(&[("gone", 3), ("known", 4)], 9);
    restored.restored = true;
    let held = merge(&mut grace, 0, &["known", "lost"], restored);
    assert_eq!(held, ["known", "lost"]);
    let listed = [("gone", 3), ("known", 4), ("new", 10)];
    let held = merge(&mut grace, 2_000, &["known", "lost"], read(&listed, 10));
    assert_eq!(held, ["known", "new"]);
    let held = merge(&mut grace, 4_499, &["known", "new"], read(&listed, 10));
    assert_eq!(held, ["known", "new"]);
    let held = merge(&mut grace, 4_500, &["known", "new"], read(&listed, 10));
    assert_eq!(held, ["gone", "known", "new"]);
}

/// Guards against a table that grows with each server that leaves.
#[test]
fn drained_bounded() {
    let mut table = Table::default();
    for number in 0..20_000 {
        table.record(format!("i-{number}").into(), Some(number));
    }
    let known = (0..20_000).filter(|number| table.contains(&format!("i-{number}"), Some(*number)));
    let known: Vec<u64> = known.collect();
    assert!((2_048..=4_096).contains(&known.len()), "{}", known.len());
    assert_eq!(known.last(), Some(&19_999));
}
