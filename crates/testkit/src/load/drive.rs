//! Seeded open-loop arrivals.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::task::JoinSet;

use super::record::Record;
use super::sheet::{MODEL, PLAIN};
use crate::client::{Call, Client, Error};
use crate::control;

/// Length of a prefix: entries decide on affinity by the first 1,024 bytes of
/// the messages, the JSON before the prompt included.
const PREFIX_BYTES: usize = 1_024;

/// Where requests are sent.
#[derive(Clone, Debug)]
pub enum Path {
    /// To entries in turn, as a client account.
    Entries(Vec<Client>),
    /// To backend servers in turn, past entries and agents.
    Direct(Vec<SocketAddr>),
}

/// What is requested.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A chat stream.
    Chat {
        /// Tokens of the answer.
        tokens: u32,
        /// Different prompts.
        prompts: u32,
    },
    /// A chat stream whose prompt starts with a long prefix of the offer and
    /// ends in a question of its own. The most popular prefix is used twice
    /// as often as the second and k times as often as the one of rank k.
    Prefixed {
        /// Tokens of the answer.
        tokens: u32,
        /// Different prefixes.
        prefixes: u32,
    },
    /// A plain idempotent call.
    Plain,
}

/// A source of requests.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Name in the report.
    pub name: String,
    /// Destination.
    pub path: Path,
    /// Content.
    pub work: Work,
    /// Mean arrivals per second.
    pub rate: f64,
}

enum Target {
    Entry(Client),
    Chat(Client),
    Plain(control::Client),
}

type Shared = Arc<Mutex<Record>>;

fn lock(record: &Shared) -> MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Offers everything for `time` and waits for the last answer.
pub async fn run(offers: &[Offer], time: Duration, seed: u64) -> Vec<Record> {
    let mut tasks = JoinSet::new();
    for (index, offer) in offers.iter().enumerate() {
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64));
        tasks.spawn(arrivals(offer.clone(), time, rng, index));
    }
    let mut records = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended.ok());
    }
    records.sort_by_key(|(index, _)| *index);
    records.into_iter().map(|(_, record)| record).collect()
}

async fn arrivals(
    offer: Offer,
    time: Duration,
    mut rng: ChaCha8Rng,
    index: usize,
) -> (usize, Record) {
    let record: Shared = Arc::new(Mutex::new(Record::new(&offer.name)));
    lock(&record).lasted = time;
    let targets = targets(&offer);
    let popularity = match offer.work {
        Work::Prefixed { prefixes, .. } => popularity(prefixes),
        Work::Chat { .. } | Work::Plain => Vec::new(),
    };
    let mut requests = JoinSet::new();
    let start = tokio::time::Instant::now();
    let mut due = 0.0;
    for turn in 0.. {
        due += -(1.0 - rng.random::<f64>()).ln() / offer.rate;
        if due >= time.as_secs_f64() {
            break;
        }
        let prompt = prompt(&offer, &popularity, turn, rng.random::<u32>());
        tokio::time::sleep_until(start + Duration::from_secs_f64(due)).await;
        let target = targets[turn % targets.len()].clone();
        lock(&record).offered += 1;
        requests.spawn(request(target, offer.work, prompt, record.clone()));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let record = lock(&record).clone();
    (index, record)
}

fn targets(offer: &Offer) -> Vec<Arc<Target>> {
    let mut targets = Vec::new();
    match &offer.path {
        Path::Entries(clients) => {
            for client in clients {
                targets.push(Arc::new(Target::Entry(client.clone())));
            }
        }
        Path::Direct(addresses) => {
            for address in addresses {
                let target = match offer.work {
                    Work::Chat { .. } | Work::Prefixed { .. } => {
                        Target::Chat(Client::new(*address, ""))
                    }
                    Work::Plain => Target::Plain(control::Client::new(*address)),
                };
                targets.push(Arc::new(target));
            }
        }
    }
    targets
}

/// Cumulative share of the prefixes up to each rank, the most popular first.
fn popularity(prefixes: u32) -> Vec<f64> {
    let mut shares = Vec::new();
    let mut sum = 0.0;
    for rank in 1..=prefixes.max(1) {
        sum += 1.0 / f64::from(rank);
        shares.push(sum);
    }
    shares.iter().map(|share| share / sum).collect()
}

fn prompt(offer: &Offer, popularity: &[f64], turn: usize, drawn: u32) -> String {
    match offer.work {
        Work::Chat { prompts, .. } => format!("prompt {}", drawn % prompts.max(1)),
        Work::Prefixed { .. } => {
            let place = f64::from(drawn) / (f64::from(u32::MAX) + 1.0);
            let rank = popularity.partition_point(|share| *share <= place);
            let line = format!("{} prefix {rank} ", offer.name);
            let prefix = line.repeat(PREFIX_BYTES.div_ceil(line.len()));
            format!("{}question {turn}", &prefix[..PREFIX_BYTES])
        }
        Work::Plain => String::new(),
    }
}

async fn request(target: Arc<Target>, work: Work, prompt: String, record: Shared) {
    let start = Instant::now();
    let result = match (&*target, work) {
        (
            Target::Entry(client) | Target::Chat(client),
            Work::Chat { tokens, .. } | Work::Prefixed { tokens, .. },
        ) => chat(client, &prompt, tokens, start, &record).await,
        (Target::Entry(client) | Target::Chat(client), Work::Plain) => {
            plain(client, start, &record).await
        }
        (Target::Plain(client), _) => {
            let answer = client.get::<Value>("/stock/crate").await;
            let answer = answer.map_err(|error| Error::Broken(error.to_string()));
            answer.map(|_| answered(start, &record))
        }
    };
    let mut record = lock(&record);
    match result {
        Ok(()) => {
            record.complete += 1;
            let whole = micros(start.elapsed());
            record.whole.saturating_record(whole);
        }
        Err(error) => record.failed(&error),
    }
}

async fn chat(
    client: &Client,
    prompt: &str,
    tokens: u32,
    start: Instant,
    record: &Shared,
) -> Result<(), Error> {
    let mut stream = client.stream(MODEL, prompt, tokens).await?;
    let mut last = None;
    while stream.next().await?.is_some() {
        let now = Instant::now();
        let mut record = lock(record);
        record.tokens += 1;
        match last {
            None => record.first.saturating_record(micros(now - start)),
            Some(last) => record.gap.saturating_record(micros(now - last)),
        }
        last = Some(now);
    }
    Ok(())
}

async fn plain(client: &Client, start: Instant, record: &Shared) -> Result<(), Error> {
    let call = Call {
        service: PLAIN,
        method: Method::GET,
        path: "stock/crate",
        key: None,
        sending: None,
        ticket: None,
        body: Value::Null,
    };
    client.call::<Value>(call).await?;
    answered(start, record);
    Ok(())
}

fn answered(start: Instant, record: &Shared) {
    let first = micros(start.elapsed());
    lock(record).first.saturating_record(first);
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
