//! Two large entries of another writer among the servers in the store, one with a space in
//! its name; then all processes are killed and start again.

include!("../kit-3/kit.rs");

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const RECOVER: Duration = Duration::from_secs(12);

fn main() {
    kit::main(|record| {
        let store = Store::start()?;
        let answer = |_: &Server, request: &Message, stream: &mut TcpStream| {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(&response(200, request, "", b"an answer"))?;
            Ok(false)
        };
        let answer: Arc<Handler> = Arc::new(answer);
        for index in 0..4 {
            Server::start(&format!("i-{index}"), "yard", &store, record, answer.clone())?;
        }
        let routes = [route("/pickup/", "non_idempotent", "yard", 2_000)];
        let main = configuration(&routes, "yard", &[("growers", "key-1")]);
        store.put("config", "main", &main);
        let start = || -> Result<Vec<Entry>> {
            let hosts = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
            let names = ["edge-1", "edge-2", "edge-3"];
            let pairs = names.iter().zip(hosts);
            pairs.map(|(name, host)| Entry::start(&store, name, "shed", host)).collect()
        };
        let served = |label: &str, entries: &[Entry], time: Duration| {
            let (end, mut sent, mut served) = (Instant::now() + time, 0, 0);
            while Instant::now() < end {
                let call = Call {
                    id: format!("{label}-{sent}"),
                    path: "/pickup/a".to_owned(),
                    key: "key-1".to_owned(),
                    deadline_ms: 2_000,
                    parts: String::new(),
                };
                let entry = &entries[sent % entries.len()];
                let answer = send(entry.callers, &call, record);
                served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
                sent += 1;
                thread::sleep(Duration::from_millis(50));
            }
            (served, sent)
        };
        let entries = start()?;
        for entry in &entries {
            entry.wait_until_ready()?;
        }
        let names = match (trouble(), std::env::var("NAMES").as_deref()) {
            (false, _) => [].as_slice(),
            (true, Ok("plain")) => ["a-server", "b-server"].as_slice(),
            (true, _) => ["a server", "b-server"].as_slice(),
        };
        for name in names {
            // No service, address or state: it names no server to use.
            let spec = format!(r#"{{"Note":"{}"}}"#, "x".repeat(700_000));
            store.put("servers", name, &spec);
            record.line(&format!("another writer adds {name:?}"));
        }
        thread::sleep(Duration::from_secs(2));
        let before = served("before", &entries, Duration::from_secs(4));
        for entry in &entries {
            entry.kill();
        }
        record.line("all processes are killed");
        thread::sleep(Duration::from_secs(1));
        let entries = start()?;
        record.line("all processes are back");
        thread::sleep(RECOVER);
        let after = served("after", &entries, Duration::from_secs(5));
        record.note(&format!(
            "served: {} of {} before all processes were killed, {} of {} later than {} s after \
             they were back",
            before.0, before.1, after.0, after.1, RECOVER.as_secs(),
        ));
        let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
        Ok(share(before) >= 0.25 && share(after) < 0.25)
    });
}
