//! Case: an entry starts as the store comes back from a copy that lists a server which
//! has left since.
#[path = "common.rs"]
mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

const ZONES: [&str; 3] = ["ikeja", "alausa", "ogba"];

/// Entries that are not restarted, and get all requests.
const STAYING: usize = 5;

/// Interval at which servers write to the store.
const HEARTBEAT_MS: u64 = 1_200;

fn main() {
    begin();
    let store = Store::start(ip(30));
    let routes = [Route {
        prefix: "/pay/",
        kind: "non_idempotent",
        service: "permit-app",
        timeout_ms: 3_000,
        attempts: 1,
    }];
    let config = configuration(3, &routes, &[("ward", "key-1")]);
    store.put("config", "main", &config);
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|_| (100, b"paid".to_vec()));
    let servers: Vec<Server> = (0..6)
        .map(|number| {
            let id = format!("s-{number}");
            let ip = ip(40 + number as u8);
            Server::start(
                ip,
                &id,
                "permit-app",
                ZONES[number % 3],
                &arrivals,
                work.clone(),
            )
        })
        .collect();
    for server in &servers {
        server.register(&store, "ready");
    }
    let entries: Vec<Entry> = (0..8)
        .map(|number| {
            let zone = ZONES[number % 3];
            Entry::start(
                &format!("edge-{zone}-{number}"),
                zone,
                1 + number as u8,
                &store,
            )
        })
        .collect();
    for entry in &entries {
        entry.wait_until_ready();
    }
    sleep(4_000);

    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let counter = Arc::new(AtomicU64::new(0));
    // The last entries, which are restarted, get no requests.
    let clients: Vec<_> = (0..15)
        .map(|client| {
            let address = entries[client % STAYING].frontend();
            let (stop, outcomes, counter) = (stop.clone(), outcomes.clone(), counter.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let number = counter.fetch_add(1, Ordering::SeqCst);
                    let request = Request {
                        id: format!("r{number}"),
                        method: "POST",
                        path: format!("/pay/{number}"),
                        key: "key-1".to_owned(),
                        deadline_ms: 3_000,
                        body: b"fee".to_vec(),
                    };
                    let outcome = send(address, &request);
                    lock(&outcomes).push(outcome);
                    sleep(100);
                }
            })
        })
        .collect();
    sleep(2_000);
    let copy = store.copy();
    sleep(1_000);
    let leaving = &servers[4];
    let ack = store.remove("servers", &leaving.id);
    note(format!(
        "store: the entry of server {} is removed",
        leaving.id
    ));
    sleep(1_000);
    if trouble() {
        store.go_away();
        let restarts = std::env::var("RESTART").as_deref() != Ok("0");
        if restarts {
            for entry in &entries[STAYING..] {
                entry.kill();
            }
        }
        sleep(2_000);
        store.come_back(copy);
        if restarts {
            for entry in &entries[STAYING..] {
                entry.launch();
            }
        }
        // What the operator and the workers wrote is written again.
        sleep(500);
        store.put("config", "main", &config);
        sleep(HEARTBEAT_MS - 500);
        for server in servers.iter().filter(|server| server.id != leaving.id) {
            server.register(&store, "ready");
        }
        sleep(2 * HEARTBEAT_MS);
        store.remove("servers", &leaving.id);
        note(format!("store: the entry of server {} expires", leaving.id));
    }
    sleep_until(ack + 10_000);
    leaving.end();
    sleep(1_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let late: Vec<u64> = lock(&arrivals)
        .iter()
        .filter(|arrival| arrival.ran && arrival.server == leaving.id)
        .filter(|arrival| arrival.at > ack + DRAIN_MS + 20)
        .map(|arrival| arrival.at - ack)
        .collect();
    note(format!(
        "{} requests reached the removed server later than DrainMs, {:?} to {:?} ms after the ack",
        late.len(),
        late.iter().min(),
        late.iter().max()
    ));
    if late.is_empty() {
        finish(0, "DRAIN held");
    }
    finish(
        1,
        &format!(
            "DRAIN broken: {} requests reached the removed server later than DrainMs after the ack",
            late.len()
        ),
    );
}
