//! Placement of expert replicas.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::expert::{
    Expert, Layout, Load, Map, Rank, greedy, incremental, pace, rank_loads, skew,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUNDS: u64 = 200;

fn random_load(layout: Layout, rng: &mut ChaCha8Rng) -> Load {
    let tokens = Expert::all(layout)
        .map(|_| rng.random::<f64>().powi(4) * 1_000.0)
        .collect();
    Load::new(tokens)
}

fn rule() -> incremental::Rule {
    incremental::Rule {
        horizon: Duration::from_secs(600),
        expert_share: 0.4,
        expert_bytes: 44 << 20,
        fetch_rate: 1 << 30,
        fetch_slowdown: 0.1,
        max_transfers: 64,
    }
}

/// Asserts that every expert has a holder and that no rank holds more experts
/// than it has slots.
fn assert_valid(map: &Map) {
    assert!(map.is_complete());
    for rank in Rank::all(map.layout()) {
        assert!(map.experts(rank).len() <= map.layout().slots());
        assert!(map.experts(rank).is_sorted());
    }
    let held: usize = Rank::all(map.layout())
        .map(|rank| map.experts(rank).len())
        .sum();
    let counted: usize = Expert::all(map.layout())
        .map(|expert| map.replicas(expert))
        .sum();
    assert_eq!(held, counted);
}

#[test]
fn layout_without_room_for_every_expert() {
    assert!(Layout::new(4, 9, 2).is_err());
    assert!(Layout::new(4, 8, 2).is_ok());
    assert!(Layout::new(0, 8, 2).is_err());
    assert!(Layout::new(4, 2, 3).is_err());
}

#[test]
fn greedy_place_random_loads() {
    // Guards against packing that leaves an expert without a holder when the
    // ranks with free slots hold it already.
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let layout = Layout::new(rng.random_range(1..9), 16, 16).unwrap();
        let load = random_load(layout, &mut rng);
        assert_valid(&greedy::place(layout, &load));
        let tight = Layout::new(8, 32, rng.random_range(4..7)).unwrap();
        let load = random_load(tight, &mut rng);
        assert_valid(&greedy::place(tight, &load));
    }
}

#[test]
fn greedy_place_replicates_hot_expert() {
    let layout = Layout::new(4, 8, 3).unwrap();
    let load = Load::new(vec![80.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
    let map = greedy::place(layout, &load);
    assert_eq!(map.replicas(Expert::from(0)), 4);
    assert!(skew(&map, &load) < 1.1);
}

#[test]
fn rank_loads_sum_to_total() {
    let layout = Layout::new(8, 32, 5).unwrap();
    let load = random_load(layout, &mut ChaCha8Rng::seed_from_u64(1));
    let map = greedy::place(layout, &load);
    let sum: f64 = rank_loads(&map, &load).iter().sum();
    assert!((sum - load.total()).abs() < 1e-6);
}

#[test]
fn improve_random_drift() {
    // Guards against a change that drops the last replica of an expert, exceeds
    // the slots, moves more slots than allowed or increases the skew.
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let layout = Layout::new(8, 32, 6).unwrap();
        let map = greedy::place(layout, &random_load(layout, &mut rng));
        let load = random_load(layout, &mut rng);
        let Some(change) = incremental::improve(&map, &load, &rule()) else {
            continue;
        };
        assert_valid(&change.map);
        assert!(change.transfers <= rule().max_transfers + 1);
        assert_eq!(change.transfers, change.map.transfers_from(&map));
        assert!(skew(&change.map, &load) < skew(&map, &load));
        assert!(change.net_gain > 0.0);
    }
}

#[test]
fn improve_gain_below_cost() {
    let layout = Layout::new(8, 32, 6).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let map = greedy::place(layout, &random_load(layout, &mut rng));
    let load = random_load(layout, &mut rng);
    let costly = incremental::Rule {
        fetch_rate: 1,
        ..rule()
    };
    assert!(incremental::improve(&map, &load, &costly).is_none());
}

#[test]
fn improve_balanced_load() {
    let layout = Layout::new(4, 8, 2).unwrap();
    let load = Load::new(vec![1.0; 8]);
    let map = greedy::place(layout, &load);
    assert!(incremental::improve(&map, &load, &rule()).is_none());
}

#[test]
fn pacer_store_shared_by_groups() {
    // Four groups share a store of 1,000 bytes per second, which refuses a transfer
    // when its token bucket of one second is empty. Guards against pacing that lets
    // one group starve the others or leaves the store underused.
    const STORE_RATE: f64 = 1_000.0;
    const GROUPS: usize = 4;
    const BYTES: u64 = 50;
    let mut pacers: [_; GROUPS] = std::array::from_fn(|_| pace::Pacer::new(400, 1_000, 10));
    let mut starts = [Instant::ORIGIN; GROUPS];
    let mut served = [0_u64; GROUPS];
    let mut bucket = STORE_RATE;
    let step = Duration::from_millis(1);
    let mut now = Instant::ORIGIN;
    for _ in 0..120_000 {
        now = now + step;
        bucket = (bucket + STORE_RATE * step.as_secs_f64()).min(STORE_RATE);
        for group in 0..GROUPS {
            if starts[group] > now {
                continue;
            }
            if bucket >= BYTES as f64 {
                bucket -= BYTES as f64;
                served[group] += BYTES;
                pacers[group].succeeded(BYTES);
            } else {
                pacers[group].refused(Duration::from_millis(200), now);
            }
            pacers[group].reserve(BYTES, now);
            starts[group] = pacers[group].reserve(0, now);
        }
    }
    let total: u64 = served.iter().sum();
    assert!(total as f64 > 0.8 * STORE_RATE * 120.0, "served {served:?}");
    for group in served {
        assert!(
            group as f64 > 0.7 * total as f64 / GROUPS as f64,
            "served {served:?}"
        );
    }
}
