//! The same load with each routing policy.

use super::{Bench, Options, Result, words};
use crate::cluster::Extra;
use crate::load::drive::{Offer, Work, run};
use crate::load::engines::{Balance, Blocks};
use crate::load::sheet::Plan;

const POLICIES: [&str; 4] = ["affinity", "random", "round_robin", "least_in_flight"];

const ACCOUNTS: usize = 4;

/// Offered by each client account. The servers complete about 290 requests/s
/// if all prefixes are cached and 150 if none is.
const RATES: [f64; 2] = [32.0, 44.0];

/// Each account has 64 prefixes of 16 blocks; a server's cache holds a sixth
/// of all of them, an eighth is its share.
const WORK: Work = Work::Prefixed {
    tokens: 20,
    prefixes: 64,
};

const ENGINE: &str = "--step-ms 10 --prefill-steps 20 --capacity 8 --cold-capacity 8 \
                      --cache-blocks 680";

/// Compares hits, latency and balance of the routing policies.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn route(options: &Options) -> Result<()> {
    println!(
        "{:<18}{:>9}{:>8}{:>9}{:>9}{:>10} {:>24}{:>12}  refused or failed",
        "policy",
        "rate/s",
        "hits",
        "offered",
        "complete",
        "goodput/s",
        "first ms (p50/p95/p99)",
        "imbalance",
    );
    for policy in POLICIES {
        let extra = Extra {
            engine: words(ENGINE),
            entry: format!("routing: {{policy: {policy}}}\n"),
            ..Extra::default()
        };
        let plan = Plan {
            entries: 3,
            models: 8,
            plain: 0,
            limit: 8,
            cold_limit: 8,
            accounts: ACCOUNTS,
            ..Plan::default()
        };
        let bench = Bench::start(&plan, &extra).await?;
        // Fills the caches.
        let seed = options.seed.wrapping_add(1_000);
        run(&offers(&bench, RATES[0]), options.time, seed).await;
        for rate in RATES {
            measure(&bench, policy, rate, options).await?;
        }
    }
    Ok(())
}

fn offers(bench: &Bench, rate: f64) -> Vec<Offer> {
    (0..ACCOUNTS)
        .map(|index| bench.offer(&format!("account {index}"), index, WORK, rate))
        .collect()
}

async fn measure(bench: &Bench, policy: &str, rate: f64, options: &Options) -> Result<()> {
    let offers = offers(bench, rate);
    let engines = bench.servers("llm-");
    let before = Blocks::read(&engines).await?;
    let mut balance = Balance::default();
    let records = tokio::select! {
        records = run(&offers, options.time, options.seed) => records,
        () = Balance::watch(&engines, &mut balance) => Vec::new(),
    };
    let hits = Blocks::read(&engines).await?.hits_since(&before);
    let all = super::merged("all accounts", &records);
    let first = |quantile| all.first.value_at_quantile(quantile) as f64 / 1_000.0;
    let first = format!("{:.0}/{:.0}/{:.0}", first(0.5), first(0.95), first(0.99));
    println!(
        "{policy:<18}{:>9.0}{hits:>8.3}{:>9}{:>9}{:>10.1} {first:>24}{:>12.2}  {:?}",
        rate * ACCOUNTS as f64,
        all.offered,
        all.complete,
        all.goodput(),
        balance.imbalance(),
        all.failures,
    );
    Ok(())
}
