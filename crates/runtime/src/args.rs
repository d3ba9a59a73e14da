//! Command line shared by all servers.

use std::path::PathBuf;

/// Exit code of a server that failed while running.
pub const FAILED_CODE: u8 = 1;

/// Exit code for a wrong command line or settings file.
pub const USAGE_CODE: u8 = 2;

/// Command of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings file.
    Run(PathBuf),
    /// Check the settings file and exit.
    Check(PathBuf),
    /// Print the usage text and exit.
    Help,
    /// Print the version and exit.
    Version,
}

/// Parses the command line of a server process.
///
/// # Errors
///
/// Fails if `--settings` is missing or an argument is unknown.
pub fn parse(mut args: pico_args::Arguments) -> Result<Command, pico_args::Error> {
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = args.contains("--check-settings");
    let path: PathBuf = args.value_from_str("--settings")?;
    let unexpected = args.finish();
    if let Some(argument) = unexpected.first() {
        let cause = format!("unexpected argument {}", argument.to_string_lossy());
        return Err(pico_args::Error::ArgumentParsingFailed { cause });
    }
    Ok(if check {
        Command::Check(path)
    } else {
        Command::Run(path)
    })
}
