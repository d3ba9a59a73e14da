//! Measures step-time skew and bytes moved, with rebalancing off and on.
//!
//! `berylgw-rebalance [--steps N] [--ranks N] [--experts N] [--slots N]` runs
//! two clusters one after the other whose fake rank groups see the same demand.

use std::error::Error;
use std::time::Duration;

use berylgw_testkit::cluster::{Cluster, Extra, sheet};
use berylgw_testkit::control;
use berylgw_testkit::engine::Steps;
use pico_args::Arguments;

/// Entries of each cluster.
const ENTRIES: usize = 3;

/// Weights of one expert.
const EXPERT_BYTES: u64 = 44 << 20;

/// Time between two reads of the step count.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Dimensions of the group and length of a run.
struct Run {
    ranks: usize,
    experts: usize,
    slots: usize,
    steps: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    let run = Run {
        ranks: args.opt_value_from_str("--ranks")?.unwrap_or(8),
        experts: args.opt_value_from_str("--experts")?.unwrap_or(32),
        slots: args.opt_value_from_str("--slots")?.unwrap_or(6),
        steps: args.opt_value_from_str("--steps")?.unwrap_or(4_000),
    };
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    println!(
        "{} ranks, {} experts, {} slots a rank, {} steps",
        run.ranks, run.experts, run.slots, run.steps
    );
    println!(
        "{:<16}{:>12}{:>16}{:>10}{:>12}{:>8}",
        "rebalancing", "skew mean", "step mean us", "switches", "GiB moved", "mixed"
    );
    for (name, on) in [("off", false), ("on", true)] {
        let steps = measure(&run, on).await?;
        let mean = |total: u64| total as f64 / steps.steps as f64;
        let bytes = (steps.transfers * EXPERT_BYTES) as f64;
        println!(
            "{name:<16}{:>12.3}{:>16.0}{:>10}{:>12.2}{:>8}",
            mean(steps.skew_milli) / 1_000.0,
            mean(steps.time_us),
            steps.switches,
            bytes / f64::from(1 << 30),
            steps.mixed,
        );
    }
    Ok(())
}

async fn measure(run: &Run, on: bool) -> Result<Steps, Box<dyn Error>> {
    let engine = format!(
        "--step-ms 5 --experts {} --expert-slots {} --drift 0.01 --map-load-ms 50",
        run.experts, run.slots
    );
    let groups = format!(
        "groups: {{experts: {}, slots: {}, expert_bytes: {EXPERT_BYTES}, \
         fetch_rate: 107374182400, poll_ms: 50, read_ms: 1000, decide_ms: 500, order_ms: 5000}}\n",
        run.experts, run.slots
    );
    let extra = Extra {
        engine: engine.split_whitespace().map(str::to_owned).collect(),
        agent: "orders: {longest_ms: 200, poll_ms: 10}\n".to_owned(),
        entry: if on { groups } else { String::new() },
        ..Extra::default()
    };
    let sheet = sheet::rank_group(ENTRIES, run.ranks, "enforced");
    let mut cluster = Cluster::start(&sheet, &extra).await?;
    let fake = cluster.fake(sheet::GROUP).ok_or("no rank group")?;
    let engine = control::Client::new(fake.servers[0].1);
    loop {
        let steps: Steps = engine.get("/steps").await?;
        if steps.steps >= run.steps {
            cluster.stop().await?;
            return Ok(steps);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
