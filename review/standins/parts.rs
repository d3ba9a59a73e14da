//! Case: a client account's first request holds a part that crashes servers, behind a
//! part that all of its requests share.
#[path = "common.rs"]
mod common;
#[path = "model.rs"]
mod model;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;
use model::*;

/// While deadly requests come.
const DEADLY_MS: u64 = 28_000;

/// Time of sound requests after the last deadly one.
const AFTER_MS: u64 = 45_000;

fn main() {
    begin();
    let fleet = Fleet::start(8, 4, Crash::BeforeFirstEvent);
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..24)
        .map(|client: usize| {
            let entry = fleet.entries[client % fleet.entries.len()].frontend();
            let stop = stop.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    let prompt = format!("a{}:40,{client:04x}{number:04x}:660", client % 4);
                    stream(entry, &format!("other-{client}-{number}"), "key-1", &prompt);
                    number += 1;
                    sleep(200);
                }
            })
        })
        .collect();
    sleep(8_000);

    // The account `desk` begins its work: all of its prompts begin with `c0ffee01`.
    let begun = now();
    note("the account desk begins its work");
    let bad = {
        let entries: Vec<_> = fleet.entries.iter().map(Entry::frontend).collect();
        thread::spawn(move || {
            let mut number = 0;
            while now() < begun + DEADLY_MS {
                let entry = entries[number % entries.len()];
                let id = format!("bad-{number}");
                let prompt = format!("c0ffee01:40,{DEADLY}:300,b{number:06x}:360");
                thread::spawn(move || stream(entry, &id, "key-2", &prompt));
                number += 1;
                sleep(1_000);
            }
        })
    };
    sleep(300);
    let sound = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut number = 0;
    while now() < begun + DEADLY_MS + AFTER_MS {
        let entry = fleet.entries[number % fleet.entries.len()].frontend();
        let sound = sound.clone();
        clients.push(thread::spawn(move || {
            let id = format!("sound-{number}");
            let prompt = format!("c0ffee01:40,5{number:06x}:660");
            let at = now();
            let answer = stream(entry, &id, "key-2", &prompt);
            lock(&sound).push((at, id, answer));
        }));
        number += 1;
        sleep(500);
    }
    stop.store(true, Ordering::SeqCst);
    for client in others.into_iter().chain(clients) {
        let _ = client.join();
    }
    let _ = bad.join();

    let crashes = lock(&fleet.seen.crashes).clone();
    let runs = lock(&fleet.seen.runs).clone();
    let sound = lock(&sound);
    // The fifth crash, or the last if there are fewer.
    let last = crashes.get(4).or(crashes.last()).copied().unwrap_or(begun);
    let share = |from: u64, to: u64| {
        let sent = sound.iter().filter(|sent| (from..to).contains(&sent.0));
        let begins = |id: &str| runs.iter().any(|run| run.id == id);
        let all = sent.clone().count();
        (sent.filter(|sent| begins(&sent.1)).count(), all)
    };
    let during = share(last + 2 * CONTACT_MS, begun + DEADLY_MS);
    let outside = share(begun + DEADLY_MS + CONTACT_MS, u64::MAX);
    note(format!(
        "{} crashes, at {crashes:?}; sound requests of desk that began at the first attempt: {} of {} from \
         {} ms on while deadly ones came, {} of {} from {CONTACT_MS} ms after them",
        crashes.len(),
        during.0,
        during.1,
        last + 2 * CONTACT_MS,
        outside.0,
        outside.1
    ));
    if during.1 < 20 || outside.1 < 20 {
        finish(2, "too few sound requests");
    }
    // Less than half as often: a/b < c/d / 2.
    if 2 * during.0 * outside.1 < outside.0 * during.1 {
        let verdict = format!(
            "LOST broken: {} of {} sound requests began while deadly ones came, {} of {} outside",
            during.0, during.1, outside.0, outside.1
        );
        finish(1, &verdict);
    }
    finish(0, "LOST held");
}
