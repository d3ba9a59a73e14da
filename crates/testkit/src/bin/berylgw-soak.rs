//! Runs the fault soak for a range of seeds and prints a line for each.

use std::process::ExitCode;
use std::time::Duration;

use berylgw_testkit::soak;
use berylgw_testkit::soak::planned::Traffic;

const USAGE: &str = "\
usage: berylgw-soak [--first SEED] [--seeds COUNT] [--seconds SECONDS]
       berylgw-soak --planned [--callers COUNT] [--entries COUNT] [--limit-ms MS] [--work-ms MS]
                    [--slow-readers PERCENT] [the options above]";

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let planned = args.contains("--planned");
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
    let traffic = (
        number("--callers", 60),
        number("--entries", 3),
        number("--limit-ms", 3_000),
        number("--work-ms", 120),
        number("--slow-readers", 10),
    );
    let (Ok(callers), Ok(entries), Ok(limit_ms), Ok(work_ms), Ok(slow_readers)) = traffic else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let traffic = Traffic {
        callers,
        entries: entries as usize,
        limit_ms,
        work_ms,
        slow_readers: slow_readers as f64 / 100.0,
    };
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let length = Duration::from_secs(seconds);
        let summary = match planned {
            true => soak::planned::run(seed, length, traffic).await,
            false => soak::run(seed, length).await,
        };
        match summary {
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
