//! Rebalancing of expert maps after shifts of demand.

use berylgw_core::expert::demand::Demand;
use berylgw_core::expert::rebalance::{Limits, imbalance, rebalance};
use berylgw_core::expert::{Expert, Layout, Load, Map, Rank, greedy, skew};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHIFTS: usize = 40;
const LIMITS: Limits = Limits {
    loads_per_rank: 2,
    target: 1.3,
};

/// Demand that is concentrated on few experts; a shift permutes them.
struct Demands {
    order: Vec<usize>,
    rng: ChaCha8Rng,
}

impl Demands {
    fn new(experts: usize, seed: u64) -> Self {
        Demands {
            order: (0..experts).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Permutes seven tenths of the experts.
    fn shift(&mut self) {
        let mut places: Vec<usize> = (0..self.order.len()).collect();
        places.shuffle(&mut self.rng);
        places.truncate(self.order.len() * 7 / 10);
        let mut moved: Vec<usize> = places.iter().map(|place| self.order[*place]).collect();
        moved.shuffle(&mut self.rng);
        for (place, expert) in places.into_iter().zip(moved) {
            self.order[place] = expert;
        }
    }

    fn load(&self) -> Vec<f64> {
        let mut load = vec![0.0; self.order.len()];
        for (rank, expert) in self.order.iter().enumerate() {
            load[*expert] = 0.65 / (rank as f64 + 1.0).powf(1.1) / 3.9 + 0.35 / load.len() as f64;
        }
        load
    }

    /// Returns the counts of a short window, which deviate from the demand.
    fn sample(&mut self) -> Vec<f64> {
        let load = self.load();
        let noisy = |value: f64, rng: &mut ChaCha8Rng| value * rng.random_range(0.75..1.25);
        load.iter()
            .map(|value| noisy(*value, &mut self.rng) * 1e5)
            .collect()
    }
}

fn copies(new: &Map, old: &Map) -> usize {
    let of_rank = |rank| {
        let experts = new.experts(rank).iter();
        experts.filter(|expert| !old.holds(rank, **expert)).count()
    };
    Rank::all(new.layout()).map(of_rank).max().unwrap_or(0)
}

fn assert_complete(map: &Map) {
    assert!(Expert::all(map.layout()).all(|expert| map.replicas(expert) > 0));
    let slots = map.layout().slots();
    assert!(Rank::all(map.layout()).all(|rank| map.experts(rank).len() <= slots));
}

/// Returns the mean skew before and after each change, and the mean number of
/// copies of a change.
fn replay(layout: Layout, limits: Limits) -> (f64, f64, f64) {
    let even = Load::new(vec![1.0; layout.experts()]);
    let mut map = greedy::place(layout, &even);
    let mut demands = Demands::new(layout.experts(), 7);
    let (mut before, mut after, mut moved) = (0.0, 0.0, 0.0);
    for _ in 0..SHIFTS {
        demands.shift();
        let load = Load::new(demands.load());
        let next = rebalance(&map, &load, &[], limits);
        assert_complete(&next);
        assert!(copies(&next, &map) <= limits.loads_per_rank);
        before += skew(&map, &load);
        after += skew(&next, &load);
        moved += next.transfers_from(&map) as f64;
        map = next;
    }
    let shifts = SHIFTS as f64;
    (before / shifts, after / shifts, moved / shifts)
}

// Guards against a map that is not adapted to a shift, a change that loads more
// experts on a rank than allowed, and an expert without a holder.
#[test]
fn rebalance_shifts_of_sixteen_ranks() {
    let (before, after, copies) = replay(Layout::new(16, 64, 5).unwrap(), LIMITS);
    assert!(before > 2.0 && after < 1.4, "{before} {after} {copies}");
}

// As above, for 72 ranks, the largest group of the design.
#[test]
fn rebalance_shifts_of_seventy_two_ranks() {
    let (before, after, copies) = replay(Layout::new(72, 144, 3).unwrap(), LIMITS);
    assert!(before > 2.0 && after < 1.5, "{before} {after} {copies}");
}

// Guards against a group that runs at the speed of its slowest ranks: two fifths
// of them take twelve times as long as the others.
#[test]
fn rebalance_slow_ranks() {
    for (ranks, experts, slots) in [(16, 64, 5), (72, 144, 3)] {
        let layout = Layout::new(ranks, experts, slots).unwrap();
        let demands = Demands::new(layout.experts(), 5);
        let load = Load::new(demands.load());
        let slow = |rank: usize| if rank % 5 < 2 { 12.0 } else { 1.0 };
        let time_factors: Vec<f64> = (0..layout.ranks()).map(slow).collect();
        let mut map = rebalance(&greedy::place(layout, &load), &load, &[], LIMITS);
        let before = imbalance(&map, &load, &time_factors);
        for _ in 0..4 {
            let next = rebalance(&map, &load, &time_factors, LIMITS);
            assert_complete(&next);
            assert!(copies(&next, &map) <= LIMITS.loads_per_rank);
            map = next;
        }
        let after = imbalance(&map, &load, &time_factors);
        println!("{ranks} ranks: {before:.2} {after:.2}");
        // Fourteen cold experts do not fit on the fast ranks, and three of them are on
        // the same slow rank: 12 * 3 * 0.0073 over 1 / 10.5.
        assert!(before > 6.0 && after < 3.0, "{before} {after}");
    }
}

// Guards against an estimate that includes counts from before a shift, and against
// noise that is detected as a shift.
#[test]
fn demand_shift() {
    let mut demands = Demands::new(64, 11);
    let mut demand = Demand::new(1, 64);
    demand.add(&demands.sample());
    for _ in 0..SHIFTS {
        let before = demands.load();
        demands.shift();
        if distance(&before, &demands.load()) < 0.25 {
            continue;
        }
        assert!(demand.add(&demands.sample()));
        for _ in 0..20 {
            assert!(!demand.add(&demands.sample()));
        }
        assert!(demand.is_settled());
        let load = demand.load(0);
        let experts = Expert::all(Layout::new(16, 64, 5).unwrap());
        let found: Vec<f64> = experts
            .map(|expert| load.of(expert) / load.total())
            .collect();
        let far = distance(&found, &demands.load());
        assert!(far < 0.08, "{far}");
    }
}

/// Returns the share of selections by which two demands differ.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    let total = |load: &[f64]| load.iter().sum::<f64>();
    let pairs = a.iter().zip(b);
    let differences = pairs.map(|(x, y)| (x / total(a) - y / total(b)).abs());
    differences.sum::<f64>() / 2.0
}
