//! A planned stop of an entry while clients that hold an older directory answer still
//! open channels to it.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Time limit of the streams, as on the users' sheets.
const STREAM_LIMIT_MS: u64 = 8_000;

/// Time limit of `fee-issue` on the users' sheet.
const FEE_LIMIT_MS: u64 = 3_000;

/// Time for which a server works on a fee, inside the limit.
const FEE_WORK_MS: u64 = 2_400;

/// Longest time for which clients keep a directory answer: three times its `TtlS`.
const KEPT: u64 = 3;

fn main() {
    begin();
    let store = Store::start(ip(200));
    let route = |prefix, kind, service, timeout_ms| Route {
        prefix,
        kind,
        service,
        timeout_ms,
        attempts: 1,
    };
    let routes = [
        route("/fee/", "non_idempotent", "permit", FEE_LIMIT_MS),
        route("/draft/", "streaming", "drafts", STREAM_LIMIT_MS),
    ];
    store.put(
        "config",
        "main",
        &configuration(7, &routes, &[("clerks", "key-of-clerks")]),
    );
    let arrivals: Arrivals = Arc::default();
    let work: Work = Arc::new(|request: &Message| {
        let short = request.path().starts_with("/fee/short");
        (if short { 15 } else { FEE_WORK_MS }, b"issued".to_vec())
    });
    for number in 0..4u8 {
        let service = if number == 0 { "drafts" } else { "permit" };
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
    let entries = [
        Entry::start("edge-a-1", "zone-a", 1, &store),
        Entry::start("edge-b-1", "zone-b", 2, &store),
    ];
    entries.iter().for_each(Entry::wait_until_ready);
    sleep(CONTACT_MS + 500);

    let stopped = &entries[0];
    let address: SocketAddr = stopped.frontend();
    let request = |id: String, path: String, deadline_ms| Request {
        id,
        method: "POST",
        path,
        key: "key-of-clerks".to_owned(),
        deadline_ms,
        body: b"a request".to_vec(),
    };
    let before = send(
        address,
        &request("before".to_owned(), "/fee/short".to_owned(), FEE_LIMIT_MS),
    );
    if before.status != 200 {
        finish(2, "the entry did not serve before the stop");
    }
    let (status, answer) = fetch(
        stopped.directory(),
        &format!("/v1/resolve?Name={HOST}&Region=r&Zone=zone-a"),
    );
    let asked = now();
    note(format!("directory of {}: {status} {answer}", stopped.name));
    let ttl = answer
        .split("\"TtlS\":")
        .nth(1)
        .and_then(|rest| rest.trim_end_matches('}').trim().parse::<u64>().ok());
    let (true, Some(ttl)) = (answer.contains(&address.to_string()), ttl) else {
        finish(2, "the directory does not name the entry");
    };
    let kept_until = asked + KEPT * ttl * 1_000;

    // An ordinary stream that began before the stop and ends well inside `GraceS`.
    let draft = request("draft".to_owned(), "/draft/1".to_owned(), STREAM_LIMIT_MS);
    let draft = thread::spawn(move || send(address, &draft));
    sleep(100);
    let term = now();
    if trouble() {
        stopped.signal(SIGTERM);
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    // All later than 3 s after the signal, and while the directory answer is kept.
    for number in 0..10u64 {
        let at = term + 4_000 + number * 200;
        if at > kept_until {
            break;
        }
        let request = request(
            format!("fee-{number}"),
            format!("/fee/{number}"),
            FEE_LIMIT_MS,
        );
        let outcomes = outcomes.clone();
        clients.push(thread::spawn(move || {
            sleep_until(at);
            let outcome = send(address, &request);
            lock(&outcomes).push(outcome);
        }));
    }
    if trouble() {
        sleep_until(term + GRACE_MS);
        if !stopped.has_ended() {
            stopped.signal(SIGKILL);
        }
        note(format!(
            "{} has ended: {}",
            stopped.name,
            stopped.has_ended()
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    let draft = draft.join();
    sleep(500);
    let outcomes = lock(&outcomes).clone();
    let (mut lost, mut answered, mut refused) = (0, 0, 0);
    for outcome in &outcomes {
        let ran = lock(&arrivals)
            .iter()
            .any(|arrival| arrival.id == outcome.id && arrival.ran);
        match (outcome.status, outcome.ending, ran) {
            (200, Ending::Complete, _) => answered += 1,
            (_, Ending::Complete, _) => refused += 1,
            (_, Ending::Closed, true) if outcome.ended_at < outcome.sent_at + FEE_LIMIT_MS => {
                lost += 1;
                note(format!(
                    "LOST {}: sent {} ms after SIGTERM, passed on to a server, and its channel ended \
                     {} ms after SIGTERM without an answer",
                    outcome.id,
                    outcome.sent_at - term,
                    outcome.ended_at - term
                ));
            }
            _ => {}
        }
    }
    let count = outcomes.len();
    note(format!(
        "stream: {:?}",
        draft.map(|draft| (draft.status, draft.ending))
    ));
    note(format!(
        "{count} fees: {answered} answered, {refused} refused, {lost} lost"
    ));
    if lost > 0 {
        finish(
            1,
            "LOST: accepted requests got no answer around a planned stop",
        );
    }
    if !trouble() && answered != count {
        finish(2, "requests were not served without the stop");
    }
    finish(0, "no request was lost");
}
