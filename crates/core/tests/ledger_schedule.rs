//! Random schedules of owners, callers and agents around a small store.
//!
//! Two real owners, a store that loses answers, applies writes late and has
//! outages, pauses past the lease, broken connections, sealing, process
//! restarts and agents that are replaced. Each schedule checks that a key
//! runs at most once and that every answer is true.

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

// Guards against a second execution or a false outcome under any mix of faults.
#[test]
fn schedule_all_faults() {
    let total = run(0..SCHEDULES, 12);
    println!("{total:?}");
    assert!(total.runs > SCHEDULES);
    assert!(total.not_run > 0 && total.done > 0 && total.unknown > 0);
    assert!(total.pending > 0 && total.takeovers > 0 && total.regrants > 0);
}

// Guards against a ledger that is safe only because it refuses everything.
#[test]
fn schedule_without_faults() {
    let total = run(0..500, 0);
    println!("{total:?}");
    assert_eq!(total.runs, total.keys);
    // Without faults, only these two cases leave the outcome open.
    assert_eq!(total.unknown, total.elsewhere + total.overtaken);
    assert!(total.overtaken < total.pending);
}
