//! Replays the distribution of a map on a link of limited rate.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::link::Schedule;

/// A link of 6 Mbit/s that queues few datagrams and drops the others.
const LINK_BYTES_PER_SECOND: f64 = 750_000.0;
const QUEUE_BYTES: f64 = 64_000.0;
const HEADER_BYTES: usize = 28;

/// Returns how many of the datagrams, each with its time, the link drops.
fn dropped(datagrams: &[(Instant, usize)]) -> usize {
    let mut queued = 0.0_f64;
    let mut last = Instant::ORIGIN;
    let mut dropped = 0;
    for &(at, bytes) in datagrams {
        let passed = at.since(last).as_secs_f64();
        last = at;
        queued = (queued - passed * LINK_BYTES_PER_SECOND).max(0.0);
        let bytes = (bytes + HEADER_BYTES) as f64;
        if queued + bytes > QUEUE_BYTES {
            dropped += 1;
            continue;
        }
        queued += bytes;
    }
    dropped
}

/// Guards against a map for hundreds of ranks that overflows the link in one
/// burst: a lost part makes the group keep its old map.
#[test]
fn schedule_avoids_drops() {
    let datagrams = 15 * 11;
    let burst = vec![(Instant::ORIGIN, 1_200); datagrams];
    assert!(dropped(&burst) > datagrams / 2);
    let mut schedule = Schedule::new(LINK_BYTES_PER_SECOND * 0.65);
    let paced: Vec<_> = (0..datagrams)
        .map(|_| (schedule.reserve(Instant::ORIGIN, 1_200), 1_200))
        .collect();
    assert_eq!(dropped(&paced), 0);
    let whole = schedule.backlog(Instant::ORIGIN);
    assert!(whole < Duration::from_millis(500), "{whole:?}");
}

/// Guards against a schedule that saves up the idle time of the link for a burst.
#[test]
fn schedule_keeps_distance_after_idle() {
    let mut schedule = Schedule::new(100_000.0);
    let later = Instant::from_millis(5_000);
    assert_eq!(schedule.reserve(later, 972), later);
    assert_eq!(
        schedule.reserve(later, 972),
        later + Duration::from_millis(10)
    );
    assert_eq!(schedule.backlog(later), Duration::from_millis(20));
}
