//! Fake backend servers with scripted replies.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Timeout of [`Server::wait_until`].
const WAIT: Duration = Duration::from_secs(30);

/// How a server answers one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Runs the request and sends a complete answer.
    Complete,
    /// Refuses without running the request.
    NotRun,
    /// Runs the request and fails with a 503 that does not state whether it
    /// ran.
    Unavailable,
    /// Runs the request and answers with this status, without a statement of whether it
    /// ran.
    Status(u16),
    /// Runs the request and resets the connection.
    Reset,
    /// Answers with the id of another request.
    OtherId,
    /// Answers with a success that lacks the signature.
    Unsigned,
    /// Sends a stream of this number of events, with a pause before each.
    Events(u32, Duration),
    /// Sends a stream of this number of events, which breaks off in the middle
    /// of the next one.
    Truncated(u32),
    /// Sends a whole answer without a length, which ends with the connection.
    Unframed,
    /// Sends a stream of this number of events without a length, which ends with
    /// the connection.
    UnframedEvents(u32),
    /// Like [`Reply::UnframedEvents`], but ends in the middle of the next event.
    UnframedTruncated(u32),
    /// Sends a complete chunked body that ends in the middle of the next event.
    EndedTruncated(u32),
    /// Never answers.
    Silent,
    /// Works and answers as the request's headers `work-ms`, `answer-bytes` and
    /// `events` say; without `events`, the answer is no stream.
    AsAsked,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// When it began.
    pub began: Instant,
    /// When the last byte of the answer was written, or the peer had closed.
    pub ended: Option<Instant>,
}

/// A received request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request line and headers, with header names in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Arrival {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|line| line.0 == name).map(|line| line.1)
    }
}

/// A fake backend server on loopback.
#[derive(Clone, Debug)]
pub struct Server {
    /// Id of the server.
    pub id: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    changed: Arc<watch::Sender<usize>>,
    paused: Arc<watch::Sender<bool>>,
}

#[derive(Debug)]
struct Script {
    next: VecDeque<Reply>,
    default_reply: Reply,
    arrivals: Vec<Arrival>,
    runs: Vec<Run>,
    disconnects: usize,
    rate_limit: Option<String>,
    /// Further header lines of all answers.
    notice: String,
}

impl Server {
    /// Starts a server that replies with `default_reply` unless another reply
    /// is queued.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(id: &str, default_reply: Reply) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            script: Arc::new(Mutex::new(Script {
                next: VecDeque::new(),
                default_reply,
                arrivals: Vec::new(),
                runs: Vec::new(),
                disconnects: 0,
                rate_limit: None,
                notice: String::new(),
            })),
            changed: Arc::default(),
            paused: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move {
                    if let Err(error) = server.answer(stream).await {
                        tracing::debug!(%error, "connection ended");
                    }
                });
            }
        });
        Ok(server)
    }

    /// Queues the reply to one of the next requests.
    pub fn queue_reply(&self, reply: Reply) {
        self.lock().next.push_back(reply);
    }

    /// Sets the requests per second that the server names in its answers.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        self.lock().rate_limit = per_second.map(|per_second| per_second.to_string());
    }

    /// Sets a rate limit as it stands in the header, which need not be a number.
    pub fn set_rate_limit_text(&self, text: &str) {
        self.lock().rate_limit = Some(text.to_owned());
    }

    /// Adds a header line to all answers, instead of an earlier one.
    pub fn set_notice(&self, name: &str, value: &str) {
        self.lock().notice = format!("{name}: {value}\r\n");
    }

    /// Sets the reply to all requests for which none is queued.
    pub fn set_reply(&self, reply: Reply) {
        self.lock().default_reply = reply;
    }

    /// Sets whether the server delays the replies to all requests it receives.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Returns the requests received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the ids of the requests that ran, once for each run.
    pub fn ran(&self) -> Vec<String> {
        let script = self.lock();
        script.runs.iter().map(|run| run.id.clone()).collect()
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of connections that the entry closed before the
    /// answer was complete.
    pub fn disconnects(&self) -> usize {
        self.lock().disconnects
    }

    /// Waits until `reached` holds for the server.
    ///
    /// # Errors
    ///
    /// Fails if it does not within 30 s.
    pub async fn wait_until(&self, reached: impl Fn(&Server) -> bool) -> io::Result<()> {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + WAIT;
        while !reached(self) {
            let change = tokio::time::timeout_at(end, changed.changed()).await;
            let Ok(change) = change else {
                let (id, script) = (&self.id, self.lock());
                let (arrivals, runs) = (script.arrivals.len(), script.runs.len());
                let message = format!(
                    "server {id} not in the awaited state within {WAIT:?}: \
                     {arrivals} arrivals, {runs} runs"
                );
                return Err(io::Error::new(io::ErrorKind::TimedOut, message));
            };
            change.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Returns the spec of its object in the store.
    pub fn object(&self, service: &str, domain: &str, state: &str) -> Value {
        json!({
            "Service": service, "Address": self.address, "Zone": domain,
            "Version": "v1", "Slots": 12, "State": state, "ColdRemainingMs": 0,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let arrival = read_request(&mut stream).await?;
        let id = arrival
            .header("berylgw-attempt-id")
            .unwrap_or("")
            .to_owned();
        let from = arrival.header("last-event-id").map(str::to_owned);
        let expected = arrival.header("berylgw-expect-instance");
        let is_other = expected.is_some_and(|expected| expected != self.id);
        if is_other {
            self.lock().arrivals.push(arrival);
            self.changed.send_modify(|count| *count += 1);
            return write_response(&mut stream, "421 Misdirected Request", &id, "").await;
        }
        let asked = Asked::read(&arrival);
        let (reply, run) = {
            let mut script = self.lock();
            script.arrivals.push(arrival);
            let default_reply = script.default_reply;
            let reply = script.next.pop_front().unwrap_or(default_reply);
            if reply != Reply::NotRun {
                script.runs.push(Run {
                    id: id.clone(),
                    began: Instant::now(),
                    ended: None,
                });
            }
            (reply, script.runs.len())
        };
        self.changed.send_modify(|count| *count += 1);
        // Fails only if the sender is gone, which `self` keeps.
        drop(self.paused.subscribe().wait_for(|paused| !paused).await);
        let from = from.and_then(|from| from.parse().ok()).unwrap_or(0);
        let sent = self.reply(&mut stream, reply, &id, from, asked).await;
        if reply != Reply::NotRun {
            self.lock().runs[run - 1].ended = Some(Instant::now());
        }
        if sent.is_err() {
            self.lock().disconnects += 1;
            self.changed.send_modify(|count| *count += 1);
        }
        sent
    }

    async fn reply(
        &self,
        stream: &mut TcpStream,
        reply: Reply,
        id: &str,
        from: u32,
        asked: Asked,
    ) -> io::Result<()> {
        let (limit, notice) = {
            let script = self.lock();
            (script.rate_limit.clone(), script.notice.clone())
        };
        let limit = limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        let signature = format!("Berylgw-Server-Seal: {}.{id}\r\n{limit}{notice}", self.id);
        match reply {
            Reply::Complete => write_response(stream, "200 OK", id, &signature).await,
            Reply::NotRun => {
                let header = format!("Berylgw-Not-Executed: 1\r\n{limit}{notice}");
                write_response(stream, "503 Service Unavailable", id, &header).await
            }
            Reply::Unavailable => {
                write_response(stream, "503 Service Unavailable", id, &signature).await
            }
            Reply::Status(status) => {
                write_response(stream, &format!("{status} Status"), id, &signature).await
            }
            Reply::OtherId => write_response(stream, "200 OK", "another", &signature).await,
            Reply::Unsigned => write_response(stream, "200 OK", id, "").await,
            Reply::Reset => {
                stream.set_zero_linger()?;
                Ok(())
            }
            Reply::Unframed => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nBerylgw-Attempt-Id: {id}\r\n{signature}\r\n");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(b"the whole answer").await
            }
            Reply::UnframedEvents(count) | Reply::UnframedTruncated(count) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                     Berylgw-Attempt-Id: {id}\r\n{signature}\r\n"
                );
                stream.write_all(head.as_bytes()).await?;
                for event in from + 1..=count {
                    let event = format!("id: {event}\ndata: e{event}\n\n");
                    stream.write_all(event.as_bytes()).await?;
                }
                if reply == Reply::UnframedTruncated(count) {
                    let incomplete = format!("id: {}\nda", count + 1);
                    stream.write_all(incomplete.as_bytes()).await?;
                }
                Ok(())
            }
            Reply::EndedTruncated(count) => {
                start_stream(stream, id, &signature).await?;
                for event in from + 1..=count {
                    write_chunk(stream, &format!("id: {event}\ndata: e{event}\n\n")).await?;
                }
                write_chunk(stream, &format!("id: {}\nda", count + 1)).await?;
                stream.write_all(b"0\r\n\r\n").await
            }
            Reply::Silent => wait_until_closed(stream).await,
            Reply::AsAsked if asked.events == 0 => {
                work(stream, asked.work).await?;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nBerylgw-Attempt-Id: {id}\r\n{signature}\
                     Content-Length: {}\r\n\r\n",
                    asked.bytes
                );
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'a'; asked.bytes]).await
            }
            Reply::AsAsked => {
                start_stream(stream, id, &signature).await?;
                for event in from + 1..=asked.events {
                    work(stream, asked.work / asked.events).await?;
                    write_chunk(stream, &format!("id: {event}\ndata: e{event}\n\n")).await?;
                }
                stream.write_all(b"0\r\n\r\n").await
            }
            Reply::Events(count, pause) => {
                start_stream(stream, id, &signature).await?;
                for event in from + 1..=count {
                    work(stream, pause).await?;
                    write_chunk(stream, &format!("id: {event}\ndata: e{event}\n\n")).await?;
                }
                stream.write_all(b"0\r\n\r\n").await
            }
            Reply::Truncated(count) => {
                start_stream(stream, id, &signature).await?;
                for event in from + 1..=count {
                    write_chunk(stream, &format!("id: {event}\ndata: e{event}\n\n")).await?;
                }
                write_chunk(stream, &format!("id: {}\nda", count + 1)).await
            }
        }
    }
}

/// What a request asks a server to do, see [`Reply::AsAsked`].
#[derive(Clone, Copy, Debug)]
struct Asked {
    work: Duration,
    bytes: usize,
    events: u32,
}

impl Asked {
    fn read(arrival: &Arrival) -> Self {
        let number = |name| {
            let value = arrival.header(name);
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        Asked {
            work: Duration::from_millis(number("work-ms")),
            bytes: number("answer-bytes") as usize,
            events: number("events") as u32,
        }
    }
}

/// Works for `time`, or fails when the peer closes the connection.
async fn work(stream: &mut TcpStream, time: Duration) -> io::Result<()> {
    tokio::select! {
        () = tokio::time::sleep(time) => Ok(()),
        result = wait_until_closed(stream) => result,
    }
}

/// Waits until the peer closes the connection; always fails.
async fn wait_until_closed(stream: &mut TcpStream) -> io::Result<()> {
    let read = stream.read(&mut [0; 64]).await?;
    Err(io::Error::other(format!(
        "{read} bytes instead of an answer"
    )))
}

async fn start_stream(stream: &mut TcpStream, id: &str, signature: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylgw-Attempt-Id: {id}\r\n\
         {signature}Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}

async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    header: &str,
) -> io::Result<()> {
    let body = "the whole answer";
    let answer = format!(
        "HTTP/1.1 {status}\r\nBerylgw-Attempt-Id: {id}\r\n{header}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await
}

async fn read_request(stream: &mut TcpStream) -> io::Result<Arrival> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines: Vec<String> = Vec::new();
    for line in head.lines() {
        let lower = line.split_once(": ").map(|(name, value)| {
            let name = name.to_ascii_lowercase();
            format!("{name}: {value}")
        });
        lines.push(lower.unwrap_or_else(|| line.to_owned()));
    }
    let mut arrival = Arrival {
        head: lines.join("\n"),
        body: bytes.split_off(head_end),
    };
    let length = arrival.header("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    while arrival.body.len() < length {
        if stream.read_buf(&mut arrival.body).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(arrival)
}
