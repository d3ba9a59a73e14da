//! Information disclosure to callers and resource exhaustion by them.

mod common;

use std::net::SocketAddr;

use berylgw_entry::Limits;
use common::{Arrival, TOKEN, TestEntry, agents, chat, short_limits};
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn answer_ok(arrival: Arrival) {
    arrival.answer(200, &["ok".to_owned()]);
}

/// Sends bytes on a new connection and reads until it is closed.
async fn exchange_raw(address: SocketAddr, bytes: &[u8], close_write: bool) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut answer = Vec::new();
    // The entry may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    if close_write {
        let _ = stream.shutdown().await;
    }
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

/// Returns status, headers and body of an answer without the request id, and the
/// request id.
async fn shape(
    rig: &TestEntry,
    method: &str,
    path: &str,
    body: String,
) -> (u16, String, Value, String) {
    let headers = [("idempotency-key", "k"), ("berylgw-ticket", "t")];
    let headers = if method == "PUT" { &headers[..] } else { &[] };
    let response = rig.send(method, path, headers, body).await;
    let status = response.status().as_u16();
    let mut fields = Vec::new();
    for (name, value) in response.headers() {
        let varies = name == "berylgw-request-id" || name == "date";
        let value = if varies { "" } else { value.to_str().unwrap() };
        fields.push(format!("{name}: {value}"));
    }
    fields.sort();
    let text = common::text(response).await;
    let mut body: Value = serde_json::from_str(&text).unwrap();
    let id = body["error"]["request_id"].take();
    (
        status,
        fields.join("\n"),
        body,
        id.as_str().unwrap().to_owned(),
    )
}

/// Guards against an answer that reveals which other services exist.
#[tokio::test]
async fn ungranted_like_unknown() {
    let rig = TestEntry::start(&agents(1, answer_ok).await, short_limits()).await;
    // `x` exists and is not granted; `p` is granted and not a model service.
    let mut chats = Vec::new();
    for model in ["x", "nosuch", "p", ""] {
        let body = chat(model, false);
        chats.push(shape(&rig, "POST", "/v1/chat/completions", body).await);
    }
    let mut plains = Vec::new();
    let mut keyed = Vec::new();
    for path in ["/services/x/a", "/services/nosuch/a", "/services/m/a"] {
        for method in ["GET", "POST", "DELETE"] {
            plains.push(shape(&rig, method, path, "b".to_owned()).await);
        }
        keyed.push(shape(&rig, "PUT", path, "b".to_owned()).await);
    }
    // The outcome of a keyed request applies to the key, so it is compared with
    // keyed requests only.
    let mut ids = Vec::new();
    let unkeyed = chats.iter().chain(&plains).map(|shape| (shape, &chats[0]));
    for (shape, first) in unkeyed.chain(keyed.iter().map(|shape| (shape, &keyed[0]))) {
        let (status, headers, body, id) = shape;
        assert_eq!((status, headers, body), (&first.0, &first.1, &first.2));
        ids.push(id);
    }
    let count = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), count, "request ids are unique");
}

/// Guards against connections that hold a permit without sending a request.
#[tokio::test]
async fn silent_connection_closed() {
    let limits = Limits {
        head_ms: 50,
        ..short_limits()
    };
    let rig = TestEntry::start(&agents(1, answer_ok).await, limits).await;
    for start in [
        "",
        "P",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: ",
    ] {
        let mut stream = TcpStream::connect(rig.callers).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // Returns only if the entry closes; FIN or RST does not matter.
        let _ = stream.read_to_end(&mut answer).await;
    }
}

/// Guards against a body that never ends.
#[tokio::test]
async fn slow_body_refused() {
    let limits = Limits {
        body_ms: 50,
        ..short_limits()
    };
    let rig = TestEntry::start(&agents(1, answer_ok).await, limits).await;
    let mut stream = TcpStream::connect(rig.callers).await.unwrap();
    let head = format!(
        "POST /services/p/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 10\r\nconnection: close\r\n\r\nabc"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
}

/// Guards against more connections than the configured limit.
#[tokio::test]
async fn connections_bounded() {
    let limits = Limits {
        connections: 1,
        ..short_limits()
    };
    // The connection of the rig stays open.
    let rig = TestEntry::start(&agents(1, answer_ok).await, limits).await;
    let refused = rig.counter("berylgw_connections_refused_total");
    let mut stream = TcpStream::connect(rig.callers).await.unwrap();
    let mut answer = Vec::new();
    // Returns only if the entry closes; FIN or RST does not matter.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty());
    assert!(rig.counter("berylgw_connections_refused_total") > refused);
    assert_eq!(rig.call("GET", "/v1/directory", &[], "").await.0, 200);
}

/// Guards against heads that exhaust the memory of the entry.
#[tokio::test]
async fn head_too_large() {
    let rig = TestEntry::start(&agents(1, answer_ok).await, short_limits()).await;
    let long = "x".repeat(64 << 10);
    let head = format!("GET /v1/directory HTTP/1.1\r\nhost: x\r\nlong: {long}\r\n\r\n");
    let answer = exchange_raw(rig.callers, head.as_bytes(), false).await;
    let text = String::from_utf8_lossy(&answer);
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431"),
        "{text}"
    );
}

fn cases() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn path() -> impl Strategy<Value = String> {
    let part = prop::sample::select(vec![
        "/",
        "services",
        "p",
        "m",
        "x",
        "..",
        "%",
        "%2f",
        "%00",
        "?",
        "=",
        "&",
        "#",
        ":",
        "//",
        "v1",
        "chat/completions",
        "directory",
        "tickets",
        "domain",
        "é",
        "\\",
        "*",
        "http:",
    ]);
    prop::collection::vec(part, 1..12).prop_map(|parts| format!("/{}", parts.concat()))
}

fn json_body() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just(json!(null)),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        prop::sample::select(vec!["m", "p", "x"]).prop_map(Value::from),
    ];
    let key = prop::sample::select(vec!["model", "stream", "messages", "service", "key", "z"]);
    let object = move |value| prop::collection::btree_map(key.clone(), value, 0..6);
    let value = leaf.prop_recursive(3, 16, 4, move |inner| {
        let list = prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from);
        let map = object(inner).prop_map(|map| json!(map));
        prop_oneof![list, map]
    });
    let broken = ("[{}\\[\\]\":,a-z0-9]{0,24}", any::<bool>());
    prop_oneof![
        value.prop_map(|value| value.to_string()),
        broken.prop_map(|(text, _)| text),
    ]
}

/// Runs cases against one entry, which must answer normally afterwards.
fn run_cases<S: Strategy>(
    input: S,
    case: impl AsyncFn(&TestEntry, S::Value) -> Result<(), TestCaseError>,
) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    // The agents never cause a retry, so an answer depends on the request only.
    let rig = runtime
        .block_on(async { TestEntry::start(&agents(1, answer_ok).await, short_limits()).await });
    let mut runner = proptest::test_runner::TestRunner::new(cases());
    let run = |value| runtime.block_on(case(&rig, value));
    runner.run(&input, run).unwrap();
    let (status, _) = runtime.block_on(rig.call("GET", "/v1/directory", &[], ""));
    assert_eq!(status, 200);
}

/// Checks that the answer has an HTTP status other than 500; a closed connection
/// fails.
fn check_status(answer: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(answer);
    let status = text
        .get(9..12)
        .and_then(|status| status.parse::<u16>().ok());
    prop_assert!(text.starts_with("HTTP/1."), "{text}");
    let clear = status.is_some_and(|status| (200..599).contains(&status) && status != 500);
    prop_assert!(clear, "{text}");
    Ok(())
}

/// Guards against a panic, status 500 or no answer for any path and header.
#[test]
fn input_any_path_and_headers() {
    let method = prop::sample::select(vec!["GET", "HEAD", "PUT", "POST", "DELETE", "X"]);
    let name = prop::sample::select(vec![
        "idempotency-key",
        "berylgw-ticket",
        "authorization",
        "accept",
        "expect",
        "te",
        "upgrade",
    ]);
    let value = "[ -~é]{0,16}";
    let input = (method, path(), name, value);
    run_cases(input, async |rig, (method, path, name, value)| {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
             {name}: {value}\r\nconnection: close\r\n\r\n"
        );
        check_status(&exchange_raw(rig.callers, text.as_bytes(), false).await)
    });
}

/// Guards against a panic, status 500 or no answer for any body of chat and
/// ticket calls.
#[test]
fn input_any_json_body() {
    let path = prop::sample::select(vec!["/v1/chat/completions", "/v1/tickets"]);
    run_cases((path, json_body()), async |rig, (path, body)| {
        let length = body.len();
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        check_status(&exchange_raw(rig.callers, text.as_bytes(), false).await)
    });
}

/// Guards against bytes that are not HTTP.
#[test]
fn input_any_bytes() {
    run_cases(
        prop::collection::vec(any::<u8>(), 0..64),
        async |rig, bytes| {
            exchange_raw(rig.callers, &bytes, true).await;
            Ok(())
        },
    );
}
