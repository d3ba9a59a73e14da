//! Clients read long answers slowly. The platform kills a process that exceeds its
//! memory.

mod common;

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// `MemoryMb` of an entry's machine on the users' sheets.
const MEMORY_MB: u64 = 260;

/// Bytes of a long answer: as long as a request body may be (`MaxBodyBytes`).
const LONG_BYTES: usize = 4 << 20;

/// Clients that read long answers, one after the other every few milliseconds.
const READERS: usize = 90;
const READER_SPACING_MS: u64 = 60;

/// Bytes and pause of a slow read.
const SLOW_BYTES: usize = 4 << 10;
const SLOW_PAUSE_MS: u64 = 200;

/// Time limit of the long answers.
const LONG_LIMIT_MS: u64 = 20_000;

fn main() {
    begin();
    let store = Store::start(ip(200));
    let route = |prefix, kind, service, timeout_ms| Route {
        prefix,
        kind,
        service,
        timeout_ms,
        attempts: 2,
    };
    let routes = [
        route("/fee/", "non_idempotent", "permit", 3_000),
        route("/document/", "idempotent", "documents", LONG_LIMIT_MS),
    ];
    store.put(
        "config",
        "main",
        &configuration(7, &routes, &[("clerks", "key-of-clerks")]),
    );
    let arrivals: Arrivals = Arc::default();
    let work: Work = Arc::new(
        |request: &Message| match request.path().starts_with("/document/") {
            true => (5, vec![b'd'; LONG_BYTES]),
            false => (400, b"issued".to_vec()),
        },
    );
    for (number, service) in ["permit", "permit", "documents", "documents"]
        .into_iter()
        .enumerate()
    {
        let number = number as u8;
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
    let entry = Arc::new(Entry::start("edge-a-1", "zone-a", 1, &store));
    entry.wait_until_ready();
    sleep(CONTACT_MS + 500);

    let ending = Arc::new(AtomicBool::new(false));
    let killed: Arc<Mutex<Option<u64>>> = Arc::default();
    let peak = Arc::new(Mutex::new(0));
    {
        let (entry, killed, peak, ending) =
            (entry.clone(), killed.clone(), peak.clone(), ending.clone());
        thread::spawn(move || {
            while !ending.load(Ordering::SeqCst) {
                let resident = entry.resident_kib();
                let mut peak = lock(&peak);
                *peak = resident.max(*peak);
                drop(peak);
                if resident > MEMORY_MB << 10 {
                    note(format!(
                        "{} has {resident} KiB, more than MemoryMb: the platform kills it",
                        entry.name
                    ));
                    *lock(&killed) = Some(now());
                    entry.kill();
                    sleep(500);
                    entry.launch();
                    return;
                }
                sleep(20);
            }
        });
    }
    let address = entry.frontend();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let request = |id: String, path: String, deadline_ms| Request {
        id,
        method: "POST",
        path,
        key: "key-of-clerks".to_owned(),
        deadline_ms,
        body: b"a request".to_vec(),
    };
    let mut clients = Vec::new();
    for client in 0..12 {
        let (ending, outcomes, killed) = (ending.clone(), outcomes.clone(), killed.clone());
        clients.push(thread::spawn(move || {
            let Ok(mut channel) = Channel::open(address) else {
                return;
            };
            for number in 0.. {
                if ending.load(Ordering::SeqCst) || lock(&killed).is_some() {
                    break;
                }
                let outcome = channel.send(&request(
                    format!("fee-{client}-{number}"),
                    format!("/fee/{number}"),
                    3_000,
                ));
                let ended = outcome.ending != Ending::Complete;
                lock(&outcomes).push(outcome);
                if ended {
                    break;
                }
            }
        }));
    }
    let whole = Arc::new(Mutex::new(0));
    let mut readers = Vec::new();
    for reader in 0..READERS {
        let (ending, whole) = (ending.clone(), whole.clone());
        readers.push(thread::spawn(move || {
            let Ok(mut channel) = Channel::open(address) else {
                return;
            };
            let request = request(
                format!("document-{reader}"),
                format!("/document/{reader}"),
                LONG_LIMIT_MS,
            );
            if !trouble() {
                *lock(&whole) += usize::from(channel.send(&request).status == 200);
                return;
            }
            note(format!(
                "sent {} POST {}, reading slowly",
                request.id, request.path
            ));
            if channel.write(&request).is_err() {
                return;
            }
            let mut bytes = [0; SLOW_BYTES];
            while !ending.load(Ordering::SeqCst) {
                if !matches!(channel.stream.read(&mut bytes), Ok(1..)) {
                    return;
                }
                sleep(SLOW_PAUSE_MS);
            }
        }));
        sleep(READER_SPACING_MS);
    }
    sleep(3_000);
    ending.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ran: Vec<String> = lock(&arrivals)
        .iter()
        .filter(|arrival| arrival.ran)
        .map(|arrival| arrival.id.clone())
        .collect();
    let outcomes = lock(&outcomes).clone();
    let lost = outcomes
        .iter()
        .filter(|outcome| outcome.ending == Ending::Closed && ran.contains(&outcome.id));
    let lost: Vec<&Outcome> = lost.collect();
    for outcome in &lost {
        note(format!(
            "LOST {}: passed on to a server, and its kept channel ended without an answer",
            outcome.id
        ));
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    note(format!(
        "peak {} KiB of {}; killed at {:?} ms; {served} fees served, {} lost; {} documents read at once",
        lock(&peak),
        MEMORY_MB << 10,
        lock(&killed),
        lost.len(),
        lock(&whole)
    ));
    if lock(&killed).is_some() && lost.len() > 3 {
        finish(
            1,
            "LOST: the entry exceeds its memory, and the requests in progress get no answer",
        );
    }
    if served < 12 {
        finish(2, "the entry did not serve");
    }
    finish(0, "the entry kept within its memory");
}
