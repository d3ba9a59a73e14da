//! Measures a cluster of real processes under load.

use std::error::Error;
use std::time::Duration;

use berylgw_testkit::load::scenario::{self, Options};
use berylgw_testkit::serve::stop_signal;

const USAGE: &str = "usage: berylgw-load SCENARIO [--seconds N] [--seed N]\n\
    scenarios:\n\
    \x20 cost   latency beside the direct path, throughput\n\
    \x20 idle   control cost and memory of idle streams [--streams N]\n\
    \x20 fair   one client account offers 20 times its share\n\
    \x20 once   platform calls of ledger keys and tickets, outage\n\
    \x20 route  the same load with each routing policy\n\
    \x20 domain a failure domain of model engines leaves and returns\n\
    \x20 retry  a third of the backend servers slows down tenfold\n\
    \x20 slow   readers of 100 B/s [--streams N] [--buffer-bytes N]";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let mut args = pico_args::Arguments::from_env();
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(20);
    let options = Options {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        time: Duration::from_secs(seconds),
    };
    let streams = args.opt_value_from_str("--streams")?.unwrap_or(2_000);
    let buffer_bytes = args
        .opt_value_from_str("--buffer-bytes")?
        .unwrap_or(64 << 20);
    let Some(scenario) = args.subcommand()? else {
        return Err(USAGE.into());
    };
    if let Some(argument) = args.finish().first() {
        return Err(format!("unexpected argument {argument:?}\n{USAGE}").into());
    }
    let run = async {
        match scenario.as_str() {
            "cost" => scenario::cost(&options).await,
            "idle" => scenario::idle(&options, streams).await,
            "fair" => scenario::fair(&options).await,
            "once" => scenario::once(&options).await,
            "route" => scenario::route(&options).await,
            "domain" => scenario::domain(&options).await,
            "retry" => scenario::retry(&options).await,
            "slow" => scenario::slow(&options, streams, buffer_bytes).await,
            _ => Err(USAGE.into()),
        }
    };
    // Dropping a scenario kills its processes, so an interrupted run leaves none.
    tokio::select! {
        result = run => result,
        () = stop_signal()? => Ok(()),
    }
}
