//! Bodies that clients send in chunks.
#[path = "kit.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Clients of streams, about as many streams as the site has at one entry at a time.
const STREAM_CLIENTS: usize = 14;

static STOP: AtomicBool = AtomicBool::new(false);

#[derive(Default)]
struct Seen {
    /// Time, route and status of each request.
    answers: Vec<(f64, &'static str, u16)>,
    /// Statuses of requests of `/fees/` by id, as the client got them.
    fees: HashMap<String, u16>,
    /// Ids of requests of `/fees/` that ran.
    ran: Vec<String>,
}

fn main() {
    let trouble = begin(90);
    let store = Store::new();
    let first = vec![route("/notes/", "streaming", "model", 8_000)];
    let services = ["model", "permit"];
    store.put("config", "main", &configuration(3, &first, &services));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for index in 0..4 {
        let behaviour = |work: &mut Work| {
            work.read_body()?;
            note(&format!("{} runs {}", work.server.id, work.request.attempt()));
            work.begin_stream()?;
            work.write_events(1, 28, Duration::from_millis(90))
        };
        Server::start(&store, "model", &format!("i-m{index}"), Arc::new(behaviour));
    }
    for index in 0..2 {
        let seen = seen.clone();
        let behaviour = move |work: &mut Work| {
            work.read_body()?;
            let id = work.request.attempt();
            note(&format!("{} runs {id} {}", work.server.id, work.request.line));
            pause(0.06);
            if work.request.word(1).starts_with("/fees/") {
                seen.lock().unwrap().ran.push(id);
            }
            work.answer(200, &"y".repeat(800))
        };
        Server::start(&store, "permit", &format!("i-p{index}"), Arc::new(behaviour));
    }
    let gate = store.listen();
    let entry = Entry::start(gate.address, "edge-1", "ikeja");
    let callers = entry.callers;
    pause(1.0);
    // Planned work: two routes are added.
    let mut routes = first;
    routes.push(route("/fees/", "non_idempotent", "permit", 3_000));
    routes.push(route("/looks/", "idempotent", "permit", 3_000));
    store.put("config", "main", &configuration(7, &routes, &services));
    note("version 7 acknowledged: /fees/ and /looks/ added");
    pause(4.0);
    let steady = now();
    let mut clients = Vec::new();
    for client in 0..STREAM_CLIENTS {
        let seen = seen.clone();
        clients.push(std::thread::spawn(move || {
            pause(client as f64 * 0.05);
            while !STOP.load(Ordering::SeqCst) {
                let mut call = Call::new("POST", "/notes/2f", "key-a");
                call.body = vec![b'z'; 710];
                call.chunked = trouble;
                ask(&seen, "/notes/", &call, callers);
            }
        }));
    }
    for client in 0..4 {
        let seen = seen.clone();
        clients.push(std::thread::spawn(move || {
            pause(1.5);
            while !STOP.load(Ordering::SeqCst) {
                let (method, path, route) = match client % 2 {
                    0 => ("POST", "/fees/2f", "/fees/"),
                    _ => ("GET", "/looks/2f", "/looks/"),
                };
                let mut call = Call::new(method, path, "key-b");
                call.deadline_ms = 3_000;
                ask(&seen, route, &call, callers);
                pause(0.3);
            }
        }));
    }
    pause(25.0);
    STOP.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    let seen = seen.lock().unwrap();
    let served = |route: &[&str]| {
        let of_route = seen.answers.iter().filter(|(at, of, _)| *at > steady && route.contains(of));
        let all = of_route.clone().count();
        (of_route.filter(|(.., status)| *status == 200).count(), all)
    };
    let (first, later) = (served(&["/notes/"]), served(&["/fees/", "/looks/"]));
    let lost = seen.ran.iter().filter(|id| seen.fees.get(*id).is_some_and(|status| *status != 200));
    say(&format!("first route: {} of {} served; {:?}", first.0, first.1, count(&seen, "/notes/")));
    say(&format!("later routes: {} of {} served; fees {:?}, looks {:?}", later.0, later.1,
        count(&seen, "/fees/"), count(&seen, "/looks/")));
    say(&format!(
        "fees that ran: {}, of them answered with a failure though the server answered 200: {}",
        seen.ran.len(),
        lost.count()
    ));
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    verdict("CONFIG", later.1 >= 20 && share(later) < share(first) / 4.0);
}

/// Sends a request and, after a promise that it has not run, once more.
fn ask(seen: &Mutex<Seen>, route: &'static str, call: &Call, entry: std::net::SocketAddr) {
    for _ in 0..2 {
        let at = now();
        let (id, answer) = call.send(entry);
        let status = status(&answer);
        note(&format!("{} {} {id}: {status}", call.method, call.path));
        let mut seen = seen.lock().unwrap();
        seen.answers.push((at, route, status));
        if route == "/fees/" {
            seen.fees.insert(id, status);
        }
        drop(seen);
        if status != 503 {
            return;
        }
        std::thread::sleep(retry_after(&answer));
    }
}

fn count(seen: &Seen, route: &str) -> Vec<(u16, usize)> {
    let mut counts: Vec<(u16, usize)> = Vec::new();
    for (.., status) in seen.answers.iter().filter(|(_, of, _)| *of == route) {
        match counts.iter_mut().find(|(known, _)| known == status) {
            Some((_, count)) => *count += 1,
            None => counts.push((*status, 1)),
        }
    }
    counts
}
