//! Selection of a backend server.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::config::Snapshot;
use berylgw_core::route::{Load, Policy, Request, ServerKey, Table, affinity};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const NOW: Instant = Instant::from_millis(10_000);

/// Servers `s0000` and on of one service, distributed over these failure
/// domains; `far` is in another region.
fn snapshot(count: usize, domains: &[&str]) -> Snapshot {
    let servers: Vec<Value> = (0..count)
        .map(|index| {
            json!({
                "name": format!("s{index:04}"), "service": "m",
                "domain": domains[index % domains.len()],
                "address": format!("127.0.0.1:{}", 1_000 + index),
                "limit": 8, "cold_limit": 1, "rank": null
            })
        })
        .collect();
    // The entry under test is in `a`.
    let mut names = [domains, &["a"]].concat();
    names.sort_unstable();
    names.dedup();
    let domains: Vec<Value> = names
        .iter()
        .map(|name| json!({"name": name, "region": if *name == "far" { "r2" } else { "r1" }}))
        .collect();
    let sheet = json!({
        "nonce": 1, "domains": domains, "entries": [], "servers": servers, "accounts": [],
        "services": [{"name": "m", "region": "r1", "kind": "model", "fencing": "ignored"}],
        "grants": []
    });
    Snapshot {
        sheet: serde_json::from_value(sheet).unwrap(),
        ..Snapshot::default()
    }
}

fn table(snapshot: &Snapshot) -> Table {
    let mut table = Table::new("a");
    table.update(snapshot);
    table
}

fn request<'a>(affinity: Option<u64>, tried: &'a [ServerKey]) -> Request<'a> {
    Request {
        service: "m",
        affinity,
        tried,
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn name(table: &Table, key: ServerKey) -> String {
    table.server(key).unwrap().0.to_string()
}

/// Guards against selecting servers in a failure domain out of service.
#[test]
fn pick_skips_domain_out() {
    let mut snapshot = snapshot(10, &["a", "b"]);
    snapshot.domains_out = vec!["a".into()];
    let table = table(&snapshot);
    let mut rng = rng();
    for _ in 0..200 {
        let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
        let index: usize = name(&table, key)[1..].parse().unwrap();
        assert_eq!(index % 2, 1);
    }
}

/// Guards against selecting draining and unreachable servers, and against
/// excluding them for ever.
#[test]
fn pick_skips_failed_until_backoff() {
    let mut table = table(&snapshot(2, &["a"]));
    let mut rng = rng();
    let first = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
    table.failed(first, NOW);
    let second = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
    assert_ne!(first, second);
    let load = Load {
        draining: true,
        ..Load::default()
    };
    table.reported(second, load, NOW);
    assert_eq!(table.pick(request(None, &[]), NOW, &mut rng), None);
    let later = NOW + Duration::from_secs(11);
    assert!(
        table
            .pick(request(None, &[first]), later, &mut rng)
            .is_some()
    );
    assert!(
        table
            .pick(request(None, &[second]), later, &mut rng)
            .is_some()
    );
}

/// Guards against selecting another region while a server of the own region is
/// usable.
#[test]
fn pick_prefers_region() {
    let mut table = table(&snapshot(4, &["b", "far"]));
    let mut rng = rng();
    for _ in 0..100 {
        let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
        assert!(["s0000", "s0002"].contains(&&*name(&table, key)));
    }
    for _ in 0..2 {
        let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
        table.failed(key, NOW);
    }
    let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
    assert!(["s0001", "s0003"].contains(&&*name(&table, key)));
}

/// Guards against load that concentrates on few servers.
#[test]
fn pick_balances_load() {
    let mut table = table(&snapshot(16, &["a"]));
    let mut rng = rng();
    let mut dispatched = vec![0; 16];
    for _ in 0..96 {
        let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
        table.dispatched(key);
        dispatched[name(&table, key)[1..].parse::<usize>().unwrap()] += 1;
    }
    assert!(dispatched.iter().all(|count| *count <= 8), "{dispatched:?}");
}

/// Guards against a prefix cached at many servers, and against a prefix that
/// overloads its server.
#[test]
fn affinity_is_stable_and_bounded() {
    let mut table = table(&snapshot(16, &["a"]));
    let mut rng = rng();
    let hash = Some(affinity("x", b"prompt"));
    let first = table.pick(request(hash, &[]), NOW, &mut rng).unwrap();
    for _ in 0..20 {
        assert_eq!(table.pick(request(hash, &[]), NOW, &mut rng), Some(first));
    }
    for _ in 0..3 {
        table.dispatched(first);
    }
    assert_ne!(table.pick(request(hash, &[]), NOW, &mut rng), Some(first));
    table.finished(first);
    table.finished(first);
    assert_eq!(table.pick(request(hash, &[]), NOW, &mut rng), Some(first));
}

/// Guards against prefixes that concentrate on few servers.
#[test]
fn affinity_spreads_prefixes() {
    let table = table(&snapshot(16, &["a"]));
    let mut rng = rng();
    let mut chosen = [0; 16];
    for prefix in 0..1_600_u32 {
        let hash = Some(affinity("x", &prefix.to_be_bytes()));
        let key = table.pick(request(hash, &[]), NOW, &mut rng).unwrap();
        chosen[name(&table, key)[1..].parse::<usize>().unwrap()] += 1;
    }
    // 100 on average; five standard deviations are about 48.
    assert!(
        chosen.iter().all(|count| (52..=148).contains(count)),
        "{chosen:?}"
    );
}

/// Guards against client accounts whose equal prefixes share a cache.
#[test]
fn affinity_salted_by_account() {
    assert_ne!(affinity("x", b"prompt"), affinity("y", b"prompt"));
    assert_ne!(affinity("ab", b"c"), affinity("a", b"bc"));
}

/// Guards against losing estimates, or assigning them to another server, on an
/// update.
#[test]
fn update_keeps_keys() {
    let mut table = table(&snapshot(3, &["a"]));
    let mut rng = rng();
    let key = table.pick(request(None, &[]), NOW, &mut rng).unwrap();
    table.dispatched(key);
    table.update(&Snapshot::default());
    assert_eq!(table.pick(request(None, &[]), NOW, &mut rng), None);
    table.update(&snapshot(3, &["a"]));
    assert_eq!(table.server(key).unwrap().0.len(), 5);
    table.finished(key);
    table.update(&Snapshot::default());
    assert!(table.server(key).is_none());
    table.update(&snapshot(3, &["a"]));
    assert!(table.server(key).is_none());
}

/// Guards against a false refusal when a request's time was read just before
/// another thread recorded a load report.
#[test]
fn pick_before_time_of_report() {
    let snapshot = snapshot(1, &["a"]);
    let mut table = table(&snapshot);
    let key = table.pick(request(None, &[]), NOW, &mut rng()).unwrap();
    let later = NOW + Duration::from_micros(1);
    table.failed(key, Instant::ORIGIN);
    table.reported(key, Load::default(), later);
    let chosen = table.pick(request(None, &[]), NOW, &mut rng());
    assert_eq!(chosen, Some(key));
}

/// Guards against a policy that selects an unusable server, and against one that
/// never selects some of the usable ones.
#[test]
fn policies_pick_usable_servers() {
    let policies = [
        Policy::Affinity,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
    ];
    for policy in policies {
        let mut snapshot = snapshot(12, &["a", "b", "far"]);
        snapshot.domains_out = vec!["a".into()];
        let mut table = table(&snapshot).with_policy(policy);
        let mut rng = rng();
        let failed = table.find("s0001").unwrap();
        let tried = table.find("s0004").unwrap();
        let mut chosen = Vec::new();
        for _ in 0..200 {
            table.failed(failed, NOW);
            let request = request(None, std::slice::from_ref(&tried));
            let key = table.pick(request, NOW, &mut rng).unwrap();
            table.dispatched(key);
            table.finished(key);
            chosen.push(name(&table, key));
        }
        chosen.sort();
        chosen.dedup();
        assert_eq!(chosen, ["s0007", "s0010"], "{policy:?}");
    }
}

/// Guards against a round robin that skips servers.
#[test]
fn round_robin_in_turn() {
    let mut table = table(&snapshot(5, &["a"])).with_policy(Policy::RoundRobin);
    let mut rng = rng();
    let hash = Some(affinity("x", b"prompt"));
    let mut chosen = Vec::new();
    for _ in 0..10 {
        let key = table.pick(request(hash, &[]), NOW, &mut rng).unwrap();
        table.dispatched(key);
        chosen.push(name(&table, key));
    }
    let mut rotation = chosen[..5].to_vec();
    assert_eq!(chosen, [rotation.clone(), rotation.clone()].concat());
    rotation.sort();
    assert_eq!(rotation, ["s0000", "s0001", "s0002", "s0003", "s0004"]);
}

/// Guards against a selection that ignores the load reports.
#[test]
fn least_in_flight_follows_reports() {
    let mut table = table(&snapshot(8, &["a"])).with_policy(Policy::LeastInFlight);
    let mut rng = rng();
    for index in 0..8 {
        let key = table.find(&format!("s{index:04}")).unwrap();
        let load = Load {
            in_flight: if index == 5 { 1 } else { 2 },
            limit: 8,
            ..Load::default()
        };
        table.reported(key, load, NOW);
    }
    let hash = Some(affinity("x", b"prompt"));
    for _ in 0..20 {
        let key = table.pick(request(hash, &[]), NOW, &mut rng).unwrap();
        assert_eq!(name(&table, key), "s0005");
    }
}

/// Returns the server of each of `count` prefixes while all servers are idle.
fn preferred(table: &mut Table, count: u32) -> Vec<ServerKey> {
    let mut rng = rng();
    let mut pick = |prefix: u32| {
        let hash = Some(affinity("x", &prefix.to_be_bytes()));
        table.pick(request(hash, &[]), NOW, &mut rng).unwrap()
    };
    (0..count).map(&mut pick).collect()
}

/// Guards against servers of a returning failure domain that get all their
/// prefixes at once, while their caches are empty and their limits cold.
#[test]
fn affinity_share_follows_limit() {
    let all_in = snapshot(8, &["a", "b"]);
    let mut out = all_in.clone();
    out.domains_out = vec!["b".into()];
    let mut table = table(&all_in);
    let warm = preferred(&mut table, 4_000);
    let warm: Vec<String> = warm.iter().map(|key| name(&table, *key)).collect();
    table.update(&out);
    table.update(&all_in);
    let returned: Vec<ServerKey> = (0..4)
        .map(|index| table.find(&format!("s{:04}", index * 2 + 1)).unwrap())
        .collect();
    let share = |chosen: &[ServerKey]| {
        let returned_keys = chosen.iter().filter(|key| returned.contains(key));
        returned_keys.count() as f64 / chosen.len() as f64
    };
    // The limits are 8 and 1: a share of 4 in 36 before the first report.
    let mut last = preferred(&mut table, 4_000);
    assert!((share(&last) - 4.0 / 36.0).abs() < 0.03, "{}", share(&last));
    for limit in [2, 4, 8] {
        for key in &returned {
            let load = Load {
                limit,
                ..Load::default()
            };
            table.reported(*key, load, NOW);
        }
        let next = preferred(&mut table, 4_000);
        let expected = f64::from(limit) / f64::from(limit + 8);
        assert!((share(&next) - expected).abs() < 0.04, "{}", share(&next));
        for (before, after) in last.iter().zip(&next) {
            assert!(before == after || returned.contains(after));
        }
        last = next;
    }
    let names = |keys: &[ServerKey]| -> Vec<String> {
        let names = keys.iter().map(|key| name(&table, *key));
        names.collect()
    };
    assert_eq!(names(&last), warm);
}

/// Guards against prefixes that move when another server is removed, and against
/// servers without prefixes, in a region of many servers.
#[test]
fn affinity_keeps_prefixes_of_many_servers() {
    const SERVERS: usize = 300;
    const PREFIXES: u32 = 30_000;
    let mut table = table(&snapshot(SERVERS, &["a"]));
    let before = preferred(&mut table, PREFIXES);
    for index in 0..SERVERS {
        let key = table.find(&format!("s{index:04}")).unwrap();
        let count = before.iter().filter(|chosen| **chosen == key).count();
        assert!((20..=180).contains(&count), "s{index:04}: {count}");
    }
    let mut snapshot = snapshot(SERVERS, &["a"]);
    snapshot.sheet.servers.remove(150);
    table.update(&snapshot);
    let after = preferred(&mut table, PREFIXES);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    // One server has 100 prefixes on average.
    assert!(moved <= 300, "{moved}");
}
