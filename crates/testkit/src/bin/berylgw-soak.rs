//! Runs the fault soak for a range of seeds and prints a line for each.

use std::process::ExitCode;
use std::time::Duration;

use berylgw_testkit::soak;

const USAGE: &str = "usage: berylgw-soak [--first SEED] [--seeds COUNT] [--seconds SECONDS]";

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let mut number = |name: &'static str, usual: u64| -> Result<u64, pico_args::Error> {
        Ok(args.opt_value_from_str(name)?.unwrap_or(usual))
    };
    let read = (
        number("--first", 1),
        number("--seeds", 50),
        number("--seconds", 6),
    );
    let (Ok(first), Ok(seeds), Ok(seconds)) = read else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        match soak::run(seed, Duration::from_secs(seconds)).await {
            Ok(summary) => {
                println!("seed {seed}: {summary:?}");
                if !summary.broken.is_empty() {
                    failed.push(seed);
                }
            }
            Err(error) => {
                println!("seed {seed}: {error}");
                failed.push(seed);
            }
        }
    }
    println!("{seeds} seeds, failed: {failed:?}");
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
