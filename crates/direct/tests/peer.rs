//! What an entry derives from the datagrams of the others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::freshness::Turn;
use berylgw_direct::peer::{FAILURE_TIMEOUT, Peers, Role};
use berylgw_wire::direct::{Beat, Bound, Load};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: u32 = 30;
const SERVICE: u32 = 77;

/// Time between two datagrams, longer than that between two checks for silent
/// entries.
const STEP_MS: u64 = 60;

/// Entries of a fleet by name and failure domain, named so that the first ones
/// are all of one domain.
fn fleet(entries: usize, domains: usize) -> Vec<(String, String)> {
    let entry = |number: usize| {
        let domain = number * domains / entries;
        (format!("edge-{number:03}"), format!("domain-{domain}"))
    };
    (0..entries).map(entry).collect()
}

fn beat(name: &str, domain: &str, sequence: u64) -> Beat {
    Beat {
        name: name.to_owned(),
        domain: domain.to_owned(),
        incarnation: 1,
        sequence,
        callers: "127.0.0.1:9000".to_owned(),
        ..Beat::default()
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

/// Returns the role of each entry if those in `lost` do not reach the store.
fn roles(fleet: &[(String, String)], lost: impl Fn(usize) -> bool) -> Vec<Role> {
    let now = Instant::from_millis(1_000);
    let role = |own: usize| {
        let mut peers = Peers::default();
        for (number, (name, domain)) in fleet.iter().enumerate() {
            if number == own {
                continue;
            }
            let datagram = Beat {
                store_lost: lost(number),
                ..beat(name, domain, 1)
            };
            peers.apply(now, address(), datagram);
        }
        peers.role(now, &fleet[own].0, &fleet[own].1)
    };
    (0..fleet.len()).map(role).collect()
}

/// Returns the observers if the entries in `lost` do not reach the store.
fn observers(fleet: &[(String, String)], lost: impl Fn(usize) -> bool) -> Vec<usize> {
    let roles = roles(fleet, lost);
    let observers = (0..fleet.len()).filter(|&entry| roles[entry].observing);
    observers.collect()
}

/// Guards against turns that pass in vain when all that follow the store are lost, and
/// against two entries with the same turn.
#[test]
fn turns_of_observers_last() {
    for (entries, domains) in [(4, 3), (8, 3), (40, 3), (149, 5)] {
        let mut roles = roles(&fleet(entries, domains), |_| false);
        roles.sort_unstable_by_key(|role| role.turn.position);
        for (position, role) in roles.iter().enumerate() {
            let turn = Turn { position, entries };
            assert_eq!(role.turn, turn);
        }
        let others = roles.partition_point(|role| !role.observing);
        assert!(roles[others..].iter().all(|role| role.observing));
        assert!(others < entries, "no observer of {entries} entries");
    }
}

/// Guards against observers of a single failure domain. The store may fall silent
/// to just these, and the others accept a revoked key for seconds.
#[test]
fn observers_of_several_domains() {
    for (entries, domains) in [(8, 3), (40, 3), (149, 5)] {
        let fleet = fleet(entries, domains);
        let chosen = observers(&fleet, |_| false);
        let of: BTreeSet<_> = chosen.iter().map(|&entry| &fleet[entry].1).collect();
        assert!(of.len() >= 3, "{entries} entries: {of:?}");
        assert!(
            chosen.len() <= 3.max(entries / 20),
            "{entries} entries: {chosen:?}"
        );
    }
}

/// Guards against hundreds of entries that all call a store which none reaches,
/// and against observers that all are among those turned away.
#[test]
fn observers_bounded_in_outage() {
    let fleet = fleet(149, 5);
    let chosen = observers(&fleet, |_| true);
    assert!(
        chosen.len() <= 20,
        "{} entries call the store",
        chosen.len()
    );
    let domain = &fleet[0].1;
    let chosen = observers(&fleet, |entry| fleet[entry].1 == *domain);
    let reach = chosen.iter().filter(|&&entry| fleet[entry].1 != *domain);
    assert!(reach.count() >= 3);
}

/// Guards against sums that differ from the reports of the live entries, after
/// reports in any order, lost entries and entries that return.
#[test]
fn sums_equal_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let mut peers = Peers::default();
    let mut last: Vec<(Instant, Vec<u32>, u32)> = vec![(Instant::ORIGIN, Vec::new(), 0); 12];
    for step in 1..4_000_u64 {
        let now = Instant::from_millis(10_000 + step * STEP_MS);
        let entry = rng.random_range(0..last.len());
        // Some entries are silent for longer than the timeout.
        let silent = step / 100 % 4 == entry as u64 % 4;
        if !silent {
            let counts: Vec<u32> = (0..SERVERS).map(|_| rng.random_range(0..3)).collect();
            let limit = rng.random_range(1..100);
            let loads = counts.iter().enumerate().filter(|(_, count)| **count > 0);
            let loads = loads.map(|(server, &in_flight)| Load {
                server: server as u32,
                in_flight,
            });
            let datagram = Beat {
                loads: loads.collect(),
                bounds: vec![Bound {
                    service: SERVICE,
                    places: limit,
                }],
                ..beat(&format!("edge-{entry}"), "shed", step)
            };
            assert!(peers.apply(now, address(), datagram));
            last[entry] = (now, counts, limit);
        }
        let check = now + Duration::from_millis(100);
        peers.expire(check);
        let live = last
            .iter()
            .filter(|(at, counts, _)| !counts.is_empty() && check.since(*at) < FAILURE_TIMEOUT);
        let live: Vec<_> = live.collect();
        for server in 0..SERVERS {
            let expected: u32 = live
                .iter()
                .map(|(_, counts, _)| counts[server as usize])
                .sum();
            assert_eq!(peers.in_flight(server), expected, "step {step}");
        }
        let limits: u64 = live.iter().map(|(.., limit)| u64::from(*limit)).sum();
        assert_eq!(
            peers.concurrency_limits(SERVICE),
            (limits, live.len()),
            "step {step}"
        );
    }
}
