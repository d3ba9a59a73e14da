//! Direct entries as processes that share the permits of a model group.

use std::sync::Arc;
use std::time::Duration;

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Call, send};
use berylgw_testkit::direct::site::{Entry, Failure, configuration, register};
use berylgw_testkit::direct::store::Store;
use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::task::JoinSet;

type Result<T = ()> = std::result::Result<T, Failure>;

const ACCOUNTS: [&str; 2] = ["growers", "millers"];
const PATHS: [&str; 2] = ["/brief/1", "/notes/1"];

/// Requests of each account and path in one phase, one every 40 ms: more than the
/// servers' slots take, as each holds a slot for a second.
const ROUNDS: usize = 100;

/// Served requests by account and path.
type Served = [[usize; 2]; 2];

/// Sends requests of both accounts to entries that `choose` selects by account and round.
async fn load(
    entries: &Arc<Vec<std::net::SocketAddr>>,
    name: &str,
    choose: fn(usize, usize) -> usize,
) -> Result<Served> {
    let mut calls = JoinSet::new();
    for round in 0..ROUNDS {
        for account in 0..ACCOUNTS.len() {
            let path = round % PATHS.len();
            let call = Call {
                id: format!("{name}-{account}-{round}"),
                path: PATHS[path].to_owned(),
                key: Some(format!("key-of-{}", ACCOUNTS[account])),
                deadline_ms: 4_000,
            };
            let entry = entries[choose(account, round)];
            calls.spawn(async move {
                let answer = send(entry, &call).await;
                (account, path, answer.map(|answer| answer.status))
            });
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut served = Served::default();
    while let Some(call) = calls.join_next().await {
        let (account, path, status) = call?;
        match status? {
            StatusCode::OK => served[account][path] += 1,
            StatusCode::SERVICE_UNAVAILABLE => {}
            status => return Err(format!("status {status}").into()),
        }
    }
    Ok(served)
}

/// Guards against an account that loses its share, or gains one, while an entry that held
/// half of its load is paused, and against less urgent requests served before urgent ones
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn shares_while_entry_paused() -> Result {
    let store = Store::default();
    let mut config = configuration(3, &["key-of-growers"]);
    config["Routes"][1]["Priority"] = json!(0);
    config["Routes"][1]["TimeoutMs"] = json!(8_000);
    config["Tenants"] = json!([
        { "Name": "growers", "ApiKeys": ["key-of-growers"] },
        { "Name": "millers", "ApiKeys": ["key-of-millers"] },
    ]);
    store.put("config", "main", config);
    let reply = Reply::Events(20, Duration::from_millis(50));
    let first = Server::start("i-first", reply).await?;
    let second = Server::start("i-second", reply).await?;
    register(&store, "model", &[&first, &second]);
    let mut entries = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        let entry = Entry::start(&store, name, "shed").await?;
        entry.wait_for_view(&[("servers", json!(2))]).await?;
        entries.push(entry);
    }
    let told = [("entries", json!(3))];
    entries[1].wait_for_line("directory changed", &told).await?;
    let addresses = Arc::new(entries.iter().map(|entry| entry.callers).collect());
    let before = load(&addresses, "before", |account, round| match account {
        0 if round % 4 < 2 => 0,
        _ => 1 + round / 2 % 2,
    });
    let before = before.await?;
    entries[0].process.signal(Signal::SIGSTOP)?;
    let paused = load(&addresses, "paused", |_, round| 1 + round / 2 % 2).await;
    entries[0].process.signal(Signal::SIGCONT)?;
    let paused = paused?;
    println!("served by account and urgency: {before:?}, while paused {paused:?}");
    let of_account = |served: &Served, account: usize| served[account].iter().sum::<usize>();
    let (growers, millers) = (of_account(&paused, 0), of_account(&paused, 1));
    assert!(growers * 10 >= millers * 6, "{growers} and {millers}");
    assert!(millers * 10 >= growers * 6, "{growers} and {millers}");
    let of_path = |path: usize| paused[0][path] + paused[1][path];
    // Without shares, the order in the queue of each entry gives 1.2 times as many.
    assert!(of_path(0) * 2 > of_path(1) * 3, "{paused:?}");
    Ok(())
}
