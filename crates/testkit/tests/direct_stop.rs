//! Direct entries as processes that are stopped under load.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::Store;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

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
