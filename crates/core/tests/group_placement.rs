//! Simulates many entries that choose servers by reports of different age.

use berylgw_core::group::capacity::Slowdown;
use berylgw_core::group::selection::{Candidate, choose, home_slots};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;
const STEP_MS: usize = 5;
const SECONDS: usize = 20;
/// Shortest time between two reports of an entry, per entry in the fleet.
const SPACING_MS: usize = 3;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct Fleet {
    entries: usize,
    servers: usize,
    slots: u32,
    domains: usize,
    per_second: f64,
    /// Mean time that a request holds its slot.
    mean_ms: f64,
}

const LARGE: Fleet = Fleet {
    entries: 150,
    servers: 190,
    slots: 6,
    domains: 5,
    per_second: 560.0,
    mean_ms: 1_300.0,
};

const SMALL: Fleet = Fleet {
    entries: 8,
    servers: 16,
    slots: 12,
    domains: 2,
    per_second: 75.0,
    mean_ms: 1_600.0,
};

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    /// Requests that found all slots taken although another server had one.
    queued: usize,
    busiest: usize,
}

impl Outcome {
    fn queued_share(&self) -> f64 {
        self.queued as f64 / self.requests as f64
    }
}

/// Plays the fleet. If `unseen` is false, entries choose as if reports were fresh.
fn replay(fleet: Fleet, unseen: bool) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let Fleet {
        entries, servers, ..
    } = fleet;
    let mut own = vec![vec![0_u32; servers]; entries];
    let mut reported = own.clone();
    let mut known = vec![0_u32; servers];
    let mut running: Vec<(usize, usize, usize)> = Vec::new();
    let mut arrivals = vec![0; servers];
    let mut outcome = Outcome::default();
    let spacing = SPACING_MS * entries;
    let mut report_at: Vec<usize> = (0..entries).map(|entry| entry * SPACING_MS).collect();
    let unseen_begins = fleet.per_second * spacing as f64 / 1_000.0;
    let near = |entry: usize, server: usize| entry % fleet.domains == server % fleet.domains;
    for now in (0..SECONDS * 1_000).step_by(STEP_MS) {
        running.retain(|&(end, entry, server)| {
            if end <= now {
                own[entry][server] -= 1;
            }
            end > now
        });
        for entry in 0..entries {
            if report_at[entry] > now {
                continue;
            }
            report_at[entry] = now + spacing;
            for server in 0..servers {
                known[server] += own[entry][server];
                known[server] -= reported[entry][server];
                reported[entry][server] = own[entry][server];
            }
        }
        let expected = fleet.per_second * STEP_MS as f64 / 1_000.0;
        let mut begins = expected as usize;
        begins += usize::from(rng.random_bool(expected.fract()));
        for _ in 0..begins {
            let entry = rng.random_range(0..entries);
            let candidate = |server: usize| {
                let others = known[server] - reported[entry][server];
                let home = if near(entry, server) {
                    let (position, of) = (entry / fleet.domains, entries / fleet.domains);
                    let (at, near) = (server / fleet.domains, servers / fleet.domains);
                    home_slots(position, of, at, near, fleet.slots)
                } else {
                    0
                };
                Candidate {
                    in_flight: others + own[entry][server],
                    slots: fleet.slots,
                    same_domain: near(entry, server),
                    recovering: false,
                    home_slots: if unseen {
                        home.saturating_sub(own[entry][server])
                    } else {
                        0
                    },
                    slowdown: Slowdown::default(),
                }
            };
            let candidates: Vec<Candidate> = (0..servers).map(candidate).collect();
            let begun = if unseen { unseen_begins } else { 0.0 };
            let server = choose(&candidates, begun, |below| rng.random_range(0..below));
            let server = server.expect("there are servers");
            let mut taken = vec![0; servers];
            for &(_, _, at) in &running {
                taken[at] += 1;
            }
            let full = taken[server] >= fleet.slots;
            outcome.requests += 1;
            outcome.queued += usize::from(full && taken.iter().any(|&taken| taken < fleet.slots));
            arrivals[server] += 1;
            let time = -fleet.mean_ms * rng.random_range(f64::EPSILON..1.0_f64).ln();
            running.push((now + time as usize, entry, server));
            own[entry][server] += 1;
        }
    }
    outcome.busiest = arrivals.into_iter().max().unwrap_or(0);
    outcome
}

/// Guards against hundreds of entries that all choose the servers which looked
/// idle half a second ago: servers with a queue beside idle ones.
#[test]
fn large_fleet_seldom_queues_beside_free_slots() {
    let by_reports = replay(LARGE, false);
    let outcome = replay(LARGE, true);
    assert!(by_reports.queued_share() > 0.1, "{by_reports:?}");
    assert!(outcome.queued_share() < 0.03, "{outcome:?}");
    let mean = outcome.requests as f64 / LARGE.servers as f64;
    assert!(
        (outcome.busiest as f64) < 1.5 * mean,
        "{outcome:?}, mean {mean}"
    );
}

/// Guards against a loss in small fleets, where reports are fresh.
#[test]
fn small_fleet_uses_reports() {
    let by_reports = replay(SMALL, false);
    let outcome = replay(SMALL, true);
    assert!(
        outcome.queued_share() <= by_reports.queued_share() + 0.005,
        "{outcome:?} {by_reports:?}"
    );
}

/// Guards against slots that two entries or none take for their own.
#[test]
fn home_slots_dealt_out_once() {
    for (entries, servers, slots) in [(1, 1, 1), (7, 16, 12), (30, 38, 6), (50, 4, 3)] {
        let mut sums = vec![0; servers];
        for entry in 0..entries {
            for (server, sum) in sums.iter_mut().enumerate() {
                *sum += home_slots(entry, entries, server, servers, slots);
            }
        }
        assert_eq!(
            sums,
            vec![slots; servers],
            "{entries} entries, {servers} servers"
        );
    }
}
