//! A request that crashes each server that runs it, some time after it began to write.
#[path = "../kit-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 8;
const ENTRIES: usize = 2;
/// Clients of sound streams; each sends one after the other.
const CLIENTS: usize = 44;
/// Time after which a server that crashed is back.
const BACK: Duration = Duration::from_millis(2_500);
/// `ContactMs` of the site.
const CONTACT_S: f64 = 3.0;
/// Time from the first event that a server writes for the request until it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(600);
/// Time between two events.
const GAP: Duration = Duration::from_millis(40);
/// Last part of the prompt of the request that crashes servers.
const DEADLY: &str = "dead0001";

static CRASHES: Mutex<Vec<f64>> = Mutex::new(Vec::new());
static ARRIVALS: Mutex<Vec<f64>> = Mutex::new(Vec::new());
static NEXT: AtomicUsize = AtomicUsize::new(0);
static STOP: AtomicBool = AtomicBool::new(false);

/// Returns the call of a stream. Prompts share their first part; `last` is its own.
fn call(last: &str) -> Call<'static> {
    let mut call = Call::new("POST", "/notes/2f", "key-a");
    let prompt = format!("f0000000:40,{last}:674");
    call.headers = format!(
        "Berylgw-Model: m\r\nBerylgw-Token-Count: 714,140\r\nBerylgw-Prompt-Prefix: {prompt}\r\n"
    );
    call.body = vec![b'z'; 700];
    call
}

fn main() {
    let trouble = begin(110);
    let store = Store::new();
    // Half of the sound streams are of a route whose streams may not be resumed.
    let once = route("/once/", "streaming", "model", 8_000);
    let once = once.replace("\"Resumable\":true", "\"Resumable\":false");
    let routes = [route("/notes/", "streaming", "model", 8_000), once];
    store.put("config", "main", &configuration(3, &routes, &["model"]));
    let servers: Arc<Mutex<Vec<Arc<Server>>>> = Arc::default();
    for index in 0..SERVERS {
        let (known, id) = (servers.clone(), format!("i-{index}"));
        let behaviour = move |work: &mut Work| {
            work.read_body()?;
            let prompt = work.request.header("berylgw-prompt-prefix").unwrap_or("");
            let deadly = prompt.contains(DEADLY);
            let id = work.request.attempt();
            note(&format!("{} runs {id}{}", work.server.id, if deadly { ", the request" } else { "" }));
            work.begin_stream()?;
            if !deadly {
                return work.write_events(1, 28, GAP);
            }
            ARRIVALS.lock().unwrap().push(now());
            if !trouble {
                return work.write_events(1, 28, GAP);
            }
            let events = (CRASHES_AFTER.as_millis() / GAP.as_millis()) as u32;
            work.write_some_events(1, events, GAP)?;
            let servers = known.lock().unwrap();
            let server = servers.iter().find(|server| server.id == work.server.id).unwrap();
            CRASHES.lock().unwrap().push(now());
            note(&format!("{} crashes", server.id));
            server.crash(Some(BACK));
            Ok(())
        };
        let server = Server::start(&store, "model", &id, Arc::new(behaviour));
        servers.lock().unwrap().push(server);
    }
    let gates: Vec<_> = (0..ENTRIES).map(|_| store.listen()).collect();
    let entries: Vec<Entry> = (0..ENTRIES)
        .map(|index| Entry::start(gates[index].address, &format!("edge-{index}"), "ikeja"))
        .collect();
    let callers: Vec<_> = entries.iter().map(|entry| entry.callers).collect();
    pause(1.0);
    // Sound requests: served whole, broken off, refused or failed.
    let sound: Arc<Mutex<Vec<(f64, &str)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (sound, entry) = (sound.clone(), callers[client % ENTRIES]);
        clients.push(std::thread::spawn(move || {
            while !STOP.load(Ordering::SeqCst) {
                let at = now();
                let last = format!("c{:07x}", NEXT.fetch_add(1, Ordering::SeqCst));
                let mut call = call(&last);
                call.path = if client % 4 < 2 { "/notes/2f" } else { "/once/2f" };
                let (id, answer) = call.send(entry);
                let outcome = match &answer {
                    Some(answer) if answer.status() == 200 && answer.whole => "served",
                    Some(answer) if answer.status() == 200 => "broken off",
                    Some(answer) if answer.status() == 503 => "refused",
                    _ => "failed",
                };
                note(&format!("sound {id}: {outcome} ({})", status(&answer)));
                sound.lock().unwrap().push((at, outcome));
                pause(0.1);
            }
        }));
    }
    pause(5.0);
    let begun = now();
    // The request comes again, with the same path, caller and body, at both entries.
    let deadly = std::thread::spawn(move || {
        for turn in 0..25 {
            let (id, answer) = call(DEADLY).send(callers[turn % ENTRIES]);
            note(&format!("the request as {id}: {}", status(&answer)));
            pause(1.0);
        }
    });
    deadly.join().unwrap();
    STOP.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    let crashes = CRASHES.lock().unwrap().clone();
    let arrivals = ARRIVALS.lock().unwrap().clone();
    let late_from = crashes.get(2).map(|third| third + CONTACT_S);
    let late = arrivals.iter().filter(|at| late_from.is_some_and(|from| **at > from));
    let late = late.count();
    let sound = sound.lock().unwrap();
    let share = |from: f64, to: f64| {
        let within = sound.iter().filter(|(at, _)| (from..to).contains(at));
        let (all, served) = within.fold((0, 0), |(all, served), (_, outcome)| {
            (all + 1, served + usize::from(*outcome == "served"))
        });
        format!("{served} of {all}")
    };
    let broken = sound.iter().filter(|(_, outcome)| *outcome == "broken off").count();
    say(&format!(
        "crashes {}, runs of the request {}, of them later than ContactMs after the third crash \
         {late} (at most 3 may)",
        crashes.len(),
        arrivals.len()
    ));
    say(&format!(
        "sound requests served: {} before the request, {} later; broken off {broken}",
        share(0.0, begun),
        share(begun, f64::MAX)
    ));
    verdict("BUDGET", late > 3);
}
