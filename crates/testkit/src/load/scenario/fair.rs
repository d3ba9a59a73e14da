//! One client account far above its share.

use super::{Bench, Options, Result, show, words};
use crate::cluster::Extra;
use crate::load::Record;
use crate::load::drive::{Work, run};
use crate::load::sheet::Plan;

/// Client accounts that stay below their share.
const OTHERS: usize = 4;

/// Requests per second of each of them: about 0.6 of a fifth of what the
/// backend server completes.
const RATE: f64 = 15.0;

/// What the greedy account offers: 20 times its share of about 25.
const GREEDY: f64 = 500.0;

const WORK: Work = Work::Chat {
    tokens: 20,
    prompts: 1_000_000,
};

/// Compares fair queueing with first come, first served.
///
/// # Errors
///
/// Fails if the cluster does not start or a process ends.
pub async fn fair(options: &Options) -> Result<()> {
    for order in ["fair", "arrival"] {
        let extra = Extra {
            engine: words("--step-ms 5 --prefill-steps 4 --capacity 16"),
            agent: format!("queue: {{total: 256, per_account: 64, order: {order}}}\n"),
            ..Extra::default()
        };
        let plan = Plan {
            entries: 2,
            limit: 16,
            cold_limit: 16,
            accounts: OTHERS + 1,
            ..Plan::default()
        };
        let bench = Bench::start(&plan, &extra).await?;
        let mut offers = Vec::new();
        for index in 0..OTHERS {
            offers.push(bench.offer(&format!("account {index}"), index, WORK, RATE));
        }
        let alone = run(&offers, options.time, options.seed).await;
        show(
            &format!("queue order {order}, without the greedy account"),
            &alone,
        );
        offers.push(bench.offer("greedy", OTHERS, WORK, GREEDY));
        let contended = run(&offers, options.time, options.seed).await;
        show(
            &format!("queue order {order}, with the greedy account"),
            &contended,
        );
        compare(&alone, &contended);
    }
    Ok(())
}

fn compare(alone: &[Record], contended: &[Record]) {
    for (alone, contended) in alone.iter().zip(contended) {
        let p99 = |record: &Record| record.whole.value_at_quantile(0.99) as f64;
        println!(
            "{}: goodput {:.3} of alone (at least 0.95), p99 {:.2} of alone (at most 1.50)",
            alone.name,
            contended.goodput() / alone.goodput(),
            p99(contended) / p99(alone),
        );
    }
}
