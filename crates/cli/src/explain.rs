//! `berylgw explain`

use std::sync::Arc;

use berylgw_core::backend::Server;
use berylgw_core::config::Snapshot;
use berylgw_core::outcome::Reason;
use pico_args::Arguments;
use serde::Serialize;

use crate::code::Code;
use crate::command::{Common, Usage};
use crate::platform;
use crate::report::Report;

pub(crate) const HELP: &str = "\
Say where a request would go under the configuration in force, or why it would
be refused. Load, crashes and the cold start of backend servers are not known
here: entries and agents decide on them for each request.

Usage: berylgw explain --account A --service S [--domain D] [--json]
                       [--platform IP:PORT]

Options:
  --account A  Client account
  --service S  Service, or model name
  --domain D   Failure domain of the entry that the caller is connected to

Exit codes: 0 the request has somewhere to go, 1 it would be refused, 2 wrong
command line, 4 platform unavailable";

pub(crate) struct Options {
    account: String,
    service: String,
    domain: Option<String>,
}

impl Options {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Usage> {
        Ok(Options {
            account: args.value_from_str("--account")?,
            service: args.value_from_str("--service")?,
            domain: args.opt_value_from_str("--domain")?,
        })
    }
}

/// Backend servers of the service in one failure domain.
#[derive(Serialize)]
struct Candidate {
    domain: Arc<str>,
    out: bool,
    /// Whether this is the failure domain of the entry.
    near: bool,
    servers: Vec<Arc<str>>,
    /// Sum of the servers' concurrency limits.
    limit: u64,
}

#[derive(Serialize)]
struct Detail {
    version: u64,
    reason: Option<Reason>,
    #[serde(rename = "places")]
    candidates: Vec<Candidate>,
}

pub(crate) async fn run(options: Options, common: &Common) -> Result<Report, Report> {
    let client = platform::client(common)?;
    let current = platform::read(&client).await?;
    Ok(explain(&options, &current.snapshot))
}

fn explain(options: &Options, snapshot: &Snapshot) -> Report {
    let sheet = &snapshot.sheet;
    let Options {
        account, service, ..
    } = options;
    let refused = |reason, message: String| report(snapshot, Some(reason), message, Vec::new());
    if let Some(name) = &options.domain
        && !sheet.domains.iter().any(|domain| *domain.name == **name)
    {
        let message = format!("error: domain {name:?} is not in the accepted sheet");
        return Report::message(Code::Refused, message);
    }
    if snapshot.account(account).is_none() {
        let message =
            format!("account {account:?} is not in the accepted sheet; add an account row");
        return refused(Reason::Unauthenticated, message);
    }
    if snapshot.service(service).is_none() {
        let message =
            format!("service {service:?} is not in the accepted sheet; add a service row");
        return refused(Reason::UnknownService, message);
    }
    if !snapshot.is_granted(account, service) {
        let message = format!("account {account} has no grant for {service}; add a grant row");
        return refused(Reason::UnknownService, message);
    }
    let candidates = candidates(options, snapshot);
    if candidates.is_empty() {
        let message = format!("service {service} has no server rows; add some");
        return refused(Reason::NoServer, message);
    }
    if candidates.iter().all(|candidate| candidate.out) {
        let message = format!(
            "every failure domain with servers of {service} is out of service; \
             return one with berylgw domain back NAME"
        );
        return report(snapshot, Some(Reason::NoServer), message, candidates);
    }
    let usable = candidates.iter().filter(|candidate| !candidate.out);
    let servers: usize = usable.map(|candidate| candidate.servers.len()).sum();
    let message =
        format!("account {account} may use {service}; {servers} backend servers can take it");
    report(snapshot, None, message, candidates)
}

/// Returns the failure domains that have servers of the service: those in service
/// before those that are out, then the entry's before others, then in the order of
/// the sheet.
fn candidates(options: &Options, snapshot: &Snapshot) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for domain in &snapshot.sheet.domains {
        let serves_here =
            |server: &&Server| server.domain == domain.name && *server.service == *options.service;
        let servers: Vec<&Server> = snapshot.sheet.servers.iter().filter(serves_here).collect();
        if servers.is_empty() {
            continue;
        }
        candidates.push(Candidate {
            domain: domain.name.clone(),
            out: snapshot.is_domain_out(&domain.name),
            near: options.domain.as_deref() == Some(&*domain.name),
            limit: servers.iter().map(|server| u64::from(server.limit)).sum(),
            servers: servers.iter().map(|server| server.name.clone()).collect(),
        });
    }
    candidates.sort_by_key(|candidate| (candidate.out, !candidate.near));
    candidates
}

fn report(
    snapshot: &Snapshot,
    reason: Option<Reason>,
    message: String,
    candidates: Vec<Candidate>,
) -> Report {
    let (code, message) = match reason {
        Some(reason) => (Code::Refused, format!("refused with {reason}: {message}")),
        None => (Code::Done, message),
    };
    let lines: Vec<String> = candidates.iter().map(line).collect();
    let detail = Detail {
        version: snapshot.version.into(),
        reason,
        candidates,
    };
    Report::new(code, message, lines, &detail)
}

fn line(candidate: &Candidate) -> String {
    let state = match (candidate.out, candidate.near) {
        (true, _) => " (out of service)",
        (false, true) => " (failure domain of the entry)",
        (false, false) => "",
    };
    let names = candidate.servers.join(", ");
    format!(
        "  domain {}{state}: {names}, together up to {} requests",
        candidate.domain, candidate.limit
    )
}
