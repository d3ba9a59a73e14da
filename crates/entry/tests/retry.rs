//! Retries, resumption and refusals when agents fail.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use berylgw_wire::Outcome;
use common::{
    Arrival, TestEntry, agents, any_port, chat, short_limits, slow_reader_limits, text, token,
    tokens,
};
use serde_json::json;

/// Runs `first` for the first dispatch and `then` for the others.
fn first_then(
    first: impl Fn(Arrival) + Send + Sync + 'static,
    then: impl Fn(Arrival) + Send + Sync + 'static,
) -> (impl Fn(Arrival) + Send + Sync + 'static, Arc<AtomicU64>) {
    let count = Arc::new(AtomicU64::new(0));
    let seen = count.clone();
    let script = move |arrival| match seen.fetch_add(1, Ordering::SeqCst) {
        0 => first(arrival),
        _ => then(arrival),
    };
    (script, count)
}

fn remaining_tokens(arrival: Arrival) {
    arrival.answer(200, &tokens(arrival.request.resume_from, 5));
}

fn answer_empty_object(arrival: Arrival) {
    arrival.answer(200, &["{}".to_owned()]);
}

fn two_tokens(arrival: &Arrival) {
    arrival.head(200);
    arrival.data(1, &token(0));
    arrival.data(2, &token(1));
}

/// Guards against a request lost because one server is full.
#[tokio::test]
async fn post_not_run_goes_elsewhere() {
    let refuse = |arrival: Arrival| arrival.refuse("server_full", Outcome::NotRun);
    let (script, count) = first_then(refuse, answer_empty_object);
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    assert_eq!(rig.call("POST", "/services/p/x", &[], "").await.0, 200);
    assert_eq!(count.load(Ordering::SeqCst), 2);
    assert_eq!(rig.counter("berylgw_retries_total"), 1.0);
}

/// Guards against a second run of a request that is not idempotent.
#[tokio::test]
async fn post_unknown_not_repeated() {
    let (script, count) = first_then(drop, answer_empty_object);
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    let (status, refusal) = rig.call("POST", "/services/p/x", &[], "").await;
    assert_eq!(status, 502);
    assert_eq!(refusal["error"]["outcome"], "unknown");
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

/// Guards against a second dispatch of a keyed request whose first dispatch may
/// still run.
#[tokio::test]
async fn keyed_silent_not_repeated() {
    let held = Mutex::new(Vec::new());
    let (script, count) = first_then(
        move |arrival| held.lock().unwrap().push(arrival),
        answer_empty_object,
    );
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    let headers = [("idempotency-key", "k")];
    let refusal = keyed(&rig, &headers, "").await;
    assert_eq!(refusal["error"]["reason"], "connection_lost");
    assert_eq!(refusal["error"]["outcome"], "unknown");
    let resent = keyed(&rig, &headers, "").await;
    assert_eq!(resent["error"]["reason"], "key_pending");
    assert_eq!(resent["error"]["outcome"], "unknown");
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

/// Repeats a keyed request until the ledger partition is held; returns its
/// answer.
async fn keyed(rig: &TestEntry, headers: &[(&str, &str)], body: &'static str) -> serde_json::Value {
    loop {
        let (_, answer) = rig.call("POST", "/services/p/x", headers, body).await;
        if answer["error"]["reason"] != "ledger_unavailable" {
            return answer;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Guards against a resend that runs again, or that gets another answer than
/// the first run.
#[tokio::test]
async fn keyed_resent_replayed() {
    let first = |arrival: Arrival| {
        assert!(arrival.request.claim.is_some());
        arrival.answer(200, &["{\"serial\":1}".to_owned()]);
    };
    let (script, count) = first_then(first, answer_empty_object);
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    let headers = [("idempotency-key", "k")];
    let answer = keyed(&rig, &headers, "a").await;
    assert_eq!(answer["serial"], 1);
    // The result is reported after the answer.
    let resent = loop {
        let resent = keyed(&rig, &headers, "a").await;
        if resent["error"]["reason"] != "key_pending" {
            break resent;
        }
    };
    assert_eq!(resent, answer);
    let other = keyed(&rig, &headers, "b").await;
    assert_eq!(other["error"]["reason"], "key_reused");
    assert_eq!(other["error"]["outcome"], "unknown");
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

/// Guards against the outcome `not run` for a request refused before the ledger
/// was asked, and against `unknown` if it is the first sending.
#[tokio::test]
async fn keyed_refused_before_ledger() {
    let (script, _) = first_then(answer_empty_object, answer_empty_object);
    let rig = TestEntry::start(&agents(1, script).await, short_limits()).await;
    let key = ("idempotency-key", "k");
    let (_, refusal) = rig.call("POST", "/services/x/x", &[key], "").await;
    assert_eq!(refusal["error"]["outcome"], "unknown");
    let headers = [key, ("berylgw-sending", "1")];
    let (_, refusal) = rig.call("POST", "/services/x/x", &headers, "").await;
    assert_eq!(refusal["error"]["outcome"], "not-run");
    let headers = [key, ("berylgw-sending", "2")];
    let (_, refusal) = rig.call("POST", "/services/x/x", &headers, "").await;
    assert_eq!(refusal["error"]["outcome"], "unknown");
}

/// Guards against tokens lost or repeated when a connection breaks.
#[tokio::test]
async fn stream_broken_resumes() {
    let first = |arrival: Arrival| {
        two_tokens(&arrival);
        let _ = arrival
            .frames
            .send(Err(tonic::Status::unavailable("broken")));
    };
    let (script, count) = first_then(first, remaining_tokens);
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    assert_eq!(rig.stream().await, tokens(0, 5).concat());
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

/// Guards against a stream that hangs on a silent connection.
#[tokio::test]
async fn stream_silent_resumes() {
    let held = Mutex::new(Vec::new());
    let first = move |arrival: Arrival| {
        two_tokens(&arrival);
        held.lock().unwrap().push(arrival);
    };
    let (script, _) = first_then(first, remaining_tokens);
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    assert_eq!(rig.stream().await, tokens(0, 5).concat());
}

/// Guards against an answer with a gap that looks complete.
#[tokio::test]
async fn stream_gap_is_error_event() {
    let (script, _) = first_then(
        |arrival| {
            two_tokens(&arrival);
            arrival.data(4, &token(3));
        },
        remaining_tokens,
    );
    let rig = TestEntry::start(&agents(1, script).await, short_limits()).await;
    let text = rig.stream().await;
    assert!(text.contains("event: error"), "{text}");
    assert!(
        text.contains("answer_corrupt") && text.contains("unknown"),
        "{text}"
    );
    assert!(!text.contains("[DONE]"));
}

/// Guards against a truncated answer that looks complete.
#[tokio::test]
async fn stream_without_final_is_error_event() {
    let (script, _) = first_then(|arrival| two_tokens(&arrival), remaining_tokens);
    let rig = TestEntry::start(&agents(1, script).await, short_limits()).await;
    let text = rig.stream().await;
    assert!(text.contains("event: error"), "{text}");
    assert!(
        text.contains("connection_lost") && text.contains("unknown"),
        "{text}"
    );
    assert!(!text.contains("[DONE]"), "{text}");
}

/// Guards against late frames of an old attempt that reach the caller.
#[tokio::test]
async fn frames_of_old_attempt_dropped() {
    let (script, _) = first_then(
        |arrival| arrival.refuse("draining", Outcome::NotRun),
        |mut arrival| {
            arrival.request.attempt -= 1;
            arrival.data(1, &token(9));
            arrival.request.attempt += 1;
            arrival.answer(200, &tokens(0, 1));
        },
    );
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    assert_eq!(rig.stream().await, tokens(0, 1).concat());
}

/// Guards against an outcome other than `not run`, or a long wait, when no agent
/// can be reached.
#[tokio::test]
async fn unreachable_is_not_run() {
    let closed = std::net::TcpListener::bind(any_port()).unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let rig = TestEntry::start(&[address], short_limits()).await;
    let (status, refusal) = rig.call("POST", "/services/p/x", &[], "").await;
    assert_eq!(status, 503);
    assert_eq!(refusal["error"]["outcome"], "not-run");
}

/// Guards against `unknown` for a request that found its pooled connection
/// closed and the agent gone.
#[tokio::test]
async fn agent_gone_after_use_is_not_run() {
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let (address, ended) = common::stoppable_agent(answer_empty_object, stopped);
    let rig = TestEntry::start(&[address], short_limits()).await;
    assert_eq!(rig.call("POST", "/services/p/x", &[], "").await.0, 200);
    stop.send(()).unwrap();
    ended.await.unwrap();
    let (_, refusal) = rig.call("POST", "/services/p/x", &[], "").await;
    assert_eq!(refusal["error"]["outcome"], "not-run");
}

/// Guards against `not run` after an earlier attempt that may have run.
#[tokio::test]
async fn refusal_after_lost_attempt_is_unknown() {
    let (script, _) = first_then(
        |arrival| {
            let _ = arrival
                .frames
                .send(Err(tonic::Status::unavailable("broken")));
        },
        |arrival| arrival.refuse("deadline", Outcome::NotRun),
    );
    let rig = TestEntry::start(&agents(2, script).await, short_limits()).await;
    let body = chat("m", false);
    let (_, refusal) = rig.call("POST", "/v1/chat/completions", &[], body).await;
    assert_eq!(refusal["error"]["reason"], "deadline");
    assert_eq!(refusal["error"]["outcome"], "unknown");
}

/// Guards against retries that multiply the load of a failing service.
#[tokio::test]
async fn retries_bounded_by_budget() {
    let count = Arc::new(AtomicU64::new(0));
    let seen = count.clone();
    let script = move |arrival: Arrival| {
        seen.fetch_add(1, Ordering::SeqCst);
        arrival.refuse("server_full", Outcome::NotRun);
    };
    let rig = TestEntry::start(&agents(4, script).await, short_limits()).await;
    let mut reasons = Vec::new();
    for _ in 0..20 {
        let (_, refusal) = rig.call("POST", "/services/p/x", &[], "").await;
        assert_eq!(refusal["error"]["outcome"], "not-run");
        reasons.push(refusal["error"]["reason"].clone());
    }
    assert!(reasons.contains(&json!("retry_budget")));
    let retries = rig.counter("berylgw_retries_total") as u64;
    assert_eq!(count.load(Ordering::SeqCst), 20 + retries);
    assert!(retries < 20, "{retries}");
}

/// Guards against a slow reader that loses tokens or holds memory.
#[tokio::test]
async fn slow_reader_resumes() {
    let limits = berylgw_entry::Limits {
        stream_buffer_bytes: 256,
        ..short_limits()
    };
    let script = |arrival: Arrival| {
        arrival.answer(200, &tokens(arrival.request.resume_from, 500));
    };
    let rig = TestEntry::start(&agents(1, script).await, limits).await;
    let response = rig
        .send("POST", "/v1/chat/completions", &[], chat("m", true))
        .await;
    while rig.counter("berylgw_slow_reader_resumes_total") < 1.0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(text(response).await, tokens(0, 500).concat());
}

/// Guards against a stalled reader that keeps a large answer in memory.
#[tokio::test]
async fn slow_reader_of_plain_answer_ends() {
    let limits = berylgw_entry::Limits {
        stream_buffer_bytes: 1_024,
        slow_reader_ms: 50,
        ..slow_reader_limits()
    };
    let script = |arrival: Arrival| {
        arrival.answer(200, &vec!["x".repeat(64 << 10); 400]);
    };
    let rig = TestEntry::start(&agents(1, script).await, limits).await;
    let response = rig.send("GET", "/services/p/x", &[], "").await;
    assert_eq!(response.status(), 200);
    while rig.refusals("slow_reader") < 1.0 {
        tokio::task::yield_now().await;
    }
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    assert!(body.is_err());
}
