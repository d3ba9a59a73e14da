//! `berylgw domain out NAME` and `berylgw domain back NAME`

use std::sync::Arc;

use berylgw_core::config::DOMAIN_PREFIX;
use berylgw_core::failure::{State, Transition};
use pico_args::Arguments;
use serde::Serialize;

use crate::code::Code;
use crate::command::{Common, Usage, positional};
use crate::platform::{self, Current};
use crate::report::Report;
use crate::settle::{self, Settled, Versioned};

pub(crate) const HELP: &str = "\
Take a failure domain out of service, or return it to service.

Usage: berylgw domain out NAME [--json] [--platform IP:PORT]
       berylgw domain back NAME [--json] [--platform IP:PORT]

A failure domain that is out receives no new work within seconds; running work
finishes. It stays out whatever sheet is applied, until it is taken back.

Exit codes: 0 done, 1 not in the accepted sheet, 2 wrong command line,
3 conflict: another write came first, 4 platform unavailable and nothing
written, 5 unknown: run berylgw status once the platform is back";

pub(crate) struct Options {
    name: String,
    state: State,
}

impl Options {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Usage> {
        let state = match &*positional(args, "out or back")? {
            "out" => State::Out,
            "back" => State::In,
            other => {
                return Err(Usage::new(format!(
                    "expected out or back instead of {other:?}"
                )));
            }
        };
        let name = positional(args, "NAME")?;
        Ok(Options { name, state })
    }
}

#[derive(Serialize)]
struct Detail<'a> {
    domain: &'a str,
    state: State,
    version: u64,
}

pub(crate) async fn run(options: Options, common: &Common) -> Result<Report, Report> {
    let client = platform::client(common)?;
    let current = platform::read(&client).await?;
    let Options { name, state } = options;
    if !current
        .snapshot
        .sheet
        .domains
        .iter()
        .any(|domain| *domain.name == *name)
    {
        return Err(unlisted(&name, &current));
    }
    let object = format!("{DOMAIN_PREFIX}{name}");
    let expected = current.version_of(&object);
    let is_out = current.snapshot.is_domain_out(&name);
    if is_out == (state == State::Out) {
        return Ok(unchanged(&name, state, expected));
    }
    let value = Transition {
        state,
        nonce: rand::random(),
    };
    let settled = settle::update(&client, &object, expected, &value).await;
    Ok(match settled {
        Settled::Accepted(version) => accepted(&name, state, version),
        Settled::Replaced(_, stored) | Settled::Superseded(stored) => {
            superseded(&name, state, &stored)
        }
        Settled::Refused(error) => platform::unavailable(&error),
        Settled::Unknown(_) => unknown(&name),
    })
}

fn label(state: State) -> &'static str {
    match state {
        State::In => "in service",
        State::Out => "out of service",
    }
}

fn accepted(name: &str, state: State, version: u64) -> Report {
    let message = format!(
        "accepted as version {version}: domain {name} is {}",
        label(state)
    );
    report(Code::Done, message, name, state, version)
}

fn unchanged(name: &str, state: State, version: u64) -> Report {
    let message = format!("no changes: domain {name} is already {}", label(state));
    report(Code::Done, message, name, state, version)
}

fn report(code: Code, message: String, name: &str, state: State, version: u64) -> Report {
    let detail = Detail {
        domain: name,
        state,
        version,
    };
    Report::new(code, message, [], &detail)
}

/// Reports that another write is in force, also one that replaced this update after
/// it took effect. The command succeeds if that write set the wanted state.
fn superseded(name: &str, wanted: State, stored: &Versioned<Transition>) -> Report {
    let version = stored.version;
    match stored.value.as_ref().map(|value| value.state) {
        Some(state) if state == wanted => {
            let message = format!(
                "no changes: another write has put domain {name} {} as version {version}",
                label(state)
            );
            report(Code::Done, message, name, state, version)
        }
        state => {
            let state = state.unwrap_or_default();
            let message = format!(
                "conflict: version {version} of another writer is in force: domain {name} is {}; \
                 agree with the other operator, then run the command again",
                label(state)
            );
            report(Code::Conflict, message, name, state, version)
        }
    }
}

fn unlisted(name: &str, current: &Current) -> Report {
    let domains = &current.snapshot.sheet.domains;
    let names: Vec<Arc<str>> = domains.iter().map(|domain| domain.name.clone()).collect();
    let known = match names.is_empty() {
        true => "no sheet has been accepted yet".to_owned(),
        false => format!("it has {}", names.join(", ")),
    };
    let message = format!(
        "error: domain {name:?} is not in the accepted sheet, nothing was written; {known}"
    );
    Report::message(Code::Refused, message)
}

fn unknown(name: &str) -> Report {
    let message = format!(
        "error: outcome unknown: the platform did not answer and the move of domain {name} may \
         have taken effect; run berylgw status once the platform answers"
    );
    Report::message(Code::Unknown, message)
}
