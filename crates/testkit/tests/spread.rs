//! Propagation of the configuration to real processes that fail or are
//! partitioned.

mod support;

use berylgw_testkit::client;
use berylgw_testkit::cluster::Cluster;
use berylgw_testkit::launch;
use berylgw_testkit::service::Stats;
use berylgw_testkit::version::{Probe, probes};
use berylgw_wire as wire;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    INTERVAL, accepted, all_reach, apply, booking, caller, cut_peers, cut_platform, entry, operate,
    start, weighted,
};
use tokio_stream::StreamExt;

/// Dispatches a request with configuration version `version` to the first agent;
/// returns its refusal.
async fn refusal(cluster: &Cluster, version: u64) -> wire::Refusal {
    let address = cluster.agents[0].direct().await.unwrap();
    let client = wire::agent_client::AgentClient::connect(format!("http://{address}")).await;
    let request = wire::DispatchRequest {
        sender: Some(wire::Sender {
            name: "e1".to_owned(),
            incarnation: 1,
            config_version: version,
        }),
        request_id: "stale".to_owned(),
        attempt: 1,
        account: "works".to_owned(),
        service: "app".to_owned(),
        method: "GET".to_owned(),
        path: "/stock/crate".to_owned(),
        timeout_ms: 5_000,
        ..Default::default()
    };
    let mut frames = client
        .unwrap()
        .dispatch(request)
        .await
        .unwrap()
        .into_inner();
    loop {
        let frame = frames.next().await.unwrap().unwrap();
        match frame.kind.unwrap() {
            wire::answer_frame::Kind::Heartbeat(_) => {}
            wire::answer_frame::Kind::Refusal(refusal) => return refusal,
            other => panic!("the agent ran work of version {version}: {other:?}"),
        }
    }
}

async fn assert_refused(cluster: &Cluster, version: u64) {
    let refusal = refusal(cluster, version).await;
    assert_eq!(refusal.reason, "stale_config");
    assert_eq!(refusal.outcome(), wire::Outcome::NotRun);
}

/// Guards against an entry that receives no configuration from its peers while
/// the platform is unreachable.
#[tokio::test]
async fn entry_cut_from_platform() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    cut_platform(entry(&cluster, "e1"), true).await;
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes, version).await;
    caller(entry(&cluster, "e1"))
        .call::<Value>(booking("b"))
        .await
        .unwrap();
}

/// Guards against entries that depend on each other, and agents that keep
/// following entries they can no longer reach.
#[tokio::test]
async fn entries_cut_from_peers() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    for entry in &cluster.entries {
        cut_peers(entry, true).await;
    }
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes, version).await;
}

/// Guards against an entry without platform and peers that makes agents act on
/// its old version, or that does not learn the new one from them.
#[tokio::test]
async fn entry_cut_from_platform_and_peers() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    let old = probes[0].version().await.unwrap().unwrap();
    for entry in &cluster.entries {
        cut_peers(entry, true).await;
    }
    cut_platform(entry(&cluster, "e1"), true).await;
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes[1..], version).await;
    assert_refused(&cluster, old).await;
    all_reach(&mut probes, version).await;
}

/// Guards against an entry that starts with the old version of a peer and
/// spreads it, and against a version that only the platform can bring.
#[tokio::test]
async fn entry_started_in_outage() {
    let mut cluster = start(true).await;
    let mut probes = probes(&cluster).await.unwrap();
    let old = probes[0].version().await.unwrap().unwrap();
    // Only e1 and the agents learn the change; e2 keeps the old version.
    for agent in &cluster.agents {
        let proxy = agent.proxy.as_ref().unwrap();
        proxy.control.fault(json!({"cut": true})).await.unwrap();
    }
    cut_peers(entry(&cluster, "e1"), true).await;
    cut_platform(entry(&cluster, "e2"), true).await;
    assert!(cluster.entries[2].process.stop().await.unwrap().success());
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes[..1], version).await;
    all_reach(&mut probes[3..], version).await;
    let outage = json!({"outage": true});
    cluster.platform_fake.control.fault(outage).await.unwrap();
    let settings = cluster.entries[2].settings.clone();
    let late = launch::start(
        "berylgw-entry",
        [std::path::Path::new("--settings"), &settings],
    );
    let late = late.unwrap();
    let mut late = Probe::new("late", late.address("peers").await.unwrap())
        .map(|probe| (probe, late))
        .unwrap();
    late.0.reached(old, INTERVAL).await.unwrap();
    assert_eq!(late.0.version().await.unwrap(), Some(old));
    assert_refused(&cluster, old).await;
    cut_peers(entry(&cluster, "e1"), false).await;
    late.0.reached(version, INTERVAL).await.unwrap();
    probes[1].reached(version, INTERVAL).await.unwrap();
    all_reach(&mut probes[3..], version).await;
}

/// Guards against an update that is reported as lost, or made twice, when its
/// answer is lost after it took effect.
#[tokio::test]
async fn update_answer_lost() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    let control = &cluster.platform_fake.control;
    control.fault(json!({"lose_answers": 1})).await.unwrap();
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes, version).await;
    let platform = berylgw_testkit::control::Client::new(cluster.platform);
    let object: Value = platform.get("/v1/objects/config/sheet").await.unwrap();
    assert_eq!(object["version"], version);
}

/// Guards against requests of a paused entry that reach a failure domain taken
/// out of service in the meantime.
#[tokio::test]
async fn paused_entry_wakes() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    let old = probes[0].version().await.unwrap().unwrap();
    let paused = entry(&cluster, "e1");
    paused.process.signal(Signal::SIGSTOP).unwrap();
    let version = accepted(&cluster, &["domain", "out", "a"]).await;
    all_reach(&mut probes[1..], version).await;
    // Neither the platform nor a peer tells the entry about the change.
    cut_platform(paused, true).await;
    for entry in &cluster.entries {
        cut_peers(entry, true).await;
    }
    let client = caller(paused);
    let ids: Vec<String> = (0..16).map(|index| format!("b{index}")).collect();
    let calls = join_all(ids.iter().map(|id| client.call::<Value>(booking(id))));
    let wake = async { paused.process.signal(Signal::SIGCONT).unwrap() };
    let (answers, ()) = tokio::join!(calls, wake);
    for answer in answers {
        if let Err(error) = answer {
            assert!(error.refusal().is_some(), "{error}");
        }
    }
    assert_refused(&cluster, old).await;
    all_reach(&mut probes, version).await;
    let servers: Vec<Stats> = cluster
        .fake("app")
        .unwrap()
        .control
        .get("/servers")
        .await
        .unwrap();
    assert_eq!(servers[0].highest_in_flight, 0);
    client.call::<Value>(booking("after")).await.unwrap();
}

/// Guards against a watch that stops without closing and is never replaced.
#[tokio::test]
async fn silent_watches() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    let control = &cluster.platform_fake.control;
    control
        .fault(json!({"silent_watches": true}))
        .await
        .unwrap();
    let version = apply(&cluster, 2).await;
    control
        .fault(json!({"silent_watches": false}))
        .await
        .unwrap();
    all_reach(&mut probes, version).await;
}

/// Guards against two concurrent updates that are both reported as applied, and
/// against a rejected one that does not report what changed.
#[tokio::test]
async fn operators_racing() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    let based_on = probes[0].version().await.unwrap().unwrap().to_string();
    let sheets = [weighted(&cluster, 2), weighted(&cluster, 3)];
    let [first, second] = sheets.each_ref().map(|sheet| {
        let sheet = sheet.to_str().unwrap();
        ["apply", sheet, "--if-version", &based_on]
    });
    let (first, second) = tokio::join!(operate(&cluster, &first), operate(&cluster, &second));
    let (won, lost) = if first.0 == 0 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((won.0, lost.0), (0, 3), "{} {}", won.1, lost.1);
    let version = won.1["version"].as_u64().unwrap();
    let told = lost.1.to_string();
    assert!(told.contains("works") && told.contains("weight"), "{told}");
    assert!(told.contains(&format!("version {version}")), "{told}");
    all_reach(&mut probes, version).await;
    let refused: Result<Value, client::Error> =
        caller(entry(&cluster, "e1")).call(booking("b")).await;
    refused.unwrap();
}
