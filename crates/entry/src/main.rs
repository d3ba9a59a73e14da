//! The berylgw entry process.

use std::process::ExitCode;

use berylgw_entry::{Entry, Settings};
use berylgw_runtime::args::{self, Command, FAILED_CODE, USAGE_CODE};
use berylgw_runtime::{log, settings, signal};

const USAGE: &str = "\
Entry process of berylgw.

Usage: berylgw-entry --settings FILE [--check-settings]

Options:
  --settings FILE   Settings in YAML; see examples/entry.yaml
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
                &format!("error: {error}; see berylgw-entry --help"),
            );
        }
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
        Err(error) => return fail(USAGE_CODE, &error.to_string()),
    };
    if check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    log::install();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILED_CODE, &error.to_string()),
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

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(code)
}
