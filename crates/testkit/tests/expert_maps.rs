//! Expert maps with real entries and agents and a fake rank group.

use std::time::Duration;

use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::control;
use berylgw_testkit::engine::Steps;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const RANKS: usize = 4;
const ENTRIES: usize = 3;

struct System {
    cluster: Cluster,
    platform: control::Client,
}

fn sheet() -> String {
    let mut rows = vec![
        "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,limit,\
         cold_limit,weight,rate,concurrency,token_sha256"
            .to_owned(),
        "domain,shed,qld,,,,,,,,,,,,,,".to_owned(),
        "service,llm,qld,,,,,model,ignored,,,,,,,,".to_owned(),
    ];
    for entry in 0..ENTRIES {
        let (port, peer) = (10 + entry, 20 + entry);
        rows.push(format!(
            "entry,e{entry},,shed,,127.0.0.1:{port},127.0.0.1:{peer},,,,,,,,,,"
        ));
    }
    for rank in 0..RANKS {
        let port = 30 + rank;
        rows.push(format!(
            "server,llm-{rank},,shed,llm,127.0.0.1:{port},,,,g,{rank},16,2,,,,"
        ));
    }
    rows.join("\n") + "\n"
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(10)).await;
}

impl System {
    async fn start(engine: &[&str]) -> System {
        let fixed = "--step-ms 1 --experts 16 --expert-slots 6 --drift 0.03 --map-load-ms 20 \
                     --restart-ms 50 --ignore-fencing";
        let args = fixed.split_whitespace().chain(engine.iter().copied());
        let extra = Extra {
            engine: args.map(str::to_owned).collect(),
            agent: "orders: {longest_ms: 100, poll_ms: 5}\n".to_owned(),
            entry: "groups: {experts: 16, slots: 6, expert_bytes: 1000, \
                             fetch_rate: 1000000000, term_ms: 1200, poll_ms: 20, read_ms: 500, \
                             decide_ms: 200, order_ms: 2000, smoothing: 0.5}\n"
                .to_owned(),
            ..Extra::default()
        };
        let cluster = Cluster::start(&sheet(), &extra).await.unwrap();
        let platform = control::Client::new(cluster.platform);
        System { cluster, platform }
    }

    fn engine(&self) -> control::Client {
        control::Client::new(self.cluster.fake("g").unwrap().servers[0].1)
    }

    async fn steps(&self) -> Steps {
        loop {
            // The first rank refuses connections while it restarts.
            if let Ok(steps) = self.engine().get("/steps").await {
                return steps;
            }
            pause().await;
        }
    }

    /// Waits for `steps` further steps and `switches` further switches.
    async fn advance(&self, steps: u64, switches: u64) {
        let before = self.steps().await;
        loop {
            let now = self.steps().await;
            if now.steps >= before.steps + steps && now.switches >= before.switches + switches {
                return;
            }
            pause().await;
        }
    }

    async fn fault(&self, fault: Value) {
        let control = &self.cluster.fake("g").unwrap().control;
        control.fault(fault).await.unwrap();
    }

    /// Returns the index of the entry that holds the lease of the group, and its
    /// fencing token.
    async fn holder(&self) -> (usize, u64) {
        loop {
            let lease: Value = match self.platform.get("/v1/objects/lease/group.g").await {
                Ok(lease) => lease,
                Err(_) => {
                    pause().await;
                    continue;
                }
            };
            let name = lease["value"]["holder"]["name"].as_str().unwrap();
            let entries = &self.cluster.entries;
            let index = entries.iter().position(|entry| *entry.name == *name);
            return (index.unwrap(), lease["value"]["token"].as_u64().unwrap());
        }
    }

    /// Waits until the lease has a newer token.
    async fn wait_for_takeover(&self, token: u64) {
        while self.holder().await.1 <= token {
            pause().await;
        }
    }

    /// Returns how often an entry has logged the end of its group controller.
    fn stops(&self, entry: usize) -> usize {
        let lines = self.cluster.entries[entry].process.recent();
        let stopped = |line: &&String| line.contains("group controller stopped");
        lines.iter().filter(stopped).count()
    }
}

/// Guards against steps that mix maps and against groups that stop switching,
/// while ranks stall and restart, controllers die or pause, agents restart and
/// the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn map_switches_with_faults() {
    let mut system = System::start(&[]).await;
    system.advance(500, 2).await;

    // A rank stalls in the middle of switching, and the first rank restarts.
    system.fault(json!({"rank": 1, "stall": true})).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.fault(json!({"rank": 1, "stall": false})).await;
    system.advance(200, 1).await;
    for rank in [3, 0] {
        system.fault(json!({"rank": rank, "crash": true})).await;
        system.advance(200, 1).await;
    }

    // The controller restarts.
    let (holder, token) = system.holder().await;
    system.cluster.entries[holder].restart().await.unwrap();
    system.wait_for_takeover(token).await;
    system.advance(200, 1).await;

    // The controller pauses past the expiry of its lease and resumes.
    let (holder, token) = system.holder().await;
    let paused = &system.cluster.entries[holder].process;
    paused.signal(Signal::SIGSTOP).unwrap();
    system.wait_for_takeover(token).await;
    system.advance(200, 1).await;
    paused.signal(Signal::SIGCONT).unwrap();
    system.advance(200, 1).await;

    // An agent restarts.
    system.cluster.agents[2].restart().await.unwrap();
    system.advance(200, 1).await;

    // In an outage the lease expires and steps continue with the map in use.
    let control = &system.cluster.platform_fake.control;
    let (holder, _) = system.holder().await;
    let stops = system.stops(holder);
    control.fault(json!({"outage": true})).await.unwrap();
    while system.stops(holder) == stops {
        pause().await;
    }
    // An order that was sent before may still complete.
    system.advance(200, 0).await;
    let before = system.steps().await;
    system.advance(1_000, 0).await;
    assert_eq!(system.steps().await.switches, before.switches);
    control.fault(json!({"outage": false})).await.unwrap();
    system.advance(200, 1).await;

    let steps = system.steps().await;
    println!(
        "map_switches_with_faults: {} steps, {} switches",
        steps.steps, steps.switches
    );
    assert_eq!(steps.mixed, 0);
    assert!(steps.steps >= 2_500, "{} steps", steps.steps);
    for rank in 0..RANKS {
        let address = system.cluster.fake("g").unwrap().servers[rank].1;
        let orders: Value = control::Client::new(address).get("/orders").await.unwrap();
        assert_eq!(orders["overlapping"], 0, "rank {rank}");
        assert_eq!(orders["stale"], 0, "rank {rank}");
    }
}

/// Guards against a count of mixed steps that never detects one.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_steps_counted() {
    let system = System::start(&["--unchecked-maps"]).await;
    system.advance(100, 1).await;
    while system.steps().await.mixed == 0 {
        system.fault(json!({"rank": 3, "crash": true})).await;
        system.advance(50, 0).await;
    }
}
