//! Another writer puts an entry into the list of servers whose service no configuration names.
//! It has the address of a sound server, which gets no more requests.

#[path = "../kit-4/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(20);

fn serve(name: &str, stream: TcpStream) {
    let mut channel = Channel::new(stream);
    while let Ok(Some(request)) = channel.read(false) {
        if !request.complete {
            return;
        }
        let id = request.id().to_owned();
        let echo = format!("Berylgw-Attempt-Id: {id}\r\n");
        if request.header("berylgw-expect-instance").is_some_and(|own| own != name) {
            let _ = channel.send(&answer("421 Misdirected Request", &echo, ""));
            continue;
        }
        thread::sleep(Duration::from_millis(15));
        let seal = format!("{echo}Berylgw-Server-Seal: seal-{name}-{id}\r\n");
        if channel.send(&answer("200 OK", &seal, &"x".repeat(800))).is_err() {
            return;
        }
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start().unwrap_or_else(|_| std::process::exit(NOT_RUN));
    let mut routes = vec![route("/look/", "idempotent", "desk", 2_000, false)];
    store.put("config", "main", &configuration(7, &routes, &["desk", "pay"]));
    let mut ports = Vec::new();
    let mut addresses = Vec::new();
    for (index, service) in ["desk", "desk", "pay", "pay"].into_iter().enumerate() {
        let name = format!("i-{index}");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let Ok(port) = Port::open(address, move |stream| serve(&name, stream)) else {
            std::process::exit(NOT_RUN)
        };
        let entry = server_entry(service, port.address, "east", "ready", unix_ms());
        store.put("servers", &format!("i-{index}"), &entry);
        addresses.push((service, port.address));
        ports.push(port);
    }
    let entry = match Process::entry("edge-east-1", "east", store.address) {
        Ok(entry) => entry,
        Err(error) => {
            record.say(format_args!("the entry does not start: {error}"));
            std::process::exit(NOT_RUN)
        }
    };
    if !entry.wait_ready() {
        record.say("the entry is not ready");
        finish(vec![entry], NOT_RUN);
    }
    routes.push(route("/pay/", "non_idempotent", "pay", 2_000, false));
    store.put("config", "main", &configuration(9, &routes, &["desk", "pay"]));
    thread::sleep(Duration::from_secs(1));
    if has_trouble() {
        // The other writer names the processes by a service of its own.
        for (index, (service, address)) in addresses.iter().enumerate() {
            if *service == "pay" {
                let spec = server_entry("pay-audit", *address, "east", "ready", unix_ms());
                store.put("servers", &format!("audit-{index}"), &spec);
                record.add(format_args!("another writer: audit-{index} {spec}"));
            }
        }
    }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let callers = entry.callers;
    let counts: Arc<Mutex<BTreeMap<&str, BTreeMap<u16, usize>>>> = Arc::default();
    let mut clients = Vec::new();
    for (route, path) in [("/look/", "/look/17"), ("/pay/", "/pay/17")] {
        for _ in 0..2 {
            let (counts, record) = (counts.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let mut channel: Option<Channel> = None;
                while began.elapsed() < LENGTH {
                    let id = new_id();
                    let text = request(path, &id, 2_000, "", "order");
                    if channel.is_none() {
                        channel = Channel::connect(callers).ok();
                    }
                    let asked = channel.as_mut().map(|channel| {
                        channel.send(&text)?;
                        channel.read(true)
                    });
                    let answer = asked.and_then(Result::ok).flatten().unwrap_or_default();
                    if !answer.complete {
                        channel = None;
                    }
                    record.add(format_args!("{id} on {route}: status {}", answer.status()));
                    let mut counts = lock(&counts);
                    *counts.entry(route).or_default().entry(answer.status()).or_default() += 1;
                    drop(counts);
                    thread::sleep(Duration::from_millis(300));
                }
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let counts = lock(&counts);
    let share = |route: &str| {
        let by_status = counts.get(route).cloned().unwrap_or_default();
        let sent: usize = by_status.values().sum();
        record.say(format_args!("{route}: {sent} sent, by status {by_status:?}"));
        let served = by_status.get(&200).copied().unwrap_or(0);
        (sent, served as f64 / sent.max(1) as f64)
    };
    let (first, later) = (share("/look/"), share("/pay/"));
    record.say(format_args!(
        "CONFIG: served on the first route {:.1} in 100, on the route added later {:.1} in 100 of \
         {}; less than a quarter breaks the rule",
        first.1 * 100.0,
        later.1 * 100.0,
        later.0
    ));
    if later.0 < 20 || first.1 < 0.5 {
        record.say("too few requests were sent or served");
        finish(vec![entry], NOT_RUN);
    }
    finish(vec![entry], if later.1 < first.1 / 4.0 { BROKEN } else { HELD })
}
