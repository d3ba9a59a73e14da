//! Direct entries as processes that are stopped under load.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Call, Channel, Pace, send_with};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::Store;
use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

type Result<T = ()> = std::result::Result<T, Failure>;

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// No connection was made.
    Refused,
    /// A complete answer with this status arrived.
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
}

/// Connects, waits for `delay` as a slow client does, and sends a request.
async fn try_once(callers: SocketAddr, id: String, delay: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return Outcome::Refused;
    };
    tokio::time::sleep(delay).await;
    let request = format!(
        "POST /stock/1 HTTP/1.1\r\nHost: desk.example\r\nBerylgw-Attempt-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\nBerylgw-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return Outcome::Cut;
    }
    let mut answer = Vec::new();
    let read = async {
        while !is_complete(&answer) {
            if !matches!(stream.read_buf(&mut answer).await, Ok(1..)) {
                return;
            }
        }
    };
    if tokio::time::timeout(Duration::from_secs(5), read)
        .await
        .is_err()
        || !is_complete(&answer)
    {
        return Outcome::Cut;
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.map_or(Outcome::Cut, Outcome::Answered)
}

fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()) == Some(body.len())
}

/// Guards against requests that are cut off without an answer because they arrive on a
/// connection that was accepted shortly before, while the entry stops under load.
#[tokio::test]
async fn accepted_connection_cut_at_stop() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let server = Server::start("i-1", Reply::Complete).await?;
    register(&store, "yard", &[&server]);
    let mut entry = Entry::start(&store, "edge-1", "shed").await?;
    entry.wait_for_view(&[("servers", json!(1))]).await?;
    entry.process.signal(Signal::SIGTERM)?;
    let mut tries = JoinSet::new();
    // Longer than it takes to stop.
    for round in 0..300_u64 {
        for (number, delay) in [0, 5, 60, 150].into_iter().enumerate() {
            let id = format!("r{round}-{number}");
            tries.spawn(try_once(entry.callers, id, Duration::from_millis(delay)));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = tries.join_next().await {
        outcomes.push(outcome?);
    }
    let count =
        |wanted: fn(&Outcome) -> bool| outcomes.iter().filter(|outcome| wanted(outcome)).count();
    let cut = count(|outcome| *outcome == Outcome::Cut);
    let refused = count(|outcome| *outcome == Outcome::Refused);
    let answered = count(|outcome| *outcome == Outcome::Answered(200));
    assert!(
        answered > 400 && refused > 50,
        "{answered} answered, {refused} refused"
    );
    assert_eq!(cut, 0, "of {}", outcomes.len());
    assert!(entry.process.wait().await?.success());
    Ok(())
}

/// Guards against requests that are taken late in a stop and cut off as the process
/// ends.
#[tokio::test]
async fn request_late_in_stop_cut() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let servers = [
        Server::start("i-1", Reply::AsAsked).await?,
        Server::start("i-2", Reply::AsAsked).await?,
    ];
    register(&store, "yard", &[&servers[0]]);
    register(&store, "model", &[&servers[1]]);
    let mut entry = Entry::start(&store, "edge-1", "shed").await?;
    entry.wait_for_view(&[("servers", json!(2))]).await?;
    let callers = entry.callers;
    // Keeps the process running until shortly before the kill signal.
    let stream = call("stream", "/notes/1", 8_000);
    let stream = tokio::spawn(async move {
        let headers = [("work-ms", "6800"), ("events", "40")];
        send_with(callers, &stream, &headers).await
    });
    servers[1]
        .wait_until(|server| !server.ran().is_empty())
        .await?;
    entry.process.signal(Signal::SIGTERM)?;
    let stopped = Instant::now();
    let mut tries = JoinSet::new();
    for number in 0..24_u64 {
        let at = stopped + Duration::from_millis(3_100 + number * 150);
        let path = ["/pickup/1", "/stock/1"][number as usize % 2];
        let call = call(&format!("r{number}"), path, 2_000);
        tries.spawn(async move {
            tokio::time::sleep_until(at).await;
            let Ok(mut channel) = Channel::open(callers, None).await else {
                return (call, None);
            };
            let headers = [("work-ms", "1800"), ("answer-bytes", "800")];
            let answer = channel.ask(&call, &headers, Pace::default()).await;
            (call, Some(answer))
        });
    }
    let mut answered = 0;
    while let Some(tried) = tries.join_next().await {
        let (call, Some(answer)) = tried? else {
            continue;
        };
        let answer = answer.map_err(|failure| format!("{}: {failure:?}", call.id))?;
        assert!(answer.complete, "{}: {answer:?}", call.id);
        let ran = servers[0].ran().contains(&call.id);
        let refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if call.path == "/pickup/1" {
            let expected = if refused { !ran } else { answer.status == 200 };
            assert!(expected, "{}, ran {ran}: {answer:?}", call.id);
        }
        answered += usize::from(!refused);
    }
    assert!(answered > 0);
    assert!(stream.await??.complete);
    assert!(entry.process.wait().await?.success());
    Ok(())
}

fn call(id: &str, path: &str, deadline_ms: u64) -> Call {
    Call {
        id: id.to_owned(),
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms,
    }
}

/// Guards against a request that lasts longer than a stop and ends with the process,
/// without an answer.
#[tokio::test]
async fn request_longer_than_stop_answered() -> Result {
    let store = Store::default();
    let mut long = configuration(3, &[KEY]);
    for route in long["Routes"].as_array_mut().into_iter().flatten() {
        route["TimeoutMs"] = json!(30_000);
    }
    store.put("config", "main", long);
    let server = Server::start("i-1", Reply::AsAsked).await?;
    register(&store, "yard", &[&server]);
    let mut entry = Entry::start(&store, "edge-1", "shed").await?;
    entry.wait_for_view(&[("servers", json!(1))]).await?;
    let callers = entry.callers;
    let running = tokio::spawn(async move {
        let call = call("running", "/pickup/1", 30_000);
        send_with(callers, &call, &[("work-ms", "20000")]).await
    });
    server.wait_until(|server| !server.ran().is_empty()).await?;
    entry.process.signal(Signal::SIGTERM)?;
    let at_stop = call("at-stop", "/pickup/1", 30_000);
    entry.wait_for_line("stop requested", &[]).await?;
    let refused = send_with(callers, &at_stop, &[("work-ms", "20000")]).await?;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.closes && refused.retry_after.is_some_and(|seconds| seconds > 0.0));
    let answer = running.await??;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(server.ran(), ["running"]);
    assert!(entry.process.wait().await?.success());
    Ok(())
}
