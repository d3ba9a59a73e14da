//! Direct entries as processes, with stand-ins of the store and the servers.

use std::time::Duration;

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Answer, Question, ask};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::{Door, Store};
use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;

type Result<T = ()> = std::result::Result<T, Failure>;

const PAUSE: Duration = Duration::from_millis(20);

fn question(id: &str, path: &str) -> Question {
    Question {
        id: id.to_owned(),
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: 8_000,
    }
}

/// A store with a configuration, one entry, and servers of one service.
async fn site(service: &str, replies: &[Reply]) -> Result<(Store, Entry, Vec<Server>)> {
    let store = Store::default();
    store.put("config", "main", configuration(3, &[KEY]));
    let mut servers = Vec::new();
    for (index, reply) in replies.iter().enumerate() {
        servers.push(Server::start(&format!("i-{index}"), *reply).await?);
    }
    register(&store, service, &servers.iter().collect::<Vec<_>>());
    let entry = Entry::start(&store, "edge-1", "shed").await?;
    entry
        .acts_on(&[
            ("servers", json!(servers.len())),
            ("configuration", json!(3)),
        ])
        .await?;
    Ok((store, entry, servers))
}

fn events(count: u32) -> String {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: e{id}\n\n"))
        .collect()
}

fn arrivals(servers: &[Server]) -> usize {
    servers.iter().map(|server| server.arrivals().len()).sum()
}

/// Guards against a stream, a header or an account that is not passed on as
/// the client and the server meant it.
#[tokio::test]
async fn stream_whole() -> Result {
    let (_store, entry, servers) = site("model", &[Reply::Events(5, PAUSE)]).await?;
    let answer = ask(entry.callers, &question("a1", "/notes/today?x=1")).await?;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((&*answer.body, answer.complete), (&*events(5), true));
    assert_eq!(answer.signature.as_deref(), Some("i-0.a1"));
    let arrival = &servers[0].arrivals()[0];
    assert!(arrival.head.starts_with("POST /notes/today?x=1 HTTP/1.1"));
    assert_eq!(arrival.header("berylgw-tenant"), Some("growers"));
    assert_eq!(arrival.header("berylgw-expect-instance"), Some("i-0"));
    assert_eq!(arrival.header("authorization"), None);
    assert_eq!(arrival.body, b"a question");
    let left: u64 = arrival
        .header("berylgw-deadline-ms")
        .unwrap_or("")
        .parse()?;
    assert!(left <= 8_000);
    Ok(())
}

/// Guards against requests that reach a server although they are not proper,
/// and against refusals with another status than the caller can act on.
#[tokio::test]
async fn refuse_improper() -> Result {
    let (_store, entry, servers) = site("yard", &[Reply::Whole]).await?;
    let mut unknown = question("a1", "/stock/1");
    unknown.key = Some("no such key".to_owned());
    let statuses = [
        (unknown, StatusCode::UNAUTHORIZED),
        (question("a2", "/nowhere/1"), StatusCode::NOT_FOUND),
        (question("", "/stock/1"), StatusCode::BAD_REQUEST),
    ];
    for (question, status) in statuses {
        assert_eq!(ask(entry.callers, &question).await?.status, status);
    }
    assert_eq!(arrivals(&servers), 0);
    Ok(())
}

/// Guards against 404 or 401 from an entry that knows no configuration yet.
#[tokio::test]
async fn refuse_without_configuration() -> Result {
    let store = Store::default();
    let entry = Entry::start(&store, "edge-1", "shed").await?;
    let answer = ask(entry.callers, &question("a1", "/stock/1")).await?;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after.is_some());
    Ok(())
}

/// Guards against a request that runs twice, and against a false promise that
/// it has not run, whatever the server's failure is.
#[tokio::test]
async fn once_unknown_outcome() -> Result {
    let failures = [
        Reply::Reset,
        Reply::Unavailable,
        Reply::OtherId,
        Reply::Unsigned,
        Reply::Silent,
    ];
    for failure in failures {
        let (_store, entry, servers) = site("yard", &[failure, failure]).await?;
        let answer = ask(entry.callers, &question("a1", "/pickup/1")).await?;
        let promises_nothing = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        assert!(
            promises_nothing.contains(&answer.status),
            "{failure:?}: {answer:?}"
        );
        assert_eq!(answer.signature, None, "{failure:?}");
        assert_eq!(arrivals(&servers), 1, "{failure:?}");
    }
    Ok(())
}

/// Guards against giving up a request that a server says it has not run, and
/// against an own refusal that is not true or has no time to come back.
#[tokio::test]
async fn once_not_run() -> Result {
    let (_store, entry, servers) = site("yard", &[Reply::Whole, Reply::Whole]).await?;
    for server in &servers {
        server.expect(Reply::NotRun);
    }
    let refused = ask(entry.callers, &question("a1", "/pickup/1")).await?;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert_eq!(arrivals(&servers), 2);
    servers[0].expect(Reply::NotRun);
    servers[1].expect(Reply::NotRun);
    // The next request finds one server that refuses and one that runs it.
    let second = ask(entry.callers, &question("a2", "/pickup/1")).await?;
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    let third = ask(entry.callers, &question("a3", "/pickup/1")).await;
    assert!(third.is_ok());
    Ok(())
}

/// Guards against an idempotent request that is lost with one server.
#[tokio::test]
async fn idempotent_lost_answer() -> Result {
    let (_store, entry, servers) = site("yard", &[Reply::Whole, Reply::Whole]).await?;
    for server in &servers {
        server.expect(Reply::Reset);
    }
    // Both servers fail once, so that one of two requests meets both.
    let first = ask(entry.callers, &question("a1", "/stock/1")).await?;
    let second = ask(entry.callers, &question("a2", "/stock/1")).await?;
    assert_eq!(second.status, StatusCode::OK);
    assert!(first.status == StatusCode::OK || first.status == StatusCode::BAD_GATEWAY);
    Ok(())
}

/// Guards against a server that is gone: the request goes to another one.
#[tokio::test]
async fn once_unreachable() -> Result {
    let (store, entry, servers) = site("yard", &[Reply::Whole]).await?;
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await?
        .local_addr()?;
    let mut dead = servers[0].entry("yard", "shed", "ready");
    dead["Address"] = json!(closed);
    store.put("servers", "i-dead", dead);
    entry.acts_on(&[("servers", json!(2))]).await?;
    for id in 0..6 {
        let answer = ask(entry.callers, &question(&format!("a{id}"), "/pickup/1")).await?;
        assert_eq!(answer.status, StatusCode::OK);
    }
    Ok(())
}

/// Guards against requests for a process whose address another one has, while
/// the list still names both: each request would try the former one first, and
/// be refused after two of them.
#[tokio::test]
async fn once_replaced() -> Result {
    for (former, later) in [(1_000, 2_000), (2_000, 1_000)] {
        let (store, entry, servers) = site("yard", &[Reply::Whole, Reply::Whole]).await?;
        for server in &servers {
            let mut listed = server.entry("yard", "shed", "ready");
            listed["born"] = json!(later);
            store.put("servers", &server.id, listed.clone());
            // A clock that was set may give the former process the later start.
            listed["born"] = json!(former);
            for name in ["a", "b"] {
                store.put("servers", &format!("{}-{name}", server.id), listed.clone());
            }
        }
        entry.acts_on(&[("servers", json!(6))]).await?;
        let mut refused = 0;
        for id in 0..20 {
            let answer = ask(entry.callers, &question(&format!("a{id}"), "/pickup/1")).await?;
            refused += usize::from(answer.status != StatusCode::OK);
        }
        assert_eq!(refused, 0);
        let misdirected = arrivals(&servers) - 20;
        // Each of four former processes is found out at most once.
        let allowed = if later > former { 0 } else { 4 };
        assert!(misdirected <= allowed, "{misdirected} misdirected requests");
    }
    Ok(())
}

/// Guards against a gap, a repeated event or two joined runs in a stream that
/// another server continues.
#[tokio::test]
async fn stream_resumed() -> Result {
    let replies = [Reply::Events(6, PAUSE), Reply::Events(6, PAUSE)];
    let (_store, entry, servers) = site("model", &replies).await?;
    for server in &servers {
        server.expect(Reply::Broken(3));
    }
    servers[0].expect(Reply::Events(6, PAUSE));
    let answer = ask(entry.callers, &question("a1", "/notes/1")).await?;
    let continued = servers.iter().flat_map(Server::arrivals);
    let positions: Vec<_> = continued
        .filter_map(|arrival| arrival.header("last-event-id").map(str::to_owned))
        .collect();
    // The second server breaks off too, where nothing follows event 3.
    assert_eq!(positions, ["3"]);
    assert!(events(6).starts_with(&answer.body));
    assert!(!answer.complete);
    let second = ask(entry.callers, &question("a2", "/notes/1")).await?;
    assert_eq!((&*second.body, second.complete), (&*events(6), true));
    Ok(())
}

/// Guards against a stream that ends as if it were whole when its server
/// breaks off and no other can continue it.
#[tokio::test]
async fn stream_cut() -> Result {
    let (_store, entry, servers) = site("model", &[Reply::Events(6, PAUSE)]).await?;
    servers[0].expect(Reply::Broken(3));
    let answer = ask(entry.callers, &question("a1", "/notes/1")).await?;
    assert!(!answer.complete);
    assert_eq!(answer.body, events(3));
    Ok(())
}

/// Guards against a request held past the time that the route allows.
#[tokio::test]
async fn stream_route_timeout() -> Result {
    let (_store, entry, _servers) = site("model", &[Reply::Events(500, PAUSE)]).await?;
    let asked = tokio::time::Instant::now();
    let answer = ask(entry.callers, &question("a1", "/brief/1")).await?;
    assert!(!answer.complete);
    assert!(asked.elapsed() < Duration::from_millis(600 + 500));
    Ok(())
}

/// Guards against work that goes on after its client has left.
#[tokio::test]
async fn client_left() -> Result {
    let (_store, entry, servers) = site("model", &[Reply::Events(10_000, PAUSE)]).await?;
    let asking = tokio::spawn({
        let callers = entry.callers;
        async move { ask(callers, &question("a1", "/notes/1")).await.is_ok() }
    });
    servers[0]
        .until(|server| !server.arrivals().is_empty())
        .await?;
    asking.abort();
    let hung_up = servers[0].until(|server| server.hung_up() > 0);
    tokio::time::timeout(Duration::from_millis(500), hung_up).await??;
    Ok(())
}

/// Asks until the answer is as wanted or the time for a change is over.
async fn ask_until(entry: &Entry, path: &str, wanted: impl Fn(&Answer) -> bool) -> Result<Answer> {
    let end = tokio::time::Instant::now() + Duration::from_secs(2);
    let mut count = 0;
    loop {
        count += 1;
        let answer = ask(entry.callers, &question(&format!("u{count}"), path)).await?;
        if wanted(&answer) || tokio::time::Instant::now() > end {
            return Ok(answer);
        }
    }
}

/// Guards against work for a server that leaves or whose failure domain is
/// taken out of service.
#[tokio::test]
async fn leaving_server_and_domain() -> Result {
    let (store, entry, servers) = site("yard", &[Reply::Whole, Reply::Whole]).await?;
    let leaving = servers[0].entry("yard", "shed", "draining");
    store.put("servers", &servers[0].id, leaving);
    entry.acts_on(&[("draining", json!(1))]).await?;
    let before = servers[0].arrivals().len();
    for id in 0..8 {
        ask(entry.callers, &question(&format!("a{id}"), "/stock/1")).await?;
    }
    assert_eq!(servers[0].arrivals().len(), before);
    store.put("evacuations", "shed", json!({}));
    entry.acts_on(&[("domains", json!("shed"))]).await?;
    let answer = ask(entry.callers, &question("b1", "/stock/1")).await?;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    store.remove("evacuations", "shed");
    let back = ask_until(&entry, "/stock/1", |answer| answer.status == StatusCode::OK).await?;
    assert_eq!(back.status, StatusCode::OK);
    Ok(())
}

/// Guards against a configuration that goes back, and a key that outlives its
/// removal.
#[tokio::test]
async fn configuration_never_back() -> Result {
    let (store, entry, _servers) = site("yard", &[Reply::Whole]).await?;
    store.put("config", "main", configuration(9, &["another key"]));
    entry.acts_on(&[("configuration", json!(9))]).await?;
    store.put("config", "main", configuration(8, &[KEY]));
    store.put("servers", "i-mark", json!({}));
    entry
        .line("server entry not read", &[("name", json!("i-mark"))])
        .await?;
    let answer = ask(entry.callers, &question("a1", "/stock/1")).await?;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    Ok(())
}

/// Guards against an old configuration after the store has forgotten the
/// changes of a time in which watches heard nothing (scale-1 of
/// imwpa-scaffold).
#[tokio::test]
async fn watch_forgotten_history() -> Result {
    let (store, entry, _servers) = site("yard", &[Reply::Whole]).await?;
    store.set_deaf(true);
    store.put("config", "main", configuration(15, &[KEY]));
    store.set_deaf(false);
    entry.acts_on(&[("configuration", json!(15))]).await?;
    Ok(())
}

/// Guards against changes that do not reach an entry which the store turns
/// away, and against a directory that names a dead entry.
#[tokio::test]
async fn turned_away_entry_learns_from_peer() -> Result {
    let (store, near, _servers) = site("yard", &[Reply::Whole]).await?;
    let away = Entry::start(&store, "edge-2", "loft").await?;
    away.acts_on(&[("servers", json!(1)), ("configuration", json!(3))])
        .await?;
    away.line("peer heard first", &[("peer", json!("edge-1"))])
        .await?;
    for door in [Door::Refusing, Door::Silent] {
        away.door.send_replace(door);
        let version = if door == Door::Refusing { 21 } else { 22 };
        store.put("config", "main", configuration(version, &[KEY]));
        let changed = ("configuration", json!(version));
        away.acts_on(&[changed]).await?;
    }
    away.door.send_replace(Door::Open);
    near.line("directory changed", &[("entries", json!(2))])
        .await?;
    away.process.signal(Signal::SIGKILL)?;
    near.line("directory changed", &[("entries", json!(1))])
        .await?;
    Ok(())
}

/// Guards against a planned stop that cuts an answer, and against callers sent
/// to an entry that stops.
#[tokio::test]
async fn stop_whole_answers() -> Result {
    let (_store, mut entry, servers) = site("model", &[Reply::Events(100, PAUSE)]).await?;
    let asking = tokio::spawn({
        let callers = entry.callers;
        async move { ask(callers, &question("a1", "/notes/1")).await }
    });
    servers[0]
        .until(|server| !server.arrivals().is_empty())
        .await?;
    entry.process.signal(Signal::SIGHUP)?;
    entry
        .line("settings changed; they take effect at the next start", &[])
        .await?;
    entry.process.signal(Signal::SIGTERM)?;
    entry
        .line("directory changed", &[("entries", json!(0))])
        .await?;
    let ready = status_of(entry.ready, "/v1/readyz").await?;
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    let answer = asking.await??;
    assert_eq!((&*answer.body, answer.complete), (&*events(100), true));
    assert!(entry.process.wait().await?.success());
    Ok(())
}

async fn status_of(address: std::net::SocketAddr, path: &str) -> Result<StatusCode> {
    Ok(fetch(address, path).await?.0)
}

async fn fetch(address: std::net::SocketAddr, path: &str) -> Result<(StatusCode, String)> {
    let client = berylgw_platform::Client::new(address, Duration::from_secs(2));
    let answer = client
        .request(hyper::Method::GET, path, Default::default(), Duration::ZERO)
        .await;
    match answer {
        Ok((status, body)) => Ok((status, String::from_utf8(body.to_vec())?)),
        Err(error) if error.kind() == berylgw_platform::Kind::Unavailable => {
            Ok((StatusCode::SERVICE_UNAVAILABLE, String::new()))
        }
        Err(error) => Err(error.into()),
    }
}

/// Guards against store entries of other writers that name a server, and
/// against a log line for each look at them.
#[tokio::test]
async fn malformed_server_entry() -> Result {
    let (store, entry, servers) = site("yard", &[Reply::Whole]).await?;
    let mut wrong = servers[0].entry("yard", "shed", "resting");
    store.put("servers", "i-wrong", wrong.clone());
    wrong["Slots"] = json!("twelve");
    store.put("servers", "i-typed", wrong);
    store.put("servers", "i-text", json!("text"));
    let names = ["i-wrong", "i-typed", "i-text"];
    for name in names {
        entry
            .line("server entry not read", &[("name", json!(name))])
            .await?;
    }
    // Another look at the same entries.
    store.put(
        "servers",
        "i-later",
        servers[0].entry("other", "shed", "ready"),
    );
    entry.acts_on(&[("servers", json!(2))]).await?;
    let lines = entry.process.recent();
    for name in names {
        let of_name = lines
            .iter()
            .filter(|line| line.contains("server entry not read"));
        assert_eq!(
            of_name.filter(|line| line.contains(name)).count(),
            1,
            "{name}"
        );
    }
    let answer = ask(entry.callers, &question("a1", "/stock/1")).await?;
    assert_eq!(answer.status, StatusCode::OK);
    Ok(())
}

/// Guards against a failed request whose cause the log does not tell: refused
/// under load, broken off in the middle, and late.
#[tokio::test]
async fn log_explains() -> Result {
    let (store, entry, servers) = site("model", &[Reply::Events(3, PAUSE)]).await?;
    servers[0].expect(Reply::Broken(2));
    ask(entry.callers, &question("broken", "/notes/1")).await?;
    let line = entry
        .line("request", &[("request", json!("broken"))])
        .await?;
    assert_eq!(line["end"], "broken_off");
    assert_eq!(
        (&line["servers"], &line["events"]),
        (&json!("i-0"), &json!(2))
    );
    let cause = entry
        .line("stream broken off", &[("server", json!("i-0"))])
        .await?;
    assert!(cause["error"].is_string());

    servers[0].expect(Reply::Events(2, Duration::from_millis(300)));
    ask(entry.callers, &question("late", "/notes/1")).await?;
    let line = entry.line("request", &[("request", json!("late"))]).await?;
    assert_eq!(line["end"], "answered");
    assert!(line["longest_pause_ms"].as_u64() >= Some(300));

    store.put("evacuations", "shed", json!({}));
    entry.acts_on(&[("domains", json!("shed"))]).await?;
    ask(entry.callers, &question("refused", "/notes/1")).await?;
    let line = entry
        .line("request", &[("request", json!("refused"))])
        .await?;
    assert_eq!(
        (&line["end"], &line["status"]),
        (&json!("no_server"), &json!(503))
    );
    assert!(line["retry_after_ms"].is_u64());
    let (_, metrics) = fetch(entry.metrics, "/metrics").await?;
    assert!(metrics.contains("berylgw_direct_requests_total{end=\"no_server\"} 1"));
    assert!(metrics.contains("berylgw_direct_requests_total{end=\"broken_off\"} 1"));
    Ok(())
}

/// Guards against settings that are used in part: all findings are printed with
/// their place, and the process does not start.
#[tokio::test]
async fn check_settings_findings() -> Result {
    let path = berylgw_testkit::direct::site::settings("x", "shed", "127.0.0.1:1".parse()?)?;
    let text = std::fs::read_to_string(&path)?;
    let text = text
        .replace("stop_s: 8", "stop_s: 0")
        .replace("ratio: 0.2", "ratio: -1");
    std::fs::write(&path, text)?;
    let args = [
        "--check-settings",
        "--settings",
        path.to_str().unwrap_or(""),
    ];
    let mut process = berylgw_testkit::launch::start("berylgw-direct", args)?;
    assert_eq!(process.finish().await?.code(), Some(2));
    let output = process.recent().join("\n");
    assert!(
        output.contains("entry.retry.ratio: must not be negative"),
        "{output}"
    );
    assert!(
        output.contains("entry.stop_s: must be at least 1"),
        "{output}"
    );
    Ok(())
}
