//! Entries that follow the store are killed as a server leaves, some time after an outage
//! of the store.

include!("kit.rs");

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const ZONES: [&str; 3] = ["north", "south", "west"];
const ENTRIES_PER_ZONE: usize = 8;

const OUTAGE: Duration = Duration::from_secs(5);

/// Time between the outage and the rest, over twice `ContactMs`.
const CALM: Duration = Duration::from_secs(8);

fn main() {
    kit::main(|record| {
        let store = Store::start()?;
        let answer = |_: &Server, request: &Message, stream: &mut TcpStream| {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(&response(200, request, "", b"an answer"))?;
            Ok(false)
        };
        let answer: Arc<Handler> = Arc::new(answer);
        let servers: Vec<Server> = (0..4)
            .map(|index| {
                let id = format!("i-{index}");
                Server::start(&id, "yard", &store, record, answer.clone())
            })
            .collect::<Result<_>>()?;
        let routes = [route("/pickup/", "non_idempotent", "yard", 2_000)];
        let main = configuration(&routes, "yard", &[("growers", "key-1")]);
        store.put("config", "main", &main);
        let mut entries = Vec::new();
        for (zone, domain) in ZONES.into_iter().enumerate() {
            for number in 1..=ENTRIES_PER_ZONE {
                let (name, host) = (format!("edge-{domain}-{number}"), format!("127.0.{zone}.{number}"));
                entries.push(Entry::start(&store, &name, domain, &host)?);
            }
        }
        for entry in &entries {
            entry.wait_until_ready()?;
        }
        thread::sleep(Duration::from_secs(3));
        let outage = trouble() && std::env::var("OUTAGE").map_or(true, |value| value != "0");
        if outage {
            record.line("the store is down");
            store.set_down(true);
            thread::sleep(OUTAGE);
            store.set_down(false);
            record.line("the store is back");
        }
        thread::sleep(CALM);
        let (killed, kept): (Vec<&Entry>, Vec<&Entry>) =
            entries.iter().partition(|entry| entry.name.ends_with("-1"));
        if trouble() {
            for entry in killed {
                entry.kill();
                record.line(&format!("{} is killed", entry.name));
            }
        }
        thread::sleep(Duration::from_millis(50));
        let leaving = &servers[0];
        store.delete("servers", &leaving.id);
        let gone = record.ms();
        record.line(&format!("the store acknowledges that {} is gone", leaving.id));
        let end = Instant::now() + Duration::from_secs(5);
        let callers: Vec<_> = kept
            .into_iter()
            .step_by(4)
            .enumerate()
            .map(|(caller, entry)| {
                let (entry, record) = (entry.clone(), record.clone());
                thread::spawn(move || {
                    let mut number = 0;
                    while Instant::now() < end {
                        let call = Call {
                            id: format!("pickup-{caller}-{number}"),
                            path: "/pickup/a".to_owned(),
                            key: "key-1".to_owned(),
                            deadline_ms: 2_000,
                            parts: String::new(),
                        };
                        drop(send(entry.callers, &call, &record));
                        thread::sleep(Duration::from_millis(30));
                        number += 1;
                    }
                })
            })
            .collect();
        callers.into_iter().for_each(|caller| drop(caller.join()));
        let arrivals = leaving.arrivals.lock().unwrap().clone();
        let after = arrivals.iter().filter(|arrival| arrival.0 > gone);
        let after: Vec<u64> = after.map(|arrival| arrival.0 - gone).collect();
        let late = after.iter().filter(|at| **at > DRAIN_MS).count();
        record.note(&format!(
            "{} requests reached {} after it was gone, the last one {} ms later; {late} later \
             than {DRAIN_MS} ms",
            after.len(), leaving.id, after.iter().max().unwrap_or(&0),
        ));
        Ok(late > 0)
    });
}
