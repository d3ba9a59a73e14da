//! Stand-ins for the platform's store, servers and clients, and the start of an entry,
//! for the cases of the second review. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

/// Closes a connection with a reset instead of an orderly end.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open and the option value has the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

// ---------------------------------------------------------------- record and end

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to the record.
pub fn note(line: &str) {
    let mut record = RECORD.lock().unwrap();
    if let Some(file) = record.as_mut() {
        let _ = writeln!(file, "{:8.3} {line}", now());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(line: &str) {
    note(line);
    println!("{line}");
}

/// Opens the record beside the case, ends the case with 2 after `limit_s`, and returns
/// whether the disruption is on.
pub fn begin(limit_s: u64) -> bool {
    now();
    let path = std::env::args().nth(1).expect("usage: CASE RECORD");
    *RECORD.lock().unwrap() = Some(File::create(path).expect("record"));
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(limit_s));
        say("the case took too long");
        end(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    say(&format!("disruption: {trouble}"));
    trouble
}

/// Ends all processes of the case and the case itself.
pub fn end(code: i32) -> ! {
    for pid in PIDS.lock().unwrap().drain(..) {
        let mut kill = Command::new("kill");
        let _ = kill.args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(code);
}

/// Ends the case by the rule's result.
pub fn verdict(rule: &str, broken: bool) -> ! {
    say(&format!("{rule}: {}", if broken { "broken" } else { "held" }));
    end(i32::from(broken))
}

// ---------------------------------------------------------------- addresses

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free port below those that the system gives to outgoing connections.
pub fn free_port() -> u16 {
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::SeqCst) % 2_000;
        let free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// ---------------------------------------------------------------- HTTP

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| &**value)
    }

    /// Words of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn attempt(&self) -> String {
        self.header("berylgw-attempt-id").unwrap_or("").to_owned()
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body that follows a head.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    message.whole = true;
    Ok(())
}

// ---------------------------------------------------------------- store

/// How a listener of the store treats its caller.
pub const OPEN: u8 = 0;
/// Connections are reset, as by a cut that resets.
pub const RESET: u8 = 1;

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    history: Vec<(u64, String, String, bool)>,
}

/// A store of versioned objects.
#[derive(Default)]
pub struct Store {
    inner: Mutex<Objects>,
    changed: Condvar,
}

/// A listener of the store, for one caller.
pub struct Gate {
    pub address: SocketAddr,
    pub mode: AtomicU8,
    /// Texts that are replaced in what this caller reads.
    pub replaced: Mutex<Vec<(String, String)>>,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Store::default();
        store.inner.lock().unwrap().revision = 10;
        Arc::new(store)
    }

    /// Writes an object and returns its text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let object = format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":{revision},\
             \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":null}}"
        );
        let key = (kind.to_owned(), name.to_owned());
        inner.objects.insert(key, object.clone());
        inner.history.push((revision, kind.to_owned(), object.clone(), false));
        self.changed.notify_all();
        object
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        let Some(object) = inner.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        inner.revision += 1;
        let revision = inner.revision;
        inner.history.push((revision, kind.to_owned(), object, true));
        self.changed.notify_all();
    }

    /// Listens for one caller.
    pub fn listen(self: &Arc<Self>) -> Arc<Gate> {
        let listener = TcpListener::bind(local(free_port())).expect("store");
        let gate = Arc::new(Gate {
            address: listener.local_addr().unwrap(),
            mode: AtomicU8::new(OPEN),
            replaced: Mutex::default(),
        });
        let (store, served) = (self.clone(), gate.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.mode.load(Ordering::SeqCst) == RESET {
                    reset(&stream);
                    continue;
                }
                let (store, served) = (store.clone(), served.clone());
                std::thread::spawn(move || {
                    let _ = store.serve(stream, &served);
                });
            }
        });
        gate
    }

    fn serve(&self, stream: TcpStream, gate: &Gate) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            let (status, mut body) = self.answer(&request, gate);
            if gate.mode.load(Ordering::SeqCst) == RESET {
                reset(&writer);
                return Ok(());
            }
            for (from, to) in gate.replaced.lock().unwrap().iter() {
                body = body.replace(from, to);
            }
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, gate: &Gate) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut parts = path.split('/').skip(3);
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| *name == wanted);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.word(0), name) {
            ("GET", None) => match parameter("Watch") {
                Some(after) => (200, self.watch(kind, after, parameter("WaitMs"), gate)),
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => {
                let inner = self.inner.lock().unwrap();
                let found = inner.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or((404, "{}".to_owned()), |object| (200, object.clone()))
            }
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            ("POST" | "PUT", name) => {
                let spec = member(&body, "Spec").unwrap_or("null").to_owned();
                let metadata = member(&body, "Metadata").unwrap_or("{}");
                let named = member(metadata, "Name").unwrap_or("").trim_matches('"');
                let name = name.unwrap_or(named).to_owned();
                let key = (kind.to_owned(), name.clone());
                let known = self.inner.lock().unwrap().objects.get(&key).cloned();
                match known {
                    Some(object) if request.word(0) == "POST" => (409, object),
                    _ => (200, self.put(kind, &name, &spec)),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let inner = self.inner.lock().unwrap();
        let of_kind = inner.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<&str> = of_kind.map(|(_, object)| &**object).collect();
        let (items, at) = (items.join(","), inner.revision);
        format!("{{\"Items\":[{items}],\"More\":false,\"At\":{at}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: Option<u64>, gate: &Gate) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut inner = self.inner.lock().unwrap();
        loop {
            let new = inner.history.iter().filter(|change| change.0 > after && change.1 == kind);
            let events: Vec<String> = new
                .map(|(_, _, object, gone)| format!("{{\"Object\":{object},\"Deleted\":{gone}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            let cut = gate.mode.load(Ordering::SeqCst) == RESET;
            if !events.is_empty() || left.is_zero() || cut {
                let (events, at) = (events.join(","), inner.revision);
                return format!("{{\"events\":[{events}],\"At\":{at}}}");
            }
            let step = left.min(Duration::from_millis(20));
            inner = self.changed.wait_timeout(inner, step).unwrap().0;
        }
    }
}

/// Returns the text of a member of a JSON object.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        let key_start = at + text[at..].find('"')?;
        let key_end = value_end(bytes, key_start);
        let colon = key_end + text[key_end..].find(':')?;
        let start = colon + 1 + text[colon + 1..].find(|c: char| !c.is_whitespace())?;
        let end = value_end(bytes, start);
        if &text[key_start + 1..key_end - 1] == name {
            return Some(text[start..end].trim());
        }
        at = end;
    }
}

/// Returns the position after the JSON value that begins at `start`.
fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut quoted, mut at) = (0, false, start);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if quoted => at += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return at + 1;
                }
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted && depth > 0 => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' | b'}' | b']' if !quoted && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    bytes.len()
}

// ---------------------------------------------------------------- configuration

/// Returns a route of a configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    let streams = kind == "streaming";
    let gap = if streams { ",\"TargetGapMs\":120" } else { "" };
    let target = if streams { 400 } else { 300 };
    format!(
        "{{\"Name\":\"r{prefix}\",\"Host\":\"desk.example\",\"PathPrefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target},\
         \"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2,\"Anonymous\":false,\
         \"Sticky\":{streams},\"Resumable\":{streams}{gap}}}"
    )
}

/// Returns a configuration with two tenants, `ta` with the key `key-a` and `tb` with
/// `key-b`, and the limits of the small sites.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":328,\
             \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{services}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[\
         {{\"Name\":\"ta\",\"ApiKeys\":[\"key-a\"],\"Priority\":1}},\
         {{\"Name\":\"tb\",\"ApiKeys\":[\"key-b\"],\"Priority\":1}}]}}"
    )
}

// ---------------------------------------------------------------- servers

/// A connection of an entry to a server, with the head of its request.
pub struct Work<'a> {
    pub server: &'a Server,
    pub request: Message,
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

type Behaviour = Arc<dyn Fn(&mut Work) -> io::Result<()> + Send + Sync>;

/// A server that does with each request what `behaviour` says.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Whether its process is gone.
    pub down: AtomicBool,
    behaviour: Behaviour,
}

impl Server {
    /// Starts a server and registers it in the store.
    pub fn start(store: &Store, service: &str, id: &str, behaviour: Behaviour) -> Arc<Server> {
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: local(free_port()),
            down: AtomicBool::new(false),
            behaviour,
        });
        server.listen();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let address = server.address;
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"ikeja\",\
             \"Version\":\"v1\",\"Slots\":12,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Sequence\":1,\"born\":{born}}}"
        );
        store.put("servers", id, &spec);
        server
    }

    fn listen(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        std::thread::spawn(move || {
            while !server.down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let served = || -> io::Result<()> {
            stream.set_nonblocking(false)?;
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let Some(request) = read_head(&mut reader)? else {
                return Ok(());
            };
            let stream = stream.try_clone()?;
            (self.behaviour)(&mut Work {
                server: self,
                request,
                reader,
                stream,
            })
        };
        let _ = served();
        if self.down.load(Ordering::SeqCst) {
            reset(&stream);
        }
    }

    /// Ends the process of the server with all its connections; with `back` it is there
    /// again after that time.
    pub fn crash(self: &Arc<Self>, back: Option<Duration>) {
        self.down.store(true, Ordering::SeqCst);
        let server = self.clone();
        let Some(back) = back else { return };
        std::thread::spawn(move || {
            std::thread::sleep(back);
            server.down.store(false, Ordering::SeqCst);
            server.listen();
        });
    }
}

impl Work<'_> {
    pub fn read_body(&mut self) -> io::Result<()> {
        read_body(&mut self.reader, &mut self.request)
    }

    /// Answers with a status and a body, signed.
    pub fn answer(&mut self, status: u16, body: &str) -> io::Result<()> {
        let (id, length) = (self.request.attempt(), body.len());
        write!(
            self.stream,
            "HTTP/1.1 {status} -\r\nBerylgw-Attempt-Id: {id}\r\nBerylgw-Server-Seal: s.{length}\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
    }

    /// Writes the head of an event stream.
    pub fn begin_stream(&mut self) -> io::Result<()> {
        let id = self.request.attempt();
        write!(
            self.stream,
            "HTTP/1.1 200 OK\r\nBerylgw-Attempt-Id: {id}\r\nBerylgw-Server-Seal: s.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
    }

    /// Writes the events from `first` to `last` and the end of the stream; fails if the
    /// server has crashed meanwhile.
    pub fn write_events(&mut self, first: u32, last: u32, pause: Duration) -> io::Result<()> {
        self.write_some_events(first, last, pause)?;
        write!(self.stream, "0\r\n\r\n")
    }

    /// Writes the events from `first` to `last`; fails if the server has crashed meanwhile.
    pub fn write_some_events(
        &mut self,
        first: u32,
        last: u32,
        pause: Duration,
    ) -> io::Result<()> {
        for id in first..=last {
            std::thread::sleep(pause);
            if self.server.down.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {id}\ndata: words\n\n");
            write!(self.stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        Ok(())
    }
}

// ---------------------------------------------------------------- entries

/// A running `berylgw-direct`.
pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
}

/// Path of a program of the deploy file.
pub fn program(name: &str) -> PathBuf {
    let executable = std::env::current_exe().unwrap();
    // The cases lie in `target/review-2`.
    executable.parent().unwrap().parent().unwrap().join("release").join(name)
}

/// A folder for settings and logs.
pub fn folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("berylgw-review-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

impl Entry {
    /// Starts an entry with the settings that `deploy/direct.yaml` gives on a small site,
    /// and waits until it is ready.
    pub fn start(store: SocketAddr, name: &str, zone: &str) -> Entry {
        Self::start_at(store, name, zone, local(free_port()))
    }

    /// Starts an entry that other entries reach at `peers`.
    pub fn start_at(store: SocketAddr, name: &str, zone: &str, peers: SocketAddr) -> Entry {
        let [callers, ready, directory, holds, metrics] = [(); 5].map(|()| local(free_port()));
        let settings = format!(
            "entry:\n  name: \"{name}\"\n  domain: \"{zone}\"\n  listen:\n    \
             callers: \"{callers}\"\n    peers: \"{peers}\"\n    metrics: \"{metrics}\"\n  \
             retry:\n    window_s: 10\n    ratio: 0.2\n    extra: 92\n  cold:\n    \
             overshoot: 1.5\n    slack: 5\n  stop_s: 8\nplatform:\n  store: \"{store}\"\n  \
             holds: \"{holds}\"\n  directory: \"{directory}\"\n  ready: \"{ready}\"\n  \
             seeds: []\n  lifetime_s: 5\n"
        );
        let path = folder().join(format!("{name}.yaml"));
        std::fs::write(&path, settings).unwrap();
        let log = File::create(folder().join(format!("{name}.log"))).unwrap();
        let child = Command::new(program("berylgw-direct"))
            .arg("--settings")
            .arg(&path)
            .env("BERYLGW_CONFIGURATION_MS", "2000")
            .env("BERYLGW_SERVERS_MS", "2000")
            .env("BERYLGW_EVACUATIONS_MS", "5000")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            say("berylgw-direct could not be started");
            end(2);
        };
        PIDS.lock().unwrap().push(child.id());
        let entry = Entry {
            child,
            callers,
            ready,
            peers,
        };
        for _ in 0..200 {
            if entry.is_ready() {
                note(&format!("{name} is ready, callers at {callers}"));
                return entry;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        say(&format!("{name} did not become ready"));
        end(2);
    }

    /// Asks the readiness check as the platform does.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            write!(stream, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        asked().unwrap_or(false)
    }

    /// Returns the memory that the process holds, in MB.
    pub fn resident_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        PIDS.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- links between entries

/// The link between two entries: each reaches the other at a proxy.
pub struct Link {
    /// Address of the first entry as the second one reaches it, and the other way round.
    pub first_at: SocketAddr,
    pub second_at: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts the proxies between the entries at `first` and `second`.
    pub fn start(first: SocketAddr, second: SocketAddr) -> Link {
        let (first_at, second_at) = (local(free_port()), local(free_port()));
        let cut = Arc::new(AtomicBool::new(false));
        let to_first = UdpSocket::bind(first_at).unwrap();
        let to_second = UdpSocket::bind(second_at).unwrap();
        // What the second entry sends to `first_at` arrives from `second_at`.
        let pairs = [
            (to_first.try_clone().unwrap(), to_second.try_clone().unwrap(), first),
            (to_second, to_first, second),
        ];
        for (received, sent, target) in pairs {
            let cut = cut.clone();
            std::thread::spawn(move || {
                let mut buffer = [0; 65_536];
                while let Ok((length, _)) = received.recv_from(&mut buffer) {
                    if !cut.load(Ordering::SeqCst) {
                        let _ = sent.send_to(&buffer[..length], target);
                    }
                }
            });
        }
        for (at, target) in [(first_at, first), (second_at, second)] {
            let (listener, cut) = (TcpListener::bind(at).unwrap(), cut.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let other = TcpStream::connect(target);
                    match (cut.load(Ordering::SeqCst), other) {
                        (false, Ok(other)) => forward(stream, other, &cut),
                        _ => reset(&stream),
                    }
                }
            });
        }
        Link {
            first_at,
            second_at,
            cut,
        }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

/// Copies both directions of a connection until one ends or the link is cut.
fn forward(one: TcpStream, other: TcpStream, cut: &Arc<AtomicBool>) {
    let (back, forth) = (other.try_clone().unwrap(), one.try_clone().unwrap());
    for (mut from, mut to) in [(one, other), (back, forth)] {
        let cut = cut.clone();
        std::thread::spawn(move || {
            let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
            let mut buffer = [0; 65_536];
            loop {
                match from.read(&mut buffer) {
                    _ if cut.load(Ordering::SeqCst) => {
                        reset(&from);
                        break;
                    }
                    Ok(0) => break,
                    Ok(length) if to.write_all(&buffer[..length]).is_ok() => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => break,
                }
            }
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
        });
    }
}

// ---------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub headers: String,
    pub body: Vec<u8>,
    /// Whether the body is sent in chunks.
    pub chunked: bool,
}

impl<'a> Call<'a> {
    pub fn new(method: &'a str, path: &'a str, key: &'a str) -> Self {
        Call {
            method,
            path,
            key,
            deadline_ms: 8_000,
            headers: String::new(),
            body: Vec::new(),
            chunked: false,
        }
    }

    /// Sends the request on a new channel and waits for the answer. Returns its id and
    /// the answer, `None` if the channel ended without one.
    pub fn send(&self, entry: SocketAddr) -> (String, Option<Message>) {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let answer = self.exchange(entry, &id).unwrap_or(None);
        (id, answer)
    }

    fn exchange(&self, entry: SocketAddr, id: &str) -> io::Result<Option<Message>> {
        let Call {
            method,
            path,
            key,
            deadline_ms,
            headers,
            ..
        } = self;
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
        let length = match (self.chunked, self.body.len()) {
            (true, _) => "Transfer-Encoding: chunked\r\n".to_owned(),
            (false, 0) if *method == "GET" => String::new(),
            (false, length) => format!("Content-Length: {length}\r\n"),
        };
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nBerylgw-Attempt-Id: {id}\r\n\
             Berylgw-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n\
             {headers}{length}\r\n"
        )?;
        if self.chunked {
            write!(stream, "{:x}\r\n", self.body.len())?;
            stream.write_all(&self.body)?;
            stream.write_all(b"\r\n0\r\n\r\n")?;
        } else {
            stream.write_all(&self.body)?;
        }
        let mut reader = BufReader::new(stream);
        let Some(mut answer) = read_head(&mut reader)? else {
            return Ok(None);
        };
        if read_body(&mut reader, &mut answer).is_err() {
            answer.whole = false;
        }
        Ok(Some(answer))
    }
}

/// Returns the status of an answer, 0 if there is none.
pub fn status(answer: &Option<Message>) -> u16 {
    answer.as_ref().map_or(0, Message::status)
}

/// Returns the time for which an answer asks the client to wait.
pub fn retry_after(answer: &Option<Message>) -> Duration {
    let value = answer.as_ref().and_then(|answer| answer.header("retry-after"));
    let seconds = value.and_then(|value| value.parse::<f64>().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.2).clamp(0.0, 5.0))
}

pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

