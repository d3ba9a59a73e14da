//! Another writer leaves an entry among the servers in the store that cannot be read.
//! Then a sound server drains.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Time for which a draining server still serves beyond `DrainMs`.
const LINGER_MS: u64 = 1_500;

/// Margin beyond the bound, for the clocks of the stand-ins.
const MARGIN_MS: u64 = 20;

/// The value of the unreadable entry: a string of bytes that are no text, as a writer of
/// JSON escapes them.
const UNREADABLE: &str = "\"\\udc80\\udcff\\udc9f\"";

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
    for number in 0..4u8 {
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
    sleep(CONTACT_MS + 500);

    let ending = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    for entry in &entries {
        for client in 0..3 {
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
                    sleep(30);
                }
            }));
        }
    }
    sleep(1_000);
    if trouble() {
        let value = std::env::var("VALUE").unwrap_or(UNREADABLE.to_owned());
        note(format!(
            "store: another writer has left servers/i-other, which cannot be read: {value:.100}"
        ));
        store.put("servers", "i-other", &value);
    }
    sleep(1_000);
    let leaving = &servers[0];
    let acked = leaving.register(&store, "draining");
    sleep_until(acked + DRAIN_MS + LINGER_MS);
    leaving.end();
    // For the record only: a machine that is added now.
    let added = Entry::start("edge-a-2", "zone-a", 4, &store);
    added.wait_until_ready();
    let mut served_by_added = 0;
    for number in 0..20 {
        let request = Request {
            id: format!("added-{number}"),
            method: "POST",
            path: format!("/fee/{number}"),
            key: "key-of-clerks".to_owned(),
            deadline_ms: 1_500,
            body: b"a fee".to_vec(),
        };
        served_by_added += usize::from(send(added.frontend(), &request).status == 200);
        sleep(100);
    }
    note(format!(
        "a machine that was added then served {served_by_added} of 20 requests"
    ));
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
            "DRAIN {}: reached {} {} ms after the ack that it drains",
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
            "DRAIN: requests reach a server later than DrainMs after the ack that it drains",
        );
    }
    if served < 100 {
        finish(2, "the entries did not serve");
    }
    finish(0, "the server got no request after DrainMs");
}
