//! Measures goodput and latency while a failure domain leaves and returns, by
//! `domain out` and `back` and by removing its rows from the sheet.
//!
//! Usage: `berylgw-domain [--seconds N]`, the length of each phase. Callers send
//! bookings in a closed loop to the entries of both failure domains.

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use berylgw_core::client::token_digest;
use berylgw_testkit::client::{Call, Client};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::version::probes;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::Instant;

const TOKEN: &str = "load-token";

const CALLERS: usize = 24;

const PHASE_SECONDS: u64 = 4;

/// Time a server takes for one request.
const WORK_MS: &str = "40";

const INTERVAL: Duration = Duration::from_millis(20);

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// What the callers saw in one phase.
struct Phase {
    done: u64,
    refused: u64,
    broken: u64,
    times: Histogram<u64>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let seconds = args.opt_value_from_str("--seconds")?;
    let length = Duration::from_secs(seconds.unwrap_or(PHASE_SECONDS));
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    let extra = Extra {
        service: ["--work-ms", WORK_MS].map(str::to_owned).to_vec(),
        ..Extra::default()
    };
    let mut cluster = Cluster::start(&sheet(), &extra).await?;
    let full = cluster.sheet().to_path_buf();
    let reduced = full.with_file_name("reduced.csv");
    let kept = |line: &&str| !line.starts_with("server,s1,") && !line.starts_with("server,s2,");
    let text = std::fs::read_to_string(&full)?;
    let lines: Vec<&str> = text.lines().filter(kept).collect();
    std::fs::write(&reduced, lines.join("\n") + "\n")?;
    println!(
        "{} entries, {} agents, {CALLERS} callers, {WORK_MS} ms of work, phases of {} s",
        cluster.entries.len(),
        cluster.agents.len(),
        length.as_secs()
    );
    phase(&cluster, length).await?;
    let moves: [(&str, &[&str], &[&str]); 2] = [
        (
            "domain out and back",
            &["domain", "out", "a"],
            &["domain", "back", "a"],
        ),
        (
            "rows removed and added",
            &["apply", path(&reduced)?],
            &["apply", path(&full)?],
        ),
    ];
    println!("way, phase: goodput/s, p50 ms, p99 ms, refused, broken, until in force ms");
    for (way, out, back) in moves {
        print(way, "before", phase(&cluster, length).await?, None);
        let (during, time) = tokio::join!(phase(&cluster, length), change(&cluster, out));
        print(way, "out", during?, Some(time?));
        let (after, time) = tokio::join!(phase(&cluster, length), change(&cluster, back));
        print(way, "back", after?, Some(time?));
        print(way, "after", phase(&cluster, length).await?, None);
    }
    cluster.stop().await?;
    Ok(())
}

fn path(path: &Path) -> Result<&str> {
    path.to_str().ok_or_else(|| "the path is not UTF-8".into())
}

/// Four entries and four servers of one service in two failure domains.
fn sheet() -> String {
    let mut lines = vec![
        "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,limit,\
         cold_limit,weight,rate,concurrency,token_sha256"
            .to_owned(),
        "domain,a,r,,,,,,,,,,,,,,".to_owned(),
        "domain,b,r,,,,,,,,,,,,,,".to_owned(),
        "service,app,r,,,,,plain,ignored,,,,,,,,".to_owned(),
        format!(
            "account,load,,,,,,,,,,,,1,100000,1000,{}",
            token_digest(TOKEN)
        ),
        "grant,load,,,app,,,,,,,,,,,,".to_owned(),
    ];
    for (index, domain) in ["a", "a", "b", "b"].iter().enumerate() {
        let number = index + 1;
        lines.push(format!(
            "entry,e{number},,{domain},,127.9.9.9:100{number},127.9.9.9:200{number},,,,,,,,,,"
        ));
        lines.push(format!(
            "server,s{number},,{domain},app,127.9.9.9:300{number},,,,,,16,4,,,,"
        ));
    }
    lines.join("\n") + "\n"
}

/// Makes a change after a quarter of a second; returns the time until all
/// processes act on it, that of the command included.
async fn change(cluster: &Cluster, args: &[&str]) -> Result<Duration> {
    tokio::time::sleep(Duration::from_millis(250)).await;
    let begun = Instant::now();
    let platform = cluster.platform.to_string();
    let args = [args, &["--json", "--platform", &platform]].concat();
    let output = cluster.operate(&args).await?.join("\n");
    let report: Value = serde_json::from_str(&output)?;
    let version = report["version"].as_u64().ok_or("no version")?;
    for probe in &mut probes(cluster).await? {
        probe.reached(version, INTERVAL).await?;
    }
    Ok(begun.elapsed())
}

async fn phase(cluster: &Cluster, length: Duration) -> Result<Phase> {
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<Answers>> = (0..CALLERS)
        .map(|caller| {
            let entry = &cluster.entries[caller % cluster.entries.len()];
            tokio::spawn(call(Client::new(entry.address, TOKEN), stop.clone()))
        })
        .collect();
    let begun = Instant::now();
    tokio::time::sleep(length).await;
    stop.store(true, Ordering::Relaxed);
    let mut phase = Phase {
        done: 0,
        refused: 0,
        broken: 0,
        times: Histogram::new(3)?,
    };
    for caller in callers {
        for (time, outcome) in caller.await? {
            match outcome {
                Outcome::Done => {
                    phase.done += 1;
                    phase.times.record(time.as_millis() as u64)?;
                }
                Outcome::Refused => phase.refused += 1,
                Outcome::Broken => phase.broken += 1,
            }
        }
    }
    phase.done = (phase.done as f64 / begun.elapsed().as_secs_f64()) as u64;
    Ok(phase)
}

type Answers = Vec<(Duration, Outcome)>;

enum Outcome {
    Done,
    Refused,
    Broken,
}

async fn call(client: Client, stop: Arc<AtomicBool>) -> Answers {
    let mut results = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let call = Call {
            service: "app",
            method: Method::POST,
            path: "bookings",
            key: None,
            sending: None,
            ticket: None,
            body: json!({"booking": "load"}),
        };
        let begun = Instant::now();
        let outcome = match client.call::<Value>(call).await {
            Ok(_) => Outcome::Done,
            Err(error) => match error.refusal() {
                Some(refusal) => {
                    tokio::time::sleep(refusal.retry_after).await;
                    Outcome::Refused
                }
                None => Outcome::Broken,
            },
        };
        results.push((begun.elapsed(), outcome));
    }
    results
}

fn print(way: &str, label: &str, phase: Phase, in_force: Option<Duration>) {
    let in_force = in_force.map_or("-".to_owned(), |time| time.as_millis().to_string());
    println!(
        "{way}, {label}: {}, {}, {}, {}, {}, {in_force}",
        phase.done,
        phase.times.value_at_quantile(0.5),
        phase.times.value_at_quantile(0.99),
        phase.refused,
        phase.broken,
    );
}
