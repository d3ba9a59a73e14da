//! The three entries that watch the store are killed at the same moment; then an API
//! key is taken away and a route moves to another service.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Time for which the killed machines are without power.
const DOWN_MS: u64 = 3_500;

/// Time between the kill and the change of the configuration.
const CHANGE_AFTER_MS: u64 = 100;

/// Margin beyond the bound, for the clocks of the stand-ins.
const MARGIN_MS: u64 = 20;

const OLD_SERVICE: &str = "old-app";
const NEW_SERVICE: &str = "new-app";

fn main() {
    begin();
    let store = Store::start(ip(200));
    let route = |service| Route {
        prefix: "/fee/",
        kind: "non_idempotent",
        service,
        timeout_ms: 1_500,
        attempts: 1,
    };
    let fixed = || Route {
        prefix: "/look/",
        kind: "idempotent",
        service: NEW_SERVICE,
        timeout_ms: 1_500,
        attempts: 2,
    };
    let spare = || Route {
        prefix: "/spare/",
        kind: "idempotent",
        service: OLD_SERVICE,
        timeout_ms: 1_500,
        attempts: 2,
    };
    let both = [("clerks", "key-of-clerks"), ("traders", "key-of-traders")];
    store.put(
        "config",
        "main",
        &configuration(7, &[route(OLD_SERVICE), fixed(), spare()], &both),
    );
    let arrivals: Arrivals = Arc::default();
    let work: Work = Arc::new(|_: &Message| (15, b"done".to_vec()));
    for number in 0..4u8 {
        let service = if number < 2 { OLD_SERVICE } else { NEW_SERVICE };
        let server = Server::start(
            ip(100 + number),
            &format!("i-{number}"),
            service,
            "zone-a",
            &arrivals,
            work.clone(),
        );
        server.register(&store, "ready");
    }
    // Observers are the first entries by name of each zone.
    let names = [
        ("edge-a-1", "zone-a"),
        ("edge-b-1", "zone-b"),
        ("edge-c-1", "zone-c"),
        ("edge-a-2", "zone-a"),
        ("edge-b-2", "zone-b"),
    ];
    let mut entries = Vec::new();
    for (number, (name, zone)) in names.into_iter().enumerate() {
        entries.push(Entry::start(name, zone, number as u8 + 1, &store));
    }
    entries.iter().for_each(Entry::wait_until_ready);
    sleep(CONTACT_MS + 1_000);

    // Clients with open channels to the two entries that stay, with both keys.
    let ending = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    for entry in &entries[3..] {
        for (account, key) in both {
            let (address, name) = (entry.frontend(), entry.name.clone());
            let (ending, outcomes) = (ending.clone(), outcomes.clone());
            clients.push(thread::spawn(move || {
                let mut channel = Channel::open(address).expect("channel");
                for number in 0.. {
                    if ending.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = Request {
                        id: format!("{account}@{name}-{number}"),
                        method: "POST",
                        path: format!("/fee/{number}"),
                        key: key.to_owned(),
                        deadline_ms: 1_500,
                        body: b"a fee".to_vec(),
                    };
                    let outcome = channel.send(&request);
                    if outcome.ending != Ending::Complete {
                        channel = Channel::open(address).expect("channel");
                    }
                    lock(&outcomes).push(outcome);
                    sleep(40);
                }
            }));
        }
    }
    sleep(2_000);
    let killed = now();
    if trouble() {
        entries[..3].iter().for_each(|entry| entry.signal(SIGKILL));
    }
    sleep_until(killed + CHANGE_AFTER_MS);
    let changed = configuration(8, &[route(NEW_SERVICE), fixed(), spare()], &both[..1]);
    let acked = store.put("config", "main", &changed);
    note(format!(
        "store: version 8 acked {} ms after the kill; key of traders removed, /fee/ moved",
        acked - killed
    ));
    sleep_until(killed + DOWN_MS);
    if trouble() {
        entries[..3].iter().for_each(Entry::launch);
    }
    sleep_until(acked + 6_000);
    ending.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let bound = acked + CONFIG_APPLY_MS + MARGIN_MS;
    let outcomes = lock(&outcomes).clone();
    let arrivals = lock(&arrivals).clone();
    let (mut checked, mut key_runs, mut old_runs, mut applied) = (0, 0, 0, 0);
    for outcome in outcomes.iter().filter(|outcome| outcome.sent_at > bound) {
        checked += 1;
        let late = outcome.sent_at - acked;
        let Some(run) = arrivals
            .iter()
            .find(|arrival| arrival.id == outcome.id && arrival.ran)
        else {
            applied += usize::from(outcome.status == 401 && outcome.id.starts_with("traders"));
            continue;
        };
        let old = ["i-0", "i-1"].contains(&&*run.server);
        if outcome.id.starts_with("traders") {
            key_runs += 1;
            note(format!(
                "CONFIG {}: sent {late} ms after the ack, run at {} with a key that was taken away",
                outcome.id, run.server
            ));
        } else if old {
            old_runs += 1;
            note(format!(
                "CONFIG {}: sent {late} ms after the ack, run at {} of the old service",
                outcome.id, run.server
            ));
        } else {
            applied += 1;
        }
    }
    note(format!(
        "{checked} requests sent later than {CONFIG_APPLY_MS} ms after the ack: {key_runs} run with the \
         removed key, {old_runs} run by the old service, {applied} handled as version 8 says"
    ));
    if key_runs + old_runs > 0 {
        finish(
            1,
            "CONFIG: requests are handled as only an older version allows",
        );
    }
    if applied == 0 || outcomes.iter().all(|outcome| outcome.status != 200) {
        finish(2, "the entries did not serve");
    }
    finish(0, "the change was in force in time");
}
