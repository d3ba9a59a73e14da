//! Servers that read long bodies late.
#[path = "kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Time for which a server that is busy leaves a body unread.
const UNREAD_S: f64 = 2.5;
/// A scanned form, below `MaxBodyBytes`.
const BODY_BYTES: usize = 1_000_000;

static STOP: AtomicBool = AtomicBool::new(false);

fn main() {
    let trouble = begin(90);
    let store = Store::new();
    let first = vec![route("/fees/", "non_idempotent", "permit", 8_000)];
    let services = ["permit", "forms"];
    store.put("config", "main", &configuration(3, &first, &services));
    for index in 0..3 {
        let behaviour = |work: &mut Work| {
            work.read_body()?;
            note(&format!("{} runs {}", work.server.id, work.request.attempt()));
            pause(0.06);
            work.answer(200, "issued")
        };
        Server::start(&store, "permit", &format!("i-p{index}"), Arc::new(behaviour));
    }
    let ran: Arc<Mutex<usize>> = Arc::default();
    for index in 0..3 {
        let ran = ran.clone();
        let behaviour = move |work: &mut Work| {
            let id = work.request.attempt();
            if trouble {
                // All slots are taken: the body is read when one is free.
                pause(UNREAD_S);
            }
            if let Err(error) = work.read_body() {
                note(&format!("{} lost {id} while it read the body: {error}", work.server.id));
                return Err(error);
            }
            pause(0.06);
            *ran.lock().unwrap() += 1;
            note(&format!("{} ran {id}, {} bytes", work.server.id, work.request.body.len()));
            work.answer(200, "stored")
        };
        Server::start(&store, "forms", &format!("i-f{index}"), Arc::new(behaviour));
    }
    let gate = store.listen();
    let entry = Entry::start(gate.address, "edge-1", "ikeja");
    let callers = entry.callers;
    pause(1.0);
    // Planned work: a route is added.
    let mut routes = first;
    routes.push(route("/forms/", "non_idempotent", "forms", 8_000));
    store.put("config", "main", &configuration(7, &routes, &services));
    note("version 7 acknowledged: /forms/ added");
    pause(4.0);
    let answers: Arc<Mutex<Vec<(&str, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..8 {
        let answers = answers.clone();
        let (path, bytes, rest) = match client % 4 {
            0 => ("/fees/2f", 600, 0.3),
            _ => ("/forms/2f", BODY_BYTES, 0.5),
        };
        clients.push(std::thread::spawn(move || {
            while !STOP.load(Ordering::SeqCst) {
                let mut call = Call::new("POST", path, "key-a");
                call.body = vec![b'z'; bytes];
                let at = now();
                let (id, answer) = call.send(callers);
                let status = status(&answer);
                note(&format!("{path} {id}: {status} after {:.2} s", now() - at));
                answers.lock().unwrap().push((path, status));
                pause(rest);
            }
        }));
    }
    pause(25.0);
    STOP.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    let answers = answers.lock().unwrap();
    let served = |path: &str| {
        let of_route = answers.iter().filter(|(of, _)| *of == path);
        (of_route.clone().filter(|(_, status)| *status == 200).count(), of_route.count())
    };
    let (first, later) = (served("/fees/2f"), served("/forms/2f"));
    let failed = answers.iter().filter(|(of, status)| *of == "/forms/2f" && *status == 502).count();
    say(&format!("first route: {} of {} served", first.0, first.1));
    say(&format!("later route: {} of {} served, 502 {failed}; forms that ran {}", later.0, later.1,
        ran.lock().unwrap()));
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    verdict("CONFIG", later.1 >= 20 && share(later) < share(first) / 4.0);
}
