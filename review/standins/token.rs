//! Case: one part of a prompt crashes each server that begins to write an answer on
//! it, right after the first event.
#[path = "common.rs"]
mod common;
#[path = "model.rs"]
mod model;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;
use model::*;

/// Crashes that the rule allows for before its bound begins, and the requests that it
/// allows later.
const CRASHES: usize = 5;
const MOST_LATER: usize = 3;

fn main() {
    begin();
    // For comparison: a crash before the first event.
    let crash = match std::env::var("CRASH").as_deref() {
        Ok("before") => Crash::BeforeFirstEvent,
        _ => Crash::AfterFirstEvent,
    };
    let fleet = Fleet::start(8, 4, crash);

    let stop = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..16)
        .map(|client: usize| {
            let entry = fleet.entries[client % fleet.entries.len()].frontend();
            let (stop, sound) = (stop.clone(), sound.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("sound-{client}-{number}");
                    let prompt = format!("a{}:40,{client:04x}{number:04x}:660", client % 4);
                    let answer = stream(entry, &id, "key-1", &prompt);
                    lock(&sound).push((now(), answer));
                    number += 1;
                    sleep(200);
                }
            })
        })
        .collect();
    // Sound requests alone.
    sleep(8_000);
    note("requests with the deadly part come from now on");
    let begun = now();
    let mut number = 0;
    while now() < begun + 30_000 {
        let entry = fleet.entries[number % fleet.entries.len()].frontend();
        let id = format!("bad-{number}");
        let prompt = format!("a{}:40,{DEADLY}:300,b{number:06x}:360", number % 4);
        thread::spawn(move || stream(entry, &id, "key-1", &prompt));
        number += 1;
        sleep(1_000);
    }
    sleep(2_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let crashes = lock(&fleet.seen.crashes).clone();
    let runs = lock(&fleet.seen.runs).clone();
    let sound = lock(&sound);
    let cut = |from: u64, to: u64| {
        let within = sound.iter().filter(|seen| (from..to).contains(&seen.0));
        let whole = |answer: &(u16, Ending, usize)| (answer.0, answer.1) == (200, Ending::Complete);
        let all = within.clone().count();
        (all - within.filter(|seen| whole(&seen.1)).count(), all)
    };
    let bad = runs.iter().filter(|run| run.deadly).count();
    let (before, during) = (cut(0, begun), cut(begun, u64::MAX));
    note(format!(
        "{number} requests with the part were sent, {bad} runs of them reached servers; {} crashes; sound \
         streams not whole: {} of {} before, {} of {} while such requests came",
        crashes.len(),
        before.0,
        before.1,
        during.0,
        during.1
    ));
    if !trouble() {
        if crashes.is_empty() && bad >= number {
            finish(0, "BUDGET held: no server crashed");
        }
        finish(2, "the case could not run without the disruption");
    }
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        finish(0, "BUDGET held: fewer than five crashes");
    };
    let later = runs
        .iter()
        .filter(|run| run.deadly && run.at > fifth + CONTACT_MS);
    let later = later.count();
    note(format!(
        "fifth crash at {fifth} ms; {later} requests with the part reached servers later than {CONTACT_MS} ms after it"
    ));
    if later <= MOST_LATER {
        finish(0, "BUDGET held");
    }
    let verdict = format!(
        "BUDGET broken: {later} requests with the part reached servers later than ContactMs after the fifth crash"
    );
    finish(1, &verdict);
}
