//! Direct entries as processes, with servers that say in their answers that they
//! leave, or that they want no requests for a while.

use std::time::{Duration, Instant};

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Answer, Call, send};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::{Store, Treatment};
use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::task::JoinSet;

type Result<T = ()> = std::result::Result<T, Failure>;

/// Time after an answer of a server that leaves until the users count requests.
const DRAIN: Duration = Duration::from_secs(2);

async fn site(entries: usize, servers: &[&Server]) -> Result<(Store, Vec<Entry>)> {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    register(&store, "yard", servers);
    let mut started = Vec::new();
    for number in 0..entries {
        let entry = Entry::start(&store, &format!("edge-{number}"), "shed").await?;
        let listed = [
            ("servers", json!(servers.len())),
            ("configuration", json!(3)),
        ];
        entry.wait_for_view(&listed).await?;
        started.push(entry);
    }
    for entry in &started {
        let all = [("entries", json!(entries))];
        entry.wait_for_line("directory changed", &all).await?;
    }
    Ok((store, started))
}

async fn ask(entry: &Entry, path: &str, id: &str) -> Result<Answer> {
    let call = Call {
        id: id.to_owned(),
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: 2_000,
    };
    send(entry.callers, &call).await
}

/// Sends requests until `server` has received one more, and returns its answer.
async fn ask_until_at(entry: &Entry, server: &Server, name: &str) -> Result<Answer> {
    let before = server.arrivals().len();
    for number in 0..100 {
        let answer = ask(entry, "/stock/1", &format!("{name}{number}")).await?;
        if server.arrivals().len() > before {
            return Ok(answer);
        }
    }
    Err(format!("{} gets no requests", server.id).into())
}

/// Sends a request every 10 ms; returns the number of the served ones.
async fn load(entry: &Entry, name: &str, time: Duration) -> Result<usize> {
    let start = Instant::now();
    let mut served = 0;
    for number in 0.. {
        if start.elapsed() >= time {
            break;
        }
        let answer = ask(entry, "/stock/1", &format!("{name}{number}")).await?;
        served += usize::from(answer.status == StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(served)
}

/// Guards against requests to a server that has said it leaves, also while the store
/// lists it as ready or is away, and from entries that did not hear it.
#[tokio::test]
async fn leaving_server_gets_requests() -> Result {
    for reply in [Reply::Complete, Reply::NotRun] {
        for treatment in [Treatment::Open, Treatment::Silent] {
            let leaving = Server::start("i-leaving", Reply::Complete).await?;
            let sound = Server::start("i-sound", Reply::Complete).await?;
            let (store, entries) = site(2, &[&leaving, &sound]).await?;
            for entry in &entries {
                entry.treatment.send_replace(treatment);
            }
            leaving.set_reply(reply);
            leaving.set_notice("Server-Leaving", "1");
            let answer = ask_until_at(&entries[0], &leaving, "a").await?;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            let before = leaving.arrivals().len();
            assert!(load(&entries[0], "b", Duration::from_millis(500)).await? > 10);
            assert_eq!(leaving.arrivals().len(), before, "{reply:?}");
            // The other entry has been told meanwhile.
            load(&entries[1], "c", Duration::from_millis(500)).await?;
            assert_eq!(leaving.arrivals().len(), before, "{reply:?}");
            if treatment == Treatment::Silent {
                continue;
            }
            // Its object goes and is back, as in a store that was restored.
            store.remove("servers", "i-leaving");
            tokio::time::sleep(DRAIN * 2).await;
            let mut object = leaving.object("yard", "shed", "ready");
            store.put("servers", "i-leaving", object.clone());
            load(&entries[0], "d", Duration::from_millis(300)).await?;
            // A new process of its id, at its address.
            leaving.set_notice("Server-Leaving", "0");
            leaving.set_reply(Reply::Complete);
            object["born"] = json!(1_900);
            store.put("servers", "i-leaving", object);
            tokio::time::sleep(Duration::from_millis(300)).await;
            ask_until_at(&entries[0], &leaving, "e").await?;
            ask_until_at(&entries[1], &leaving, "f").await?;
        }
    }
    Ok(())
}

/// Guards against a stream that is cut because its server leaves, a notice in the head
/// of a stream that is not read, and a caller that waits although only the leaving
/// server could take its request.
#[tokio::test]
async fn stream_of_leaving_server_goes_on() -> Result {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let events = Reply::Events(10, Duration::from_millis(50));
    let leaving = Server::start("i-leaving", events).await?;
    register(&store, "model", &[&leaving]);
    let entry = Entry::start(&store, "edge-0", "shed").await?;
    let listed = [("servers", json!(1)), ("configuration", json!(3))];
    entry.wait_for_view(&listed).await?;
    leaving.set_notice("Server-Leaving", "1");
    // Fails at once if the stream is refused: no request would ever arrive.
    let streaming = async {
        let answer = ask(&entry, "/notes/1", "a1").await?;
        let is_whole = answer.complete && answer.status == StatusCode::OK;
        assert!(is_whole, "{answer:?}: {:?}", entry.process.recent());
        Ok::<_, Failure>(())
    };
    let refused = async {
        leaving
            .wait_until(|server| !server.arrivals().is_empty())
            .await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let start = Instant::now();
        let answer = ask(&entry, "/notes/1", "a2").await?;
        Ok::<_, Failure>((answer, start.elapsed()))
    };
    let (stream, refused) = tokio::join!(streaming, refused);
    stream?;
    let (refused, time) = refused?;
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    assert!(time < Duration::from_millis(100), "{time:?}");
    assert_eq!(leaving.arrivals().len(), 1);
    Ok(())
}

/// Guards against requests to a server that has asked for a pause, against a pause at
/// entries that were not asked, and against one that does not end.
#[tokio::test]
async fn pausing_server_gets_requests() -> Result {
    for refusal in [Reply::NotRun, Reply::Unavailable] {
        let pausing = Server::start("i-pausing", Reply::Complete).await?;
        let sound = Server::start("i-sound", Reply::Complete).await?;
        let (_store, entries) = site(2, &[&pausing, &sound]).await?;
        pausing.set_notice("Retry-After", "2.5");
        pausing.queue_reply(refusal);
        let start = Instant::now();
        let answer = ask_until_at(&entries[0], &pausing, "a").await?;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let before = pausing.arrivals().len();
        let left = Duration::from_millis(2_400).saturating_sub(start.elapsed());
        assert!(load(&entries[0], "b", left).await? > 20);
        assert_eq!(pausing.arrivals().len(), before);
        ask_until_at(&entries[1], &pausing, "c").await?;
        tokio::time::sleep(Duration::from_millis(300)).await;
        ask_until_at(&entries[0], &pausing, "d").await?;
    }
    Ok(())
}

/// Guards against callers that wait, or are told to come back too early or too late,
/// while all servers have asked for a pause.
#[tokio::test]
async fn all_servers_pause() -> Result {
    let servers = [
        Server::start("i-1", Reply::NotRun).await?,
        Server::start("i-2", Reply::NotRun).await?,
    ];
    servers[0].set_notice("Retry-After", "3");
    servers[1].set_notice("Retry-After", "5");
    let (_store, entries) = site(1, &[&servers[0], &servers[1]]).await?;
    let start = Instant::now();
    ask(&entries[0], "/stock/1", "a").await?;
    let arrivals = |servers: &[Server]| {
        let arrivals = servers.iter().map(|server| server.arrivals().len());
        arrivals.sum::<usize>()
    };
    assert_eq!(arrivals(&servers), 2);
    for number in 0..10 {
        let sent = Instant::now();
        let answer = ask(&entries[0], "/pickup/1", &format!("b{number}")).await?;
        assert!(sent.elapsed() < Duration::from_millis(100));
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        let left = 3.0 - start.elapsed().as_secs_f64();
        let told = answer.retry_after.unwrap_or_default();
        assert!((told - left).abs() < 0.3, "told {told}, {left} left");
    }
    assert_eq!(arrivals(&servers), 2);
    Ok(())
}

/// Guards against a value that no sound server sends and that ends a pause, or takes a
/// server out for hours, and against a pause of an answer that is not a refusal.
#[tokio::test]
async fn absurd_pause_ignored() -> Result {
    let pausing = Server::start("i-pausing", Reply::Complete).await?;
    let sound = Server::start("i-sound", Reply::Complete).await?;
    let (_store, entries) = site(1, &[&pausing, &sound]).await?;
    for value in ["-1", "NaN", "inf", "soon", "", "3600", "1e300"] {
        pausing.set_notice("Retry-After", value);
        pausing.queue_reply(Reply::NotRun);
        ask_until_at(&entries[0], &pausing, &format!("a{value}")).await?;
        // Servers that refuse are left out for a moment in any case.
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        ask_until_at(&entries[0], &pausing, &format!("b{value}")).await?;
    }
    pausing.set_notice("Retry-After", "60");
    ask_until_at(&entries[0], &pausing, "c").await?;
    ask_until_at(&entries[0], &pausing, "d").await?;
    // Two requests on their way: the second one does not end the pause of the first.
    pausing.set_notice("Retry-After", "4");
    pausing.queue_reply(Reply::NotRun);
    ask_until_at(&entries[0], &pausing, "e").await?;
    let line = entries[0].wait_for_line("server pauses", &[]).await?;
    assert_eq!(line["seconds"], json!(4.0), "{line}");
    Ok(())
}

/// Guards against a rate limit that ends because one answer names a value that cannot
/// be read.
#[tokio::test]
async fn unreadable_limit_ends_limit() -> Result {
    let limited = Server::start("i-limited", Reply::Complete).await?;
    let sound = Server::start("i-sound", Reply::Complete).await?;
    let (_store, entries) = site(1, &[&limited, &sound]).await?;
    limited.set_rate_limit(Some(1.0));
    ask_until_at(&entries[0], &limited, "a").await?;
    for (round, text) in ["many", "-1", "NaN"].iter().enumerate() {
        limited.set_rate_limit_text(text);
        let before = limited.arrivals().len();
        load(&entries[0], &format!("b{round}-"), Duration::from_secs(3)).await?;
        let count = limited.arrivals().len() - before;
        assert!((1..=4).contains(&count), "{count} requests after {text}");
    }
    Ok(())
}

/// Guards against bounds that hold only while nothing else fails: entries are killed,
/// stand still and lose the store while a server leaves and another one pauses.
#[tokio::test]
async fn notices_among_faults() -> Result {
    let leaving = Server::start("i-leaving", Reply::Complete).await?;
    let pausing = Server::start("i-pausing", Reply::NotRun).await?;
    let sound = Server::start("i-sound", Reply::Complete).await?;
    let (_store, mut entries) = site(4, &[&leaving, &pausing, &sound]).await?;
    leaving.set_notice("Server-Leaving", "1");
    pausing.set_notice("Retry-After", "4");
    for entry in &entries {
        entry.treatment.send_replace(Treatment::Silent);
    }
    for number in 0..100 {
        let both = !leaving.arrivals().is_empty() && !pausing.arrivals().is_empty();
        if both {
            break;
        }
        ask(&entries[0], "/stock/1", &format!("a{number}")).await?;
    }
    assert_eq!((leaving.arrivals().len(), pausing.arrivals().len()), (1, 1));
    let start = Instant::now();
    entries[1].process.signal(Signal::SIGSTOP)?;
    let killed = entries.remove(2);
    killed.process.signal(Signal::SIGKILL)?;
    tokio::time::sleep(Duration::from_millis(600)).await;
    entries[1].process.signal(Signal::SIGCONT)?;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let (left, paused) = (leaving.arrivals().len(), pausing.arrivals().len());
    let mut loads = JoinSet::new();
    for (number, entry) in entries.iter().enumerate() {
        let callers = entry.callers;
        loads.spawn(async move {
            for round in 0..100 {
                let call = Call {
                    id: format!("c{number}-{round}"),
                    path: "/stock/1".to_owned(),
                    key: Some(KEY.to_owned()),
                    deadline_ms: 2_000,
                };
                let answer = send(callers, &call).await?;
                if answer.status != StatusCode::OK {
                    return Err(format!("{answer:?}").into());
                }
            }
            Ok::<_, Failure>(())
        });
    }
    while let Some(ended) = loads.join_next().await {
        ended??;
    }
    assert!(start.elapsed() < Duration::from_secs(4));
    assert_eq!(leaving.arrivals().len(), left);
    // Each entry may ask once on its own; the first one knows.
    let more = pausing.arrivals().len() - paused;
    assert!(
        more < entries.len(),
        "{more} requests to a server that pauses"
    );
    Ok(())
}
