//! Main function shared by all servers.

use std::fmt::Display;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use tokio::runtime::{Builder, Runtime};

use crate::args::{self, Command, FAILED_CODE, USAGE_CODE};
use crate::log;
use crate::settings::Error;
use crate::signal::Stop;

/// Name and texts of a server binary.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
    /// Text that `--help` prints.
    pub usage: &'static str,
}

impl Program {
    /// Executes the command line and returns the exit code.
    ///
    /// `load` reads and checks a settings file. `serve` runs the server in a
    /// tokio runtime after the handlers of stop signals have been installed.
    pub fn main<S, E: Display>(
        &self,
        load: impl Fn(&Path) -> Result<S, Error>,
        serve: impl AsyncFnOnce(S, Stop) -> Result<(), E>,
    ) -> ExitCode {
        self.start(load, |settings| {
            log::install();
            run(Runtime::new(), settings, serve)
        })
    }

    /// Like [`main`](Program::main), but runs all tasks on one thread and drops
    /// and counts log lines instead of blocking when the log output is slow.
    pub fn main_single_threaded<S, E: Display>(
        &self,
        load: impl Fn(&Path) -> Result<S, Error>,
        serve: impl AsyncFnOnce(S, Stop) -> Result<(), E>,
    ) -> ExitCode {
        self.start(load, |settings| {
            let _writer = log::install_bounded();
            let runtime = Builder::new_current_thread().enable_all().build();
            run(runtime, settings, serve)
        })
    }

    fn start<S>(
        &self,
        load: impl Fn(&Path) -> Result<S, Error>,
        run: impl FnOnce(S) -> Result<(), String>,
    ) -> ExitCode {
        let command = match args::parse(pico_args::Arguments::from_env()) {
            Ok(command) => command,
            Err(error) => {
                let message = format!("error: {error}; see {} --help", self.name);
                return fail(USAGE_CODE, &message);
            }
        };
        let (path, check) = match command {
            Command::Help => return print(self.usage),
            Command::Version => return print(&format!("{} {}", self.name, self.version)),
            Command::Check(path) => (path, true),
            Command::Run(path) => (path, false),
        };
        let settings = match load(&path) {
            Ok(settings) => settings,
            Err(error) => return fail(USAGE_CODE, &error.to_string()),
        };
        if check {
            return print(&format!("{}: settings are valid", path.display()));
        }
        match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => fail(FAILED_CODE, &message),
        }
    }
}

fn run<S, E: Display>(
    runtime: io::Result<Runtime>,
    settings: S,
    serve: impl AsyncFnOnce(S, Stop) -> Result<(), E>,
) -> Result<(), String> {
    let runtime = runtime.map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let stop = Stop::install().map_err(|error| error.to_string())?;
        let served = serve(settings, stop).await;
        served.map_err(|error| error.to_string())
    })
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(code)
}
