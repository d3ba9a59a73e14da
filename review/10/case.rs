//! An entry that was cut off comes back after a server has left.
#[path = "../kit-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ROUNDS: usize = 14;
/// Length of the first cut, and by how much each is longer than the one before; all are
/// within the site's 5.5 s.
const SHORTEST_CUT_S: f64 = 2.9;
const LONGER_S: f64 = 0.07;
/// Time from the beginning of a cut until a server leaves.
const LEAVES_AFTER_S: f64 = 0.8;
/// Time from then until the configuration changes.
const CHANGES_AFTER_S: f64 = 2.0;
/// `DrainMs` of the site.
const DRAIN_S: f64 = 2.0;
/// Time for which a server that has left goes on serving: `DrainMs` and a little longer.
const SERVES_S: f64 = 4.0;

static STOP: AtomicBool = AtomicBool::new(false);
static LATE: AtomicUsize = AtomicUsize::new(0);
static LOST: AtomicUsize = AtomicUsize::new(0);

fn main() {
    let trouble = begin(118);
    let store = Store::new();
    let routes = |count: usize| -> Vec<String> {
        let added = (0..count).map(|index| route(&format!("/added{index}/"), "idempotent", "permit", 3_000));
        added.chain([route("/fees/", "non_idempotent", "permit", 3_000)]).collect()
    };
    store.put("config", "main", &configuration(3, &routes(0), &["permit"]));
    for index in 0..3 {
        let behaviour = |work: &mut Work| {
            work.read_body()?;
            note(&format!("{} runs {}", work.server.id, work.request.attempt()));
            pause(0.06);
            work.answer(200, "issued")
        };
        Server::start(&store, "permit", &format!("i-{index}"), Arc::new(behaviour));
    }
    // The first entry reaches the others, and they it, through links that can be cut.
    let peers = [(); 3].map(|()| local(free_port()));
    let links = [1, 2].map(|other| Link::start(peers[0], peers[other]));
    let gates = [(); 3].map(|()| store.listen());
    let quoted = |address: std::net::SocketAddr| format!("\"{address}\"");
    for (index, link) in links.iter().enumerate() {
        let other = index + 1;
        let seen_by_first = (quoted(peers[other]), quoted(link.second_at));
        gates[0].replaced.lock().unwrap().push(seen_by_first);
        let seen_by_other = (quoted(peers[0]), quoted(link.first_at));
        gates[other].replaced.lock().unwrap().push(seen_by_other);
    }
    let zones = ["ikeja", "alausa", "ogba"];
    let entries: Vec<Entry> = (0..3)
        .map(|index| {
            let name = format!("edge-{}-1", zones[index]);
            Entry::start_at(gates[index].address, &name, zones[index], peers[index])
        })
        .collect();
    pause(1.5);
    // Clients use only the entries that are never cut off.
    let mut clients = Vec::new();
    for client in 0..6 {
        let callers = entries[1 + client % 2].callers;
        clients.push(std::thread::spawn(move || {
            while !STOP.load(Ordering::SeqCst) {
                let mut call = Call::new("POST", "/fees/2f", "key-a");
                call.deadline_ms = 3_000;
                call.body = vec![b'z'; 600];
                let (id, answer) = call.send(callers);
                note(&format!("fee {id} to entry {}: {}", 1 + client % 2, status(&answer)));
                if status(&answer) != 200 {
                    LOST.fetch_add(1, Ordering::SeqCst);
                }
                pause(0.03);
            }
        }));
    }
    let mut rounds_broken = 0;
    for round in 0..ROUNDS {
        let cut_s = SHORTEST_CUT_S + LONGER_S * round as f64;
        let left: Arc<Mutex<Option<f64>>> = Arc::default();
        let (known, arrived) = (left.clone(), Arc::new(AtomicUsize::new(0)));
        let count = arrived.clone();
        let behaviour = move |work: &mut Work| {
            work.read_body()?;
            let at = now();
            note(&format!("{} runs {}", work.server.id, work.request.attempt()));
            let late = known.lock().unwrap().is_some_and(|left| at > left + DRAIN_S);
            if late {
                LATE.fetch_add(1, Ordering::SeqCst);
                count.fetch_add(1, Ordering::SeqCst);
                note(&format!("{} gets {} too late", work.server.id, work.request.attempt()));
            }
            pause(0.06);
            if work.server.down.load(Ordering::SeqCst) {
                return Ok(());
            }
            work.answer(200, "issued")
        };
        let id = format!("i-leaves-{round}");
        let server = Server::start(&store, "permit", &id, Arc::new(behaviour));
        pause(0.8);
        if trouble {
            gates[0].mode.store(RESET, Ordering::SeqCst);
            links.iter().for_each(|link| link.set_cut(true));
            note("the first entry is cut off");
        }
        pause(LEAVES_AFTER_S);
        store.remove("servers", &id);
        *left.lock().unwrap() = Some(now());
        note(&format!("{id} is removed from the store"));
        pause(CHANGES_AFTER_S);
        let version = 10 + 3 * round as u64;
        store.put("config", "main", &configuration(version, &routes(round + 1), &["permit"]));
        pause(cut_s - LEAVES_AFTER_S - CHANGES_AFTER_S);
        if trouble {
            gates[0].mode.store(OPEN, Ordering::SeqCst);
            links.iter().for_each(|link| link.set_cut(false));
            note("the cut has healed");
        }
        pause(SERVES_S - (cut_s - LEAVES_AFTER_S));
        note(&format!("{id} exits"));
        server.crash(None);
        pause(1.0);
        if arrived.load(Ordering::SeqCst) > 0 {
            rounds_broken += 1;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    STOP.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    let late = LATE.load(Ordering::SeqCst);
    say(&format!(
        "requests that reached a server later than DrainMs after it was gone: {late}, in \
         {rounds_broken} of {ROUNDS} rounds; requests not served {}",
        LOST.load(Ordering::SeqCst)
    ));
    verdict("DRAIN", late > 0);
}
