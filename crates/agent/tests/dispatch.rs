//! Requests through an agent to a backend server.

mod support;

use std::sync::atomic::Ordering;

use berylgw_core::service::Kind;
use berylgw_wire::Outcome;
use berylgw_wire::answer_frame::Kind as FrameKind;
use support::{data, last, refusal, request, system};

/// Guards against wrong fields in the engine's request and wrong frame counts.
#[tokio::test]
async fn dispatch_model_stream() {
    let (_entry, backend, agent) = system(Kind::Model, 4, 2).await;
    let frames = agent.frames(request(1, "r", r#"{"model":"svc"}"#)).await;
    assert_eq!(data(&frames), ["data: 1\n\n", "data: [DONE]\n\n"]);
    let counts = last(&frames).unwrap();
    assert_eq!((counts.frames, counts.bytes), (3, 23));
    let sequences: Vec<u64> = frames.iter().map(|frame| frame.sequence).collect();
    assert_eq!(sequences, [0, 1, 2, 3]);
    let body = backend.bodies.lock().unwrap()[0].clone();
    let sent: serde_json::Value = serde_json::from_str(&body).unwrap();
    let expected = serde_json::json!({
        "model": "svc", "request_id": "r.1", "response_id": "r", "resume_from": 0,
    });
    assert_eq!(sent, expected);
}

/// Guards against a request that loses its method, path, header or body.
#[tokio::test]
async fn dispatch_plain_request() {
    let (_entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    let mut sent = request(1, "r", "text");
    sent.headers = vec![berylgw_wire::Header {
        name: "x-test".to_owned(),
        value: "value".into(),
    }];
    let frames = agent.frames(sent).await;
    assert!(last(&frames).is_some());
    assert_eq!(*backend.bodies.lock().unwrap(), ["/path?x=1 value text"]);
}

/// Guards against a final frame after a truncated answer.
#[tokio::test]
async fn dispatch_answer_cut_short() {
    for (kind, body) in [
        (Kind::Plain, "cut"),
        (Kind::Model, r#"{"mode":"cut"}"#),
        (Kind::Model, r#"{"mode":"no-done"}"#),
    ] {
        let (_entry, _backend, agent) = system(kind, 4, 2).await;
        let frames = agent.frames(request(1, "r", body)).await;
        let expected = ("server_failed".to_owned(), Outcome::Unknown);
        assert_eq!(refusal(&frames), Some(expected), "{body}");
    }
}

/// Guards against running a request of a sender with an older configuration, and
/// of one with a newer configuration before that has arrived.
#[tokio::test]
async fn dispatch_config_version() {
    let (entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    entry.publish(2, &[]);
    agent.at_version(2).await;
    let frames = agent.frames(request(1, "old", "")).await;
    let stale = Some(("stale_config".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&frames), stale);
    assert_eq!(frames[0].sender.as_ref().unwrap().config_version, 2);
    let frames = agent.frames(request(9, "new", "")).await;
    assert_eq!(refusal(&frames), stale);
    assert_eq!(backend.runs.load(Ordering::SeqCst), 0);
}

/// Guards against new requests in a failure domain that is out of service.
#[tokio::test]
async fn dispatch_domain_out() {
    let (entry, backend, agent) = system(Kind::Plain, 4, 2).await;
    entry.publish(
        2,
        &[("domain.d", r#"{"state":"out","nonce":1}"#.to_owned())],
    );
    agent.at_version(2).await;
    let frames = agent.frames(request(2, "r", "")).await;
    let expected = Some(("draining".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&frames), expected);
    assert_eq!(backend.runs.load(Ordering::SeqCst), 0);
}

/// Guards against a cold server with more requests in flight than its cold
/// limit.
#[tokio::test]
async fn dispatch_cold_limit() {
    let (_entry, backend, agent) = system(Kind::Plain, 8, 2).await;
    let mut streams = Vec::new();
    for index in 0..6 {
        let id = format!("r{index}");
        streams.push(agent.dispatch(request(1, &id, "hold")).await);
    }
    agent
        .probe_until(|reply| {
            let load = reply.load.unwrap();
            load.in_flight == 2 && load.queued == 4
        })
        .await;
    for stream in streams {
        // `Notify` stores one permit for a request that is not waiting yet.
        backend.release.notify_one();
        let frames = tokio::select! {
            frames = support::collect(stream) => frames,
            () = async { loop {
                backend.release.notify_one();
                tokio::task::yield_now().await;
            } } => unreachable!(),
        };
        assert!(last(&frames).is_some());
    }
    assert_eq!(backend.runs.load(Ordering::SeqCst), 6);
}

/// Guards against a shutdown that interrupts requests in flight.
#[tokio::test]
async fn shutdown_running_work() {
    let (_entry, backend, mut agent) = system(Kind::Plain, 8, 2).await;
    let stream = agent.dispatch(request(1, "r", "hold")).await;
    backend.arrived.notified().await;
    agent.stop.take().unwrap().send(()).unwrap();
    agent
        .probe_until(|reply| reply.load.unwrap().draining)
        .await;
    let frames = agent.frames(request(1, "late", "")).await;
    let expected = Some(("draining".to_owned(), Outcome::NotRun));
    assert_eq!(refusal(&frames), expected);
    backend.release.notify_one();
    assert!(last(&support::collect(stream).await).is_some());
    agent.ended.await.unwrap().unwrap();
}

/// Guards against a stream without messages while the server runs the request.
#[tokio::test]
async fn dispatch_heartbeat() {
    let (_entry, backend, agent) = system(Kind::Plain, 8, 2).await;
    let mut stream = agent.dispatch(request(1, "r", "hold")).await;
    let frame = stream.message().await.unwrap().unwrap();
    assert!(matches!(frame.kind, Some(FrameKind::Heartbeat(_))));
    assert_eq!(frame.sequence, 0);
    backend.release.notify_one();
    assert!(last(&support::collect(stream).await).is_some());
}

/// Guards against a stream that stays open after the deadline, and against a
/// permit that is released while the service still runs the abandoned request.
#[tokio::test]
async fn dispatch_deadline_passes() {
    let (_entry, backend, agent) = system(Kind::Plain, 8, 2).await;
    let mut sent = request(1, "r", "hold");
    sent.timeout_ms = 500;
    let late = Some(("deadline".to_owned(), Outcome::Unknown));
    let never_started = Some(("deadline".to_owned(), Outcome::NotRun));
    // The agent may need longer than that to learn that the server is idle.
    loop {
        let ended = refusal(&agent.frames(sent.clone()).await);
        if ended == late {
            break;
        }
        assert_eq!(ended, never_started);
    }
    agent
        .probe_until(|reply| reply.load.unwrap().in_flight == 1)
        .await;
    backend.release.notify_one();
    agent
        .probe_until(|reply| reply.load.unwrap().in_flight == 0)
        .await;
}
