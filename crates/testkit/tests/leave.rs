//! Graceful shutdown of entries and agents that hold work.

mod support;

use std::time::Duration;

use berylgw_testkit::cluster::Cluster;
use berylgw_testkit::control;
use berylgw_testkit::service::Stats;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{INTERVAL, booking, caller, cut_platform, start};

/// Time within which an entry must know of a leaving host: the stated target plus
/// the delay of the host list of the fake platform.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Batches of calls within which the host list must take effect.
const BATCHES: u32 = 100;

async fn servers(cluster: &Cluster) -> Vec<Stats> {
    let service = cluster.fake("app").unwrap();
    service.control.get("/servers").await.unwrap()
}

async fn slow(cluster: &Cluster, slow_ms: u64) {
    let service = cluster.fake("app").unwrap();
    let fault = json!({"slow_ms": slow_ms});
    service.control.fault(fault).await.unwrap();
}

/// Guards against a stopping agent that aborts its requests, does not exit or
/// makes requests of callers fail.
#[tokio::test]
async fn agent_stopped_with_work() {
    let mut cluster = start(false).await;
    slow(&cluster, 2_000).await;
    let client = caller(&cluster.entries[0]);
    let running = (0..8).map(|_| client.call::<Value>(booking("running")));
    let leave = async {
        while servers(&cluster).await[0].in_flight == 0 {
            tokio::time::sleep(INTERVAL).await;
        }
        let agent = &cluster.agents[0].process;
        agent.signal(Signal::SIGTERM).unwrap();
        agent
            .line(|line| line["message"] == "leaving")
            .await
            .unwrap();
    };
    let (running, ()) = tokio::join!(join_all(running), leave);
    for answer in running {
        // A request that was still queued may be refused but not aborted.
        if let Err(error) = answer {
            assert!(error.refusal().is_some(), "{error}");
        }
    }
    assert!(cluster.agents[0].process.wait().await.unwrap().success());
    slow(&cluster, 0).await;
    let before = servers(&cluster).await[0].highest_in_flight;
    for _ in 0..16 {
        client.call::<Value>(booking("new")).await.unwrap();
    }
    let after = &servers(&cluster).await[0];
    assert_eq!((after.in_flight, after.highest_in_flight), (0, before));
}

/// Guards against a stopping entry that aborts a request, and against a directory
/// that continues to list it.
#[tokio::test]
async fn entry_stopped_with_work() {
    let mut cluster = start(false).await;
    slow(&cluster, 2_000).await;
    let leaving = cluster.entries[0].address;
    let client = caller(&cluster.entries[0]);
    let stop = async {
        while servers(&cluster)
            .await
            .iter()
            .all(|stats| stats.in_flight == 0)
        {
            tokio::time::sleep(INTERVAL).await;
        }
        cluster.entries[0].process.signal(Signal::SIGTERM).unwrap();
    };
    let (answer, ()) = tokio::join!(client.call::<Value>(booking("running")), stop);
    answer.unwrap();
    assert!(cluster.entries[0].process.wait().await.unwrap().success());
    let other = caller(&cluster.entries[1]);
    loop {
        let directory = other.directory("a").await.unwrap();
        let mut addresses = directory.addresses.iter();
        if addresses.all(|address| address.address != leaving) {
            assert_eq!(directory.addresses.len(), 2);
            break;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Guards against new requests to a backend server whose host is leaving
/// according to the host list while its agent is unaware of it.
#[tokio::test]
async fn server_leaving_in_host_list() {
    let mut cluster = start(false).await;
    let platform = control::Client::new(cluster.platform);
    let agent = &cluster.agents[0];
    let host = json!({"address": agent.address, "domain": "a", "state": "leaving"});
    platform.put::<Value>("/v1/hosts/s1", &host).await.unwrap();
    // A failed request can also exclude the server for a short time, so the
    // batches alone do not show when the list takes effect.
    let leaves = |line: &Value| {
        let leaving = line["leaving"].as_str().unwrap_or_default();
        line["message"] == "excluded hosts changed" && leaving.contains("s1")
    };
    let process = &mut cluster.entries[0].process;
    let known = tokio::time::timeout(KNOWN_WITHIN, process.line(leaves));
    known.await.expect("the host list has no effect").unwrap();
    slow(&cluster, 200).await;
    let client = caller(&cluster.entries[0]);
    for _ in 0..10 {
        let calls = (0..4).map(|_| client.call::<Value>(booking("new")));
        let poll = async {
            loop {
                let servers = servers(&cluster).await;
                assert_eq!(servers[0].in_flight, 0, "the server got new work");
                if servers[1].in_flight == 4 {
                    return;
                }
                tokio::time::sleep(INTERVAL).await;
            }
        };
        let (answers, ()) = tokio::join!(join_all(calls), poll);
        for answer in answers {
            answer.unwrap();
        }
    }
    assert_eq!(servers(&cluster).await[0].highest_in_flight, 0);
}

/// Guards against an entry that learns of a leaving server only from its own
/// reads of the host list, and so not while it cannot reach the platform.
#[tokio::test]
async fn server_leaving_told() {
    let cluster = start(false).await;
    let first = &cluster.entries[0];
    cut_platform(first, true).await;
    let platform = control::Client::new(cluster.platform);
    let agent = &cluster.agents[0];
    let host = json!({"address": agent.address, "domain": "a", "state": "leaving"});
    platform.put::<Value>("/v1/hosts/s1", &host).await.unwrap();
    slow(&cluster, 200).await;
    let client = caller(first);
    for _ in 0..BATCHES {
        let calls = (0..4).map(|_| client.call::<Value>(booking("new")));
        let poll = async {
            loop {
                let servers = servers(&cluster).await;
                if servers[0].in_flight > 0 {
                    return false;
                }
                if servers[1].in_flight == 4 {
                    return true;
                }
                tokio::time::sleep(INTERVAL).await;
            }
        };
        let (answers, is_avoided) = tokio::join!(join_all(calls), poll);
        assert!(answers.iter().all(Result::is_ok));
        if is_avoided {
            return;
        }
    }
    panic!("the host list has no effect");
}
