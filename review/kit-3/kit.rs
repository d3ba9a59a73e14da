// Stand-ins for the platform's store, backend servers and callers, and a launcher of
// entries. Only the standard library is used; all addresses are loopback addresses.

#[allow(dead_code)]
mod kit {
    use std::collections::BTreeMap;
    use std::fs::{self, File};
    use std::io::{self, Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::path::PathBuf;
    use std::process::{Child, Command, Stdio};
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::{Arc, Condvar, Mutex};
    use std::thread;
    use std::time::{Duration, Instant};

    pub type Error = Box<dyn std::error::Error + Send + Sync>;
    pub type Result<T = ()> = std::result::Result<T, Error>;

    /// Bounds of the installation, as in its settings.
    pub const CONTACT_MS: u64 = 3_000;
    pub const DRAIN_MS: u64 = 2_000;

    /// Largest page of a list of the store; one object may be as large.
    const PAGE_BYTES: usize = 1_000_000;

    /// Longest run of a script, after which it ends with exit code 2.
    const MAX_RUN: Duration = Duration::from_secs(115);

    /// The record of a run: what was sent, answered and run.
    #[derive(Clone)]
    pub struct Record {
        file: Arc<Mutex<File>>,
        pub start: Instant,
    }

    impl Record {
        pub fn create() -> Result<Self> {
            let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
            let file = Arc::new(Mutex::new(File::create(path)?));
            let start = Instant::now();
            Ok(Record { file, start })
        }

        pub fn ms(&self) -> u64 {
            self.start.elapsed().as_millis() as u64
        }

        pub fn line(&self, text: &str) {
            let line = format!("{:>8.3} {text}\n", self.start.elapsed().as_secs_f64());
            let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        }

        pub fn note(&self, text: &str) {
            println!("{text}");
            self.line(text);
        }
    }

    /// Returns whether the disruption is to be played.
    pub fn trouble() -> bool {
        std::env::var("TROUBLE").map_or(true, |value| value != "0")
    }

    /// Runs a case, which returns whether the rule was broken, and exits.
    pub fn main(case: impl FnOnce(&Record) -> Result<bool>) -> ! {
        thread::spawn(|| {
            thread::sleep(MAX_RUN);
            println!("the run took too long");
            kill_all();
            std::process::exit(2);
        });
        let outcome = Record::create().and_then(|record| {
            record.line(&format!("TROUBLE={}", u8::from(trouble())));
            let outcome = case(&record);
            record.note(&match &outcome {
                Ok(true) => "result: rule broken".to_owned(),
                Ok(false) => "result: rule held".to_owned(),
                Err(error) => format!("result: could not run: {error}"),
            });
            outcome
        });
        kill_all();
        std::process::exit(match outcome {
            Ok(broken) => i32::from(broken),
            Err(_) => 2,
        });
    }

    // --- HTTP -----------------------------------------------------------------

    /// Head and body of a request or an answer.
    #[derive(Clone, Debug, Default)]
    pub struct Message {
        pub first_line: String,
        pub headers: Vec<(String, String)>,
        pub body: Vec<u8>,
        /// Whether the body was received to its end.
        pub complete: bool,
    }

    impl Message {
        pub fn header(&self, name: &str) -> Option<&str> {
            let mut headers = self.headers.iter();
            headers.find(|known| known.0 == name).map(|known| known.1.as_str())
        }

        pub fn status(&self) -> u16 {
            let status = self.first_line.split(' ').nth(1);
            status.and_then(|status| status.parse().ok()).unwrap_or(0)
        }

        pub fn id(&self) -> String {
            self.header("berylgw-attempt-id").unwrap_or("").to_owned()
        }
    }

    /// Reads messages from a stream.
    pub struct Reader {
        stream: TcpStream,
        buffer: Vec<u8>,
    }

    impl Reader {
        pub fn new(stream: &TcpStream) -> io::Result<Self> {
            let stream = stream.try_clone()?;
            Ok(Reader { stream, buffer: Vec::new() })
        }

        fn fill(&mut self) -> io::Result<()> {
            let mut bytes = [0; 16 << 10];
            match self.stream.read(&mut bytes)? {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                read => {
                    self.buffer.extend_from_slice(&bytes[..read]);
                    Ok(())
                }
            }
        }

        fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
            while self.buffer.len() < length {
                self.fill()?;
            }
            let rest = self.buffer.split_off(length);
            Ok(std::mem::replace(&mut self.buffer, rest))
        }

        fn line(&mut self) -> io::Result<String> {
            loop {
                if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    let line = self.take(at + 2)?;
                    return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
                }
                self.fill()?;
            }
        }

        /// Reads a message; one whose body breaks off is returned as not complete.
        pub fn message(&mut self) -> io::Result<Message> {
            let mut message = Message { first_line: self.line()?, ..Message::default() };
            loop {
                let line = self.line()?;
                let Some((name, value)) = line.split_once(':') else { break };
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
            message.complete = self.body(&mut message).is_ok();
            Ok(message)
        }

        fn body(&mut self, message: &mut Message) -> io::Result<()> {
            if message.header("transfer-encoding").is_some() {
                loop {
                    let size = usize::from_str_radix(self.line()?.trim(), 16);
                    let size = size.map_err(io::Error::other)?;
                    let chunk = self.take(size + 2)?;
                    message.body.extend_from_slice(&chunk[..size]);
                    if size == 0 {
                        return Ok(());
                    }
                }
            }
            let length = message.header("content-length");
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            message.body = self.take(length)?;
            Ok(())
        }
    }

    // --- Store ----------------------------------------------------------------

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
        /// Spec and revision by kind and name.
        objects: BTreeMap<(String, String), (String, u64)>,
        history: Vec<Change>,
    }

    impl Objects {
        fn object(name: &str, spec: &str, revision: u64) -> String {
            let metadata = format!(r#"{{"Name":"{name}","Revision":{revision}}}"#);
            format!(r#"{{"Metadata":{metadata},"Spec":{spec}}}"#)
        }

        fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
            self.revision += 1;
            let revision = self.revision;
            let key = (kind.to_owned(), name.to_owned());
            self.objects.insert(key, (spec.to_owned(), revision));
            let object = Self::object(name, spec, revision);
            self.history.push(Change {
                revision,
                kind: kind.to_owned(),
                object: object.clone(),
                deleted: false,
            });
            object
        }

        fn delete(&mut self, kind: &str, name: &str) -> bool {
            let key = (kind.to_owned(), name.to_owned());
            let Some((spec, _)) = self.objects.remove(&key) else { return false };
            self.revision += 1;
            let revision = self.revision;
            let object = Self::object(name, &spec, revision);
            self.history.push(Change { revision, kind: kind.to_owned(), object, deleted: true });
            true
        }
    }

    /// The platform's store.
    #[derive(Clone)]
    pub struct Store {
        pub address: SocketAddr,
        inner: Arc<(Mutex<Objects>, Condvar)>,
        /// Whether all calls are refused with 503.
        down: Arc<AtomicBool>,
    }

    impl Store {
        pub fn start() -> Result<Self> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let store = Store {
                address: listener.local_addr()?,
                inner: Arc::default(),
                down: Arc::default(),
            };
            store.inner.0.lock().unwrap().revision = 10;
            let serving = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = serving.clone();
                    thread::spawn(move || store.serve(stream));
                }
            });
            Ok(store)
        }

        pub fn set_down(&self, down: bool) {
            self.down.store(down, Ordering::SeqCst);
            self.inner.1.notify_all();
        }

        /// Writes an object as the operator or a backend server does.
        pub fn put(&self, kind: &str, name: &str, spec: &str) {
            self.inner.0.lock().unwrap().put(kind, name, spec);
            self.inner.1.notify_all();
        }

        pub fn delete(&self, kind: &str, name: &str) {
            self.inner.0.lock().unwrap().delete(kind, name);
            self.inner.1.notify_all();
        }

        fn serve(&self, mut stream: TcpStream) {
            let _ = stream.set_nodelay(true);
            let Ok(mut reader) = Reader::new(&stream) else { return };
            while let Ok(request) = reader.message() {
                let (status, body) = self.answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        }

        fn answer(&self, request: &Message) -> (u16, String) {
            let mut words = request.first_line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let number = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|pair| pair.0 == name).and_then(|pair| pair.1.parse::<u64>().ok())
            };
            let mut parts = path.trim_start_matches("/v1/objects/").split('/');
            let kind = parts.next().unwrap_or("").to_owned();
            let name = parts.next();
            if self.down.load(Ordering::SeqCst) {
                return (503, "{}".to_owned());
            }
            let (lock, changed) = &*self.inner;
            let mut inner = lock.lock().unwrap();
            let body = String::from_utf8_lossy(&request.body).into_owned();
            match (method, name) {
                ("GET", None) => {
                    let Some(since) = number("Watch") else {
                        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                        let after = pairs.find(|pair| pair.0 == "After");
                        let after = after.map(|pair| decode(pair.1)).unwrap_or_default();
                        let of_kind = inner.objects.iter().filter(|known| {
                            known.0.0 == kind && known.0.1 > after
                        });
                        let (mut items, mut more) = (String::new(), false);
                        for (key, (spec, revision)) in of_kind {
                            let item = Objects::object(&key.1, spec, *revision);
                            if !items.is_empty() && items.len() + item.len() > PAGE_BYTES {
                                more = true;
                                break;
                            }
                            let comma = if items.is_empty() { "" } else { "," };
                            items = items + comma + &item;
                        }
                        let at = inner.revision;
                        return (200, format!(r#"{{"Items":[{items}],"More":{more},"At":{at}}}"#));
                    };
                    let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                    let end = Instant::now() + wait;
                    loop {
                        let news = inner.history.iter().filter(|change| {
                            change.revision > since && change.kind == kind
                        });
                        let events = news.map(|change| {
                            let Change { object, deleted, .. } = change;
                            format!(r#"{{"Object":{object},"Deleted":{deleted}}}"#)
                        });
                        let events = events.collect::<Vec<_>>().join(",");
                        let left = end.saturating_duration_since(Instant::now());
                        if self.down.load(Ordering::SeqCst) {
                            return (503, "{}".to_owned());
                        }
                        if !events.is_empty() || left.is_zero() {
                            let at = inner.revision;
                            return (200, format!(r#"{{"events":[{events}],"At":{at}}}"#));
                        }
                        inner = changed.wait_timeout(inner, left).unwrap().0;
                    }
                }
                ("GET", Some(name)) => match inner.objects.get(&(kind, name.to_owned())) {
                    Some((spec, revision)) => (200, Objects::object(name, spec, *revision)),
                    None => (404, "{}".to_owned()),
                },
                ("POST" | "PUT", _) => {
                    let object_name = between(&body, r#""Name":""#, "\"").unwrap_or_default();
                    let spec = body.split_once(r#""Spec":"#).map(|split| split.1.trim());
                    let spec = spec.and_then(|spec| spec.strip_suffix('}')).unwrap_or("{}");
                    let exists = inner.objects.contains_key(&(kind.clone(), object_name.clone()));
                    if method == "POST" && exists {
                        return (409, "{}".to_owned());
                    }
                    let object = inner.put(&kind, &object_name, spec);
                    changed.notify_all();
                    (200, object)
                }
                ("DELETE", Some(name)) => {
                    let deleted = inner.delete(&kind, name);
                    changed.notify_all();
                    (if deleted { 200 } else { 404 }, "{}".to_owned())
                }
                _ => (400, "{}".to_owned()),
            }
        }
    }

    /// Decodes the percent-encoding of a value in a query.
    fn decode(text: &str) -> String {
        let mut bytes = Vec::new();
        let mut rest = text.as_bytes();
        while let Some((&first, after)) = rest.split_first() {
            let hex = after.get(..2).and_then(|two| std::str::from_utf8(two).ok());
            let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
            match (first, byte) {
                (b'%', Some(byte)) => {
                    bytes.push(byte);
                    rest = &after[2..];
                }
                _ => {
                    bytes.push(first);
                    rest = after;
                }
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn between(text: &str, before: &str, after: &str) -> Option<String> {
        let rest = text.split_once(before)?.1;
        Some(rest.split_once(after)?.0.to_owned())
    }

    /// Returns a route of the configuration.
    pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
        let resumable = kind == "streaming";
        format!(
            r#"{{"Name":"{prefix}","Host":"desk.example","PathPrefix":"{prefix}",
            "RouteType":"{kind}","TimeoutMs":{timeout_ms},"TargetLatencyMs":400,
            "TargetGapMs":120,"Priority":1,"Service":"{service}","MaxAttempts":2,
            "Anonymous":false,"Resumable":{resumable}}}"#
        )
    }

    /// Returns a configuration; `accounts` are names of client accounts with their keys.
    pub fn configuration(routes: &[String], service: &str, accounts: &[(&str, &str)]) -> String {
        let accounts = accounts.iter().map(|(name, key)| {
            format!(r#"{{"Name":"{name}","ApiKeys":["{key}"],"Priority":1}}"#)
        });
        let (routes, accounts) = (routes.join(","), accounts.collect::<Vec<_>>().join(","));
        format!(
            r#"{{"Version":1,"Routes":[{routes}],
            "Services":[{{"Name":"{service}","ColdPerS":0.0}}],
            "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
            "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{accounts}]}}"#
        )
    }

    // --- Backend servers ------------------------------------------------------

    /// What a server does with a request that it has read; returns whether the server
    /// crashes.
    pub type Handler = dyn Fn(&Server, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

    /// A backend server, which can crash and be started again at its address.
    #[derive(Clone)]
    pub struct Server {
        pub id: String,
        pub service: String,
        pub address: SocketAddr,
        store: Store,
        record: Record,
        handler: Arc<Handler>,
        born: Arc<AtomicU64>,
        crashed: Arc<AtomicBool>,
        connections: Arc<Mutex<Vec<TcpStream>>>,
        /// Time for which the server is down after a crash.
        restart: Duration,
        /// Ids of the requests that arrived, and when, by the clock of the record.
        pub arrivals: Arc<Mutex<Vec<(u64, String)>>>,
        /// Times of the crashes, by the same clock.
        pub crashes: Arc<Mutex<Vec<u64>>>,
    }

    impl Server {
        pub fn start(
            id: &str,
            service: &str,
            store: &Store,
            record: &Record,
            handler: Arc<Handler>,
        ) -> Result<Self> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let server = Server {
                id: id.to_owned(),
                service: service.to_owned(),
                address: listener.local_addr()?,
                store: store.clone(),
                record: record.clone(),
                handler,
                born: Arc::new(AtomicU64::new(1_764_000_000_000)),
                crashed: Arc::default(),
                connections: Arc::default(),
                restart: Duration::from_secs(2),
                arrivals: Arc::default(),
                crashes: Arc::default(),
            };
            let running = server.clone();
            thread::spawn(move || running.run(listener));
            server.register();
            Ok(server)
        }

        fn register(&self) {
            let Server { id, service, address, .. } = self;
            let born = self.born.load(Ordering::SeqCst);
            let spec = format!(
                r#"{{"Service":"{service}","Address":"{address}","Zone":"shed","Version":"v1",
                "Slots":12,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":{born}}}"#
            );
            self.store.put("servers", id, &spec);
        }

        fn run(&self, mut listener: TcpListener) {
            loop {
                let _ = listener.set_nonblocking(true);
                while !self.crashed.load(Ordering::SeqCst) {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            let _ = stream.set_nonblocking(false);
                            if let Ok(copy) = stream.try_clone() {
                                self.connections.lock().unwrap().push(copy);
                            }
                            let server = self.clone();
                            thread::spawn(move || server.serve(stream));
                        }
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
                drop(listener);
                for stream in self.connections.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                thread::sleep(self.restart);
                self.crashed.store(false, Ordering::SeqCst);
                self.born.fetch_add(10_000, Ordering::SeqCst);
                listener = loop {
                    match TcpListener::bind(self.address) {
                        Ok(listener) => break listener,
                        Err(_) => thread::sleep(Duration::from_millis(50)),
                    }
                };
                self.register();
                self.record.line(&format!("server {} is back", self.id));
            }
        }

        fn serve(&self, mut stream: TcpStream) {
            let _ = stream.set_nodelay(true);
            let Ok(mut reader) = Reader::new(&stream) else { return };
            while let Ok(request) = reader.message() {
                if !request.complete || self.crashed.load(Ordering::SeqCst) {
                    return;
                }
                let expected = request.header("berylgw-expect-instance");
                if expected.is_some_and(|expected| expected != self.id) {
                    let answer = response(421, &request, "", b"");
                    let _ = stream.write_all(&answer);
                    continue;
                }
                let id = request.id();
                self.record.line(&format!("server {} gets {id}", self.id));
                self.arrivals.lock().unwrap().push((self.record.ms(), id));
                match (self.handler)(self, &request, &mut stream) {
                    Ok(false) => {}
                    Ok(true) => {
                        if !self.crashed.swap(true, Ordering::SeqCst) {
                            self.record.line(&format!("server {} crashes", self.id));
                            self.crashes.lock().unwrap().push(self.record.ms());
                        }
                        return;
                    }
                    Err(_) => return,
                }
            }
        }
    }

    /// Returns an answer of a server with its seal.
    pub fn response(status: u16, request: &Message, headers: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {status} X\r\nBerylgw-Attempt-Id: {}\r\nBerylgw-Server-Seal: seal.1\r\n\
             {headers}Content-Length: {}\r\n\r\n",
            request.id(),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    /// Begins an answer that is a stream of events.
    pub fn start_events(request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylgw-Attempt-Id: {}\r\n\
             Berylgw-Server-Seal: seal.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id()
        );
        stream.write_all(head.as_bytes())
    }

    pub fn write_event(stream: &mut TcpStream, number: u32) -> io::Result<()> {
        let event = format!("id: {number}\ndata: event {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
    }

    pub fn end_events(stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(b"0\r\n\r\n")
    }

    // --- Entries --------------------------------------------------------------

    static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

    /// Ends all processes that were started, and waits for them.
    pub fn kill_all() {
        for child in PROCESSES.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(folder());
    }

    fn folder() -> PathBuf {
        std::env::temp_dir().join(format!("berylgw-review-{}", std::process::id()))
    }

    fn free_port(host: &str) -> Result<u16> {
        Ok(TcpListener::bind((host, 0))?.local_addr()?.port())
    }

    /// A running entry.
    #[derive(Clone)]
    pub struct Entry {
        pub name: String,
        pub callers: SocketAddr,
        ready: SocketAddr,
        index: usize,
    }

    impl Entry {
        /// Starts an entry at a loopback address with the command of the deploy file.
        pub fn start(store: &Store, name: &str, domain: &str, host: &str) -> Result<Self> {
            fs::create_dir_all(folder())?;
            let (callers, ready) = (free_port(host)?, free_port(host)?);
            let (peers, metrics) = (free_port(host)?, free_port(host)?);
            let (holds, directory) = (free_port(host)?, free_port(host)?);
            let text = format!(
                "entry:\n  name: \"{name}\"\n  domain: \"{domain}\"\n  listen:\n    \
                 callers: \"{host}:{callers}\"\n    peers: \"{host}:{peers}\"\n    \
                 metrics: \"{host}:{metrics}\"\n  retry:\n    window_s: 10\n    ratio: 0.2\n    \
                 extra: 90\n  cold:\n    overshoot: 1.5\n    slack: 5\n  stop_s: 8\n\
                 platform:\n  store: \"{}\"\n  holds: \"{host}:{holds}\"\n  \
                 directory: \"{host}:{directory}\"\n  ready: \"{host}:{ready}\"\n  seeds: []\n  \
                 lifetime_s: 5\n",
                store.address
            );
            let settings = folder().join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let log = File::create(folder().join(format!("{name}.log")))?;
            // The case is in target/review-2 of the repository.
            let case = std::env::current_exe()?;
            let root = case.ancestors().nth(3).ok_or("no folder of the repository")?;
            let child = Command::new(root.join("target/release/berylgw-direct"))
                .current_dir(root)
                .arg("--settings")
                .arg(&settings)
                .env("BERYLGW_CONFIGURATION_MS", "2000")
                .env("BERYLGW_SERVERS_MS", DRAIN_MS.to_string())
                .env("BERYLGW_EVACUATIONS_MS", "5000")
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            let mut processes = PROCESSES.lock().unwrap();
            processes.push(child);
            Ok(Entry {
                name: name.to_owned(),
                callers: SocketAddr::new(host.parse()?, callers),
                ready: SocketAddr::new(host.parse()?, ready),
                index: processes.len() - 1,
            })
        }

        /// Waits until the entry says that it is ready.
        pub fn wait_until_ready(&self) -> Result {
            let end = Instant::now() + Duration::from_secs(20);
            while Instant::now() < end {
                if self.is_ready().unwrap_or(false) {
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(50));
            }
            Err(format!("entry {} is not ready", self.name).into())
        }

        fn is_ready(&self) -> Result<bool> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: entry\r\n\r\n")?;
            Ok(Reader::new(&stream)?.message()?.status() == 200)
        }

        /// Ends the process with SIGKILL.
        pub fn kill(&self) {
            let _ = PROCESSES.lock().unwrap()[self.index].kill();
        }
    }

    // --- Callers --------------------------------------------------------------

    /// A request of a caller.
    #[derive(Clone, Debug)]
    pub struct Call {
        pub id: String,
        pub path: String,
        pub key: String,
        pub deadline_ms: u64,
        /// Parts of the prompt; empty for a plain request.
        pub parts: String,
    }

    /// Sends a request on a connection of its own and reads the answer.
    pub fn send(address: SocketAddr, call: &Call, record: &Record) -> io::Result<Message> {
        record.line(&format!("caller sends {} to {address}", call.id));
        let answer = exchange(address, call);
        let text = match &answer {
            Ok(answer) if answer.complete => {
                format!("caller gets {} for {}", answer.status(), call.id)
            }
            Ok(answer) => format!("caller gets a part of {} for {}", answer.status(), call.id),
            Err(error) => format!("caller gets no answer for {}: {error}", call.id),
        };
        record.line(&text);
        answer
    }

    fn exchange(address: SocketAddr, call: &Call) -> io::Result<Message> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 1_000)))?;
        let prompt = match call.parts.is_empty() {
            true => String::new(),
            false => format!(
                "Berylgw-Model: m\r\nBerylgw-Token-Count: 800,80\r\n\
                 Berylgw-Prompt-Prefix: {}\r\n",
                call.parts
            ),
        };
        let body = "a question";
        let request = format!(
            "POST {} HTTP/1.1\r\nHost: desk.example\r\nBerylgw-Attempt-Id: {}\r\n\
             Berylgw-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{prompt}\
             Content-Length: {}\r\n\r\n{body}",
            call.path,
            call.id,
            call.deadline_ms,
            call.key,
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        Reader::new(&stream)?.message()
    }
}
