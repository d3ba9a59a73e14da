//! Servers that fail part of their requests with 429 or 408 after they ran them.
#[path = "../kit-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Fees that clients want issued, each with its own number in the body.
const FEES: usize = 120;
/// One in this many requests fails at the server in trouble, within the site's 0.45.
const FAILS_EACH: usize = 3;

fn main() {
    let trouble = begin(60);
    let store = Store::new();
    let routes = [route("/fees/", "non_idempotent", "permit", 3_000)];
    store.put("config", "main", &configuration(3, &routes, &["permit"]));
    // Runs by attempt, and by the fee that the client wants issued.
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let issued: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    for index in 0..3 {
        let (ran, issued) = (ran.clone(), issued.clone());
        let count = AtomicUsize::new(0);
        let behaviour = move |work: &mut Work| {
            work.read_body()?;
            let (id, fee) = (work.request.attempt(), work.request.body.clone());
            let fee = String::from_utf8_lossy(&fee).trim().to_owned();
            pause(0.06);
            *ran.lock().unwrap().entry(id.clone()).or_default() += 1;
            *issued.lock().unwrap().entry(fee.clone()).or_default() += 1;
            let fails = index == 0 && count.fetch_add(1, Ordering::SeqCst) % FAILS_EACH == 0;
            let status = match (fails, trouble, id.as_bytes().last().unwrap() % 2) {
                (false, ..) => 200,
                (true, false, _) => 500,
                (true, true, 0) => 429,
                (true, true, _) => 408,
            };
            note(&format!("{} ran {id} for {fee}, answers {status}", work.server.id));
            work.answer(status, "the server's own words")
        };
        Server::start(&store, "permit", &format!("i-{index}"), Arc::new(behaviour));
    }
    let gate = store.listen();
    let entry = Entry::start(gate.address, "edge-1", "ikeja");
    let callers = entry.callers;
    pause(1.0);
    let told: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (told, next) = (told.clone(), next.clone());
            std::thread::spawn(move || loop {
                let fee = next.fetch_add(1, Ordering::SeqCst);
                if fee >= FEES {
                    return;
                }
                let mut call = Call::new("POST", "/fees/2f", "key-a");
                call.deadline_ms = 3_000;
                call.body = format!("{:<600}", format!("fee-{fee}")).into_bytes();
                // After a promise that it has not run, the client tries once more.
                for _ in 0..2 {
                    let (id, answer) = call.send(callers);
                    let status = status(&answer);
                    note(&format!("fee-{fee} as {id}: {status}"));
                    told.lock().unwrap().push((id, status));
                    if ![408, 421, 429, 503].contains(&status) {
                        break;
                    }
                    std::thread::sleep(retry_after(&answer));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    let (ran, issued, told) = (ran.lock().unwrap(), issued.lock().unwrap(), told.lock().unwrap());
    let promised = told.iter().filter(|(_, status)| [408, 421, 429, 503].contains(status));
    let false_promises = promised.filter(|(id, _)| ran.contains_key(id)).count();
    let twice = issued.values().filter(|runs| **runs > 1).count();
    say(&format!(
        "requests {}, answered as not run though they ran {false_promises}; fees issued twice {twice} of {FEES}",
        told.len()
    ));
    verdict("REFUSED", false_promises > 0);
}
