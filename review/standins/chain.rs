//! Case: one part of a prompt crashes each server that begins to write an answer on
//! it; the prompts are those of long conversations.
#[path = "common.rs"]
mod common;
#[path = "model.rs"]
mod model;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::*;
use model::*;

/// Earlier turns of a conversation, each a part of the prompt.
const TURNS: usize = 40;

/// Crashes that the rule allows for before its bound begins, and the requests that it
/// allows later.
const CRASHES: usize = 5;
const MOST_LATER: usize = 3;

fn turns(conversation: usize) -> String {
    let turns = (0..TURNS).map(|turn| format!("7{conversation:05x}{turn:02x}:15,"));
    turns.collect()
}

fn main() {
    begin();
    let fleet = Fleet::start(8, 4, Crash::BeforeFirstEvent);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..16)
        .map(|client: usize| {
            let entry = fleet.entries[client % fleet.entries.len()].frontend();
            let stop = stop.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("sound-{client}-{number}");
                    let prompt = format!("a{}:40,{client:04x}{number:04x}:660", client % 4);
                    stream(entry, &id, "key-1", &prompt);
                    number += 1;
                    sleep(200);
                }
            })
        })
        .collect();
    sleep(8_000);
    note("requests with the deadly part come from now on");
    let begun = now();
    let mut number = 0;
    while now() < begun + 30_000 {
        let entry = fleet.entries[number % fleet.entries.len()].frontend();
        let id = format!("bad-{number}");
        let prompt = format!(
            "a{}:40,{}{DEADLY}:300,b{number:06x}:60",
            number % 4,
            turns(number)
        );
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
    let bad = runs.iter().filter(|run| run.deadly).count();
    note(format!(
        "{number} requests with the part were sent, {bad} runs of them reached servers; {} crashes",
        crashes.len()
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
        .filter(|run| run.deadly && run.at > fifth + CONTACT_MS)
        .count();
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
