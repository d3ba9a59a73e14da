//! `berylgw diff FILE`

use std::path::PathBuf;

use berylgw_core::sheet::{self, Change};
use pico_args::Arguments;
use serde::Serialize;

use crate::code::Code;
use crate::command::{Common, Usage, positional};
use crate::platform::{self, read_sheet};
use crate::report::Report;

pub(crate) const HELP: &str = "\
Show the rows that applying a sheet would change: + added, - removed, ~ changed.

Usage: berylgw diff FILE [--json] [--platform IP:PORT]

The version that is printed can be given to berylgw apply --if-version.

Exit codes: 0 done (with or without changes), 1 findings or unreadable file,
2 wrong command line, 4 platform unavailable";

pub(crate) struct Options {
    file: PathBuf,
}

impl Options {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Usage> {
        let file = positional(args, "FILE")?.into();
        Ok(Options { file })
    }
}

#[derive(Serialize)]
struct Detail<'a> {
    version: u64,
    changes: &'a [Change],
}

pub(crate) async fn run(options: Options, common: &Common) -> Result<Report, Report> {
    let sheet = read_sheet(&options.file)?;
    let client = platform::client(common)?;
    let current = platform::read(&client).await?;
    let changes = sheet::diff(&current.snapshot.sheet, &sheet);
    let version = current.sheet_version();
    let message = match changes.len() {
        0 => format!("no changes from version {version}"),
        1 => format!("1 row changes from version {version}"),
        count => format!("{count} rows change from version {version}"),
    };
    let detail = Detail {
        version,
        changes: &changes,
    };
    Ok(Report::new(Code::Done, message, lines(&changes), &detail))
}

/// Formats each change as an indented line.
pub(crate) fn lines(changes: &[Change]) -> impl Iterator<Item = String> {
    changes.iter().map(|change| format!("  {change}"))
}
