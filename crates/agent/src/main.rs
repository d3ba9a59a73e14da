//! The `berylgw-agent` binary.

use std::process::ExitCode;

use berylgw_agent::{process, settings};
use berylgw_runtime::args::{self, Command, FAILED_CODE, USAGE_CODE};
use berylgw_runtime::signal::Stop;

const USAGE: &str = "\
Agent process of berylgw, beside one engine or plain service.

Usage: berylgw-agent --settings FILE [--check-settings]

Options:
  --settings FILE   Settings in YAML; see examples/agent.yaml
  --check-settings  Check the settings and exit without starting
  -h, --help        Print this help
  -V, --version     Print the version

Exit codes:
  0  stopped, or the settings are valid
  1  failed while running
  2  wrong command line or settings";

fn main() -> ExitCode {
    let command = match args::parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            return fail(
                USAGE_CODE,
                &format!("error: {error}; see berylgw-agent --help"),
            );
        }
    };
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("berylgw-agent {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => match settings::load(&path) {
            Ok(_) => println!("{}: settings are valid", path.display()),
            Err(error) => return fail(USAGE_CODE, &error.to_string()),
        },
        Command::Run(path) => match settings::load(&path) {
            Ok(settings) => return run(settings),
            Err(error) => return fail(USAGE_CODE, &error.to_string()),
        },
    }
    ExitCode::SUCCESS
}

fn run(settings: settings::Settings) -> ExitCode {
    berylgw_runtime::log::install();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(FAILED_CODE, &error.to_string()),
    };
    let ended = runtime.block_on(async {
        let mut stop = Stop::install().map_err(|error| error.to_string())?;
        let ended = process::run(settings, async move { stop.requested().await }).await;
        ended.map_err(|error| error.to_string())
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILED_CODE, &error),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(code)
}
