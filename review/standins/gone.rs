//! One of three servers leaves without reporting that it drains: its entry in the
//! store is removed.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Time for which a leaving server still serves beyond `DrainMs`: a little longer.
const LINGER_MS: u64 = 220;

/// Margin beyond the bound, for the clocks of the stand-ins.
const MARGIN_MS: u64 = 20;

fn main() {
    begin();
    let store = Store::start(ip(200));
    let route = Route {
        prefix: "/fee/",
        kind: "non_idempotent",
        service: "permit",
        timeout_ms: 1_500,
        attempts: 1,
    };
    store.put(
        "config",
        "main",
        &configuration(7, &[route], &[("clerks", "key-of-clerks")]),
    );
    let arrivals: Arrivals = Arc::default();
    let work: Work = Arc::new(|_: &Message| (60, b"issued".to_vec()));
    let mut servers = Vec::new();
    for number in 0..3u8 {
        let server = Server::start(
            ip(100 + number),
            &format!("i-{number}"),
            "permit",
            "zone-a",
            &arrivals,
            work.clone(),
        );
        server.register(&store, "ready");
        servers.push(server);
    }
    let zones = [
        ("edge-a-1", "zone-a"),
        ("edge-b-1", "zone-b"),
        ("edge-c-1", "zone-c"),
    ];
    let mut entries = Vec::new();
    for (number, (name, zone)) in zones.into_iter().enumerate() {
        entries.push(Entry::start(name, zone, number as u8 + 1, &store));
    }
    entries.iter().for_each(Entry::wait_until_ready);
    sleep(CONTACT_MS + 1_000);

    let ending = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    for entry in &entries {
        for client in 0..6 {
            let (address, name) = (entry.frontend(), entry.name.clone());
            let (ending, outcomes) = (ending.clone(), outcomes.clone());
            clients.push(thread::spawn(move || {
                let mut channel = Channel::open(address).expect("channel");
                for number in 0.. {
                    if ending.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = Request {
                        id: format!("{client}@{name}-{number}"),
                        method: "POST",
                        path: format!("/fee/{number}"),
                        key: "key-of-clerks".to_owned(),
                        deadline_ms: 1_500,
                        body: b"a fee".to_vec(),
                    };
                    let outcome = channel.send(&request);
                    if outcome.ending != Ending::Complete {
                        channel = Channel::open(address).expect("channel");
                    }
                    lock(&outcomes).push(outcome);
                    sleep(20);
                }
            }));
        }
    }
    sleep(1_500);
    let leaving = &servers[0];
    let acked = if trouble() {
        let acked = store.remove("servers", &leaving.id);
        note(format!(
            "store: the entry of server {} is removed",
            leaving.id
        ));
        acked
    } else {
        leaving.register(&store, "draining")
    };
    sleep_until(acked + DRAIN_MS + LINGER_MS);
    leaving.end();
    sleep(1_000);
    ending.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let bound = acked + DRAIN_MS + MARGIN_MS;
    let sent_late = |id: &str| {
        let outcomes = lock(&outcomes);
        outcomes
            .iter()
            .find(|outcome| outcome.id == id)
            .is_some_and(|outcome| outcome.sent_at > bound)
    };
    let all = lock(&arrivals).clone();
    let late: Vec<&Arrival> = all
        .iter()
        .filter(|arrival| {
            arrival.server == leaving.id
                && arrival.ran
                && arrival.at > bound
                && sent_late(&arrival.id)
        })
        .collect();
    for arrival in &late {
        note(format!(
            "DRAIN {}: reached {} {} ms after the ack that it is gone",
            arrival.id,
            arrival.server,
            arrival.at - acked
        ));
    }
    let ids: Vec<&str> = late.iter().map(|arrival| &*arrival.id).collect();
    let unanswered = lock(&outcomes)
        .iter()
        .filter(|outcome| ids.contains(&&*outcome.id) && outcome.status != 200)
        .count();
    note(format!(
        "{unanswered} of these clients got no answer of the server, which ended"
    ));
    let served = lock(&outcomes)
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    note(format!(
        "{served} requests served; {} reached the server later than DrainMs after the ack",
        late.len()
    ));
    if !late.is_empty() {
        finish(
            1,
            "DRAIN: requests reach a server later than DrainMs after the ack that it is gone",
        );
    }
    if served < 100 {
        finish(2, "the entries did not serve");
    }
    finish(0, "the server got no request after DrainMs");
}
