//! Entries that are replaced, stopped or killed while callers use them.

mod support;

use std::net::SocketAddr;

use berylgw_testkit::client::Client;
use berylgw_testkit::cluster::{Cluster, Extra, Member};
use berylgw_testkit::control;
use berylgw_testkit::platform::Calls;
use berylgw_testkit::service::Stats;
use berylgw_testkit::version::{Probe, probes};
use nix::sys::signal::Signal;
use serde_json::json;
use support::callers::{Callers, Kind, Seen};
use support::{INTERVAL, TOKEN};

/// Lifetime of directory answers in these tests; the default would make each
/// stop take 10 s.
const SHORT: &str = "limits: {directory_ms: 1500}\n";

const ALL: [Kind; 3] = [Kind::Stream, Kind::Plain, Kind::Keyed];

/// Polls of a directory or host list within which a change must appear.
const MAX_POLLS: u32 = 1_500;

/// Callers of each kind.
const CALLERS: usize = 3;

/// Three entries, and two servers each of a plain and of a model service.
async fn start(entry: &str) -> Cluster {
    let model = [
        "service,draft,r,,,,,model,ignored,,,,,,,,",
        "server,m1,,a,draft,127.9.9.9:1006,,,,,,16,16,,,,",
        "server,m2,,b,draft,127.9.9.9:1007,,,,,,16,16,,,,",
        "grant,works,,,draft,,,,,,,,,,,,",
        "",
    ];
    let sheet = support::sheet() + &model.join("\n");
    let extra = Extra {
        engine: ["--step-ms", "10", "--capacity", "100"]
            .map(str::to_owned)
            .to_vec(),
        entry: entry.to_owned(),
        ..Extra::default()
    };
    let cluster = Cluster::start(&sheet, &extra).await.unwrap();
    for probe in &mut probes(&cluster).await.unwrap() {
        probe.reached(1, INTERVAL).await.unwrap();
    }
    for entry in &cluster.entries {
        serves(&cluster, entry).await;
    }
    cluster
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.address).collect()
}

/// Waits until an entry answers callers and every other one lists it.
async fn serves(cluster: &Cluster, entry: &Member) {
    for asked in &cluster.entries {
        lists(asked.address, entry.address, true).await;
    }
    let client = Client::new(entry.address, TOKEN);
    while client.chat("draft", "ready", 1).await.is_err() {
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Waits until the directory of one entry lists another one, or does not.
async fn lists(asked: SocketAddr, wanted: SocketAddr, is_listed: bool) {
    let client = Client::new(asked, TOKEN);
    for _ in 0..MAX_POLLS {
        if let Ok(directory) = client.directory("a").await {
            let mut listed = directory.addresses.iter();
            if listed.any(|entry| entry.address == wanted) == is_listed {
                return;
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
    panic!("{asked}: {wanted} does not become {is_listed}");
}

fn assert_uncut(seen: &Seen) {
    println!("answered {}, refused {:?}", seen.answered, seen.refused);
    assert_eq!(seen.broken, Vec::<String>::new(), "cut requests");
    assert_eq!(seen.dead, Vec::<SocketAddr>::new(), "dead addresses");
    assert!(seen.answered > 0);
}

/// Guards against a stopping entry that exits while callers may still hold its
/// address, or that aborts its requests.
#[tokio::test]
async fn entries_rolled() {
    let mut cluster = start(SHORT).await;
    let callers = Callers::start(&addresses(&cluster), &ALL, CALLERS);
    for index in 0..cluster.entries.len() {
        cluster.entries[index].replace().await.unwrap();
        serves(&cluster, &cluster.entries[index]).await;
    }
    assert_uncut(&callers.finish().await);
}

/// Guards against a leaving process that excludes its successor, which has the
/// same name at another address, and against callers left on the old address.
#[tokio::test]
async fn entries_moved() {
    let mut cluster = start(SHORT).await;
    let callers = Callers::start(&addresses(&cluster), &ALL, CALLERS);
    for index in 0..cluster.entries.len() {
        let new = cluster.entries[index].twin().await.unwrap();
        let mut old = std::mem::replace(&mut cluster.entries[index], new);
        cluster.readdress().await.unwrap();
        assert!(old.process.stop().await.unwrap().success());
        serves(&cluster, &cluster.entries[index]).await;
    }
    assert_uncut(&callers.finish().await);
}

/// Guards against a stop that other entries learn of only from the host list.
#[tokio::test]
async fn entry_stopped_in_outage() {
    let mut cluster = start(SHORT).await;
    let platform = &cluster.platform_fake.control;
    platform.fault(json!({"outage": true})).await.unwrap();
    let first = addresses(&cluster);
    let callers = Callers::start(&first, &[Kind::Stream, Kind::Plain], CALLERS);
    let stopped = cluster.entries[0].process.stop().await.unwrap();
    assert!(stopped.success());
    for asked in &first[1..] {
        lists(*asked, first[0], false).await;
    }
    assert_uncut(&callers.finish().await);
}

/// Guards against a killed entry that stays in the directory.
#[tokio::test]
async fn entry_killed() {
    let cluster = start("").await;
    let all = addresses(&cluster);
    let client = Client::new(all[1], TOKEN);
    let lifetime = client.directory("a").await.unwrap().lifetime_ms;
    cluster.entries[0].process.signal(Signal::SIGKILL).unwrap();
    // Answers given before the kill stay valid for their lifetime.
    tokio::time::sleep(std::time::Duration::from_millis(lifetime)).await;
    for asked in &all[1..] {
        let client = Client::new(*asked, TOKEN);
        let directory = client.directory("a").await.unwrap();
        let listed: Vec<SocketAddr> = directory
            .addresses
            .iter()
            .map(|entry| entry.address)
            .collect();
        assert!(!listed.contains(&all[0]), "{asked} lists the dead entry");
        assert_eq!(listed.len(), 2);
    }
}

/// Guards against a restarted entry that stays out of the directory.
#[tokio::test]
async fn entry_killed_returns() {
    let mut cluster = start(SHORT).await;
    let all = addresses(&cluster);
    cluster.entries[0].process.signal(Signal::SIGKILL).unwrap();
    for asked in &all[1..] {
        lists(*asked, all[0], false).await;
    }
    cluster.entries[0].restart().await.unwrap();
    for asked in &all {
        lists(*asked, all[0], true).await;
    }
}

/// Guards against a paused entry that stays in the directory, and against one
/// that stays out of it after it has resumed.
#[tokio::test]
async fn entry_paused() {
    let cluster = start(SHORT).await;
    let all = addresses(&cluster);
    let paused = &cluster.entries[0].process;
    paused.signal(Signal::SIGSTOP).unwrap();
    for asked in &all[1..] {
        lists(*asked, all[0], false).await;
    }
    paused.signal(Signal::SIGCONT).unwrap();
    for asked in &all {
        lists(*asked, all[0], true).await;
    }
}

/// Pauses `old`, whose name another process has, and resumes it once all
/// processes have the sheet with the new address.
async fn resume_replaced(cluster: &Cluster, old: &Member) {
    old.process.signal(Signal::SIGSTOP).unwrap();
    cluster.readdress().await.unwrap();
    for member in cluster.entries.iter().chain(&cluster.agents) {
        let mut probe = Probe::of(member).await.unwrap();
        probe.reached(2, INTERVAL).await.unwrap();
    }
    old.process.signal(Signal::SIGCONT).unwrap();
}

/// Guards against a replaced entry that was presumed dead and keeps running
/// beside its successor.
#[tokio::test]
async fn entry_woken() {
    let mut cluster = start(SHORT).await;
    let new = cluster.entries[0].twin().await.unwrap();
    let mut old = std::mem::replace(&mut cluster.entries[0], new);
    resume_replaced(&cluster, &old).await;
    assert!(old.process.wait().await.unwrap().success());
    for asked in addresses(&cluster) {
        lists(asked, cluster.entries[0].address, true).await;
        lists(asked, old.address, false).await;
    }
}

/// Guards against a replaced agent that was presumed dead and keeps running
/// beside its successor, or aborts its requests when it leaves.
#[tokio::test]
async fn agent_woken() {
    let mut cluster = start(SHORT).await;
    let fault = json!({"slow_ms": 4_000});
    let service = cluster.fake("app").unwrap().control.clone();
    service.fault(fault).await.unwrap();
    let client = Client::new(cluster.entries[0].address, TOKEN);
    let running = tokio::spawn(async move {
        let call = support::booking("running");
        client.call::<serde_json::Value>(call).await
    });
    let holder = loop {
        let servers: Vec<Stats> = service.get("/servers").await.unwrap();
        let holder = servers.iter().position(|stats| stats.in_flight > 0);
        if let Some(holder) = holder {
            break holder;
        }
        tokio::time::sleep(INTERVAL).await;
    };
    let new = cluster.agents[holder].twin().await.unwrap();
    let mut old = std::mem::replace(&mut cluster.agents[holder], new);
    resume_replaced(&cluster, &old).await;
    assert!(old.process.wait().await.unwrap().success());
    if let Err(error) = running.await.unwrap() {
        // The entry may time out on the silent connection.
        assert!(error.refusal().is_some(), "{error}");
    }
    service.fault(json!({"slow_ms": 0})).await.unwrap();
    let client = Client::new(cluster.entries[0].address, TOKEN);
    for _ in 0..16 {
        let call = support::booking("new");
        client.call::<serde_json::Value>(call).await.unwrap();
    }
}

/// Returns the number of registrations in the host list so far.
async fn registrations(cluster: &Cluster) -> u64 {
    let calls: Vec<Calls> = cluster.platform_fake.control.get("/calls").await.unwrap();
    let mut calls = calls.iter();
    let puts = calls.find(|calls| calls.verb == "put" && calls.kind == "hosts");
    puts.map_or(0, |puts| puts.count)
}

/// Guards against a second process, started by mistake with the name of an
/// entry, that displaces it or takes it out of the host list when it stops.
#[tokio::test]
async fn entry_twin_by_mistake() {
    let cluster = start(SHORT).await;
    let host = &cluster.entries[0];
    let before = registrations(&cluster).await;
    let mut twin = host.twin().await.unwrap();
    let platform = control::Client::new(cluster.platform);
    // The twin registers at its start, and the host again when it sees that.
    for address in [twin.address, host.address] {
        for poll in 0.. {
            assert!(poll < MAX_POLLS, "{address} is not in the host list");
            let list: serde_json::Value = platform.get("/v1/hosts").await.unwrap();
            let mut hosts = list["hosts"].as_array().unwrap().iter();
            let own = hosts.find(|entry| entry["name"] == "e1").unwrap();
            assert_eq!(own["state"], "live");
            let both = registrations(&cluster).await >= before + 2;
            if own["address"] == address.to_string() || (address == twin.address && both) {
                break;
            }
            tokio::time::sleep(INTERVAL).await;
        }
        if address == twin.address {
            assert!(twin.process.stop().await.unwrap().success());
        }
    }
    for asked in addresses(&cluster) {
        lists(asked, host.address, true).await;
        lists(asked, twin.address, false).await;
    }
}
