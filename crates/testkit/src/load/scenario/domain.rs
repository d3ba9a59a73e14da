//! A failure domain of model engines leaves and returns.

use std::path::Path;

use serde_json::json;

use super::{Bench, Options, PAUSE, Result, words};
use crate::cluster::Extra;
use crate::control::Client;
use crate::engine::Stats;
use crate::load::Record;
use crate::load::drive::{Offer, Work, run};
use crate::load::engines::Blocks;
use crate::load::sheet::{self, Plan};

const DOMAINS: usize = 3;
const SERVERS: usize = 9;
const ACCOUNTS: usize = 4;

/// Offered by each client account. Two thirds of the servers complete about
/// 125 requests/s if two thirds of the blocks are cached; 136 overloaded them.
const RATE: f64 = 26.0;

/// Each account has 64 prefixes of 16 blocks; the caches of two thirds of the
/// servers hold all of them.
const WORK: Work = Work::Prefixed {
    tokens: 20,
    prefixes: 64,
};

const ENGINE: &str = "--step-ms 10 --prefill-steps 20 --capacity 6 --cold-capacity 2 \
                      --cache-blocks 900 --cold-factor 2 --warm-after 20 --restart-ms 100";

/// Phases of each way: the domain is changed at the start of `out` and `back`.
const PHASES: [&str; 5] = ["before", "out", "still out", "back", "after"];

/// Compares moves of a failure domain with removal of its rows.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn domain(options: &Options) -> Result<()> {
    println!(
        "{:<10}{:<11}{:>8}{:>9}{:>9}{:>10} {:>24}  refused or failed",
        "way", "phase", "hits", "offered", "complete", "goodput/s", "first ms (p50/p95/p99)",
    );
    for way in ["domain", "rows"] {
        let extra = Extra {
            engine: words(ENGINE),
            ..Extra::default()
        };
        let plan = Plan {
            domains: DOMAINS,
            entries: 3,
            models: SERVERS,
            plain: 0,
            limit: 6,
            cold_limit: 2,
            accounts: ACCOUNTS,
            ..Plan::default()
        };
        let bench = Bench::start(&plan, &extra).await?;
        let full = bench.cluster.sheet().to_path_buf();
        let reduced = full.with_file_name("reduced.csv");
        std::fs::write(&reduced, without_domain(&full)?)?;
        let offers: Vec<Offer> = (0..ACCOUNTS)
            .map(|index| bench.offer(&format!("account {index}"), index, WORK, RATE))
            .collect();
        // Fills the caches and ends the ramp of the servers.
        run(&offers, options.time * 2, options.seed.wrapping_add(1_000)).await;
        for (index, phase) in PHASES.into_iter().enumerate() {
            match (way, phase) {
                ("domain", "out") => bench.operate(&["domain", "out", &last()]).await?,
                ("domain", "back") => bench.operate(&["domain", "back", &last()]).await?,
                ("rows", "out") => bench.cluster.apply(&reduced).await?,
                ("rows", "back") => bench.cluster.apply(&full).await?,
                _ => {}
            }
            let engines = bench.servers("llm-");
            let before = Blocks::read(&engines).await?;
            let seed = options.seed.wrapping_add(index as u64 * 10);
            let records = run(&offers, options.time, seed).await;
            let hits = Blocks::read(&engines).await?.hits_since(&before);
            show(way, phase, hits, &super::merged("all accounts", &records));
            if phase == "still out" {
                restart_engines(&bench).await?;
            }
        }
    }
    Ok(())
}

/// The failure domain that moves.
fn last() -> String {
    sheet::domain(DOMAINS - 1)
}

fn without_domain(sheet: &Path) -> Result<String> {
    let text = std::fs::read_to_string(sheet)?;
    let place = format!(",{},", last());
    let kept = |line: &&str| !line.starts_with("server,") || !line.contains(&place);
    let lines: Vec<&str> = text.lines().filter(kept).collect();
    Ok(lines.join("\n") + "\n")
}

/// Restarts the engines of the failure domain, whose caches are empty then.
async fn restart_engines(bench: &Bench) -> Result<()> {
    for index in (0..SERVERS).filter(|index| index % DOMAINS == DOMAINS - 1) {
        let fake = bench.cluster.fake(&format!("group-{index}"));
        let fake = fake.ok_or("a rank group is missing")?;
        fake.control.fault(json!({"crash": true})).await?;
        for (_, address) in &fake.servers {
            let engine = Client::new(*address);
            while engine.get::<Stats>("/stats").await.is_err() {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    Ok(())
}

fn show(way: &str, phase: &str, hits: f64, all: &Record) {
    let first = |quantile| all.first.value_at_quantile(quantile) as f64 / 1_000.0;
    let first = format!("{:.0}/{:.0}/{:.0}", first(0.5), first(0.95), first(0.99));
    println!(
        "{way:<10}{phase:<11}{hits:>8.3}{:>9}{:>9}{:>10.1} {first:>24}  {:?}",
        all.offered,
        all.complete,
        all.goodput(),
        all.failures,
    );
}
