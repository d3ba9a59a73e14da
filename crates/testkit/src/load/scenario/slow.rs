//! Many slow readers of long streams beside callers that keep up.

use std::time::{Duration, Instant};

use super::{Bench, Options, Result, show, words};
use crate::cluster::Extra;
use crate::load::drive::{Work, run};
use crate::load::sheet::{Plan, token};
use crate::load::{Usage, slow};

/// Bytes per second of a slow reader.
const RATE: usize = 100;

/// Tokens of a slow reader's stream, about 2 MB.
const TOKENS: u32 = 10_000;

/// Interval at which the entry's memory is read.
const SAMPLE: Duration = Duration::from_millis(200);

/// Measures the entry's memory for `readers` slow readers and the latency of
/// other callers without and with them.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn slow(options: &Options, readers: usize, buffer_bytes: usize) -> Result<()> {
    let extra = Extra {
        engine: words("--step-ms 50 --prefill-steps 1 --capacity 100000"),
        agent: "queue: {total: 100000, per_account: 100000}\n".to_owned(),
        entry: format!("limits: {{buffer_bytes: {buffer_bytes}}}\n"),
        ..Extra::default()
    };
    let plan = Plan {
        models: 2,
        limit: 50_000,
        cold_limit: 50_000,
        ..Plan::default()
    };
    let bench = Bench::start(&plan, &extra).await?;
    let work = Work::Chat {
        tokens: 20,
        prompts: 1_000_000,
    };
    let offers = [bench.offer("others", 1, work, 50.0)];
    let alone = run(&offers, options.time, options.seed).await;
    show("without slow readers", &alone);
    let before = bench.usage(0)?;
    let entry = &bench.cluster.entries[0];
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..readers {
        let prompt = format!("slow {index}");
        let stream = slow::open(entry.address, &token(0), &prompt, TOKENS).await?;
        tasks.spawn(slow::read(stream, RATE));
    }
    let sampled = tokio::spawn(highest(entry.process.id(), options.time * 2));
    // The readers' buffers fill first, then stay full.
    let filling = run(&offers, options.time, options.seed).await;
    let beside = run(&offers, options.time, options.seed).await;
    show("while the readers' buffers fill", &filling);
    show("beside slow readers", &beside);
    let highest = sampled.await??;
    let suspended = bench
        .entries_metric("berylgw_slow_reader_resumes_total")
        .await?;
    let running = bench.entries_metric("berylgw_requests_in_flight").await?;
    println!(
        "{running} streams in flight, suspended {suspended} times; entry {} KiB before, \
         at most {} KiB, {} KiB more; setting buffer_bytes {} KiB",
        before.resident >> 10,
        highest >> 10,
        highest.saturating_sub(before.resident) >> 10,
        buffer_bytes >> 10,
    );
    Ok(())
}

/// Most memory a process holds during `time`.
async fn highest(id: i32, time: Duration) -> std::io::Result<u64> {
    let start = Instant::now();
    let mut highest = 0;
    while start.elapsed() < time {
        highest = highest.max(Usage::read(id)?.resident);
        tokio::time::sleep(SAMPLE).await;
    }
    Ok(highest)
}
