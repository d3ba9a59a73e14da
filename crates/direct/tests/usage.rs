//! Entries in one process that count starts of requests and deliver them to the one that
//! holds the duty.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::usage::{Record, Report};
use berylgw_direct::backend::Server;
use berylgw_direct::config::{ApiKey, Configuration, RequestKind, Route, Target};
use berylgw_direct::header::Names;
use berylgw_direct::settings::{Duties, Scaling};
use berylgw_direct::usage::Office;
use berylgw_direct::view::{Part, Source};
use berylgw_direct::{Entry, Settings};
use hyper::header::HeaderName;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn names() -> Names {
    let name = HeaderName::from_static;
    Names {
        attempt_id: name("id"),
        deadline: name("deadline"),
        signature: name("signature"),
        account: name("account"),
        expected_server: name("expected-server"),
        not_run: name("not-run"),
        failed_server: name("failed-server"),
        last_event: name("last-event"),
        token_count: name("token-count"),
        rate_limit: name("rate-limit"),
        server_leaving: name("server-leaving"),
        prompt_parts: name("prompt-parts"),
    }
}

fn settings(name: &str) -> Settings {
    let address = "127.0.0.1:0";
    serde_json::from_value(json!({
        "name": name, "domain": "shed",
        "listen": { "callers": address, "peers": address, "metrics": address },
        "retry": { "window_s": 10, "ratio": 0.2, "extra": 90.0 },
        "cold": { "overshoot": 1.5, "slack": 5.0 }, "stop_s": 8.0,
        "duties": { "window_s": 1 },
    }))
    .expect("the settings are valid")
}

/// Starts a server that rejects `/once/no`, breaks off `/once/lost` and answers all else,
/// streams with one event.
async fn start_server() -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    head.push(stream.read_u8().await?);
                }
                let head = String::from_utf8_lossy(&head).into_owned();
                let id = head.lines().find_map(|line| line.strip_prefix("id: "));
                let (more, body) = match () {
                    _ if head.contains("/once/lost") => return Ok(()),
                    _ if head.contains("/once/no") => ("not-run: 1\r\n", ""),
                    _ if head.contains("/stream/") => ("", "id: 1\ndata: a\n\n"),
                    _ => ("", "done"),
                };
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nid: {}\r\nsignature: s\r\n{more}content-length: {}\r\n\r\n{body}",
                    id.unwrap_or_default(),
                    body.len()
                );
                stream.write_all(answer.as_bytes()).await
            });
        }
    });
    Ok(address)
}

fn configuration() -> Configuration {
    let route = |prefix: &str, kind| Route {
        host: "desk".into(),
        prefix: prefix.into(),
        targets: vec![Target {
            service: "yard".into(),
            weight: 1,
        }],
        kind,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(400),
        pause_target: None,
        attempts: 1,
        priority: 1,
        anonymous: false,
    };
    let key = |key: &str| ApiKey {
        key: format!("key-of-{key}").into(),
        account: key.into(),
        priority: None,
    };
    let configuration = Configuration {
        version: 1,
        routes: vec![
            route("/once/", RequestKind::AtMostOnce),
            route("/stream/", RequestKind::ResumableStream),
        ],
        keys: Some(vec![key("growers"), key("traders")]),
        ..Configuration::default()
    };
    configuration.sorted()
}

/// Starts an entry on a thread of its own; returns its office and the address for callers.
async fn start_entry(
    name: &str,
    server: SocketAddr,
    seeds: &mut Vec<SocketAddr>,
) -> Result<(Office, SocketAddr), Failure> {
    let entry = Entry::bind(settings(name), names()).await?;
    let listen = &entry.settings().listen;
    let callers = listen.callers;
    let members: Arc<[SocketAddr]> = Arc::from(&**seeds);
    seeds.push(listen.peers);
    entry.members().send_replace(members);
    let revision = 1.into();
    let value = Arc::new(configuration());
    entry
        .views()
        .set_configuration(Part { revision, value }, Source::Store);
    let server = Server {
        id: "i-1".into(),
        born: Some(7),
        service: "yard".into(),
        address: server,
        domain: "shed".into(),
        slots: 64,
        draining: false,
    };
    let value = Arc::new(vec![server]);
    entry
        .views()
        .set_servers(Part { revision, value }, Source::Store);
    let office = entry.office().ok_or("the entry has no office")?;
    tokio::spawn(entry.run(std::future::pending()));
    Ok((office, callers))
}

async fn call(entry: SocketAddr, path: &str, account: &str) -> Result<(), Failure> {
    let mut stream = TcpStream::connect(entry).await?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: desk\r\nid: a1\r\nauthorization: Bearer key-of-{account}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}

/// Performs the duty with a store and a receiver that take everything; returns the last
/// written record.
async fn hold(office: &Office, time: Duration, reports: &mut Vec<Report>) -> Option<Record> {
    let mut written = None;
    let end = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < end {
        office.with_ledger(|ledger, now| {
            if let Some((generation, record)) = ledger.unsaved() {
                ledger.saved(generation);
                written = Some(record);
            }
            assert!(ledger.expire(now).is_empty());
            if let Some(report) = ledger.due() {
                ledger.accepted(report.window);
                reports.push(report);
            }
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    written
}

/// Guards against starts at other entries that do not arrive at the holder, or requests
/// that ran and do not count, or did not run and count.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_arrive_at_holder() -> Result<(), Failure> {
    let server = start_server().await?;
    let mut seeds = Vec::new();
    let mut entries = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        entries.push(start_entry(name, server, &mut seeds).await?);
    }
    let (first, second) = (&entries[0].0, &entries[1].0);
    first.begin(1, None, 0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (_, callers) in &entries {
        for number in 0..8 {
            call(*callers, &format!("/once/{number}"), "growers").await?;
        }
        call(*callers, "/stream/1", "traders").await?;
        call(*callers, "/once/lost", "growers").await?;
        call(*callers, "/once/no", "growers").await?;
    }
    let mut reports = Vec::new();
    let record = hold(first, Duration::from_millis(1_200), &mut reports).await;
    // The next holder begins with what the first one has written.
    first.end();
    second.begin(2, record, 0);
    assert_eq!((first.token(), second.token()), (None, Some(2)));
    hold(second, Duration::from_secs(9), &mut reports).await;
    let sum = |account: &str| -> u64 {
        let counts = reports.iter().flat_map(|report| &report.counts);
        let counts = counts.filter(|count| *count.0 == *account);
        counts.map(|count| count.1).sum()
    };
    assert_eq!((sum("growers"), sum("traders")), (27, 3), "{reports:?}");
    assert!(
        reports
            .windows(2)
            .all(|pair| pair[0].window + 1 == pair[1].window),
        "{reports:?}"
    );
    Ok(())
}

/// Guards against times of the windows with which no report can be correct or in time.
#[test]
fn unsound_times_found() {
    let findings = |duties| {
        let settings = Settings {
            duties: Some(duties),
            ..settings("edge-1")
        };
        let findings = settings.check().into_iter();
        findings.map(|finding| finding.field).collect::<Vec<_>>()
    };
    let times = |window_s, late_s| Duties {
        window_s,
        late_s,
        lease_ms: 3_000,
        scaling: Scaling::Off,
    };
    assert!(findings(times(5, 10.0)).is_empty());
    for late_s in [0.0, 4.9, f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(findings(times(5, late_s)), ["duties.late_s"]);
    }
    for window_s in [0, u64::MAX] {
        assert_eq!(findings(times(window_s, 10.0)), ["duties.window_s"]);
    }
}
