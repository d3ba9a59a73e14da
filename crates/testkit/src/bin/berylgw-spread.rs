//! Measures how long configuration changes take to reach all processes.
//!
//! Usage: `berylgw-spread [--changes N] [--silent]`. With `--silent`, all open
//! watches go silent before each change while new ones work. Every process is asked for its version
//! at a fixed interval, so a time is up to one interval too long. The clock of a
//! change starts before its update is sent to the platform.

use std::error::Error;
use std::time::Duration;

use berylgw_core::config::{DOMAIN_PREFIX, SHEET_OBJECT, Sheet, StoredSheet};
use berylgw_core::failure::{State, Transition};
use berylgw_platform::{Client, Update};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::platform::Calls;
use berylgw_testkit::version::{Probe, probes};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use tokio::time::Instant;

const CHANGES: u64 = 40;

/// Pause between two questions to one process.
const INTERVAL: Duration = Duration::from_millis(10);

/// Pause between two changes, so that they do not overlap.
const PAUSE: Duration = Duration::from_millis(300);

/// Entries started in each region of the example.
const ENTRIES_PER_REGION: usize = 4;

const EXAMPLE: &str = include_str!("../../../../examples/sheet.csv");

const DOMAIN: &str = "dock-room";

const TIMEOUT: Duration = Duration::from_secs(1);

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let silent = args.contains("--silent");
    let changes = args.opt_value_from_str("--changes")?.unwrap_or(CHANGES);
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    let mut cluster = Cluster::start(&sheet(), &Extra::default()).await?;
    let mut probes = probes(&cluster).await?;
    join_all(probes.iter_mut().map(|probe| probe.reached(1, INTERVAL))).await;
    println!(
        "{} entries, {} agents, {changes} changes, asked every {} ms",
        cluster.entries.len(),
        cluster.agents.len(),
        INTERVAL.as_millis(),
    );
    let started = Instant::now();
    let before = calls(&cluster).await?;
    let platform = Client::new(cluster.platform, TIMEOUT);
    let mut all = Histogram::<u64>::new(3)?;
    let mut entries = Histogram::<u64>::new(3)?;
    for change in 0..changes {
        if silent {
            silence_watches(&cluster).await?;
        }
        let begun = Instant::now();
        let version = make(&platform, change).await?;
        let times = spread(&mut probes, version).await?;
        let slowest = |times: &[Instant]| times.iter().max().map_or(0, |at| millis(*at - begun));
        entries.record(slowest(&times[..cluster.entries.len()]))?;
        all.record(slowest(&times))?;
        tokio::time::sleep(PAUSE).await;
    }
    let took = started.elapsed();
    for (label, times) in [("entries", &entries), ("all processes", &all)] {
        println!(
            "{label}: p50 {} ms, p99 {} ms, longest {} ms",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max()
        );
    }
    report(&before, &calls(&cluster).await?, changes, took);
    cluster.stop().await?;
    Ok(())
}

/// The example with fewer entries.
fn sheet() -> String {
    let mut kept = [("entry,entry-qld", 0), ("entry,entry-lagos", 0)];
    let mut lines = Vec::new();
    for line in EXAMPLE.lines() {
        let region = kept.iter_mut().find(|(start, _)| line.starts_with(start));
        if let Some((_, count)) = region {
            *count += 1;
            if *count > ENTRIES_PER_REGION {
                continue;
            }
        }
        lines.push(line);
    }
    lines.join("\n") + "\n"
}

/// Changes a weight in the sheet or moves a failure domain, in turns.
async fn make(platform: &Client, change: u64) -> Result<u64> {
    let update = if change.is_multiple_of(2) {
        let object = platform.get("config", SHEET_OBJECT).await?;
        let object = object.ok_or("there is no sheet")?;
        let StoredSheet::Whole(mut sheet) = serde_json::from_str(object.value.get())? else {
            return Err("the sheet is stored in parts".into());
        };
        edit(&mut sheet, change);
        platform
            .put("config", SHEET_OBJECT, object.version, &sheet)
            .await
    } else {
        let name = format!("{DOMAIN_PREFIX}{DOMAIN}");
        let object = platform.get("config", &name).await?;
        let expected = object.map_or(0, |object| object.version);
        let state = if change % 4 == 1 {
            State::Out
        } else {
            State::In
        };
        let value = Transition {
            state,
            nonce: change,
        };
        platform.put("config", &name, expected, &value).await
    };
    match update {
        Update::Applied(version) => Ok(version),
        other => Err(format!("the update was not applied: {other:?}").into()),
    }
}

fn edit(sheet: &mut Sheet, change: u64) {
    sheet.nonce = change;
    sheet.accounts[0].weight += 1;
}

async fn spread(probes: &mut [Probe], version: u64) -> Result<Vec<Instant>> {
    let reached = probes
        .iter_mut()
        .map(|probe| probe.reached(version, INTERVAL));
    let mut times = Vec::new();
    for at in join_all(reached).await {
        times.push(at?);
    }
    Ok(times)
}

/// Silences the watches that are open now.
async fn silence_watches(cluster: &Cluster) -> Result<()> {
    let control = &cluster.platform_fake.control;
    for silent in [true, false] {
        let fault = serde_json::json!({ "silent_watches": silent });
        control.fault(fault).await?;
    }
    Ok(())
}

async fn calls(cluster: &Cluster) -> Result<Vec<Calls>> {
    Ok(cluster.platform_fake.control.get("/calls").await?)
}

fn report(before: &[Calls], after: &[Calls], changes: u64, took: Duration) {
    println!("platform calls in {:.1} s:", took.as_secs_f64());
    for calls in after {
        let known = before
            .iter()
            .find(|known| known.verb == calls.verb && known.kind == calls.kind);
        let count = calls.count - known.map_or(0, |known| known.count);
        let each = count as f64 / changes as f64;
        println!(
            "  {} {}: {count}, {each:.2} per change",
            calls.verb, calls.kind
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
