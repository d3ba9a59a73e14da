//! A part of a prompt that crashes servers, behind more than 32 shared parts.

include!("kit.rs");

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::*;

/// Shared parts before the part that crashes servers, or `PARTS`.
const SHARED_PARTS: usize = 40;

const DEADLY: &str = "dead0001";

/// Most requests with the part that may reach servers after the bound.
const ALLOWED: usize = 3;

/// Crashes from which on the bound counts.
const CRASHES: usize = 5;

fn answer(_: &Server, request: &Message, stream: &mut TcpStream) -> std::io::Result<bool> {
    thread::sleep(Duration::from_millis(30));
    start_events(request, stream)?;
    let prompt = request.header("berylgw-prompt-prefix").unwrap_or("");
    for number in 1..=10 {
        write_event(stream, number)?;
        if prompt.contains(DEADLY) {
            stream.flush()?;
            thread::sleep(Duration::from_millis(5));
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(40));
    }
    end_events(stream)?;
    Ok(false)
}

fn main() {
    kit::main(|record| {
        let shared_parts = std::env::var("PARTS").ok().and_then(|parts| parts.parse().ok());
        let shared_parts: usize = shared_parts.unwrap_or(SHARED_PARTS);
        let parts: Vec<String> = (0..shared_parts).map(|part| format!("a{part:03x}:20")).collect();
        let shared = parts.join(",");
        let store = Store::start()?;
        let servers: Vec<Server> = (0..4)
            .map(|index| {
                let id = format!("i-{index}");
                Server::start(&id, "model", &store, record, Arc::new(answer))
            })
            .collect::<Result<_>>()?;
        let routes = [route("/notes/", "streaming", "model", 8_000)];
        let main = configuration(&routes, "model", &[("growers", "key-1")]);
        store.put("config", "main", &main);
        let entries: Vec<Entry> = [("edge-1", "127.0.0.1"), ("edge-2", "127.0.0.2")]
            .iter()
            .map(|(name, host)| Entry::start(&store, name, "shed", host))
            .collect::<Result<_>>()?;
        for entry in &entries {
            entry.wait_until_ready()?;
        }
        let broken_off = Arc::new(Mutex::new(BTreeSet::new()));
        let flow = |label: &'static str, parts: &str, count: usize, pause_ms: u64| {
            let (entries, record, parts) = (entries.clone(), record.clone(), parts.to_owned());
            let broken_off = broken_off.clone();
            thread::spawn(move || {
                let mut calls = Vec::new();
                for number in 0..count {
                    let call = Call {
                        id: format!("{label}-{number}"),
                        path: "/notes/a".to_owned(),
                        key: "key-1".to_owned(),
                        deadline_ms: 8_000,
                        // The last part belongs to the request itself.
                        parts: format!("{parts},{label}{number}:50"),
                    };
                    let address = entries[number % entries.len()].callers;
                    let (record, broken_off) = (record.clone(), broken_off.clone());
                    calls.push(thread::spawn(move || {
                        let answer = send(address, &call, &record);
                        let whole = answer.is_ok_and(|answer| {
                            answer.complete && matches!(answer.status(), 200 | 503)
                        });
                        if !whole {
                            broken_off.lock().unwrap().insert(call.id);
                        }
                    }));
                    thread::sleep(Duration::from_millis(pause_ms));
                }
                calls.into_iter().for_each(|call| drop(call.join()));
            })
        };
        flow("before", &shared, 40, 200).join().ok();
        let deadly = trouble().then(|| {
            flow("deadly", &format!("{shared},{DEADLY}:60"), 30, 1_000)
        });
        flow("sound", &shared, 150, 200).join().ok();
        deadly.map(|deadly| deadly.join().ok());

        let mut crashes: Vec<u64> = servers
            .iter()
            .flat_map(|server| server.crashes.lock().unwrap().clone())
            .collect();
        crashes.sort_unstable();
        let arrivals = servers.iter().flat_map(|server| server.arrivals.lock().unwrap().clone());
        let arrivals: Vec<(u64, String)> =
            arrivals.filter(|arrival| arrival.1.starts_with("deadly")).collect();
        let bound = crashes.get(CRASHES - 1).map(|at| at + CONTACT_MS);
        let late = arrivals.iter().filter(|arrival| bound.is_some_and(|at| arrival.0 > at)).count();
        let broken_off = broken_off.lock().unwrap();
        let sound = broken_off.iter().filter(|id| id.starts_with("sound")).count();
        record.note(&format!(
            "{shared_parts} shared parts: {} crashes, {} requests with the part reached servers, \
             {late} of them later than {CONTACT_MS} ms after crash {CRASHES} (allowed {ALLOWED}); \
             {sound} of 150 sound requests ended without a whole answer or a refusal",
            crashes.len(),
            arrivals.len(),
        ));
        Ok(late > ALLOWED)
    });
}
