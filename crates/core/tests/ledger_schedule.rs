//! Random schedules of ledger owners, callers and agents with a simulated store.
//!
//! Two real owners run against a store that loses replies, applies writes late
//! and has outages. Entries pause past their lease or restart, connections break,
//! claims are sealed and agents are replaced. Each schedule checks that a key runs
//! at most once and that every reported outcome is true.

#[path = "ledger_schedule/world.rs"]
mod world;

use world::{Count, World};

const SCHEDULES: u64 = 6_000;

fn run(seeds: std::ops::Range<u64>, faults: u32) -> Count {
    let mut total = Count::default();
    for seed in seeds {
        let mut world = World::new(seed, faults);
        world.run();
        total.add(&world.count);
    }
    total
}

// Guards against a second execution or a false outcome under mixed faults.
#[test]
fn schedule_all_faults() {
    let total = run(0..SCHEDULES, 12);
    println!("{total:?}");
    assert!(total.runs > SCHEDULES);
    assert!(total.not_run > 0 && total.done > 0 && total.unknown > 0);
    assert!(total.pending > 0 && total.takeovers > 0 && total.regrants > 0);
}

// Guards against a ledger that is safe only because it refuses requests that could
// run.
#[test]
fn schedule_without_faults() {
    let total = run(0..500, 0);
    println!("{total:?}");
    assert_eq!(total.runs, total.keys);
    // Without faults, only these two cases leave the outcome open.
    assert_eq!(total.unknown, total.without_lease + total.superseded);
    assert!(total.superseded < total.pending);
}
