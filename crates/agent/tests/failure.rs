//! Failures of the backend server, of an entry and of callers.

mod support;

use std::sync::atomic::Ordering;

use berylgw_core::service::Kind;
use berylgw_wire::{Outcome, Suspect};
use support::{Agent, Backend, Entry, collect, last, refusal, request, settings, sheet, system};

const HOLD: &str = r#"{"mode":"hold"}"#;

/// The permit stays held while the engine has not confirmed the cancellation of the
/// request and may still run it.
#[tokio::test]
async fn cancel_not_confirmed() {
    let (_entry, backend, agent) = system(Kind::Model, 1, 1).await;
    backend.refuse_cancel.store(true, Ordering::SeqCst);
    let stream = agent.dispatch(request(1, "r", HOLD)).await;
    backend.arrived.notified().await;
    drop(stream);
    backend.cancel_called.notified().await;
    backend.cancel_called.notified().await;
    let next = agent.dispatch(request(1, "next", "{}")).await;
    agent
        .probe_until(|reply| reply.load.unwrap().queued == 1)
        .await;
    assert_eq!(backend.runs.load(Ordering::SeqCst), 1);
    backend.refuse_cancel.store(false, Ordering::SeqCst);
    assert!(last(&collect(next).await).is_some());
    assert_eq!(backend.cancelled.lock().unwrap()[0], "r.1");
}

/// A queued request leaves the queue when its stream is dropped.
#[tokio::test]
async fn drop_queued_stream() {
    let (_entry, backend, agent) = system(Kind::Plain, 1, 1).await;
    let running = agent.dispatch(request(1, "running", "hold")).await;
    backend.arrived.notified().await;
    let queued = agent.dispatch(request(1, "queued", "")).await;
    agent
        .probe_until(|reply| reply.load.unwrap().queued == 1)
        .await;
    drop(queued);
    agent
        .probe_until(|reply| reply.load.unwrap().queued == 0)
        .await;
    backend.release.notify_one();
    assert!(last(&collect(running).await).is_some());
    assert_eq!(backend.runs.load(Ordering::SeqCst), 1);
}

/// Guards against a poison request that crashes a server repeatedly, and against
/// the conviction of a request that was only in flight at the same time.
#[tokio::test]
async fn crash_convicts_poison() {
    let (_entry, backend, agent) = system(Kind::Model, 4, 2).await;
    let mut poison = request(1, "poison", HOLD);
    poison.fingerprint = 666;
    let mut innocent = request(1, "innocent", HOLD);
    innocent.fingerprint = 7;
    let first = agent.dispatch(poison.clone()).await;
    backend.arrived.notified().await;
    let second = agent.dispatch(innocent.clone()).await;
    backend.arrived.notified().await;
    backend.crash.notify_waiters();
    let failed = Some(("server_failed".to_owned(), Outcome::Unknown));
    assert_eq!(refusal(&collect(first).await), failed);
    assert_eq!(refusal(&collect(second).await), failed);
    agent.probe_until(|reply| reply.suspects.len() == 2).await;

    let retried = agent.dispatch(poison.clone()).await;
    backend.arrived.notified().await;
    let beside = agent.dispatch(innocent).await;
    agent
        .probe_until(|reply| {
            let load = reply.load.unwrap();
            load.in_flight == 1 && load.queued == 1
        })
        .await;
    backend.crash.notify_waiters();
    assert_eq!(refusal(&collect(retried).await), failed);
    backend.release.notify_one();
    assert!(last(&collect(beside).await).is_some());
    let quarantined = Some(("quarantined".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&agent.frames(poison).await), quarantined);
    agent
        .probe_until(|reply| {
            let suspects = &reply.suspects;
            suspects.len() == 1 && suspects[0].fingerprint == 666 && suspects[0].convicted_ms > 0
        })
        .await;
}

/// An agent refuses requests that an entry reports as quarantined.
#[tokio::test]
async fn suspect_from_entry() {
    let (entry, _backend, agent) = system(Kind::Plain, 4, 2).await;
    entry.objects.send_modify(|reply| {
        reply.suspects = vec![Suspect {
            fingerprint: 666,
            crashes: 2,
            convicted_ms: 600_000,
            suspected_ms: None,
        }];
    });
    agent.probe_until(|reply| reply.suspects.len() == 1).await;
    let mut poison = request(1, "r", "");
    poison.fingerprint = 666;
    let quarantined = Some(("quarantined".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&agent.frames(poison).await), quarantined);
}

/// Guards against a suspicion that begins again with each agent that a suspected request
/// is sent to: entries would hear it back, and it would never end.
#[tokio::test]
async fn suspect_of_dispatch_ends() {
    const LEFT_MS: u64 = 60_000;
    let (_entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    let mut suspect = request(1, "r", "hold");
    suspect.fingerprint = 666;
    suspect.isolate = true;
    suspect.suspected_ms = Some(LEFT_MS);
    let running = agent.dispatch(suspect).await;
    backend.arrived.notified().await;
    let mut left_ms = None;
    agent
        .probe_until(|reply| {
            left_ms = reply.suspects.first().and_then(|first| first.suspected_ms);
            left_ms.is_some()
        })
        .await;
    assert!(left_ms <= Some(LEFT_MS), "{left_ms:?}");
    backend.release.notify_one();
    assert!(last(&collect(running).await).is_some());
}

/// A request that never reached a stopped server is not suspected.
#[tokio::test]
async fn refused_connection_not_run() {
    let (entry, entry_address) = Entry::start(true).await;
    let (backend, server) = Backend::start().await;
    // A server that reports its load and then stops.
    let relay = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay.local_addr().unwrap();
    let forward = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let (mut near, _) = relay.accept().await.unwrap();
            connections.spawn(async move {
                let mut far = tokio::net::TcpStream::connect(server).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    entry.publish_sheet(1, &sheet(Kind::Plain, 4, 2));
    let agent = Agent::start(settings(vec![entry_address], relay_address)).await;
    agent.at_version(1).await;
    assert!(last(&agent.frames(request(1, "ok", "")).await).is_some());
    forward.abort();
    assert!(forward.await.is_err());
    let mut sent = request(1, "r", "");
    sent.fingerprint = 7;
    // The first attempt may still use a pooled connection.
    let not_run = Some(("server_failed".to_owned(), Outcome::NotRun));
    while refusal(&agent.frames(sent.clone()).await) != not_run {
        sent.fingerprint += 1;
    }
    let mut client = agent.client.clone();
    let probe = client.probe(berylgw_wire::ProbeRequest::default());
    let suspects = probe.await.unwrap().into_inner().suspects;
    assert!(
        suspects
            .iter()
            .all(|known| known.fingerprint != sent.fingerprint)
    );
    assert_eq!(backend.runs.load(Ordering::SeqCst), 1);
}

/// An agent stops following an entry that sends nothing.
#[tokio::test]
async fn follow_silent_entry() {
    let (silent, silent_address) = Entry::start(false).await;
    let (other_silent, other_address) = Entry::start(false).await;
    let (entry, entry_address) = Entry::start(true).await;
    let (_backend, server) = Backend::start().await;
    entry.publish_sheet(1, &sheet(Kind::Plain, 4, 2));
    let addresses = vec![silent_address, other_address, entry_address];
    let agent = Agent::start(settings(addresses, server)).await;
    silent.followed.notified().await;
    other_silent.followed.notified().await;
    agent.at_version(1).await;
}

/// An entry with a newer version that the agent can pull is not refused.
#[tokio::test]
async fn newer_sender_pulled() {
    let (entry, address) = Entry::start(false).await;
    let (_backend, server) = Backend::start().await;
    entry.publish_sheet(5, &sheet(Kind::Plain, 4, 2));
    let agent = Agent::start(settings(vec![address], server)).await;
    assert!(last(&agent.frames(request(5, "r", "")).await).is_some());
}
