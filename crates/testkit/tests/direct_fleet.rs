//! A direct entry as a process, in a fleet of hundreds of entries that the test
//! plays by their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Call, send};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::{Store, Treatment};
use berylgw_wire::direct::Beat;
use prost::Message;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

type Result<T = ()> = std::result::Result<T, Failure>;

/// Entries of the fleet. The spacing of the datagrams of an entry grows with
/// their number.
const PEERS: u64 = 200;

/// Time after which nobody may name an entry that is gone: three seconds after
/// the time without contact that the users allow (3 s at least).
const GONE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time within which a change is in force, of the users' smaller fleets, with the
/// time in which a store that falls silent does not count as stable.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(3);

fn beat(number: u64, sequence: u64) -> Beat {
    Beat {
        name: format!("edge-{number:03}"),
        incarnation: number,
        sequence,
        callers: callers(number).to_string(),
        domain: if number == 0 { "shed" } else { "loft" }.to_owned(),
        ..Beat::default()
    }
}

fn callers(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, number as u8], 9_000))
}

async fn directory(entry: &Entry) -> Result<String> {
    let mut stream = TcpStream::connect(entry.directory).await?;
    let request = "GET /v1/resolve?Name=desk.example&Region=r&Zone=shed HTTP/1.1\r\n\
        Host: d\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Guards against a directory that names an entry long after its last datagram
/// because the load of this entry keeps changing.
#[tokio::test]
async fn directory_drops_silent_entry_under_load() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let server = Server::start("i-0", Reply::Complete).await?;
    register(&store, "yard", &[&server]);
    let entry = Entry::start(&store, "edge-own", "shed").await?;
    entry.wait_for_view(&[("servers", json!(1))]).await?;
    let peers = entry.process.address("peers").await?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let stopping = Arc::new(AtomicBool::new(false));
    let (callers_of_entry, stop) = (entry.callers, stopping.clone());
    let load = tokio::spawn(async move {
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let call = Call {
                id: format!("a{number}"),
                path: "/stock/1".to_owned(),
                key: Some(KEY.to_owned()),
                deadline_ms: 2_000,
            };
            send(callers_of_entry, &call).await?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok::<_, Failure>(())
    });
    // Entry 0 sends datagrams for a second and is silent from then on.
    let started = Instant::now();
    let gone = callers(0).to_string();
    let mut last_beat = Instant::now();
    let mut seen = false;
    let mut named_until = Duration::ZERO;
    for sequence in 1.. {
        let elapsed = started.elapsed();
        if elapsed > Duration::from_secs(1) + GONE_TIMEOUT {
            break;
        }
        for number in 0..PEERS {
            if number == 0 && elapsed > Duration::from_secs(1) {
                continue;
            }
            let datagram = beat(number, sequence).encode_to_vec();
            socket.send_to(&datagram, peers).await?;
            if number == 0 {
                last_beat = Instant::now();
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        if directory(&entry).await?.contains(&gone) {
            seen = true;
            named_until = last_beat.elapsed();
        }
    }
    stopping.store(true, Ordering::Relaxed);
    load.await??;
    assert!(seen, "the entry was never named");
    assert!(
        named_until < GONE_TIMEOUT - Duration::from_secs(1),
        "still named {named_until:?} after its last datagram"
    );
    Ok(())
}

/// Guards against a change that arrives after the timeout of a watch because the
/// store fell silent to just those entries that watch it.
#[tokio::test]
async fn silent_watches_noticed_in_time() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let server = Server::start("i-0", Reply::Complete).await?;
    register(&store, "yard", &[&server]);
    let mut entries = Vec::new();
    for (name, domain) in [
        ("edge-1", "a"),
        ("edge-2", "b"),
        ("edge-3", "c"),
        ("edge-4", "c"),
    ] {
        let entry = Entry::start(&store, name, domain).await?;
        entry.wait_for_view(&[("configuration", json!(3))]).await?;
        entries.push(entry);
    }
    let last = entries.pop().ok_or("no entries")?;
    last.wait_for_line(
        "following the store changed",
        &[("observing", json!(false))],
    )
    .await?;
    // Ends the watch that the last entry began before it heard the others.
    store.put("config", "main", configuration(4, &[KEY]));
    last.wait_for_view(&[("configuration", json!(4))]).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for entry in &entries {
        entry.treatment.send_replace(Treatment::Silent);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let changed = Instant::now();
    store.put("config", "main", configuration(5, &["another key"]));
    last.wait_for_view(&[("configuration", json!(5))]).await?;
    let time = changed.elapsed();
    assert!(time < CONFIGURATION_TIMEOUT, "in force after {time:?}");
    Ok(())
}
