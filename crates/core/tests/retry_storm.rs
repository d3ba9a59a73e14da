//! Bound on retries while a third of the backend servers is slow, in virtual time.

use std::time::Duration;

use berylgw_core::admission::{Action, Controller, Decision, Limits, Report, Request};
use berylgw_core::clock::Instant;
use berylgw_core::config::Snapshot;
use berylgw_core::fair::Queue;
use berylgw_core::retry::Budget;
use berylgw_core::route::{self, Load, ServerKey, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const SERVERS: usize = 6;
const SLOW_SERVERS: usize = 2;
const SLOTS: u32 = 16;
const QUEUE_CAPACITY: usize = 8;
const SERVICE_US: u64 = 100_000;
const SLOW_FACTOR: u64 = 10;
const SLOW_FROM_US: u64 = 10_000_000;
const RUN_US: u64 = 60_000_000;
const MAX_ATTEMPTS: usize = 4;

fn table() -> (Table, Vec<ServerKey>) {
    let servers: Vec<Value> = (0..SERVERS)
        .map(|index| {
            json!({
                "name": format!("s{index}"), "service": "m", "domain": "a",
                "address": format!("127.0.0.1:{}", 1_000 + index),
                "limit": SLOTS, "cold_limit": 4, "rank": null
            })
        })
        .collect();
    let sheet = json!({
        "nonce": 1, "domains": [{"name": "a", "region": "r"}], "entries": [],
        "servers": servers, "accounts": [], "grants": [],
        "services": [{"name": "m", "region": "r", "kind": "model", "fencing": "ignored"}],
    });
    let snapshot = Snapshot {
        sheet: serde_json::from_value(sheet).unwrap(),
        ..Snapshot::default()
    };
    let mut table = Table::new("a");
    table.update(&snapshot);
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut keys: Vec<ServerKey> = Vec::new();
    while keys.len() < SERVERS {
        let request = route::Request {
            service: "m",
            affinity: None,
            tried: &keys,
        };
        keys.push(table.pick(request, Instant::ORIGIN, &mut rng).unwrap());
    }
    keys.sort();
    (table, keys)
}

fn server() -> Controller {
    let limits = Limits {
        warm: SLOTS,
        cold: 4,
    };
    let mut controller = Controller::new(
        limits,
        Queue::new(QUEUE_CAPACITY, QUEUE_CAPACITY),
        Duration::ZERO,
    );
    for as_of_ms in [1, 2] {
        let report = Report {
            in_flight: 0,
            cold: false,
            as_of_ms,
        };
        controller.report(Instant::ORIGIN, Instant::ORIGIN, report);
    }
    controller
}

fn load(controller: &Controller) -> Load {
    Load {
        in_flight: controller.in_flight() + controller.queued(),
        limit: controller.limit(),
        service_time: controller.service_time(),
        draining: false,
    }
}

/// Simulates `rate` requests per second; returns the numbers of requests and
/// retries.
fn run(rate: f64) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut table, keys) = table();
    let mut servers: Vec<Controller> = (0..SERVERS).map(|_| server()).collect();
    let mut budget = Budget::new(Instant::ORIGIN);
    // End, start, id and server of the requests in flight.
    let mut running: Vec<(u64, u64, u64, usize)> = Vec::new();
    let (mut requests, mut retries, mut id) = (0, 0, 0);
    let mut next_arrival = 0;
    loop {
        running.sort_unstable();
        let next_end = running.first().map_or(u64::MAX, |(end, ..)| *end);
        let now = next_end.min(next_arrival);
        if now >= RUN_US {
            return (requests, retries);
        }
        let at = Instant::from_micros(now);
        if next_end <= next_arrival {
            let (end, start, id, index) = running.remove(0);
            servers[index].complete(at, Duration::from_micros(end - start));
            servers[index].release(id);
            table.finished(keys[index]);
            table.reported(keys[index], load(&servers[index]), at);
        } else {
            let wait = -(1.0 - rng.random::<f64>()).ln() / rate;
            next_arrival += (wait * 1e6) as u64;
            requests += 1;
            budget.deposit();
            let mut tried = Vec::new();
            while tried.len() < MAX_ATTEMPTS {
                if !tried.is_empty() {
                    if !budget.withdraw(at) {
                        break;
                    }
                    retries += 1;
                }
                let request = route::Request {
                    service: "m",
                    affinity: None,
                    tried: &tried,
                };
                let Some(key) = table.pick(request, at, &mut rng) else {
                    break;
                };
                tried.push(key);
                let index = keys.binary_search(&key).unwrap();
                id += 1;
                let offered = Request {
                    id,
                    account: "a".into(),
                    weight: 1,
                    concurrency: 1_000,
                    deadline: at + Duration::from_secs(30),
                    alone: false,
                };
                if servers[index].offer(at, offered) == Decision::Queued {
                    table.dispatched(key);
                    break;
                }
                table.refused(key, false, at);
            }
        }
        for (index, server) in servers.iter_mut().enumerate() {
            for action in server.advance(at) {
                let Action::Run(id) = action else { continue };
                let slow = index < SLOW_SERVERS && now >= SLOW_FROM_US;
                let time = SERVICE_US * if slow { SLOW_FACTOR } else { 1 };
                running.push((now + time, now, id, index));
            }
        }
    }
}

/// Guards against a retry storm: at most 1.1 attempts per request, at rates below
/// and above the capacity of the remaining servers.
#[test]
fn slow_third_attempts_bounded() {
    for rate in [300.0, 600.0, 900.0, 2_000.0] {
        let (requests, retries) = run(rate);
        assert!(retries * 10 <= requests, "{retries} retries of {requests}");
        // Overload must reach half of the bound, or the test proves nothing.
        assert!(rate < 900.0 || retries * 20 >= requests, "{retries}");
    }
}

/// Guards against a floor of the retry budget that a busy entry gets on top of
/// one retry per ten requests.
#[test]
fn budget_spent_attempts_bounded() {
    let mut budget = Budget::new(Instant::ORIGIN);
    let (mut requests, mut retries) = (0, 0);
    for millis in (0..600_000).step_by(10) {
        requests += 1;
        budget.deposit();
        while budget.withdraw(Instant::from_millis(millis)) {
            retries += 1;
        }
    }
    assert!(retries * 10 <= requests, "{retries} retries of {requests}");
}
