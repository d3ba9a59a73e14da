//! Benchmarks of single decisions at the design size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::admission::{Controller, Limits, Report, Request};
use berylgw_core::client::{Account, Tokens, token_digest};
use berylgw_core::clock::Instant;
use berylgw_core::config::Snapshot;
use berylgw_core::fair::Queue;
use berylgw_core::group::capacity::{Slowdown, Step};
use berylgw_core::group::selection::{Candidate, choose};
use berylgw_core::route::{self, Load, Table, affinity};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const SERVERS: usize = 2_600;
const ACCOUNTS: usize = 2_100;
const SLOTS: u32 = 64;
const NOW: Instant = Instant::from_millis(10_000);

fn table(rng: &mut ChaCha8Rng) -> Table {
    let servers: Vec<Value> = (0..SERVERS)
        .map(|index| {
            json!({
                "name": format!("s{index:04}"), "service": "m", "domain": "a",
                "address": format!("127.0.0.1:{}", 1_000 + index),
                "limit": 32, "cold_limit": 4, "rank": null
            })
        })
        .collect();
    let sheet = json!({
        "nonce": 1, "domains": [{"name": "a", "region": "r"}], "entries": [],
        "servers": servers, "accounts": [], "grants": [],
        "services": [{"name": "m", "region": "r", "kind": "model", "fencing": "ignored"}],
    });
    let mut table = Table::new("a");
    table.update(&Snapshot {
        sheet: serde_json::from_value(sheet).expect("the sheet is valid"),
        ..Snapshot::default()
    });
    for _ in 0..SERVERS {
        let load = Load {
            in_flight: rng.random_range(0..32),
            limit: 32,
            service_time: Duration::from_millis(200),
            draining: false,
        };
        let request = request(None);
        if let Some(key) = table.pick(request, NOW, rng) {
            table.reported(key, load, NOW);
        }
    }
    table
}

fn request(affinity: Option<u64>) -> route::Request<'static> {
    route::Request {
        service: "m",
        affinity,
        tried: &[],
    }
}

fn routing(c: &mut Criterion) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let table = table(&mut rng);
    let mut iteration = 0u64;
    c.bench_function("route_affinity_2600", |b| {
        b.iter(|| {
            iteration += 1;
            let hash = affinity("account", &iteration.to_be_bytes());
            black_box(table.pick(request(Some(hash)), NOW, &mut rng))
        });
    });
    c.bench_function("route_sampled_2600", |b| {
        b.iter(|| black_box(table.pick(request(None), NOW, &mut rng)));
    });
}

fn accounts() -> Vec<Arc<str>> {
    (0..ACCOUNTS)
        .map(|index| format!("a{index:04}").into())
        .collect()
}

fn admission(c: &mut Criterion) {
    let names = accounts();
    let limits = Limits {
        warm: SLOTS,
        cold: SLOTS,
    };
    let mut controller = Controller::new(limits, Queue::new(256, 64), Duration::ZERO);
    for as_of_ms in [1, 2] {
        let report = Report {
            in_flight: 0,
            cold: false,
            as_of_ms,
        };
        controller.report(Instant::ORIGIN, Instant::ORIGIN, report);
    }
    let offered = |id: u64| Request {
        id,
        account: names[id as usize % ACCOUNTS].clone(),
        weight: 1,
        concurrency: 64,
        deadline: Instant::from_millis(1 << 40),
        alone: false,
    };
    // A server at its limit with 192 queued requests.
    let mut next = 0;
    while next < u64::from(SLOTS) + 192 {
        controller.offer(NOW, offered(next));
        controller.advance(NOW);
        next += 1;
    }
    let mut oldest = 0;
    c.bench_function("admit_release_64_held_192_queued", |b| {
        b.iter(|| {
            controller.release(oldest);
            oldest += 1;
            black_box(controller.advance(NOW));
            black_box(controller.offer(NOW, offered(next)));
            black_box(controller.advance(NOW));
            next += 1;
        });
    });
}

fn fairness(c: &mut Criterion) {
    let names = accounts();
    let mut queue = Queue::new(4_096, 64);
    let mut next = 0;
    while next < ACCOUNTS {
        let _ = queue.push(next as u64, &names[next], 1);
        next += 1;
    }
    c.bench_function("fair_push_pop_2100_accounts", |b| {
        b.iter(|| {
            let _ = queue.push(next as u64, &names[next % ACCOUNTS], 1);
            next += 1;
            black_box(queue.pop(|_| true))
        });
    });
}

fn authentication(c: &mut Criterion) {
    let accounts: Vec<Account> = accounts()
        .into_iter()
        .map(|name| Account {
            token_sha256: token_digest(&format!("{name}-token")),
            name,
            weight: 1,
            rate: 1,
            concurrency: 1,
        })
        .collect();
    let tokens = Tokens::new(&accounts);
    c.bench_function("authenticate_2100_accounts", |b| {
        b.iter(|| {
            let digest = token_digest(black_box("a2099-token"));
            black_box(tokens.find(&accounts, &digest))
        });
    });
    c.bench_function("authenticate_compare_all_2100", |b| {
        b.iter(|| {
            let digest = token_digest(black_box("a2099-token"));
            black_box(accounts.iter().find(|account| account.accepts(&digest)))
        });
    });
}

fn selection(c: &mut Criterion) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let candidate = |rng: &mut ChaCha8Rng, slowdown| Candidate {
        in_flight: rng.random_range(0..6),
        slots: 6,
        same_domain: rng.random_bool(0.2),
        recovering: false,
        home_slots: 0,
        slowdown,
    };
    let usual = Slowdown::default();
    let mut candidates: Vec<Candidate> = (0..SERVERS).map(|_| candidate(&mut rng, usual)).collect();
    // As in a fleet of 380 entries with 18,000 requests/s.
    let unseen = 18_000.0 * 1.1;
    let mut below = |count: usize| rng.random_range(0..count.max(1));
    c.bench_function("choose_2600_servers", |b| {
        b.iter(|| black_box(choose(&candidates, unseen, &mut below)));
    });
    let step = Step {
        base_ms: 2.0,
        per_request_ms: 0.6,
        steps: 8.0,
    };
    candidates[7].slowdown = Slowdown::of_pace(4.0, Some(step));
    c.bench_function("choose_2600_servers_one_slow", |b| {
        b.iter(|| black_box(choose(&candidates, unseen, &mut below)));
    });
}

criterion_group!(
    benches,
    selection,
    routing,
    admission,
    fairness,
    authentication
);
criterion_main!(benches);
