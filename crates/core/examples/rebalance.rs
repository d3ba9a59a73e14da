//! Compares strategies for placing expert replicas under a drifting load.
//!
//! `cargo run --release -p berylgw-core --example rebalance` prints, for 16
//! ranks and for 64 ranks with 256 experts a layer, the mean and 95th percentile
//! of the skew (most loaded rank over mean), the bytes moved for each layer and
//! hour, and the mean and longest time of a decision.

use std::time::{Duration, Instant};

use berylgw_core::expert::{Expert, Layout, Load, Map, greedy, incremental, skew};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: [u64; 6] = [11, 12, 13, 14, 15, 16];
const MINUTES: usize = 240;
/// Weights of one expert in one layer.
const EXPERT_BYTES: u64 = 44 << 20;
/// Standard deviation of the logarithm of an expert's load, per minute.
const DRIFT: f64 = 0.05;
/// Probability per minute that one expert's demand jumps.
const JUMP_CHANCE: f64 = 0.05;
/// Weight of a minute's sample in the controller's estimate.
const SMOOTHING: f64 = 0.3;

fn main() {
    println!(
        "seeds {SEEDS:?}, {MINUTES} minutes each, {} MiB an expert",
        EXPERT_BYTES >> 20
    );
    for (ranks, experts, slots) in [(16, 64, 6), (16, 64, 8), (64, 256, 6), (64, 256, 8)] {
        let layout = Layout::new(ranks, experts, slots).expect("valid layout");
        compare(layout);
    }
}

fn compare(layout: Layout) {
    println!(
        "\n{} ranks, {} experts, {} slots a rank",
        layout.ranks(),
        layout.experts(),
        layout.slots()
    );
    println!(
        "{:<34}{:>10}{:>10}{:>16}{:>14}{:>14}",
        "way", "skew mean", "skew p95", "GiB/layer/hour", "decide mean", "decide max"
    );
    let rule = rule();
    run("none (greedy once)", layout, greedy::place, |_, _| None);
    run(
        "full recompute each minute",
        layout,
        greedy::place,
        |map, load| {
            let new = greedy::place(layout, load);
            (new != *map).then_some(new)
        },
    );
    run(
        "full recompute if worth the cost",
        layout,
        greedy::place,
        |map, load| {
            let new = greedy::place(layout, load);
            rule.worth(map, &new, load).then_some(new)
        },
    );
    run(
        "incremental if worth the cost",
        layout,
        greedy::place,
        |map, load| incremental::improve(map, load, &rule).map(|change| change.map),
    );
}

fn rule() -> incremental::Rule {
    incremental::Rule {
        horizon: Duration::from_secs(600),
        expert_share: 0.4,
        expert_bytes: EXPERT_BYTES,
        fetch_rate: 1 << 30,
        fetch_slowdown: 0.1,
        max_transfers: 64,
    }
}

fn run(
    name: &str,
    layout: Layout,
    place: impl Fn(Layout, &Load) -> Map,
    rebalance: impl Fn(&Map, &Load) -> Option<Map>,
) {
    let mut skews = Vec::new();
    let mut transfers = 0;
    let mut decisions = Vec::new();
    for seed in SEEDS {
        let mut demand = Demand::new(layout, seed);
        let mut estimate = demand.sample();
        let mut map = place(layout, &estimate);
        for _ in 0..MINUTES {
            demand.advance();
            let sample = demand.sample();
            skews.push(skew(&map, &sample));
            estimate.smooth(&sample, SMOOTHING);
            let start = Instant::now();
            let new = rebalance(&map, &estimate);
            decisions.push(start.elapsed());
            let Some(new) = new else {
                continue;
            };
            transfers += new.transfers_from(&map);
            map = new;
        }
    }
    skews.sort_by(f64::total_cmp);
    let mean = skews.iter().sum::<f64>() / skews.len() as f64;
    let p95 = skews[skews.len() * 95 / 100];
    let bytes = transfers as f64 * EXPERT_BYTES as f64 / (skews.len() as f64 / 60.0);
    let longest = decisions.iter().max().copied().unwrap_or_default();
    let mean_time = decisions.iter().sum::<Duration>() / decisions.len() as u32;
    println!(
        "{name:<34}{mean:>10.3}{p95:>10.3}{:>16.2}{:>14}{:>14}",
        bytes / f64::from(1 << 30),
        format!("{mean_time:.1?}"),
        format!("{longest:.1?}"),
    );
}

/// Demand for each expert: a Zipf distribution whose weights drift and jump.
struct Demand {
    rng: ChaCha8Rng,
    weights: Vec<f64>,
}

impl Demand {
    fn new(layout: Layout, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut weights: Vec<f64> = Expert::all(layout)
            .map(|expert| 1.0 / (10.0 + expert.index() as f64))
            .collect();
        for last in (1..weights.len()).rev() {
            let other = rng.random_range(0..=last);
            weights.swap(last, other);
        }
        Demand { rng, weights }
    }

    fn advance(&mut self) {
        for weight in &mut self.weights {
            // The sum of twelve uniform samples is approximately normal.
            let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
            *weight *= (DRIFT * normal).exp();
        }
        if self.rng.random::<f64>() < JUMP_CHANCE {
            let jumper = self.rng.random_range(0..self.weights.len());
            self.weights[jumper] *= 3.0;
        }
        let total: f64 = self.weights.iter().sum();
        for weight in &mut self.weights {
            *weight /= total;
        }
    }

    fn sample(&self) -> Load {
        const TOKENS_PER_STEP: f64 = 16_384.0;
        Load::new(
            self.weights
                .iter()
                .map(|weight| weight * TOKENS_PER_STEP)
                .collect(),
        )
    }
}
