//! Taking a failure domain out of service and back, with real processes.

mod support;

use berylgw_testkit::cluster::Cluster;
use berylgw_testkit::service::Stats;
use berylgw_testkit::version::probes;
use berylgw_wire as wire;
use futures_util::future::join_all;
use serde_json::{Value, json};
use support::{INTERVAL, accepted, all_reach, apply, booking, caller, start};

/// Warm and cold limit of a server in the test sheet.
const WARM_LIMIT: u32 = 16;
const COLD_LIMIT: u32 = 4;

async fn load(cluster: &Cluster, agent: usize) -> wire::Load {
    let address = cluster.agents[agent].direct().await.unwrap();
    let client = wire::agent_client::AgentClient::connect(format!("http://{address}")).await;
    let reply = client.unwrap().probe(wire::ProbeRequest::default()).await;
    reply.unwrap().into_inner().load.unwrap()
}

async fn servers(cluster: &Cluster) -> Vec<Stats> {
    let service = cluster.fake("app").unwrap();
    service.control.get("/servers").await.unwrap()
}

async fn set_slow(cluster: &Cluster, slow_ms: u64) {
    let service = cluster.fake("app").unwrap();
    let fault = json!({"slow_ms": slow_ms});
    service.control.fault(fault).await.unwrap();
}

/// Sends calls until the first server has its warm limit.
async fn warm_up(cluster: &Cluster) {
    let client = caller(&cluster.entries[0]);
    while load(cluster, 0).await.limit < WARM_LIMIT {
        let calls = (0..8).map(|_| client.call::<Value>(booking("warm")));
        join_all(calls).await;
    }
}

/// Guards against new requests in a failure domain that is out of service,
/// against a sheet that puts it back in service, and against interrupted requests
/// in flight.
#[tokio::test]
async fn domain_out() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    warm_up(&cluster).await;
    set_slow(&cluster, 3_000).await;
    let client = caller(&cluster.entries[0]);
    let running = (0..8).map(|_| client.call::<Value>(booking("running")));
    let move_out = async {
        while servers(&cluster).await[0].in_flight == 0 {
            tokio::time::sleep(INTERVAL).await;
        }
        let version = accepted(&cluster, &["domain", "out", "a"]).await;
        all_reach(&mut probes, version).await;
    };
    let (running, ()) = tokio::join!(join_all(running), move_out);
    for answer in running {
        // A queued request may be refused; none may be interrupted.
        if let Err(error) = answer {
            assert!(error.refusal().is_some(), "{error}");
        }
    }
    assert_eq!(servers(&cluster).await[0].in_flight, 0);
    // A sheet exported before the move does not put the domain back in service.
    let version = apply(&cluster, 2).await;
    all_reach(&mut probes, version).await;
    let new = (0..4).map(|_| client.call::<Value>(booking("new")));
    let arrived = async {
        while servers(&cluster).await[1].in_flight < 4 {
            tokio::time::sleep(INTERVAL).await;
        }
        assert_eq!(servers(&cluster).await[0].in_flight, 0);
    };
    let (new, ()) = tokio::join!(join_all(new), arrived);
    for answer in new {
        answer.unwrap();
    }
    assert!(load(&cluster, 0).await.draining);
}

/// Guards against a server that gets its warm limit as soon as its failure domain
/// is back in service, while its caches are empty.
#[tokio::test]
async fn domain_back_is_cold() {
    let cluster = start(false).await;
    let mut probes = probes(&cluster).await.unwrap();
    warm_up(&cluster).await;
    for state in ["out", "back"] {
        let version = accepted(&cluster, &["domain", state, "a"]).await;
        all_reach(&mut probes, version).await;
    }
    let returned = load(&cluster, 0).await;
    assert!(!returned.draining && returned.cold);
    assert_eq!(returned.limit, COLD_LIMIT);
    warm_up(&cluster).await;
}
