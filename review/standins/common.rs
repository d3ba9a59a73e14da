//! Stand-ins for the platform, servers and clients of a small deployment, and the
//! means to start the project's programs as processes. Only the standard library is
//! used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Bounds of the users' sheets for small sites, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const GRACE_MS: u64 = 8_000;

/// Time after which a script gives up, in milliseconds.
const LONGEST_MS: u64 = 110_000;

pub const HOST: &str = "desk.example";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

/// Milliseconds since the start of the script.
pub fn now() -> u64 {
    start().elapsed().as_millis() as u64
}

pub fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: u64) {
    sleep(at.saturating_sub(now()));
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---- record ---------------------------------------------------------------

struct Shared {
    record: Mutex<Option<File>>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

fn shared() -> &'static Shared {
    static SHARED: OnceLock<Shared> = OnceLock::new();
    SHARED.get_or_init(|| {
        let folder = format!("berylgw-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("temporary folder");
        Shared {
            record: Mutex::new(None),
            children: Mutex::default(),
            folder,
        }
    })
}

/// Opens the record, whose path is the first argument, and ends all processes if the
/// script itself fails.
pub fn begin() {
    now();
    let path = std::env::args().nth(1).expect("path of the record");
    *lock(&shared().record) = Some(File::create(path).expect("record"));
    std::panic::set_hook(Box::new(|info| {
        note(format!("the script failed: {info}"));
        finish(2, "the case could not run");
    }));
    thread::spawn(|| {
        sleep(LONGEST_MS);
        finish(2, "the case took too long");
    });
    note(format!(
        "disruption: {}",
        if trouble() { "yes" } else { "no (TROUBLE=0)" }
    ));
}

/// Writes a line to the record.
pub fn note(text: impl AsRef<str>) {
    if let Some(file) = &mut *lock(&shared().record) {
        let at = now();
        let _ = writeln!(
            file,
            "{:>3}.{:03} s  {}",
            at / 1_000,
            at % 1_000,
            text.as_ref()
        );
    }
}

/// Ends all processes and the script.
pub fn finish(code: i32, verdict: &str) -> ! {
    note(format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    for child in lock(&shared().children).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&shared().folder);
    }
    std::process::exit(code)
}

// ---- HTTP -----------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|known| known.0 == name).map(|known| &*known.1)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was received to its end.
    Complete,
    /// The channel ended or was reset before that.
    Closed,
    /// Nothing came in time.
    TimedOut,
}

fn ending(error: &io::Error) -> Ending {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Ending::TimedOut,
        _ => Ending::Closed,
    }
}

/// Reads bytes until a message is complete; `buffer` keeps what follows it.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    is_answer: bool,
) -> (Option<Message>, Ending) {
    let mut chunk = [0; 16 << 10];
    let head = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return (None, Ending::Closed),
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
            Err(error) => return (None, ending(&error)),
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    buffer.drain(..head);
    let mut lines = text.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|value| value.parse().ok());
    let mut fill = |buffer: &mut Vec<u8>| match stream.read(&mut chunk) {
        Ok(0) => Err(Ending::Closed),
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            Ok(())
        }
        Err(error) => Err(ending(&error)),
    };
    if chunked {
        loop {
            let line = loop {
                if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if let Err(end) = fill(buffer) {
                    return (Some(message), end);
                }
            };
            let size = String::from_utf8_lossy(&buffer[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            else {
                return (Some(message), Ending::Closed);
            };
            while buffer.len() < line + 2 + size + 2 {
                if let Err(end) = fill(buffer) {
                    return (Some(message), end);
                }
            }
            message
                .body
                .extend_from_slice(&buffer[line + 2..line + 2 + size]);
            buffer.drain(..line + 2 + size + 2);
            if size == 0 {
                return (Some(message), Ending::Complete);
            }
        }
    }
    let Some(length) = length else {
        if !is_answer {
            return (Some(message), Ending::Complete);
        }
        loop {
            message.body.append(buffer);
            match fill(buffer) {
                Ok(()) => {}
                Err(Ending::Closed) => return (Some(message), Ending::Complete),
                Err(end) => return (Some(message), end),
            }
        }
    };
    while buffer.len() < length {
        if let Err(end) = fill(buffer) {
            return (Some(message), end);
        }
    }
    message.body = buffer.drain(..length).collect();
    (Some(message), Ending::Complete)
}

// ---- store ----------------------------------------------------------------

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

/// The platform's store of objects.
pub struct Store {
    pub address: SocketAddr,
    inner: Mutex<Objects>,
    changed: Condvar,
    connections: AtomicU64,
    /// Connections with a lower number return nothing further.
    silent_below: AtomicU64,
    /// Time after which a watch that is waiting is cut off, 0 for never.
    watch_cut_ms: AtomicU64,
    /// Number of watches that were cut off.
    watches_cut: AtomicU64,
    /// How often the store has come back from a copy, and one.
    era: AtomicU64,
    /// Whether the store is away: it ends each channel without an answer.
    away: AtomicBool,
}

/// A copy of a store.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":0,\
         \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":{{}}}}"
    )
}

/// Returns the JSON value that follows `"name":`, for objects and strings.
fn json_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let text = text[at..].trim_start();
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return Some(&text[..=index]);
                }
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => {
                depth -= 1;
                if depth == 0 {
                    return Some(&text[..=index]);
                }
            }
            _ => {}
        }
    }
    None
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("store");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("store"),
            inner: Mutex::default(),
            changed: Condvar::new(),
            connections: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            watch_cut_ms: AtomicU64::new(0),
            watches_cut: AtomicU64::new(0),
            era: AtomicU64::new(1),
            away: AtomicBool::new(false),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                let number = store.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || store.serve(stream, number));
            }
        });
        store
    }

    /// Writes an object; returns the time at which the write is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        let revision = inner.revision;
        let key = (kind.to_owned(), name.to_owned());
        inner.objects.insert(key, (revision, spec.to_owned()));
        let object = object(name, revision, spec);
        let kind = kind.to_owned();
        inner.history.push(Change {
            revision,
            kind,
            object,
            deleted: false,
        });
        drop(inner);
        self.changed.notify_all();
        now()
    }

    /// Removes an object; returns the time at which that is acknowledged.
    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let mut inner = lock(&self.inner);
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = inner.objects.remove(&key) {
            inner.revision += 1;
            let revision = inner.revision;
            let object = object(name, revision, &spec);
            let kind = kind.to_owned();
            inner.history.push(Change {
                revision,
                kind,
                object,
                deleted: true,
            });
        }
        drop(inner);
        self.changed.notify_all();
        now()
    }

    /// All connections that are open now return nothing further; new ones work.
    pub fn silence_open_connections(&self) {
        let open = self.connections.load(Ordering::SeqCst);
        self.silent_below.store(open, Ordering::SeqCst);
    }

    /// Cuts off each watch from now on that has waited for `ms`, without an answer.
    pub fn cut_waiting_watches(&self, ms: u64) {
        self.watch_cut_ms.store(ms, Ordering::SeqCst);
    }

    /// Copies all objects.
    pub fn copy(&self) -> Copy {
        let inner = lock(&self.inner);
        Copy {
            revision: inner.revision,
            objects: inner.objects.clone(),
        }
    }

    /// Goes away until [`Store::come_back`].
    pub fn go_away(&self) {
        note("store: away");
        self.away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Comes back with what is in a copy.
    pub fn come_back(&self, copy: Copy) {
        let mut inner = lock(&self.inner);
        inner.revision = copy.revision;
        inner.objects = copy.objects;
        inner
            .history
            .retain(|change| change.revision <= copy.revision);
        let era = self.era.fetch_add(1, Ordering::SeqCst) + 1;
        note(format!(
            "store: back from a copy of revision {}, era {era}",
            copy.revision
        ));
        drop(inner);
        self.away.store(false, Ordering::SeqCst);
    }

    /// Returns how many watches were cut off.
    pub fn watches_cut(&self) -> u64 {
        self.watches_cut.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let (Some(request), Ending::Complete) = read_message(&mut stream, &mut buffer, false)
        {
            let Some((status, body)) = self.answer(&request) else {
                self.watches_cut.fetch_add(1, Ordering::SeqCst);
                return;
            };
            if self.away.load(Ordering::SeqCst) {
                return;
            }
            while number < self.silent_below.load(Ordering::SeqCst) {
                sleep(1_000);
            }
            // The store's usual time for an answer.
            sleep(4);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                self.era.load(Ordering::SeqCst),
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer, `None` if the channel ends instead.
    fn answer(&self, request: &Message) -> Option<(&'static str, String)> {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let rest = path.strip_prefix("/v1/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|pair| pair.0 == name)
                .and_then(|pair| pair.1.parse::<u64>().ok())
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let known = || {
            lock(&self.inner)
                .objects
                .get(&(kind.to_owned(), name.to_owned()))
                .cloned()
        };
        let answer = match request.method() {
            "GET" if name.is_empty() => match parameter("Watch") {
                Some(after) => {
                    return self.watch(kind, after, parameter("WaitMs").unwrap_or(0));
                }
                None => {
                    let inner = lock(&self.inner);
                    let items = inner.objects.iter().filter(|entry| entry.0.0 == kind);
                    let items =
                        items.map(|((_, name), (revision, spec))| object(name, *revision, spec));
                    let items: Vec<String> = items.collect();
                    let at = inner.revision;
                    (
                        "200 OK",
                        format!(
                            "{{\"Items\":[{}],\"More\":false,\"At\":{at}}}",
                            items.join(",")
                        ),
                    )
                }
            },
            "GET" => match known() {
                Some((revision, spec)) => ("200 OK", object(name, revision, &spec)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            "POST" => {
                let name = json_value(&body, "Name")
                    .unwrap_or("")
                    .trim_matches('"')
                    .to_owned();
                let key = (kind.to_owned(), name.clone());
                let exists = lock(&self.inner).objects.get(&key).cloned();
                if let Some((revision, spec)) = exists {
                    return Some(("409 Conflict", object(&name, revision, &spec)));
                }
                self.put(kind, &name, json_value(&body, "Spec").unwrap_or("{}"));
                ("201 Created", body)
            }
            "PUT" if known().is_some() => {
                let spec = json_value(&body, "Spec").unwrap_or("{}");
                if known().is_some_and(|known| known.1 != spec) {
                    self.put(kind, name, spec);
                }
                ("200 OK", body)
            }
            "DELETE" if known().is_some() => {
                self.remove(kind, name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        Some(answer)
    }

    fn watch(&self, kind: &str, after: u64, wait: u64) -> Option<(&'static str, String)> {
        let cut = self.watch_cut_ms.load(Ordering::SeqCst);
        let is_cut = cut > 0 && cut < wait;
        let end = Instant::now() + Duration::from_millis(if is_cut { cut } else { wait });
        let mut inner = lock(&self.inner);
        loop {
            if self.away.load(Ordering::SeqCst) {
                return None;
            }
            if after > inner.revision {
                return Some(("410 Gone", "{}".to_owned()));
            }
            let newer = inner
                .history
                .iter()
                .filter(|change| change.revision > after);
            let events = newer.filter(|change| change.kind == kind);
            let events: Vec<String> = events
                .map(|change| {
                    format!(
                        "{{\"Object\":{},\"Deleted\":{}}}",
                        change.object, change.deleted
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if events.is_empty() && left.is_zero() && is_cut {
                return None;
            }
            if !events.is_empty() || left.is_zero() {
                let at = inner.revision;
                return Some((
                    "200 OK",
                    format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")),
                ));
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

// ---- servers --------------------------------------------------------------

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    pub id: String,
    pub path: String,
    pub ran: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a server does with a request: how long it works, and the body it answers.
pub type Work = Arc<dyn Fn(&Message) -> (u64, Vec<u8>) + Send + Sync>;

/// A server of a plain service.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    ended: Arc<AtomicBool>,
}

impl Server {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        arrivals: &Arrivals,
        work: Work,
    ) -> Server {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        listener.set_nonblocking(true).expect("server");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("server"),
            born: born.map_or(1, |time| time.as_millis() as u64),
            ended: Arc::default(),
        };
        let (id, arrivals, ended) = (id.to_owned(), arrivals.clone(), server.ended.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (id, arrivals, work) = (id.clone(), arrivals.clone(), work.clone());
                let ended = ended.clone();
                thread::spawn(move || serve(stream, &id, &arrivals, &work, &ended));
            }
        });
        server
    }

    /// Ends the process: the port refuses connections, and requests in progress end
    /// without an answer.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        note(format!("server {} ends", self.id));
    }

    pub fn spec(&self, state: &str) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":12,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    pub fn register(&self, store: &Store, state: &str) -> u64 {
        let at = store.put("servers", &self.id, &self.spec(state));
        note(format!(
            "store: server {} of {} is {state}",
            self.id, self.service
        ));
        at
    }
}

fn serve(
    mut stream: TcpStream,
    server: &str,
    arrivals: &Arrivals,
    work: &Work,
    ended: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let (Some(request), Ending::Complete) = read_message(&mut stream, &mut buffer, false) {
        let id = request
            .header("berylgw-attempt-id")
            .unwrap_or("")
            .to_owned();
        let expected = request.header("berylgw-expect-instance");
        let ran = expected.is_none_or(|expected| expected == server);
        let (at, path) = (now(), request.path().to_owned());
        note(format!(
            "{} {id} ({path}) at server {server}",
            if ran { "run" } else { "421 for" }
        ));
        let server = server.to_owned();
        lock(arrivals).push(Arrival {
            at,
            server: server.clone(),
            id: id.clone(),
            path,
            ran,
        });
        if ran && request.path().starts_with("/draft/") {
            let sent = stream_events(&mut stream, &server, &id);
            note(format!(
                "stream {id} of server {server}: {}",
                if sent.is_ok() { "sent whole" } else { "cut" }
            ));
            return;
        }
        let answer = if ran {
            let (time, body) = work(&request);
            sleep(time);
            if ended.load(Ordering::SeqCst) {
                note(format!("server {server} has ended while it worked on {id}"));
                return;
            }
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nBerylgw-Attempt-Id: {id}\r\nBerylgw-Server-Seal: {server}.{id}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(&body);
            answer
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nBerylgw-Attempt-Id: {id}\r\n\
                 Berylgw-Instance-Id: {server}\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes()
        };
        if let Err(error) = stream.write_all(&answer) {
            note(format!(
                "server {server} cannot send its answer to {id}: {error}"
            ));
            return;
        }
        if ran {
            note(format!("server {server} has sent its whole answer to {id}"));
        }
    }
}

/// Events of a stream, and the pause between two of them in milliseconds.
const EVENTS: u32 = 62;
const EVENT_PAUSE_MS: u64 = 100;

fn stream_events(stream: &mut TcpStream, server: &str, id: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylgw-Attempt-Id: {id}\r\n\
         Berylgw-Server-Seal: {server}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: words {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        sleep(EVENT_PAUSE_MS);
    }
    stream.write_all(b"0\r\n\r\n")
}

// ---- clients --------------------------------------------------------------

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// What the client of a request saw.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: u64,
    pub ended_at: u64,
    pub status: u16,
    pub ending: Ending,
    pub bytes: usize,
}

/// A channel to an entry.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel {
            stream,
            buffer: Vec::new(),
        })
    }

    pub fn write(&mut self, request: &Request) -> io::Result<()> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nBerylgw-Attempt-Id: {}\r\nBerylgw-Deadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            request.method,
            request.path,
            request.id,
            request.deadline_ms,
            request.key,
            request.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&request.body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, request: &Request) -> Outcome {
        let sent_at = now();
        note(format!(
            "sent {} {} {} to {:?}",
            request.id,
            request.method,
            request.path,
            self.stream.peer_addr().ok()
        ));
        let limit = Duration::from_millis(request.deadline_ms.max(1));
        let _ = self.stream.set_read_timeout(Some(limit));
        let written = self.write(request);
        let (answer, ending) = match written {
            Ok(()) => read_message(&mut self.stream, &mut self.buffer, true),
            Err(_) => (None, Ending::Closed),
        };
        let status = answer.as_ref().map_or(0, Message::status);
        let bytes = answer.as_ref().map_or(0, |answer| answer.body.len());
        note(format!(
            "answered {}: status {status}, {ending:?}, {bytes} bytes",
            request.id
        ));
        Outcome {
            id: request.id.clone(),
            sent_at,
            ended_at: now(),
            status,
            ending,
            bytes,
        }
    }
}

/// Sends a request over a new channel.
pub fn send(address: SocketAddr, request: &Request) -> Outcome {
    match Channel::open(address) {
        Ok(mut channel) => channel.send(request),
        Err(error) => {
            note(format!("{}: no channel to {address}: {error}", request.id));
            let (id, at) = (request.id.clone(), now());
            Outcome {
                id,
                sent_at: at,
                ended_at: at,
                status: 0,
                ending: Ending::Closed,
                bytes: 0,
            }
        }
    }
}

/// Fetches a path without a body; returns status and body.
pub fn fetch(address: SocketAddr, path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (0, String::new());
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return (0, String::new());
    }
    match read_message(&mut stream, &mut Vec::new(), true) {
        (Some(answer), Ending::Complete) => (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        ),
        _ => (0, String::new()),
    }
}

// ---- machines -------------------------------------------------------------

/// Returns the loopback address of machine `number`, in a network that differs from
/// script to script.
pub fn ip(number: u8) -> Ipv4Addr {
    static NETWORK: OnceLock<(u8, u8)> = OnceLock::new();
    let (second, third) = *NETWORK.get_or_init(|| {
        let seed = std::process::id() as u64 * 7_919;
        for attempt in 0..200 {
            let mixed = seed + attempt * 104_729;
            let (second, third) = ((32 + mixed % 90) as u8, (1 + mixed / 90 % 250) as u8);
            let free = |host: u8| {
                TcpListener::bind((Ipv4Addr::new(127, second, third, host), FRONTEND)).is_ok()
            };
            if (1..20).all(free) {
                return (second, third);
            }
        }
        panic!("no free loopback network");
    });
    Ipv4Addr::new(127, second, third, number)
}

const FRONTEND: u16 = 8_227;
const READY: u16 = 8_220;
const CONTROL: u16 = 8_229;
const DIRECTORY: u16 = 8_224;
const INTERNAL: [u16; 2] = [7_340, 7_355];

/// A machine with an entry, which the platform starts and stops.
pub struct Entry {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    pid: Mutex<Option<i32>>,
}

/// Renders the template of the deploy file as the platform does.
fn render(name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr]) -> String {
    let text = std::fs::read_to_string("deploy/direct.yaml").expect("run at the repository's root");
    let seeds: Vec<String> = seeds
        .iter()
        .map(|ip| format!("\"{ip}:{CONTROL}\""))
        .collect();
    let values = [
        ("NodeName|json", format!("\"{name}\"")),
        ("Zone|json", format!("\"{zone}\"")),
        ("Listen.Frontend|json", format!("\"{ip}:{FRONTEND}\"")),
        ("Listen.Ready|json", format!("\"{ip}:{READY}\"")),
        ("Listen.DirectoryAddr|json", format!("\"{ip}:{DIRECTORY}\"")),
        ("Ip", ip.to_string()),
        ("InternalPorts.0", INTERNAL[0].to_string()),
        ("InternalPorts.1", INTERNAL[1].to_string()),
        ("Bounds.BudgetWindowS", "10".to_owned()),
        ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
        ("Bounds.RetryBudgetExtra", "90".to_owned()),
        ("Bounds.ColdOvershoot", "1.5".to_owned()),
        ("Bounds.ColdSlack", "5".to_owned()),
        ("Bounds.GraceS", (GRACE_MS / 1_000).to_string()),
        ("Bounds.ttl_max_s", "5".to_owned()),
        ("Platform.Address|json", format!("\"{store}\"")),
        ("Seeds|json", format!("[{}]", seeds.join(","))),
    ];
    let rendered = values.iter().fold(text, |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    });
    assert!(
        !rendered.contains("{{"),
        "placeholder not known: {rendered}"
    );
    rendered
}

impl Entry {
    pub fn start(name: &str, zone: &str, number: u8, store: &Store) -> Entry {
        let ip = ip(number);
        let settings = shared().folder.join(format!("{name}.yaml"));
        let seeds = [
            crate::common::ip(1),
            crate::common::ip(2),
            crate::common::ip(3),
        ];
        std::fs::write(&settings, render(name, zone, ip, store.address, &seeds)).expect("settings");
        let entry = Entry {
            name: name.to_owned(),
            ip,
            settings,
            pid: Mutex::default(),
        };
        entry.launch();
        entry
    }

    /// Starts the process with the command of the deploy file.
    pub fn launch(&self) {
        let log = shared().folder.join(format!("{}-{}.log", self.name, now()));
        let log = File::create(log).expect("log");
        let child = Command::new("target/release/berylgw-direct")
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().expect("log")))
            .stdout(Stdio::from(log))
            .spawn()
            .expect("target/release/berylgw-direct");
        *lock(&self.pid) = Some(child.id() as i32);
        note(format!("{} starts at {}", self.name, self.ip));
        lock(&shared().children).push(child);
    }

    /// Waits until the readiness check is passed.
    pub fn wait_until_ready(&self) {
        let end = now() + 15_000;
        while fetch(SocketAddr::from((self.ip, READY)), "/v1/readyz").0 != 200 {
            assert!(now() < end, "{} is not ready", self.name);
            sleep(50);
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = *lock(&self.pid) {
            note(format!("signal {signal} to {}", self.name));
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(SIGKILL);
        self.reap();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let pid = *lock(&self.pid);
        let mut children = lock(&shared().children);
        let child = children
            .iter_mut()
            .find(|child| Some(child.id() as i32) == pid);
        child.is_none_or(|child| child.try_wait().ok().flatten().is_some())
    }

    fn reap(&self) {
        let pid = lock(&self.pid).take();
        let mut children = lock(&shared().children);
        if let Some(at) = children
            .iter()
            .position(|child| Some(child.id() as i32) == pid)
        {
            let _ = children.remove(at).wait();
        }
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let Some(pid) = *lock(&self.pid) else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kib.unwrap_or(0)
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONTEND))
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY))
    }
}

// ---- configuration --------------------------------------------------------

pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
}

/// Returns a configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route], keys: &[(&str, &str)]) -> String {
    let route = |route: &Route| {
        format!(
            "{{\"Name\":\"r{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"RouteType\":\"{}\",\
             \"TimeoutMs\":{},\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"{}\",\
             \"MaxAttempts\":{},\"Anonymous\":false,\"Sticky\":false,\"Resumable\":false}}",
            route.prefix.trim_matches('/'),
            route.prefix,
            route.kind,
            route.timeout_ms,
            route.service,
            route.attempts
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let service = |name: &&str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":51,\
             \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}"
        )
    };
    let account = |(name, key): &(&str, &str)| {
        format!("{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"],\"Priority\":2}}")
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    let accounts: Vec<String> = keys.iter().map(account).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        accounts.join(",")
    )
}
