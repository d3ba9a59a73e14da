//! Case: a server leaves while the store cuts off watches that wait.
#[path = "common.rs"]
mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Time after which the store cuts off a watch that is waiting.
const CUT_MS: u64 = 1_000;

/// Time for which the leaving server goes on serving after its entry is gone.
const SERVES_ON_MS: u64 = 12_000;

const ZONES: [&str; 3] = ["ikeja", "alausa", "ogba"];

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
    store.put(
        "config",
        "main",
        &configuration(3, &routes, &[("ward", "key-1")]),
    );
    let arrivals = Arrivals::default();
    let work: Work = Arc::new(|_| (400, b"paid".to_vec()));
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
    if trouble() {
        store.cut_waiting_watches(CUT_MS);
        note(format!(
            "store: a watch that waits is cut off after {CUT_MS} ms from now on"
        ));
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
    // Longer than `ContactMs`, so that all entries are in touch.
    sleep(5_000);

    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let counter = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let address = entries[client % entries.len()].frontend();
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
                    sleep(150);
                }
            })
        })
        .collect();
    sleep(4_000);

    let leaving = &servers[4];
    // It leaves without reporting `draining`: its entry is removed.
    let ack = store.remove("servers", &leaving.id);
    note(format!(
        "store: the entry of server {} is removed",
        leaving.id
    ));
    sleep_until(ack + SERVES_ON_MS);
    leaving.end();
    sleep(3_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let late: Vec<Arrival> = lock(&arrivals)
        .iter()
        .filter(|arrival| arrival.ran && arrival.server == leaving.id)
        .filter(|arrival| arrival.at > ack + DRAIN_MS)
        .cloned()
        .collect();
    let before = lock(&arrivals)
        .iter()
        .filter(|arrival| arrival.server == leaving.id && arrival.at <= ack + DRAIN_MS)
        .count();
    let lost: Vec<Outcome> = lock(&outcomes)
        .iter()
        .filter(|outcome| outcome.status != 200)
        .cloned()
        .collect();
    for outcome in &lost {
        note(format!("not served: {outcome:?}"));
    }
    let last = late
        .iter()
        .map(|arrival| arrival.at - ack)
        .max()
        .unwrap_or(0);
    let sent = lock(&outcomes).len();
    note(format!(
        "{sent} requests; watches cut off: {}; server {}: {before} requests until {DRAIN_MS} ms after the \
         ack, {} later, the last one {last} ms after the ack; requests without a success: {}",
        store.watches_cut(),
        leaving.id,
        late.len(),
        lost.len()
    ));
    if before == 0 {
        finish(2, "the server got no request at all");
    }
    if late.is_empty() {
        finish(0, "DRAIN held");
    }
    let verdict = format!(
        "DRAIN broken: {} requests reached the server that had left, the last {last} ms after the ack",
        late.len()
    );
    finish(1, &verdict);
}
