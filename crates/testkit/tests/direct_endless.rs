//! A direct entry as a process, with servers that send bytes without end until
//! the entry closes the connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Answer, Call, Channel, Pace, send};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::Store;
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

type Result<T = ()> = std::result::Result<T, Failure>;

/// Requests at the same time to servers in trouble.
const CALLS: usize = 20;

/// Memory that the entry may need in addition, below that of the smallest hosts.
const MAX_GROWTH_KIB: u64 = 64 << 10;

/// Bytes that a server in trouble sends: a beginning, then `repeated` for ever.
#[derive(Clone, Copy, Debug)]
struct Endless {
    name: &'static str,
    path: &'static str,
    beginning: &'static str,
    repeated: &'static str,
}

const CASES: [Endless; 6] = [
    Endless {
        name: "status line",
        path: "/stock/1",
        beginning: "HTTP/1.1 200 ",
        repeated: "O",
    },
    Endless {
        name: "header value",
        path: "/pickup/1",
        beginning: "HTTP/1.1 200 OK\r\nA: ",
        repeated: "a",
    },
    Endless {
        name: "headers",
        path: "/stock/1",
        beginning: "HTTP/1.1 200 OK\r\n",
        repeated: "A: a\r\n",
    },
    Endless {
        name: "body",
        path: "/pickup/1",
        beginning: "HTTP/1.1 200 OK\r\nBerylgw-Server-Seal: s\r\n\r\n",
        repeated: "b",
    },
    Endless {
        name: "stream without an event",
        path: "/notes/1",
        beginning: "HTTP/1.1 200 OK\r\nBerylgw-Server-Seal: s\r\n\
            Content-Type: text/event-stream\r\n\r\n",
        repeated: "data: x\n",
    },
    Endless {
        name: "chunk extension",
        path: "/pickup/1",
        beginning: "HTTP/1.1 200 OK\r\nBerylgw-Server-Seal: s\r\n\
            Transfer-Encoding: chunked\r\n\r\n5;",
        repeated: "e",
    },
];

/// Sends the bytes of `case` on each connection until it is closed.
async fn serve(case: Endless) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = vec![0; 16 << 10];
                let block = case.repeated.repeat((64 << 10) / case.repeated.len());
                let mut open = stream.read(&mut request).await.is_ok();
                open &= stream.write_all(case.beginning.as_bytes()).await.is_ok();
                while open {
                    open = stream.write_all(block.as_bytes()).await.is_ok();
                    // About 13 MB/s on each connection.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
        }
    });
    Ok(address)
}

/// Returns the resident memory of a process.
fn resident_kib(pid: i32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or("no resident memory")?.parse()?)
}

/// Guards against bytes without end that fill the memory of an entry, or hold a
/// request until its time is over.
#[tokio::test]
async fn endless_answer_ends_at_bound() -> Result {
    for case in CASES {
        let store = Store::default();
        store.put("config", "main", configuration(3, &[KEY]));
        let address = serve(case).await?;
        let service = if case.path.starts_with("/notes/") {
            "model"
        } else {
            "yard"
        };
        let object = json!({
            "Service": service, "Address": address, "Zone": "shed", "Version": "v1",
            "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
        });
        store.put("servers", "i-endless", object);
        let sound = Server::start("i-sound", Reply::Complete).await?;
        let other = if service == "yard" { "model" } else { "yard" };
        register(&store, other, &[&sound]);
        let entry = Entry::start(&store, "edge-1", "shed").await?;
        entry.wait_for_view(&[("servers", json!(2))]).await?;
        let before = resident_kib(entry.process.id())?;
        let callers = entry.callers;
        let started = Instant::now();
        let calls: Vec<_> = (0..CALLS)
            .map(|number| {
                let call = Call {
                    id: format!("a{number}"),
                    path: case.path.to_owned(),
                    key: Some(KEY.to_owned()),
                    deadline_ms: 8_000,
                };
                tokio::spawn(async move { send(callers, &call).await })
            })
            .collect();
        let mut peak = before;
        let mut ended = 0;
        for call in calls {
            let answer = call.await??;
            peak = peak.max(resident_kib(entry.process.id())?);
            // The first attempts eject the server; the others find none.
            let expected = [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE];
            assert!(
                expected.contains(&answer.status),
                "{}: {answer:?}",
                case.name
            );
            ended += usize::from(answer.status == StatusCode::BAD_GATEWAY);
        }
        assert!(ended > 0, "{}: no request reached the server", case.name);
        let time = started.elapsed();
        assert!(
            time < Duration::from_millis(1_900),
            "{}: {time:?}",
            case.name
        );
        assert!(
            peak < before + MAX_GROWTH_KIB,
            "{}: {before} to {peak} KiB",
            case.name
        );
    }
    Ok(())
}

/// Bytes of an answer that callers read slowly, below what an entry reads as a whole.
const SLOWLY_READ_BYTES: usize = 6 << 20;

/// Guards against whole answers that wait for slow callers and together exceed the
/// memory of an entry: each was counted only until it had been read from the server.
#[tokio::test]
async fn slowly_read_answers_bounded() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let server = Server::start("i-long", Reply::AsAsked).await?;
    register(&store, "yard", &[&server]);
    let entry = Entry::start(&store, "edge-1", "shed").await?;
    entry.wait_for_view(&[("servers", json!(1))]).await?;
    let before = resident_kib(entry.process.id())?;
    let callers = entry.callers;
    let bytes = SLOWLY_READ_BYTES.to_string();
    let mut calls = Vec::new();
    for number in 0..2 * CALLS {
        let bytes = bytes.clone();
        calls.push(tokio::spawn(async move {
            let call = Call {
                id: format!("s{number}"),
                path: "/pickup/1".to_owned(),
                key: Some(KEY.to_owned()),
                deadline_ms: 8_000,
            };
            let mut channel = Channel::open(callers, Some(4_096)).await?;
            let pace = Pace {
                read: Duration::from_millis(400),
                ..Pace::default()
            };
            let headers = [("answer-bytes", &*bytes)];
            let answer = channel.ask(&call, &headers, pace).await;
            answer.map_err(|failure| format!("{failure:?}").into())
        }));
    }
    let mut peak = before;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        peak = peak.max(resident_kib(entry.process.id())?);
    }
    let mut refused = 0;
    for call in calls {
        if !call.is_finished() {
            call.abort();
            continue;
        }
        let answered: Result<Answer> = call.await?;
        refused += usize::from(answered?.status == StatusCode::BAD_GATEWAY);
    }
    assert!(refused > 0, "no answer exceeded the memory for answers");
    assert!(
        peak < before + MAX_GROWTH_KIB,
        "{before} to {peak} KiB for {} answers",
        2 * CALLS
    );
    Ok(())
}
