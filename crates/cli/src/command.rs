//! Parsing of the command line and dispatch to the commands.

use std::ffi::OsString;

use pico_args::Arguments;

use crate::code::Code;
use crate::report::{Output, Report};
use crate::{apply, check, diff, domain, explain, status, version};

const HELP: &str = "\
Operator command line of berylgw.

Usage: berylgw COMMAND [OPTIONS]

Commands:
  check FILE        Report everything that is wrong with a sheet
  diff FILE         Show the rows that applying a sheet would change
  apply FILE        Put a sheet into force
  status            Show the configuration in force
  domain out NAME   Take a failure domain out of service
  domain back NAME  Return a failure domain to service
  explain           Say where a request would go or why it would be refused
  version           Print the version

Options of every command:
  --json              Print one JSON object
  --platform IP:PORT  Address of the platform; otherwise BERYLGW_PLATFORM
  -h, --help          Print the help of the command
  -V, --version       Print the version

Exit codes:
  0  done
  1  findings, or refused; nothing was written
  2  wrong command line
  3  conflict: another write came first; nothing was written
  4  platform unavailable; nothing was written
  5  unknown: a write may have taken effect and reading back could not tell";

/// Error in the command line.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Usage(String);

impl Usage {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Usage(message.into())
    }
}

impl From<pico_args::Error> for Usage {
    fn from(error: pico_args::Error) -> Self {
        Usage(error.to_string())
    }
}

/// Options that every command takes.
pub(crate) struct Common {
    pub(crate) platform: Option<String>,
}

enum Command {
    Check(check::Options),
    Diff(diff::Options),
    Apply(apply::Options),
    Status,
    Domain(domain::Options),
    Explain(explain::Options),
    Version,
}

/// Executes the command in `args`, which excludes the program name.
///
/// `platform` is the platform address to use if `--platform` is not given.
pub async fn run(args: Vec<OsString>, platform: Option<String>) -> Output {
    let mut args = Arguments::from_vec(args);
    let as_json = args.contains("--json");
    let name = args.clone().subcommand().ok().flatten();
    let report = match parse(&mut args, platform) {
        Ok(Parsed::Help(text)) => Report::message(Code::Done, text),
        Ok(Parsed::Run(command, common)) => execute(command, common).await,
        Err(error) => {
            let message = format!("error: {error}; see {}", help_command(name.as_deref()));
            Report::message(Code::Usage, message)
        }
    };
    report.output(as_json)
}

enum Parsed {
    Help(&'static str),
    Run(Command, Common),
}

fn parse(args: &mut Arguments, environment: Option<String>) -> Result<Parsed, Usage> {
    let help = args.contains(["-h", "--help"]);
    let platform = args.opt_value_from_str("--platform")?;
    let platform = platform.or(environment);
    if args.contains(["-V", "--version"]) {
        return Ok(Parsed::Run(Command::Version, Common { platform }));
    }
    let name = args.subcommand()?.unwrap_or_default();
    if help {
        return help_text(&name).map(Parsed::Help);
    }
    let command = match &*name {
        "check" => Command::Check(check::Options::parse(args)?),
        "diff" => Command::Diff(diff::Options::parse(args)?),
        "apply" => Command::Apply(apply::Options::parse(args)?),
        "status" => Command::Status,
        "domain" => Command::Domain(domain::Options::parse(args)?),
        "explain" => Command::Explain(explain::Options::parse(args)?),
        "version" => Command::Version,
        _ => return Err(unknown_command(&name)),
    };
    let unused = std::mem::replace(args, Arguments::from_vec(Vec::new())).finish();
    match unused.first() {
        Some(argument) => {
            let argument = argument.to_string_lossy();
            let what = match argument.starts_with('-') {
                true => "unknown option",
                false => "unexpected argument",
            };
            Err(Usage::new(format!("{what} {argument}")))
        }
        None => Ok(Parsed::Run(command, Common { platform })),
    }
}

/// Returns the command line that prints the help of the command `name`, or the
/// general help if there is no such command.
fn help_command(name: Option<&str>) -> String {
    match name.filter(|name| help_text(name).is_ok()) {
        Some(name) if !name.is_empty() => format!("berylgw {name} --help"),
        _ => "berylgw --help".to_owned(),
    }
}

fn help_text(name: &str) -> Result<&'static str, Usage> {
    match name {
        "" => Ok(HELP),
        "check" => Ok(check::HELP),
        "diff" => Ok(diff::HELP),
        "apply" => Ok(apply::HELP),
        "status" => Ok(status::HELP),
        "domain" => Ok(domain::HELP),
        "explain" => Ok(explain::HELP),
        "version" => Ok(version::HELP),
        _ => Err(unknown_command(name)),
    }
}

fn unknown_command(name: &str) -> Usage {
    match name {
        "" => Usage::new("no command given"),
        name => Usage::new(format!("unknown command {name:?}")),
    }
}

/// Takes the next positional argument. If it is missing, the error calls it
/// `placeholder`.
pub(crate) fn positional(args: &mut Arguments, placeholder: &str) -> Result<String, Usage> {
    let value: Option<String> = args.opt_free_from_str()?;
    match value {
        Some(value) if value.starts_with('-') => Err(Usage::new(format!("unknown option {value}"))),
        Some(value) => Ok(value),
        None => Err(Usage::new(format!("{placeholder} is missing"))),
    }
}

async fn execute(command: Command, common: Common) -> Report {
    let result = match command {
        Command::Check(options) => check::run(options),
        Command::Diff(options) => diff::run(options, &common).await,
        Command::Apply(options) => apply::run(options, &common).await,
        Command::Status => status::run(&common).await,
        Command::Domain(options) => domain::run(options, &common).await,
        Command::Explain(options) => explain::run(options, &common).await,
        Command::Version => Ok(version::run()),
    };
    result.unwrap_or_else(|report| report)
}
