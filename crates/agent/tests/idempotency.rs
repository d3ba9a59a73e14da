//! Claims and tickets with a running agent.

mod support;

use std::sync::atomic::Ordering;

use berylgw_core::service::Kind;
use berylgw_wire::{Claim, Outcome, ProbeRequest, SealRequest, TicketRequest};
use support::{Agent, last, refusal, request, system};

async fn claim(agent: &Agent) -> Claim {
    let probe = agent.client.clone().probe(ProbeRequest::default()).await;
    let sender = probe.unwrap().into_inner().sender.unwrap();
    Claim {
        server: sender.name,
        incarnation: sender.incarnation,
        partition: "p".to_owned(),
        token: 3,
        key: "key".into(),
    }
}

/// Guards against a second run of a claim, and against a result that is lost
/// when the entry drops the stream before the end of the answer.
#[tokio::test]
async fn claim_entry_gone() {
    let (_entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    let mut sent = request(1, "r", "hold");
    sent.claim = Some(claim(&agent).await);
    let stream = agent.dispatch(sent.clone()).await;
    backend.arrived.notified().await;
    drop(stream);
    let again = agent.frames(sent).await;
    let pending = Some(("key_pending".to_owned(), Outcome::Unknown));
    assert_eq!(refusal(&again), pending);
    backend.release.notify_one();
    agent
        .probe_until(|reply| reply.load.unwrap().in_flight == 0)
        .await;
    let seal = SealRequest {
        claim: Some(claim(&agent).await),
        ..Default::default()
    };
    let reply = agent.client.clone().seal(seal).await.unwrap().into_inner();
    assert_eq!(reply.outcome(), Outcome::Done);
    let result = reply.result.unwrap();
    assert_eq!(&*result.body, b"data: 1\n\ndata: [DONE]\n\n");
    assert_eq!(backend.runs.load(Ordering::SeqCst), 1);
}

/// Guards against a claim that stays reserved after its request was refused.
#[tokio::test]
async fn claim_refused_before_run() {
    let (entry, address) = support::Entry::start(true).await;
    let (backend, server) = support::Backend::start().await;
    entry.publish_sheet(1, &support::sheet(Kind::Plain, 4, 2));
    let mut sheet = support::sheet(Kind::Plain, 4, 2);
    sheet.accounts[0].concurrency = 0;
    let mut settings = support::settings(vec![address], server);
    settings.queue.per_account = 1;
    let agent = support::Agent::start(settings).await;
    agent.at_version(1).await;
    entry.publish_sheet(2, &sheet);
    agent.at_version(2).await;
    // The account's share of the queue is full, so that the claim is refused.
    let _queued = agent.dispatch(request(2, "first", "")).await;
    agent
        .probe_until(|reply| reply.load.unwrap().queued == 1)
        .await;
    let mut sent = request(2, "r", "");
    sent.claim = Some(claim(&agent).await);
    for _ in 0..2 {
        let frames = agent.frames(sent.clone()).await;
        let limited = Some(("concurrency_limited".to_owned(), Outcome::NotRun));
        assert_eq!(refusal(&frames), limited);
    }
    assert_eq!(backend.runs.load(Ordering::SeqCst), 0);
}

/// Guards against running, and against reporting as `not run`, a claim of an
/// earlier incarnation, which may have run it.
#[tokio::test]
async fn claim_of_other_incarnation() {
    let (_entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    let mut other = claim(&agent).await;
    other.incarnation = other.incarnation.wrapping_add(1);
    let mut sent = request(1, "r", "");
    sent.claim = Some(other.clone());
    let frames = agent.frames(sent.clone()).await;
    let stale = Some(("stale_token".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&frames), stale);
    let seal = SealRequest {
        claim: Some(other),
        ..Default::default()
    };
    let reply = agent.client.clone().seal(seal).await.unwrap().into_inner();
    assert_eq!(reply.outcome(), Outcome::Unknown);
    assert_eq!(backend.runs.load(Ordering::SeqCst), 0);
}

/// Guards against two runs with one ticket.
#[tokio::test]
async fn ticket_used_twice() {
    let (_entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    let issue = TicketRequest {
        account: "a".to_owned(),
        service: "svc".to_owned(),
        key: "key".into(),
        ..Default::default()
    };
    let reply = agent.client.clone().issue_ticket(issue).await.unwrap();
    let mut sent = request(1, "r", "text");
    sent.ticket = reply.into_inner().ticket;
    assert!(last(&agent.frames(sent.clone()).await).is_some());
    let invalid = Some(("ticket_invalid".to_owned(), Outcome::Unknown));
    assert_eq!(refusal(&agent.frames(sent).await), invalid);
    assert_eq!(backend.runs.load(Ordering::SeqCst), 1);
}
