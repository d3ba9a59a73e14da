//! Planned work only: stops, SIGHUP, changes of the configuration and servers that
//! drain, in series and overlapping, under callers that keep connections and answers
//! of the directory. Nothing else goes wrong, so each request has to be answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use super::Summary;
use super::world::question;
use crate::direct::backend::{Reply, Run, Server};
use crate::direct::caller::{Channel, Failure as Unanswered, Pace};
use crate::direct::loss::{Fate, Sent, Stop};
use crate::direct::site::{self, Entry, Failure, KEY, register};
use crate::direct::store::Store;

/// Seconds from the stop signal to the kill in the settings of the entries.
const GRACE: Duration = Duration::from_secs(8);

const DOMAINS: [&str; 3] = ["shed", "loft", "dock"];

/// Time within which an entry's process has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Wait for the end of a process before it is looked at again.
const POLL: Duration = Duration::from_millis(1);

/// Time after the last stop for which callers go on.
const SETTLE: Duration = Duration::from_secs(1);

/// The traffic of a run.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Callers at the same time.
    pub callers: u64,
    /// Entries.
    pub entries: usize,
    /// Time limit of requests that are no streams, in milliseconds.
    pub limit_ms: u64,
    /// Longest work of a server on these, in milliseconds.
    pub work_ms: u64,
    /// Share of the callers that read their answers slowly.
    pub slow_readers: f64,
}

/// Where callers reach an entry, kept after its stop to judge what it was sent.
#[derive(Debug)]
struct Door {
    name: String,
    callers: SocketAddr,
    directory: SocketAddr,
    /// When it was told to stop.
    stopped: Option<Instant>,
}

type Doors = Arc<Mutex<Vec<Door>>>;

/// A request of a caller and how it ended.
#[derive(Debug)]
struct Asked {
    id: String,
    callers: SocketAddr,
    sent: Sent,
    once: bool,
    status: Option<u16>,
}

/// The programs and stand-ins of one run.
struct Site {
    traffic: Traffic,
    store: Store,
    version: u64,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    leaving: Vec<Leaving>,
    doors: Doors,
}

/// An entry that was told to stop.
struct Leaving {
    index: usize,
    entry: Entry,
    at: Instant,
}

/// Runs one seed for `length`.
///
/// # Errors
///
/// Fails if a process does not start.
pub async fn run(seed: u64, length: Duration, traffic: Traffic) -> Result<Summary, Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(traffic).await?;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for caller in 0..traffic.callers {
        let rng = ChaCha8Rng::seed_from_u64(seed * 10_000 + caller);
        let name = format!("s{seed}-{caller}");
        callers.spawn(call(
            rng,
            name,
            traffic,
            site.doors.clone(),
            stopped.clone(),
        ));
    }
    let mut summary = Summary::default();
    let end = Instant::now() + length;
    while Instant::now() < end || !site.leaving.is_empty() {
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
        site.restart_stopped(&mut summary).await?;
        if Instant::now() < end {
            summary.faults += 1;
            site.work(&mut rng)?;
        }
    }
    sleep(SETTLE).await;
    stop.send_replace(true);
    let mut asked = Vec::new();
    while let Some(of_caller) = callers.join_next().await {
        asked.extend(of_caller?);
    }
    judge(&asked, &site.servers, &site.doors, &mut summary);
    Ok(summary)
}

impl Site {
    async fn start(traffic: Traffic) -> Result<Self, Failure> {
        let store = Store::default();
        let version = 1;
        store.put("config", "main", configuration(version, &traffic));
        let mut servers = Vec::new();
        for index in 0..7 {
            let server = Server::start(&format!("i-{index}"), Reply::AsAsked).await?;
            register(&store, service(index), &[&server]);
            servers.push(server);
        }
        let doors = Doors::default();
        let mut entries = Vec::new();
        for index in 0..traffic.entries {
            entries.push(start(&store, index, &doors).await?);
        }
        Ok(Site {
            traffic,
            store,
            version,
            servers,
            entries,
            leaving: Vec::new(),
            doors,
        })
    }

    /// Does one piece of planned work.
    fn work(&mut self, rng: &mut ChaCha8Rng) -> Result<(), Failure> {
        match rng.random_range(0..8) {
            0..3 if self.entries.len() > self.traffic.entries / 2 => {
                let index = rng.random_range(0..self.entries.len());
                let entry = self.entries.remove(index);
                let at = Instant::now();
                entry.process.signal(Signal::SIGTERM)?;
                let index = note_stop(&self.doors, &entry, at);
                self.leaving.push(Leaving { index, entry, at });
            }
            3 => {
                if let Some(Leaving { entry, .. }) = self.leaving.choose(rng) {
                    let signals = [Signal::SIGTERM, Signal::SIGHUP];
                    let signal = signals[rng.random_range(0..2)];
                    // The process may have ended meanwhile.
                    drop(entry.process.signal(signal));
                }
            }
            4 => {
                if let Some(entry) = self.entries.choose(rng) {
                    entry.process.signal(Signal::SIGHUP)?;
                }
            }
            5 => {
                self.version += rng.random_range(1..5);
                let configuration = configuration(self.version, &self.traffic);
                self.store.put("config", "main", configuration);
            }
            6 => {
                let index = rng.random_range(0..self.servers.len());
                let server = &self.servers[index];
                let draining = server.object(service(index), "shed", "draining");
                self.store.put("servers", &server.id, draining);
            }
            _ => {
                for (index, server) in self.servers.iter().enumerate() {
                    register(&self.store, service(index), &[server]);
                }
            }
        }
        Ok(())
    }

    /// Starts entries again whose process has ended, and kills those whose time is over.
    async fn restart_stopped(&mut self, summary: &mut Summary) -> Result<(), Failure> {
        for mut stopping in std::mem::take(&mut self.leaving) {
            if Instant::now() >= stopping.at + GRACE {
                let killed = format!("killed {GRACE:?} after its stop signal");
                summary.broken.push(killed);
                drop(stopping.entry.process.signal(Signal::SIGKILL));
            }
            let ended = stopping.entry.process.wait();
            if tokio::time::timeout(POLL, ended).await.is_err() {
                self.leaving.push(stopping);
                continue;
            }
            if std::env::var_os("SOAK_LOGS").is_some() {
                let lines = stopping.entry.process.recent();
                let lines = lines.iter().filter(|line| !line.contains("\"answered\""));
                lines.for_each(|line| eprintln!("{line}"));
            }
            let entry = start(&self.store, stopping.index, &self.doors).await?;
            self.entries.push(entry);
        }
        Ok(())
    }
}

fn judge(asked: &[Asked], servers: &[Server], doors: &Doors, summary: &mut Summary) {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in servers.iter().flat_map(Server::runs) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    let doors = lock(doors);
    summary.requests = asked.len();
    for request in asked {
        let runs = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        let door = doors.iter().find(|door| door.callers == request.callers);
        let stopped = door.and_then(|door| door.stopped);
        let stop = stopped.map(|at| Stop { at, grace: GRACE });
        let after = |time: Instant| stopped.map(|at| time.saturating_duration_since(at));
        if request.once && runs.len() > 1 {
            summary.broken.push(format!("ran twice: {}", request.id));
        }
        let status = request.status.unwrap_or(0);
        if request.once && [408, 421, 429, 503].contains(&status) && !runs.is_empty() {
            summary
                .broken
                .push(format!("refused and ran: {}", request.id));
        }
        match status {
            200 => summary.served += 1,
            503 => summary.refused += 1,
            502 | 504 => summary.failed += 1,
            _ => {}
        }
        match request.sent.fate(runs, stop) {
            Fate::Ended => {}
            Fate::Crossed => summary.crossed += 1,
            Fate::Outlasted => summary.outlasted += 1,
            Fate::Lost => summary.broken.push(format!(
                "lost: {} of {}, sent {:?} after the stop signal, ended {:?} after it, {} runs, \
                 status {status}",
                request.id,
                door.map_or("no entry", |door| &door.name),
                after(request.sent.at),
                after(request.sent.ended),
                runs.len(),
            )),
        }
    }
}

async fn start(store: &Store, index: usize, doors: &Doors) -> Result<Entry, Failure> {
    let domain = DOMAINS[index % DOMAINS.len()];
    let entry = Entry::start(store, &format!("edge-{index}"), domain).await?;
    let ready = entry.wait_for_line("view in force", &[]);
    tokio::time::timeout(READY_LIMIT, ready).await??;
    lock(doors).push(Door {
        name: format!("edge-{index}"),
        callers: entry.callers,
        directory: entry.directory,
        stopped: None,
    });
    Ok(entry)
}

/// Notes the time of a stop and returns the number of the entry.
fn note_stop(doors: &Doors, entry: &Entry, at: Instant) -> usize {
    let mut doors = lock(doors);
    let Some(door) = doors.iter_mut().find(|door| door.callers == entry.callers) else {
        return 0;
    };
    door.stopped = Some(at);
    let number = door.name.rsplit('-').next();
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn lock(doors: &Doors) -> MutexGuard<'_, Vec<Door>> {
    doors.lock().unwrap_or_else(PoisonError::into_inner)
}

const fn service(server: usize) -> &'static str {
    if server < 3 { "yard" } else { "model" }
}

fn configuration(version: u64, traffic: &Traffic) -> Value {
    let mut configuration = site::configuration(version, &[KEY]);
    for route in configuration["Routes"].as_array_mut().into_iter().flatten() {
        if route["Service"] == "yard" {
            route["TimeoutMs"] = json!(traffic.limit_ms);
        }
        if version.is_multiple_of(2) {
            route["Priority"] = json!(2);
        }
    }
    configuration
}

/// What a caller knows of the entries.
struct Known {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

async fn call(
    mut rng: ChaCha8Rng,
    name: String,
    traffic: Traffic,
    doors: Doors,
    stop: watch::Receiver<bool>,
) -> Vec<Asked> {
    let lifetimes = if rng.random_bool(0.3) { 3 } else { 1 };
    let slow = rng.random_bool(traffic.slow_readers);
    let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
    let mut asked = Vec::new();
    let mut known: Option<Known> = None;
    let mut kept: Option<(SocketAddr, Channel)> = None;
    let mut failed = None;
    while !*stop.borrow() {
        sleep(Duration::from_millis(rng.random_range(5..120))).await;
        if known
            .as_ref()
            .is_none_or(|known| known.until <= Instant::now())
            && let Some((addresses, seconds)) = resolve(&doors, domain, &mut rng).await
        {
            let until = Instant::now() + Duration::from_secs(seconds * lifetimes);
            if kept.as_ref().is_some_and(|(at, _)| !addresses.contains(at)) {
                kept = None;
            }
            failed = None;
            known = Some(Known { addresses, until });
        }
        let Some(known) = &known else { continue };
        let (address, mut channel) = match kept.take() {
            Some(kept) => kept,
            None => {
                let mut usable: Vec<_> = known.addresses.clone();
                usable.retain(|address| Some(*address) != failed);
                let Some(address) = usable.choose(&mut rng).copied() else {
                    failed = None;
                    continue;
                };
                let buffer = slow.then_some(4 << 10);
                match Channel::open(address, buffer).await {
                    Ok(channel) => (address, channel),
                    Err(_) => {
                        failed = Some(address);
                        continue;
                    }
                }
            }
        };
        if !channel.is_usable().await {
            continue;
        }
        let id = format!("{name}-{}", asked.len());
        let (request, closes) = ask(&mut channel, address, id, traffic, slow, &mut rng).await;
        let Some(request) = request else { continue };
        let usable = request.sent.answered && !closes;
        if !request.sent.answered {
            failed = Some(address);
        }
        asked.push(request);
        if usable && rng.random_bool(0.9) {
            kept = Some((address, channel));
        }
    }
    asked
}

/// Sends one request; returns it if it was written, and whether the connection closes.
async fn ask(
    channel: &mut Channel,
    callers: SocketAddr,
    id: String,
    traffic: Traffic,
    slow: bool,
    rng: &mut ChaCha8Rng,
) -> (Option<Asked>, bool) {
    let path = ["/notes/", "/pickup/", "/pickup/", "/stock/"][rng.random_range(0..4)];
    let mut question = question(id, path);
    question.deadline_ms = if path == "/notes/" {
        8_000
    } else {
        traffic.limit_ms
    };
    let work = match path {
        "/notes/" => rng.random_range(300..3_000),
        _ => rng.random_range(traffic.work_ms / 8..=traffic.work_ms),
    };
    let bytes = if slow {
        64 << 10
    } else {
        rng.random_range(1..2_000)
    };
    let events = if path == "/notes/" {
        rng.random_range(3..40)
    } else {
        0
    };
    let (work, bytes, events) = (work.to_string(), bytes.to_string(), events.to_string());
    let headers = [
        ("work-ms", &*work),
        ("answer-bytes", &*bytes),
        ("events", &*events),
    ];
    let body = match rng.random_bool(0.1) {
        true => Duration::from_millis(rng.random_range(5..150)),
        false => Duration::ZERO,
    };
    let read = if slow {
        Duration::from_millis(15)
    } else {
        Duration::ZERO
    };
    let pace = Pace { body, read };
    let at = Instant::now() + body;
    let limit = Instant::now() + Duration::from_millis(question.deadline_ms);
    let answered = timeout_at(limit, channel.ask(&question, &headers, pace)).await;
    let ended = Instant::now();
    let (answered, status, closes) = match answered {
        Ok(Err(Unanswered::Unsent)) => return (None, true),
        // The connection ended before the body was written.
        Ok(Err(Unanswered::Unanswered)) if ended < at => return (None, true),
        Ok(Err(Unanswered::Unanswered)) | Err(_) => (false, None, true),
        Ok(Ok(answer)) => (answer.complete, Some(answer.status.as_u16()), answer.closes),
    };
    let sent = Sent {
        at,
        ended,
        limit,
        answered,
    };
    let once = path == "/pickup/";
    (
        Some(Asked {
            id: question.id,
            callers,
            sent,
            once,
            status,
        }),
        closes,
    )
}

/// Asks an entry for the addresses of entries and their lifetime in seconds.
async fn resolve(
    doors: &Doors,
    domain: &str,
    rng: &mut ChaCha8Rng,
) -> Option<(Vec<SocketAddr>, u64)> {
    let directory = {
        let doors = lock(doors);
        let open: Vec<_> = doors.iter().filter(|door| door.stopped.is_none()).collect();
        open.choose(rng)?.directory
    };
    let path = format!("/v1/resolve?Name=desk.example&Zone={domain}");
    let answer = super::get(directory, &path);
    let answer = tokio::time::timeout(Duration::from_secs(1), answer).await;
    let answer: Value = serde_json::from_str(&answer.ok()?.ok()?).ok()?;
    let addresses = answer["Addresses"].as_array()?.iter();
    let addresses = addresses.filter_map(|address| address.as_str()?.parse().ok());
    Some((addresses.collect(), answer["TtlS"].as_u64()?))
}
