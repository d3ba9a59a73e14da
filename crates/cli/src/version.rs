//! `berylgw version`

use serde::Serialize;

use crate::code::Code;
use crate::report::Report;

pub(crate) const HELP: &str = "\
Print the version of berylgw.

Usage: berylgw version [--json]

Exit codes: 0 done, 2 wrong command line";

#[derive(Serialize)]
struct Detail {
    version: &'static str,
}

pub(crate) fn run() -> Report {
    let version = env!("CARGO_PKG_VERSION");
    let message = format!("berylgw {version}");
    Report::new(Code::Done, message, [], &Detail { version })
}
