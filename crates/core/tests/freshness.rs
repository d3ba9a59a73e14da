//! When entries read the store, in fleets that lose those that follow it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::freshness::{Confirmation, Schedule, Turn, failed_read_pause};
use berylgw_core::revision::Revision;
use proptest::prelude::*;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUND_MS: u64 = 2_000;

/// Time without a datagram after which an entry counts as failed, and between two
/// datagrams to all others.
const FAILURE_MS: u64 = 2_500;
const INTERVAL_MS: u64 = 400;

/// Time of a call of the store.
const CALL_MS: u64 = 10;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.02;

const OBSERVERS: usize = 3;

#[derive(Clone, Debug)]
struct Entry {
    /// When the store was last known to be as this entry knows it.
    confirmed: u64,
    /// When it was killed or frozen.
    lost: Option<u64>,
    reaches_store: bool,
    /// When its call of the store ends.
    call_ends: Option<u64>,
    next_call: u64,
    beat_phase: u64,
    failures: u32,
}

/// The longest time without a confirmation of an entry that runs and reaches the
/// store, and the most calls that began in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    longest_ms: u64,
    most_calls: usize,
}

/// Plays a fleet that loses entries at the times in `waves`, observers first.
fn play(entries: usize, waves: &[(u64, usize)], cut_share: f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedule = Schedule::new(Duration::from_millis(BOUND_MS));
    let millis = |duration: Duration| duration.as_millis() as u64;
    let order: Vec<usize> = index::sample(&mut rng, entries, entries).into_vec();
    let mut fleet: Vec<Entry> = (0..entries)
        .map(|_| Entry {
            confirmed: 0,
            lost: None,
            reaches_store: !rng.random_bool(cut_share),
            call_ends: None,
            next_call: rng.random_range(0..500),
            beat_phase: rng.random_range(0..INTERVAL_MS),
            failures: 0,
        })
        .collect();
    // The last one always runs and reaches the store.
    fleet[entries - 1].reaches_store = true;
    let mut outcome = Outcome::default();
    let mut calls = Vec::new();
    let mut live: Vec<usize> = Vec::new();
    let mut turns: Vec<Turn> = Vec::new();
    for now in 0..8_000_u64 {
        for &(at, count) in waves {
            if at == now {
                let running = fleet[..entries - 1].iter_mut();
                let running = running.filter(|entry| entry.lost.is_none());
                running.take(count).for_each(|entry| entry.lost = Some(now));
            }
        }
        let is_live = |index: &usize| fleet[*index].lost.is_none_or(|at| now - at < FAILURE_MS);
        let still_live: Vec<usize> = (0..entries).filter(is_live).collect();
        if live != still_live {
            live = still_live;
            let turn = |index: usize| Turn {
                position: live
                    .iter()
                    .filter(|&&other| order[other] < order[index])
                    .count(),
                entries: live.len(),
            };
            turns = (0..entries).map(turn).collect();
        }
        for index in 0..entries {
            if fleet[index].lost.is_some() {
                continue;
            }
            let turn = turns[index];
            let observes = live.iter().take(OBSERVERS).any(|&first| first == index);
            let entry = &mut fleet[index];
            let age = now - entry.confirmed;
            let overdue = age >= millis(schedule.read_age(turn));
            if entry.call_ends.is_none() && now >= entry.next_call && (observes || overdue) {
                entry.call_ends = Some(now + CALL_MS);
                calls.push(now);
            }
            let mut read = None;
            if entry.call_ends == Some(now) {
                entry.call_ends = None;
                if entry.reaches_store {
                    entry.failures = 0;
                    entry.confirmed = now - CALL_MS;
                    entry.next_call = now + millis(schedule.watch_wait());
                    read = (!observes).then_some(entry.confirmed);
                } else {
                    entry.failures += 1;
                    let pause = Duration::from_millis(50 << entry.failures.min(20));
                    let longest = failed_read_pause(turn).max(Duration::from_millis(800));
                    entry.next_call = now + millis(pause.min(longest));
                }
            }
            let beats = now % INTERVAL_MS == entry.beat_phase;
            if read.is_some() || beats {
                let confirmed = entry.confirmed;
                for other in fleet.iter_mut() {
                    if !rng.random_bool(LOSS) {
                        other.confirmed = other.confirmed.max(confirmed);
                    }
                }
            }
        }
        for entry in fleet.iter().filter(|entry| entry.lost.is_none()) {
            if entry.reaches_store {
                outcome.longest_ms = outcome.longest_ms.max(now - entry.confirmed);
            }
        }
    }
    for (first, &from) in calls.iter().enumerate() {
        let within = calls[first..].iter().take_while(|&&at| at < from + 1_000);
        outcome.most_calls = outcome.most_calls.max(within.count());
    }
    outcome
}

/// Step of a played exchange, not a whole number of milliseconds.
const STEP_US: u64 = 1_130;

/// A datagram on its way.
struct Datagram {
    arrives: u64,
    to: usize,
    age_ms: u32,
}

/// Plays entries that exchange what they know of a copy, each datagram `way` steps after
/// it was sent. Entry 0 alone hears the store, and is lost after `LOST` steps. Returns
/// the most by which another entry believed its copy to be younger than it was.
fn play_reports(entries: usize, way: u64) -> Duration {
    const LOST: u64 = 500;
    const CONFIRMED_EVERY: u64 = 100;
    let revision = Revision::from(1);
    let spacing = 3 * entries as u64;
    let name: Arc<str> = "edge".into();
    let mut fleet = vec![Confirmation::default(); entries];
    let mut datagrams: VecDeque<Datagram> = VecDeque::new();
    let (mut confirmed, mut most) = (Instant::ORIGIN, Duration::ZERO);
    for step in 0..3_000 {
        let now = Instant::from_micros(step * STEP_US);
        if step < LOST && step % CONFIRMED_EVERY == 0 {
            fleet[0].confirm(revision, now);
            confirmed = now;
        }
        while datagrams.front().is_some_and(|first| first.arrives <= step) {
            let Some(Datagram { to, age_ms, .. }) = datagrams.pop_front() else {
                break;
            };
            let age = Duration::from_millis(age_ms.into());
            fleet[to].report(now.before(age), &name);
        }
        for (from, entry) in fleet.iter().enumerate() {
            let is_lost = from == 0 && step >= LOST;
            if is_lost || !(step + from as u64).is_multiple_of(spacing) {
                continue;
            }
            let Some(age_ms) = entry.told_age_ms(now, revision) else {
                continue;
            };
            let arrives = step + way;
            let others = (1..entries).filter(|to| *to != from);
            datagrams.extend(others.map(|to| Datagram {
                arrives,
                to,
                age_ms,
            }));
        }
        for entry in &fleet[1..] {
            let Some(age) = entry.age(now) else { continue };
            most = most.max(now.since(confirmed).saturating_sub(age));
        }
    }
    most
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against an age that gets younger with each entry that passes it on, and
    /// comes back so: without observers the fleet took its copy for fresh.
    #[test]
    fn age_passed_on_not_younger(entries in 2_usize..12, way in 1_u64..40) {
        let younger = play_reports(entries, way);
        prop_assert!(younger <= Duration::from_micros(way * STEP_US), "by {younger:?}");
    }

    /// Guards against entries that go on with an old copy because all that followed the
    /// store are lost without a word, at once or one wave after the other.
    #[test]
    fn copy_confirmed_without_observers(
        entries in 2_usize..400,
        waves in prop::collection::vec((500_u64..6_000, 1_usize..200), 1..4),
        seed in any::<u64>(),
    ) {
        let outcome = play(entries, &waves, 0.0, seed);
        let left_for_change_ms = 250;
        prop_assert!(outcome.longest_ms + left_for_change_ms <= BOUND_MS, "{outcome:?}");
    }

    /// Guards against the calls of a whole fleet at once when its copy is not confirmed.
    #[test]
    fn calls_spread(entries in 2_usize..400, lost in 1_usize..6, seed in any::<u64>()) {
        let outcome = play(entries, &[(1_000, lost)], 0.0, seed);
        prop_assert!(outcome.most_calls <= 30, "{outcome:?}");
    }

    /// Guards against an entry that waits for others which do not reach the store.
    #[test]
    fn copy_confirmed_beside_entries_cut_off(
        entries in 2_usize..200,
        cut_share in 0.0_f64..0.9,
        wave in (500_u64..6_000, 1_usize..100),
        seed in any::<u64>(),
    ) {
        let outcome = play(entries, &[wave], cut_share, seed);
        let left_for_change_ms = 250;
        prop_assert!(outcome.longest_ms + left_for_change_ms <= BOUND_MS, "{outcome:?}");
    }
}

/// Guards against steps that leave no time for the next one.
#[test]
fn ages_in_order() {
    for bound_ms in [500, 2_000, 5_000] {
        let bound = Duration::from_millis(bound_ms);
        let schedule = Schedule::new(bound);
        let turn = |position| Turn {
            position,
            entries: 149,
        };
        let ages = [
            schedule.watch_wait(),
            schedule.read_age(turn(0)),
            schedule.read_age(turn(148)),
            schedule.watch_age(),
            bound,
        ];
        assert!(ages.windows(2).all(|pair| pair[0] < pair[1]), "{ages:?}");
    }
}
