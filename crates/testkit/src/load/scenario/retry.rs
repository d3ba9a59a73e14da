//! A third of the backend servers slows down tenfold.

use serde_json::json;

use super::{Bench, Options, Result, show, words};
use crate::cluster::Extra;
use crate::load::drive::{Work, run};
use crate::load::sheet::Plan;

const SERVERS: usize = 6;
const SLOW: usize = 2;

/// Offered by each of two client accounts; together about 0.6 of what all
/// servers complete, and 0.9 of what the healthy ones do.
const RATE: f64 = 200.0;

/// Counts attempts while a third of the servers is slow.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn retry(options: &Options) -> Result<()> {
    let extra = Extra {
        engine: words("--step-ms 5 --prefill-steps 4 --capacity 16"),
        agent: "queue: {total: 32, per_account: 32}\n".to_owned(),
        ..Extra::default()
    };
    let plan = Plan {
        entries: 2,
        models: SERVERS,
        limit: 16,
        cold_limit: 4,
        ..Plan::default()
    };
    let bench = Bench::start(&plan, &extra).await?;
    let work = Work::Chat {
        tokens: 20,
        prompts: 1_000_000,
    };
    let offers = [
        bench.offer("account 0", 0, work, RATE),
        bench.offer("account 1", 1, work, RATE),
    ];
    // Warms the servers up.
    run(&offers, options.time / 4, options.seed).await;
    for (title, factor) in [
        ("all servers healthy", 1.0),
        ("a third tenfold slower", 10.0),
    ] {
        let engines = bench.cluster.fakes.iter();
        let engines = engines.filter(|fake| fake.name.starts_with("group-"));
        for fake in engines.take(SLOW) {
            fake.control.fault(json!({"slow_factor": factor})).await?;
        }
        let requests = bench.entries_metric("berylgw_requests_total").await?;
        let retries = bench.entries_metric("berylgw_retries_total").await?;
        let records = run(&offers, options.time, options.seed).await;
        show(title, &records);
        let requests = bench.entries_metric("berylgw_requests_total").await? - requests;
        let retries = bench.entries_metric("berylgw_retries_total").await? - retries;
        println!(
            "{requests} requests, {} attempts: {:.4} per request (at most 1.1)",
            requests + retries,
            (requests + retries) / requests,
        );
    }
    bench.show_retries().await
}
