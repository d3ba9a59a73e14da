//! `berylgw check FILE`

use std::path::PathBuf;

use berylgw_core::config::Sheet;
use pico_args::Arguments;
use serde::Serialize;

use crate::code::Code;
use crate::command::{Usage, positional};
use crate::platform::read_sheet;
use crate::report::Report;

pub(crate) const HELP: &str = "\
Report everything that is wrong with a sheet. Does not call the platform.

Usage: berylgw check FILE [--json]

Exit codes: 0 no findings, 1 findings or unreadable file, 2 wrong command line";

pub(crate) struct Options {
    file: PathBuf,
}

impl Options {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Usage> {
        let file = positional(args, "FILE")?.into();
        Ok(Options { file })
    }
}

/// Number of rows of each kind in a sheet.
#[derive(Serialize)]
pub(crate) struct Count {
    domains: usize,
    entries: usize,
    services: usize,
    servers: usize,
    accounts: usize,
    grants: usize,
}

impl Count {
    pub(crate) fn new(sheet: &Sheet) -> Self {
        Count {
            domains: sheet.domains.len(),
            entries: sheet.entries.len(),
            services: sheet.services.len(),
            servers: sheet.servers.len(),
            accounts: sheet.accounts.len(),
            grants: sheet.grants.len(),
        }
    }

    pub(crate) fn line(&self) -> String {
        format!(
            "{} domains, {} entries, {} services, {} servers, {} accounts, {} grants",
            self.domains, self.entries, self.services, self.servers, self.accounts, self.grants
        )
    }
}

pub(crate) fn run(options: Options) -> Result<Report, Report> {
    let sheet = read_sheet(&options.file)?;
    let count = Count::new(&sheet);
    let message = format!("{}: no findings; {}", options.file.display(), count.line());
    Ok(Report::new(Code::Done, message, [], &count))
}
