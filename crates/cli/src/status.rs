//! `berylgw status`

use std::sync::Arc;

use berylgw_core::config::DOMAIN_PREFIX;
use berylgw_core::failure::State;
use serde::Serialize;

use crate::check::Count;
use crate::code::Code;
use crate::command::Common;
use crate::platform::{self, Current};
use crate::report::Report;

pub(crate) const HELP: &str = "\
Show the version of the sheet in force, its size and the state of each failure
domain.

Usage: berylgw status [--json] [--platform IP:PORT]

Exit codes: 0 done, 2 wrong command line, 4 platform unavailable";

#[derive(Serialize)]
struct Domain {
    name: Arc<str>,
    region: Arc<str>,
    state: State,
    /// Version of the last change of state, 0 if there was none.
    version: u64,
    entries: usize,
    servers: usize,
}

#[derive(Serialize)]
struct Detail {
    sheet_version: u64,
    config_version: u64,
    rows: Count,
    domains: Vec<Domain>,
    /// Failure domains that are out of service but not in the sheet.
    unlisted_out: Vec<Arc<str>>,
}

pub(crate) async fn run(common: &Common) -> Result<Report, Report> {
    let client = platform::client(common)?;
    let current = platform::read(&client).await?;
    let detail = detail(&current);
    let message = match detail.sheet_version {
        0 => "no sheet has been accepted yet; apply one with berylgw apply FILE".to_owned(),
        version => format!("sheet version {version}: {}", detail.rows.line()),
    };
    let mut lines = Vec::new();
    for domain in &detail.domains {
        lines.push(line(domain));
    }
    for name in &detail.unlisted_out {
        lines.push(format!("  domain {name}: out, not in the sheet"));
    }
    Ok(Report::new(Code::Done, message, lines, &detail))
}

fn detail(current: &Current) -> Detail {
    let snapshot = &current.snapshot;
    let sheet = &snapshot.sheet;
    let mut domains = Vec::new();
    for domain in &sheet.domains {
        let is_here = |name: &Arc<str>| *name == domain.name;
        let state = match snapshot.is_domain_out(&domain.name) {
            true => State::Out,
            false => State::In,
        };
        domains.push(Domain {
            name: domain.name.clone(),
            region: domain.region.clone(),
            state,
            version: current.version_of(&format!("{DOMAIN_PREFIX}{}", domain.name)),
            entries: sheet
                .entries
                .iter()
                .filter(|entry| is_here(&entry.domain))
                .count(),
            servers: sheet
                .servers
                .iter()
                .filter(|server| is_here(&server.domain))
                .count(),
        });
    }
    let listed = |name: &Arc<str>| sheet.domains.iter().any(|domain| domain.name == *name);
    let unlisted = snapshot.domains_out.iter().filter(|name| !listed(name));
    Detail {
        sheet_version: current.sheet_version(),
        config_version: snapshot.version.into(),
        rows: Count::new(sheet),
        domains,
        unlisted_out: unlisted.cloned().collect(),
    }
}

fn line(domain: &Domain) -> String {
    let state = match domain.state {
        State::In => "in",
        State::Out => "out",
    };
    let since = match domain.version {
        0 => String::new(),
        version => format!(" since version {version}"),
    };
    format!(
        "  domain {} ({}): {state}{since}, {} entries, {} servers",
        domain.name, domain.region, domain.entries, domain.servers
    )
}
