//! The `berylgw-agent` binary.

use std::process::ExitCode;

use berylgw_agent::{process, settings};
use berylgw_runtime::args::{self, Command};

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
    let ended = runtime.block_on(process::run(settings, async {
        if let Err(error) = berylgw_runtime::signal::terminated().await {
            tracing::error!(%error, "signal handlers could not be installed");
        }
    }));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
