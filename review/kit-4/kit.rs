//! Stand-ins and helpers of the cases 11 to 15: the platform's store, backend servers, callers
//! and the processes under test. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// API key and client account of the callers.
pub const KEY: &str = "key-of-growers";
pub const ACCOUNT: &str = "growers";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// The record of a case: one line for each event.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the record file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        match File::create(&path) {
            Ok(file) => Record { file: Arc::new(Mutex::new(file)), began: Instant::now() },
            Err(error) => {
                eprintln!("cannot create {path}: {error}");
                std::process::exit(NOT_RUN);
            }
        }
    }

    /// Adds a line with the time since the start in milliseconds.
    pub fn add(&self, line: impl std::fmt::Display) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{at:>7} ms  {line}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl std::fmt::Display) {
        self.add(&line);
        println!("{line}");
    }
}

/// A request or an answer: its first line, its headers with names in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.0 == name);
        found.map(|header| &*header.1)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("berylgw-attempt-id").unwrap_or("")
    }
}

/// A connection that reads messages.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Channel { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Channel::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a message; `None` if the connection ends before it. One that ends midway is not
    /// complete. `answers` states whether a message without a length ends with the connection.
    pub fn read(&mut self, answers: bool) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(Some(message)),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                    message.headers.push(header);
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            message.complete = self.chunks(&mut message.body).unwrap_or(false);
            return Ok(Some(message));
        }
        let wanted = match length {
            Some(length) => length,
            None if answers => usize::MAX,
            None => 0,
        };
        while self.buffer.len() < wanted {
            match self.fill() {
                Ok(1..) => {}
                Ok(_) => break,
                Err(_) => {
                    message.body = std::mem::take(&mut self.buffer);
                    return Ok(Some(message));
                }
            }
        }
        message.complete = self.buffer.len() >= wanted || length.is_none();
        let end = wanted.min(self.buffer.len());
        message.body = self.buffer.drain(..end).collect();
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            else {
                return Ok(false);
            };
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    body.append(&mut self.buffer);
                    return Ok(false);
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(true);
            }
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

/// Returns the text of an answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// The platform's store: lists, watches, and writes under a condition or none.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let objects = Objects { revision: 100, ..Objects::default() };
        let store = Store {
            address: listener.local_addr()?,
            objects: Arc::new((Mutex::new(objects), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object as its owner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = lock(&self.objects.0);
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        objects.objects.insert(key, Object { revision, spec: spec.to_owned() });
        self.changed(objects, kind, name, spec, false)
    }

    /// Removes an object as its owner does.
    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let mut objects = lock(&self.objects.0);
        objects.revision += 1;
        let removed = objects.objects.remove(&(kind.to_owned(), name.to_owned()));
        let spec = removed.map_or("null".to_owned(), |object| object.spec);
        self.changed(objects, kind, name, &spec, true)
    }

    fn changed(
        &self,
        mut objects: MutexGuard<'_, Objects>,
        kind: &str,
        name: &str,
        spec: &str,
        deleted: bool,
    ) -> u64 {
        let revision = objects.revision;
        let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.to_owned());
        objects.changes.push(Change { revision, kind, name, spec, deleted });
        self.objects.1.notify_all();
        revision
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.read(false) {
            let (status, body) = self.call(&request);
            let headers = "Content-Type: application/json\r\n";
            if channel.send(&answer(status, headers, &body)).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let mut parts = path.trim_start_matches("/v1/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let number = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|pair| pair.0 == wanted).map(|pair| pair.1);
            values.next().and_then(|value| value.parse::<u64>().ok())
        };
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), name) {
            ("GET", Some(name)) => {
                let objects = lock(&self.objects.0);
                match objects.objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object_json(&name, object.revision, &object.spec)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", None) => match number("Watch") {
                Some(from) => self.watch(&kind, from, number("WaitMs").unwrap_or(0)),
                None => self.list(&kind),
            },
            ("POST", _) => {
                let name = string_field(&text, "Name").unwrap_or_default();
                let known = (kind.clone(), name.clone());
                if lock(&self.objects.0).objects.contains_key(&known) {
                    return ("409 Conflict", "{}".to_owned());
                }
                let spec = object_field(&text, "Spec").unwrap_or("null").to_owned();
                let revision = self.put(&kind, &name, &spec);
                ("201 Created", object_json(&name, revision, &spec))
            }
            ("PUT", Some(name)) => {
                let spec = object_field(&text, "Spec").unwrap_or("null").to_owned();
                let revision = self.put(&kind, &name, &spec);
                ("200 OK", object_json(&name, revision, &spec))
            }
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let objects = lock(&self.objects.0);
        let of_kind = objects.objects.iter().filter(|object| object.0.0 == kind);
        let items = of_kind.map(|((_, name), object)| object_json(name, object.revision, &object.spec));
        let items = items.collect::<Vec<_>>().join(",");
        ("200 OK", format!("{{\"Items\":[{items}],\"More\":false,\"At\":{}}}", objects.revision))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = lock(&self.objects.0);
        loop {
            let changes = objects.changes.iter();
            let changes = changes.filter(|change| change.kind == kind && change.revision > from);
            let events: Vec<String> = changes
                .map(|change| {
                    let object = object_json(&change.name, change.revision, &change.spec);
                    format!("{{\"Object\":{object},\"Deleted\":{}}}", change.deleted)
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let at = objects.revision;
                return ("200 OK", format!("{{\"events\":[{events}],\"At\":{at}}}"));
            }
            let waited = self.objects.1.wait_timeout(objects, left);
            objects = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn object_json(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\
         \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}

/// Returns the value of the first field of this name, a string without escapes.
fn string_field(text: &str, name: &str) -> Option<String> {
    let after = &text[text.find(&format!("\"{name}\""))? + name.len() + 2..];
    let value = after.split('"').nth(1)?;
    Some(value.to_owned())
}

/// Returns the text of the first field of this name, an object.
fn object_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{name}\""))?;
    let begin = at + text[at..].find('{')?;
    let mut depth = 0;
    for (offset, byte) in text[begin..].bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(&text[begin..=begin + offset]);
        }
    }
    None
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, resumable: bool) -> String {
    format!(
        "{{\"Name\":\"{prefix}\",\"Host\":\"desk.example\",\"PathPrefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":400,\
         \"TargetGapMs\":120,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2,\
         \"Anonymous\":false,\"Resumable\":{resumable}}}"
    )
}

/// The object `config/main`.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"Name\":\"{name}\",\"ColdPerS\":0.0,\"HealthPath\":\"/healthz\"}}"))
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"{ACCOUNT}\",\"ApiKeys\":[\"{KEY}\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// The entry of a backend server in the store.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, state: &str, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Slots\":12,\"State\":\"{state}\",\"ColdRemainingMs\":0,\
         \"Sequence\":1,\"born\":{born}}}"
    )
}

/// A listener of a backend server that can be closed, as when its process ends: open
/// connections are reset and new ones are refused.
pub struct Port {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
    connections: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Port {
    /// Listens at `address` and calls `serve` in a thread for each connection.
    pub fn open(
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let connections: Arc<Mutex<BTreeMap<u64, TcpStream>>> = Arc::default();
        let serve = Arc::new(serve);
        let (is_open, streams) = (open.clone(), connections.clone());
        let accepting = thread::spawn(move || {
            let mut number = 0;
            while is_open.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        number += 1;
                        if let Ok(copy) = stream.try_clone() {
                            lock(&streams).insert(number, copy);
                        }
                        let (serve, streams) = (serve.clone(), streams.clone());
                        thread::spawn(move || {
                            serve(stream);
                            // The copy would keep the connection open.
                            lock(&streams).remove(&number);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Port { address, open, connections, accepting: Some(accepting) })
    }

    /// Ends as the process does at a crash.
    pub fn crash(mut self) {
        self.open.store(false, Ordering::Relaxed);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in std::mem::take(&mut *lock(&self.connections)).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A process of the system, killed on drop.
pub struct Process {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    folder: PathBuf,
}

impl Process {
    /// Starts an entry with the command of the deploy file and settings like those that the
    /// platform renders from its template.
    pub fn entry(name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let ports: Vec<SocketAddr> = free_ports(6)?;
        let unique = format!("berylgw-review-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder)?;
        let [callers, peers, metrics, holds, directory, ready] = ports[..] else {
            return Err(io::Error::other("ports"));
        };
        let settings = format!(
            "entry:\n  name: \"{name}\"\n  domain: \"{zone}\"\n  listen:\n    callers: \
             \"{callers}\"\n    peers: \"{peers}\"\n    metrics: \"{metrics}\"\n  retry:\n    \
             window_s: 10\n    ratio: 0.2\n    extra: 92\n  cold:\n    overshoot: 1.5\n    \
             slack: 5\n  stop_s: 8\nplatform:\n  store: \"{store}\"\n  holds: \"{holds}\"\n  \
             directory: \"{directory}\"\n  ready: \"{ready}\"\n  seeds: [\"{peers}\"]\n  \
             lifetime_s: 5\n"
        );
        let path = folder.join("boot.yaml");
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join("log.txt"))?;
        let child = Command::new("target/release/berylgw-direct")
            .arg("--settings")
            .arg(&path)
            .env("BERYLGW_CONFIGURATION_MS", "2000")
            .env("BERYLGW_SERVERS_MS", "2000")
            .env("BERYLGW_EVACUATIONS_MS", "5000")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Process { child, callers, ready, directory, folder })
    }

    /// Waits until the platform's readiness check succeeds.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let asked = Channel::connect(self.ready).and_then(|mut channel| {
                channel.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
                channel.read(true)
            });
            if let Ok(Some(answer)) = asked
                && answer.status() == 200
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log lines that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns loopback addresses with ports that are free now, for TCP and UDP.
pub fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    while listeners.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if std::net::UdpSocket::bind(address).is_ok() {
            listeners.push((listener, address));
        }
    }
    Ok(listeners.into_iter().map(|listener| listener.1).collect())
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn new_id() -> String {
    let number = IDS.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// Returns the text of a request with a body.
pub fn request(path: &str, id: &str, deadline_ms: u64, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nBerylgw-Attempt-Id: {id}\r\n\
         Berylgw-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Ends the case with its exit status. `process::exit` drops nothing, so the processes are
/// dropped before.
pub fn finish(processes: Vec<Process>, status: i32) -> ! {
    drop(processes);
    std::process::exit(status)
}
