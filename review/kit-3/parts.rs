//! A part of a prompt that crashes servers, in the first requests with a new prompt.

include!("kit.rs");

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::*;

const DEADLY: &str = "dead0001";

/// Shared first part of all prompts until the change, and after it.
const OLD_PROMPT: &str = "f0000001:40";
const NEW_PROMPT: &str = "f0000002:40";

/// Fewest requests of each period that the rule compares.
const MIN_REQUESTS: usize = 20;

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

/// A sound request: when it was sent, and whether a server got it.
type Sent = (u64, String);

fn main() {
    kit::main(|record| {
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
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let flow = |label: &'static str, parts: &str, count: usize, pause_ms: u64| {
            let (entries, record, parts) = (entries.clone(), record.clone(), parts.to_owned());
            let sent = sent.clone();
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
                    sent.lock().unwrap().push((record.ms(), call.id.clone()));
                    let record = record.clone();
                    calls.push(thread::spawn(move || drop(send(address, &call, &record))));
                    thread::sleep(Duration::from_millis(pause_ms));
                }
                calls.into_iter().for_each(|call| drop(call.join()));
            })
        };
        flow("before", &format!("{OLD_PROMPT},5:60"), 40, 200).join().ok();
        record.line("callers begin to use the new prompt");
        let deadly = trouble().then(|| {
            flow("deadly", &format!("{NEW_PROMPT},{DEADLY}:60"), 25, 1_000)
        });
        thread::sleep(Duration::from_millis(300));
        flow("sound", &format!("{NEW_PROMPT},5:60"), 120, 200).join().ok();
        deadly.map(|deadly| deadly.join().ok());

        let crashes = servers.iter().flat_map(|server| server.crashes.lock().unwrap().clone());
        let crashes: Vec<u64> = crashes.collect();
        let begun = servers.iter().flat_map(|server| server.arrivals.lock().unwrap().clone());
        let begun: Vec<String> = begun.map(|arrival| arrival.1).collect();
        let sent = sent.lock().unwrap();
        let last_deadly = sent.iter().filter(|sent| sent.1.starts_with("deadly"));
        let last_deadly = last_deadly.map(|sent| sent.0).max().unwrap_or(u64::MAX);
        // Crashes beyond the fifth do not move the bound.
        let from = crashes.iter().copied().max().map_or(0, |at| at + 2 * CONTACT_MS);
        let share = |wanted: &dyn Fn(&Sent) -> bool| {
            let wanted: Vec<&Sent> = sent.iter().filter(|sent| wanted(sent)).collect();
            let begun = wanted.iter().filter(|sent| begun.contains(&sent.1)).count();
            (begun, wanted.len())
        };
        let before = share(&|sent| sent.1.starts_with("before"));
        let after = share(&|sent| {
            sent.1.starts_with("sound") && sent.0 >= from && sent.0 <= last_deadly
        });
        record.note(&format!(
            "{} crashes; sound requests of the same key that began: {} of {} before, {} of {} \
             while requests with the part came, later than {} ms after the last crash",
            crashes.len(), before.0, before.1, after.0, after.1, 2 * CONTACT_MS,
        ));
        if crashes.len() > 5 {
            return Err("more than five crashes".into());
        }
        let enough = before.1 >= MIN_REQUESTS && after.1 >= MIN_REQUESTS;
        let rate = |(begun, all): (usize, usize)| begun as f64 / all.max(1) as f64;
        Ok(enough && rate(after) < rate(before) / 2.0)
    });
}
