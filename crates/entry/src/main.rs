//! The berylgw entry process.

use std::process::ExitCode;

use berylgw_entry::{Entry, Settings};
use berylgw_runtime::args::{self, Command};
use berylgw_runtime::{log, settings, signal};

const USAGE: &str = "usage: berylgw-entry --settings FILE [--check-settings]";

fn main() -> ExitCode {
    let command = match args::parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => return fail(&format!("{error}\n{USAGE}")),
    };
    let (path, check) = match command {
        Command::Help => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Command::Version => {
            println!("berylgw-entry {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Command::Check(path) => (path, true),
        Command::Run(path) => (path, false),
    };
    let settings = match settings::load(&path, Settings::check) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    log::install();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn serve(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut stop = signal::Stop::install()?;
        let entry = Entry::bind(settings).await?;
        entry.run(async move { stop.requested().await }).await
    })
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(2)
}
