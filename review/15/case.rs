//! A part of a prompt crashes each server that begins to write an answer on it. It is the
//! last shared part of a long session.
//!
//! `PLACE` sets the place of the part among the shared parts, 40 if it is not set.

#[path = "../kit-4/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT: Duration = Duration::from_millis(3_000);
const SERVERS: usize = 6;
const DEADLY: &str = "dead0001";
const LENGTH: Duration = Duration::from_secs(60);
/// Time for which a server that crashed is away.
const AWAY: Duration = Duration::from_secs(3);

/// What the servers have seen.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Arrivals of requests with the part, and whether the server began to write.
    deadly: Vec<(Instant, String, String)>,
}

struct Servers {
    store: Store,
    record: Record,
    seen: Mutex<Seen>,
    ports: Mutex<Vec<Option<Port>>>,
    addresses: Vec<SocketAddr>,
}

fn serve(servers: &Arc<Servers>, index: usize, stream: TcpStream) {
    let mut channel = Channel::new(stream);
    while let Ok(Some(request)) = channel.read(false) {
        if !request.complete {
            return;
        }
        let id = request.id().to_owned();
        let own = format!("i-{index}");
        let echo = format!("Berylgw-Attempt-Id: {id}\r\n");
        if request.header("berylgw-expect-instance").is_some_and(|wanted| wanted != own) {
            let _ = channel.send(&answer("421 Misdirected Request", &echo, ""));
            continue;
        }
        let prefix = request.header("berylgw-prompt-prefix").unwrap_or("");
        let deadly = has_trouble() && prefix.contains(DEADLY);
        if prefix.contains(DEADLY) {
            servers.record.add(format_args!("{id} with the part reaches {own}"));
            lock(&servers.seen).deadly.push((Instant::now(), id.clone(), own.clone()));
        }
        let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Berylgw-Server-Seal: seal-{own}-{id}\r\n{echo}\r\n"
        );
        if channel.send(&head).is_err() {
            return;
        }
        for event in last + 1..=6 {
            thread::sleep(Duration::from_millis(15));
            let text = format!("id: {event}\ndata: e{event}\n\n");
            if channel.send(&format!("{:x}\r\n{text}\r\n", text.len())).is_err() {
                return;
            }
            if deadly {
                thread::sleep(Duration::from_millis(40));
                crash(servers, index, &id);
                return;
            }
        }
        let _ = channel.send("0\r\n\r\n");
    }
}

fn crash(servers: &Arc<Servers>, index: usize, id: &str) {
    let Some(port) = lock(&servers.ports)[index].take() else { return };
    port.crash();
    lock(&servers.seen).crashes.push(Instant::now());
    servers.record.add(format_args!("server i-{index} crashes under {id}"));
    let servers = servers.clone();
    thread::spawn(move || {
        thread::sleep(AWAY);
        start(&servers, index);
        servers.record.add(format_args!("server i-{index} is back"));
    });
}

fn start(servers: &Arc<Servers>, index: usize) {
    let own = servers.clone();
    let address = servers.addresses[index];
    let opened = Port::open(address, move |stream| serve(&own, index, stream));
    match opened {
        Ok(port) => lock(&servers.ports)[index] = Some(port),
        Err(error) => {
            servers.record.say(format_args!("server i-{index} does not start: {error}"));
            std::process::exit(NOT_RUN);
        }
    }
    let zone = ["east", "west"][index % 2];
    let entry = server_entry("model", address, zone, "ready", unix_ms());
    servers.store.put("servers", &format!("i-{index}"), &entry);
}

/// Returns the shared parts of the session; `deadly` is the one at `place`, if it is there.
fn prefix(place: usize, deadly: bool, own: &str) -> String {
    let mut parts = Vec::new();
    for number in 1..=40 {
        match number == place {
            true if deadly => parts.push(format!("{DEADLY}:20")),
            true => parts.push("5afe0001:20".to_owned()),
            false => parts.push(format!("{:08x}:20", 0x5e55_0000 + number)),
        }
    }
    format!("Berylgw-Model: m\r\nBerylgw-Token-Count: 850,30\r\nBerylgw-Prompt-Prefix: {},{own}:50\r\n", parts.join(","))
}

fn main() {
    let record = Record::create();
    let place = std::env::var("PLACE").ok().and_then(|place| place.parse().ok()).unwrap_or(40);
    let store = Store::start().unwrap_or_else(|_| std::process::exit(NOT_RUN));
    let routes = [
        route("/notes/", "streaming", "model", 8_000, true),
        route("/once/", "streaming", "model", 8_000, false),
    ];
    store.put("config", "main", &configuration(7, &routes, &["model"]));
    let addresses = free_ports(SERVERS).unwrap_or_default();
    let servers = Arc::new(Servers {
        store: store.clone(),
        record: record.clone(),
        seen: Mutex::default(),
        ports: Mutex::new((0..SERVERS).map(|_| None).collect()),
        addresses,
    });
    for index in 0..SERVERS {
        start(&servers, index);
    }
    let mut entries = Vec::new();
    for (name, zone) in [("edge-east-1", "east"), ("edge-west-1", "west")] {
        match Process::entry(name, zone, store.address) {
            Ok(entry) => entries.push(entry),
            Err(error) => {
                record.say(format_args!("{name} does not start: {error}"));
                finish(entries, NOT_RUN);
            }
        }
    }
    if !entries.iter().all(Process::wait_ready) {
        record.say("an entry is not ready");
        finish(entries, NOT_RUN);
    }
    thread::sleep(Duration::from_secs(2));
    let callers: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    let began = Instant::now();
    // Sound requests: 8 clients with kept channels, half of them on the route that may not be
    // resumed.
    let sound: Arc<Mutex<Vec<(bool, u16, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..8 {
        let (record, sound) = (record.clone(), sound.clone());
        let address = callers[client % callers.len()];
        clients.push(thread::spawn(move || {
            let mut channel = None;
            while began.elapsed() < LENGTH {
                let path = ["/notes/a", "/once/a"][client / 2 % 2];
                let id = new_id();
                let headers = prefix(place, false, &format!("a{id}"));
                let text = request(path, &id, 8_000, &headers, "question");
                if channel.is_none() {
                    channel = Channel::connect(address).ok();
                }
                let asked = channel.as_mut().map(|channel| {
                    channel.send(&text)?;
                    channel.read(true)
                });
                let (status, complete) = match asked {
                    Some(Ok(Some(answer))) => (answer.status(), answer.complete),
                    _ => (0, false),
                };
                if !complete {
                    channel = None;
                }
                if status != 200 || !complete {
                    record.add(format_args!("sound {id} on {path}: status {status}, complete {complete}"));
                }
                lock(&sound).push((path == "/once/a", status, complete));
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    // Requests with the part, no two alike, at both entries in turn.
    thread::sleep(Duration::from_secs(3));
    let mut number = 0;
    while began.elapsed() < LENGTH - Duration::from_secs(3) {
        let address = callers[number % callers.len()];
        number += 1;
        let record = record.clone();
        thread::spawn(move || {
            let id = new_id();
            let headers = prefix(place, true, &format!("b{id}"));
            let text = request("/notes/b", &id, 8_000, &headers, &format!("question {number}"));
            record.add(format_args!("{id} with the part is sent"));
            let asked = Channel::connect(address).and_then(|mut channel| {
                channel.send(&text)?;
                channel.read(true)
            });
            if let Ok(Some(answer)) = asked {
                let (status, complete) = (answer.status(), answer.complete);
                record.add(format_args!("{id} gets status {status}, complete {complete}"));
            }
        });
        thread::sleep(Duration::from_millis(2_500));
    }
    for client in clients {
        let _ = client.join();
    }
    let seen = lock(&servers.seen);
    let fifth = seen.crashes.get(4).map(|at| *at + CONTACT);
    let late = seen.deadly.iter().filter(|arrival| fifth.is_some_and(|fifth| arrival.0 > fifth));
    let late: Vec<_> = late.collect();
    let requests: BTreeSet<&str> = late.iter().map(|arrival| &*arrival.1).collect();
    let sound = lock(&sound);
    let cut = sound.iter().filter(|(once, status, complete)| *once && *status == 200 && !complete).count();
    let served = sound.iter().filter(|(_, status, complete)| *status == 200 && *complete).count();
    record.say(format_args!(
        "place {place}, sent {number} requests with the part, {} arrivals, {} crashes; sound: {} sent, \
         {served} whole, {cut} cut off midway on the route without resumption",
        seen.deadly.len(),
        seen.crashes.len(),
        sound.len()
    ));
    record.say(format_args!(
        "BUDGET: {} requests with the part reached servers later than 3,000 ms after the fifth \
         crash, in {} arrivals; 3 are allowed",
        requests.len(),
        late.len()
    ));
    if served < 100 {
        record.say("too few requests were served");
        finish(entries, NOT_RUN);
    }
    let status = if requests.len() > 3 { BROKEN } else { HELD };
    finish(entries, status)
}
