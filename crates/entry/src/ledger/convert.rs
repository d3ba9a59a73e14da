//! Conversions between ledger messages and core types.

use std::time::Duration;

use berylgw_core::ledger::{Answer, Completion, Digest, Grant, Reply, Target};
use berylgw_wire as wire;
use wire::claim_reply::Kind;

pub fn answer(result: wire::Result) -> Answer {
    let text = |field: wire::Header| {
        let value = String::from_utf8(field.value.to_vec()).ok()?;
        Some((field.name.into(), value.into()))
    };
    Answer {
        status: u16::try_from(result.status).unwrap_or_default(),
        headers: result.headers.into_iter().filter_map(text).collect(),
        body: result.body.to_vec(),
        truncated: result.truncated,
    }
}

fn result(answer: Answer) -> wire::Result {
    let header = |(name, value): (std::sync::Arc<str>, std::sync::Arc<str>)| wire::Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec().into(),
    };
    wire::Result {
        status: answer.status.into(),
        headers: answer.headers.into_iter().map(header).collect(),
        body: answer.body.into(),
        truncated: answer.truncated,
    }
}

pub fn grant(claim: &wire::Claim) -> Option<Grant> {
    Some(Grant {
        key: Digest::from_bytes(&claim.key)?,
        token: claim.token,
    })
}

pub fn completion(request: &wire::CompleteRequest) -> Option<Completion> {
    match request.outcome() {
        wire::Outcome::Done => Some(Completion::Done(answer(request.result.clone()?))),
        wire::Outcome::NotRun => Some(Completion::NotRun),
        _ => None,
    }
}

pub fn target(request: &wire::ClaimRequest) -> Target {
    Target {
        server: request.server.as_str().into(),
        incarnation: request.incarnation,
    }
}

fn claim(partition: &str, grant: Grant, target: Target) -> wire::Claim {
    wire::Claim {
        partition: partition.to_owned(),
        token: grant.token,
        key: grant.key.as_bytes().to_vec().into(),
        server: target.server.to_string(),
        incarnation: target.incarnation,
    }
}

pub fn kind(reply: Reply, request: &wire::ClaimRequest) -> Kind {
    match reply {
        Reply::Granted(grant) => Kind::Granted(claim(&request.partition, grant, target(request))),
        Reply::Done(answer) => Kind::Done(result(answer)),
        Reply::Pending(grant, target) => Kind::Pending(wire::Pending {
            claim: Some(claim(&request.partition, grant, target)),
        }),
        Reply::Refused(refusal) => Kind::Refusal((&refusal).into()),
    }
}

pub fn refused(message: &str, retry: Duration) -> Kind {
    use berylgw_core::outcome::{Reason, Refusal};
    let refusal = Refusal::unknown(Reason::LedgerUnavailable, retry);
    Kind::Refusal((&refusal.with_message(message)).into())
}
