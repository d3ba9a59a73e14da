//! Servers that crash on one part of a prompt, and the clients of their service.
#![allow(dead_code)]

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::common::*;

pub const ZONES: [&str; 3] = ["ikeja", "alausa", "ogba"];

/// The part that crashes servers.
pub const DEADLY: &str = "dead0001";

/// Time after which a server that crashed is back.
const BACK_MS: u64 = 3_000;

/// Events of a stream, and the time between two of them.
const EVENTS: u32 = 20;
const EVENT_MS: u64 = 50;

/// When a server crashes on a request that holds the deadly part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    BeforeFirstEvent,
    AfterFirstEvent,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub id: String,
    pub server: String,
    pub deadly: bool,
}

/// What servers saw.
#[derive(Default)]
pub struct Seen {
    pub runs: Mutex<Vec<Run>>,
    pub crashes: Mutex<Vec<u64>>,
}

/// Entries, servers of one service and the store.
pub struct Fleet {
    pub store: Arc<Store>,
    pub entries: Vec<Entry>,
    pub seen: Arc<Seen>,
}

impl Fleet {
    pub fn start(servers: usize, entries: usize, crash: Crash) -> Fleet {
        let store = Store::start(ip(30));
        store.put("config", "main", &configuration());
        let seen = Arc::new(Seen::default());
        for number in 0..servers {
            Model::start(number, ip(40 + number as u8), crash, &store, &seen);
        }
        let entries: Vec<Entry> = (0..entries)
            .map(|number| {
                let zone = ZONES[number % 3];
                Entry::start(
                    &format!("edge-{zone}-{number}"),
                    zone,
                    1 + number as u8,
                    &store,
                )
            })
            .collect();
        for entry in &entries {
            entry.wait_until_ready();
        }
        sleep(1_000);
        Fleet {
            store,
            entries,
            seen,
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/draft/\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":400,\"TargetGapMs\":120,\
         \"Priority\":1,\"Service\":\"drafting-llm\",\"MaxAttempts\":2,\"Anonymous\":false,\
         \"Sticky\":true,\"Resumable\":true}}],\"Services\":[{{\"Name\":\"drafting-llm\",\
         \"HealthPath\":\"/healthz\",\"MaxConnections\":328,\"Protocol\":\"h1\",\"Tls\":false,\
         \"ColdStartS\":0.0,\"ColdPerS\":0.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"ward\",\"ApiKeys\":[\"key-1\"],\"Priority\":2}},\
         {{\"Name\":\"desk\",\"ApiKeys\":[\"key-2\"],\"Priority\":2}}]}}"
    )
}

struct Model {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    crashed: AtomicBool,
    /// Number of the process; connections of an earlier one are gone.
    process: AtomicU64,
    crash: Crash,
    open: Mutex<Vec<TcpStream>>,
}

impl Model {
    fn start(number: usize, ip: Ipv4Addr, crash: Crash, store: &Arc<Store>, seen: &Arc<Seen>) {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        let model = Arc::new(Model {
            id: format!("m-{number}"),
            zone: ZONES[number % 3],
            address: listener.local_addr().expect("server"),
            crashed: AtomicBool::new(false),
            process: AtomicU64::new(0),
            crash,
            open: Mutex::default(),
        });
        model.register(store);
        let (store, seen) = (store.clone(), seen.clone());
        thread::spawn(move || {
            let mut listener = listener;
            loop {
                model.serve(&listener, &seen);
                // The process ends: first its port, then its connections.
                drop(listener);
                for stream in lock(&model.open).drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                sleep(BACK_MS);
                listener = TcpListener::bind(model.address).expect("server is back");
                model.process.fetch_add(1, Ordering::SeqCst);
                model.crashed.store(false, Ordering::SeqCst);
                model.register(&store);
            }
        });
    }

    fn register(&self, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(1, |time| time.as_millis());
        let spec = format!(
            "{{\"Service\":\"drafting-llm\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":12,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":0,\"born\":{born}}}",
            self.address, self.zone
        );
        store.put("servers", &self.id, &spec);
    }

    fn serve(self: &Arc<Self>, listener: &TcpListener, seen: &Arc<Seen>) {
        listener.set_nonblocking(true).expect("server");
        while !self.crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(1);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                lock(&self.open).push(copy);
            }
            let (model, seen) = (self.clone(), seen.clone());
            thread::spawn(move || model.answer(stream, &seen));
        }
    }

    fn answer(&self, mut stream: TcpStream, seen: &Seen) {
        let process = self.process.load(Ordering::SeqCst);
        let gone = || {
            self.crashed.load(Ordering::SeqCst) || self.process.load(Ordering::SeqCst) != process
        };
        let _ = stream.set_nodelay(true);
        let (Some(request), Ending::Complete) = read_message(&mut stream, &mut Vec::new(), false)
        else {
            return;
        };
        let id = request
            .header("berylgw-attempt-id")
            .unwrap_or("")
            .to_owned();
        if request
            .header("berylgw-expect-instance")
            .is_some_and(|server| server != self.id)
        {
            let _ = stream.write_all(
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nBerylgw-Attempt-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            );
            return;
        }
        let prompt = request.header("berylgw-prompt-prefix").unwrap_or("");
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        let deadly = shared
            .split(',')
            .any(|part| part.split(':').next() == Some(DEADLY));
        let from = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        note(format!(
            "run {id} ({prompt}) from event {from} at server {}",
            self.id
        ));
        lock(&seen.runs).push(Run {
            at: now(),
            id: id.clone(),
            server: self.id.clone(),
            deadly,
        });
        // Prefill.
        sleep(30);
        if gone() {
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylgw-Attempt-Id: {id}\r\n\
             Berylgw-Server-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let crashes = deadly && trouble();
        if crashes && self.crash == Crash::BeforeFirstEvent {
            self.crash(seen, &id);
            return;
        }
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in from + 1..=EVENTS {
            let event = format!("id: {number}\ndata: words {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if gone() || stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            if crashes {
                // The event is on its way to the client.
                sleep(10);
                self.crash(seen, &id);
                return;
            }
            sleep(EVENT_MS);
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    }

    fn crash(&self, seen: &Seen, id: &str) {
        if self.crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        note(format!("server {} crashes on {id}", self.id));
        lock(&seen.crashes).push(now());
    }
}

/// Sends a streaming request over a new channel; returns status, ending and bytes.
pub fn stream(entry: SocketAddr, id: &str, key: &str, prompt: &str) -> (u16, Ending, usize) {
    let Ok(mut channel) = TcpStream::connect_timeout(&entry, Duration::from_secs(1)) else {
        return (0, Ending::Closed, 0);
    };
    let _ = channel.set_nodelay(true);
    let _ = channel.set_read_timeout(Some(Duration::from_secs(8)));
    let request = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\nBerylgw-Attempt-Id: {id}\r\n\
         Berylgw-Deadline-Ms: 8000\r\nBerylgw-Model: m\r\nBerylgw-Token-Count: 700,100\r\n\
         Berylgw-Prompt-Prefix: {prompt}\r\nAuthorization: Bearer {key}\r\nContent-Length: 5\r\n\r\ndraft"
    );
    note(format!("sent {id} ({prompt}) to {entry}"));
    if channel.write_all(request.as_bytes()).is_err() {
        return (0, Ending::Closed, 0);
    }
    let (answer, ending) = read_message(&mut channel, &mut Vec::new(), true);
    let status = answer.as_ref().map_or(0, Message::status);
    let bytes = answer.map_or(0, |answer| answer.body.len());
    note(format!(
        "answered {id}: status {status}, {ending:?}, {bytes} bytes"
    ));
    (status, ending, bytes)
}
