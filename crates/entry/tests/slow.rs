//! Callers that read slowly or not at all.

mod common;

use std::time::{Duration, Instant};

use berylgw_entry::Limits;
use common::{Arrival, TOKEN, TestEntry, agents, chat, slow_reader_limits, tokens};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Larger than all socket and connection buffers between entry and caller.
const LARGE_BYTES: usize = 64 << 20;

/// Timeout of [`wait_until`].
const WAIT: Duration = Duration::from_secs(60);

/// Deadline of a request whose caller reads nothing. The answer begins long before it.
const REQUEST_MS: u64 = 5_000;

/// Sends a request and reads nothing.
///
/// The answer to HTTP/1.0 has no chunks and ends with the connection.
async fn stalled_reader(rig: &TestEntry, method: &str, path: &str, body: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(32 << 10).unwrap();
    let mut stream = socket.connect(rig.callers).await.unwrap();
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.0\r\nhost: e\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Waits until `wanted` holds for the entry; fails with its refusals if it does not.
async fn wait_until(rig: &TestEntry, wanted: impl Fn(&TestEntry) -> bool) {
    let end = Instant::now() + WAIT;
    while !wanted(rig) {
        let refusals = rig.refusal_counts();
        assert!(Instant::now() < end, "not within {WAIT:?}; {refusals:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn large(arrival: Arrival) {
    let frame = "x".repeat(64 << 10);
    arrival.answer(200, &vec![frame; LARGE_BYTES / (64 << 10)]);
}

/// Guards against a stalled caller that keeps its buffer after its plain answer
/// has failed, which would reduce the process budget for all others.
#[tokio::test]
async fn stalled_plain_reader_frees_buffer() {
    let limits = Limits {
        slow_reader_ms: 50,
        ..slow_reader_limits()
    };
    let rig = TestEntry::start(&agents(1, large).await, limits).await;
    let reader = stalled_reader(&rig, "GET", "/services/p/x", "").await;
    wait_until(&rig, |rig| rig.refusals("slow_reader") == 1.0).await;
    wait_until(&rig, |rig| rig.gauge("berylgw_buffered_bytes") == 0.0).await;
    drop(reader);
}

/// Guards against a plain answer that outlives its deadline while it waits for
/// a slow reader.
#[tokio::test]
async fn stalled_plain_reader_deadline() {
    let limits = Limits {
        slow_reader_ms: 600_000,
        request_ms: REQUEST_MS,
        ..slow_reader_limits()
    };
    let rig = TestEntry::start(&agents(1, large).await, limits).await;
    let reader = stalled_reader(&rig, "GET", "/services/p/x", "").await;
    wait_until(&rig, |rig| rig.refusals("slow_reader") == 1.0).await;
    wait_until(&rig, |rig| rig.gauge("berylgw_requests_in_flight") == 0.0).await;
    drop(reader);
}

/// Guards against a complete answer that is held for a caller that neither
/// reads nor closes its connection.
#[tokio::test]
async fn stalled_reader_connection_ends() {
    let limits = Limits {
        stream_buffer_bytes: LARGE_BYTES * 2,
        buffer_bytes: LARGE_BYTES * 2,
        request_ms: REQUEST_MS,
        ..slow_reader_limits()
    };
    let rig = TestEntry::start(&agents(1, large).await, limits).await;
    let mut reader = stalled_reader(&rig, "GET", "/services/p/x", "").await;
    let mut answer = Vec::new();
    wait_until(&rig, |rig| rig.gauge("berylgw_buffered_bytes") > 0.0).await;
    wait_until(&rig, |rig| rig.gauge("berylgw_buffered_bytes") == 0.0).await;
    let read = reader.read_to_end(&mut answer).await;
    assert!(read.is_err() || answer.len() < LARGE_BYTES);
}

/// Guards against streams that together exceed the process budget, and against
/// a token lost or repeated when they resume.
#[tokio::test]
async fn process_limit_bounds_streams() {
    const STREAMS: usize = 8;
    const COUNT: u64 = 20_000;
    let event = tokens(0, 1)[0].len();
    let limits = Limits {
        stream_buffer_bytes: 32 << 10,
        buffer_bytes: 48 << 10,
        ..slow_reader_limits()
    };
    let bound = (limits.buffer_bytes + STREAMS * event) as f64;
    let script = |arrival: Arrival| {
        arrival.answer(200, &tokens(arrival.request.resume_from, COUNT));
    };
    let rig = TestEntry::start(&agents(1, script).await, limits).await;
    let mut readers = Vec::new();
    for _ in 0..STREAMS {
        let body = chat("m", true);
        readers.push(stalled_reader(&rig, "POST", "/v1/chat/completions", &body).await);
    }
    let resumes = "berylgw_slow_reader_resumes_total";
    wait_until(&rig, |rig| rig.counter(resumes) >= 1.0).await;
    for mut reader in readers {
        assert!(rig.gauge("berylgw_buffered_bytes") <= bound);
        let mut answer = String::new();
        reader.read_to_string(&mut answer).await.unwrap();
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        assert_eq!(body, tokens(0, COUNT).concat());
    }
}
