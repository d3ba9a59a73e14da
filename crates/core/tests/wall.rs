//! True time while clocks differ and jump.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::wall::Estimate;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// Guards against true time that follows clocks that jump by seconds, forward and back,
/// on just under a third of the hosts.
#[test]
fn clocks_stepped_on_a_third() {
    const PEERS: u64 = 12;
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut estimate = Estimate::default();
        let mut steps_ms = [0_i64; PEERS as usize + 1];
        for round in 0..200 {
            let uptime = Instant::from_millis(5_000 + round * 400);
            let true_time = EPOCH + Duration::from_millis(round * 400);
            // Clocks 0 (the own one) to 3 of 13 jump.
            if round % 10 == 0 {
                let jumps = random.random_bool(0.8);
                let step_ms = random.random_range(-8_000..8_000);
                steps_ms[random.random_range(0..4)] = if jumps { step_ms } else { 0 };
            }
            let told = |clock: usize, noise_us: u64| {
                let time_us = true_time.as_micros() as u64 + noise_us;
                Duration::from_micros(time_us.saturating_add_signed(steps_ms[clock] * 1_000))
            };
            estimate.observe_own(told(0, 0), uptime);
            for peer in 1..=PEERS {
                // Some datagrams are lost, and the clocks are a little apart.
                if random.random_bool(0.7) || round == 0 {
                    estimate.observe(peer, told(peer as usize, peer * 1_000), uptime);
                }
            }
            let live: Vec<u64> = (1..=PEERS).collect();
            estimate.update(&live);
            let error = estimate.true_time(uptime).abs_diff(true_time);
            assert!(error < Duration::from_millis(20), "{error:?}, seed {seed}");
        }
    }
}

/// Guards against the clocks of entries that are gone, and an entry without live peers
/// that does not use its own clock.
#[test]
fn own_clock_without_peers() {
    let uptime = Instant::from_millis(10);
    let mut estimate = Estimate::default();
    estimate.observe_own(EPOCH, uptime);
    for process in 1..4 {
        estimate.observe(process, EPOCH + Duration::from_secs(9), uptime);
    }
    estimate.update(&[1, 2, 3]);
    assert_eq!(estimate.true_time(uptime), EPOCH + Duration::from_secs(9));
    estimate.update(&[]);
    assert_eq!(estimate.true_time(uptime), EPOCH);
    assert_eq!(estimate.clocks(), 1);
}

proptest! {
    /// Guards against times of day that no clock has.
    #[test]
    fn any_times(times in proptest::collection::vec(any::<(u64, u64)>(), 0..9)) {
        let mut estimate = Estimate::default();
        for (process, (time_us, uptime_us)) in (0..).zip(times) {
            let uptime = Instant::from_micros(uptime_us);
            estimate.observe_own(Duration::from_micros(time_us), uptime);
            estimate.observe(process, Duration::from_micros(time_us), uptime);
            estimate.update(&[0, 1, 2, 3, process]);
            estimate.true_time(uptime);
            estimate.own_lead_us();
        }
    }
}
