//! Control cost of an idle entry and memory of idle streams.

use std::time::{Duration, Instant};

use super::{Bench, Options, Result, words};
use crate::cluster::Extra;
use crate::load::sheet::{Plan, token};
use crate::load::slow;

/// Time in which every stream gets its first token.
const OPEN: Duration = Duration::from_secs(5);

/// Streams opened at the same time.
const BATCH: usize = 100;

/// Measures an idle entry, then opens `streams` that get a token a second.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn idle(options: &Options, streams: usize) -> Result<()> {
    let extra = Extra {
        engine: words("--step-ms 1000 --prefill-steps 1 --capacity 100000"),
        counted: true,
        agent: "queue: {total: 100000, per_account: 100000}\n".to_owned(),
        ..Extra::default()
    };
    let plan = Plan {
        entries: 2,
        models: 2,
        limit: 50_000,
        cold_limit: 50_000,
        ..Plan::default()
    };
    let bench = Bench::start(&plan, &extra).await?;
    control(&bench, options, "idle").await?;
    let entry = bench.cluster.entries[0].address;
    let before = bench.usage(0)?;
    let mut open = Vec::new();
    while open.len() < streams {
        for _ in 0..BATCH.min(streams - open.len()) {
            let prompt = format!("idle {}", open.len());
            open.push(slow::open(entry, &token(0), &prompt, 1_000_000).await?);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(OPEN).await;
    let after = bench.usage(0)?;
    let running = bench.entries_metric("berylgw_requests_in_flight").await?;
    let grown = after.resident.saturating_sub(before.resident);
    println!(
        "{running} idle streams: entry {} KiB before, {} KiB after, {:.1} KiB each",
        before.resident >> 10,
        after.resident >> 10,
        grown as f64 / 1_024.0 / streams as f64,
    );
    control(&bench, options, "with idle streams").await
}

async fn control(bench: &Bench, options: &Options, title: &str) -> Result<()> {
    let bytes = || {
        let counted = bench
            .cluster
            .entries
            .iter()
            .flat_map(|entry| &entry.counted);
        counted.fold((0, 0), |(platform, peers), counted| {
            (
                platform + counted.platform.relayed(),
                peers + counted.peers.relayed(),
            )
        })
    };
    let entries = bench.cluster.entries.len() as f64;
    let (start, before, usage) = (Instant::now(), bytes(), bench.usage(0)?);
    tokio::time::sleep(options.time).await;
    let (after, later) = (bytes(), bench.usage(0)?);
    let rate = |count: u64| count as f64 / start.elapsed().as_secs_f64() / 1_000.0 / entries;
    println!(
        "{title}: entry {:.4} cores, control thread {:.4} of a core, {} KiB resident, \
         {:.2} KB/s platform and {:.2} KB/s peers per entry",
        later.cores_since(&usage),
        later.control_since(&usage),
        later.resident >> 10,
        rate(after.0 - before.0),
        rate(after.1 - before.1),
    );
    Ok(())
}
