//! The `berylgw-agent` binary.

use std::process::ExitCode;

use berylgw_agent::{process, settings};
use berylgw_runtime::args::{self, Command};
use berylgw_runtime::signal::Stop;

const USAGE: &str = "usage: berylgw-agent --settings FILE [--check-settings]";

fn main() -> ExitCode {
    let command = match args::parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => return fail(&format!("{error}\n{USAGE}")),
    };
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("berylgw-agent {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            if let Err(error) = settings::load(&path) {
                return fail(&error.to_string());
            }
        }
        Command::Run(path) => match settings::load(&path) {
            Ok(settings) => return run(settings),
            Err(error) => return fail(&error.to_string()),
        },
    }
    ExitCode::SUCCESS
}

fn run(settings: settings::Settings) -> ExitCode {
    berylgw_runtime::log::install();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    let ended = runtime.block_on(async {
        let mut stop = Stop::install().map_err(|error| error.to_string())?;
        let ended = process::run(settings, async move { stop.requested().await }).await;
        ended.map_err(|error| error.to_string())
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
