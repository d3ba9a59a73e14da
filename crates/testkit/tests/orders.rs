//! Orders to a fake rank group through real agents.

use std::sync::Arc;

use berylgw_core::expert::{Layout, Load, Map, greedy};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::control;
use berylgw_testkit::engine::Steps;
use berylgw_wire as wire;
use serde_json::{Value, json};
use wire::engine_client::EngineClient;

const RANKS: usize = 2;
const EXPERTS: u16 = 8;
const SLOTS: u16 = 5;

struct System {
    cluster: Cluster,
}

fn sheet(fencing: &str) -> String {
    let mut rows = vec![
        "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,limit,\
         cold_limit,weight,rate,concurrency,token_sha256"
            .to_owned(),
        "domain,shed,qld,,,,,,,,,,,,,,".to_owned(),
        "entry,e1,,shed,,127.0.0.1:1,127.0.0.1:2,,,,,,,,,,".to_owned(),
        format!("service,llm,qld,,,,,model,{fencing},,,,,,,,"),
    ];
    for rank in 0..RANKS {
        let port = 10 + rank;
        rows.push(format!(
            "server,llm-{rank},,shed,llm,127.0.0.1:{port},,,,g,{rank},16,2,,,,"
        ));
    }
    rows.join("\n") + "\n"
}

fn placement() -> Arc<Map> {
    let layout = Layout::new(RANKS as u16, EXPERTS, SLOTS).unwrap();
    Arc::new(greedy::place(layout, &Load::new(vec![1.0; EXPERTS.into()])))
}

impl System {
    async fn start(fencing: &str, engine: &[&str]) -> System {
        let (experts, slots) = (EXPERTS.to_string(), SLOTS.to_string());
        let fixed = [
            "--step-ms",
            "1",
            "--experts",
            &experts,
            "--expert-slots",
            &slots,
        ];
        let args = fixed.iter().chain(engine);
        let extra = Extra {
            engine: args.map(|arg| (*arg).to_owned()).collect(),
            agent: "orders: {longest_ms: 300, poll_ms: 5}\n".to_owned(),
            ..Extra::default()
        };
        let cluster = Cluster::start(&sheet(fencing), &extra).await.unwrap();
        let system = System { cluster };
        for rank in 0..RANKS {
            system.configured(rank).await;
        }
        system
    }

    /// Waits until the agent of a rank has the sheet.
    async fn configured(&self, rank: usize) {
        let address = self.cluster.agents[rank].address;
        let url = format!("http://{address}");
        let mut client = wire::agent_client::AgentClient::connect(url).await.unwrap();
        loop {
            let reply = client.probe(wire::ProbeRequest::default()).await.unwrap();
            if reply.into_inner().sender.unwrap().config_version > 0 {
                return;
            }
        }
    }

    async fn client(&self, rank: usize) -> EngineClient<tonic::transport::Channel> {
        let address = self.cluster.agents[rank].address;
        EngineClient::connect(format!("http://{address}"))
            .await
            .unwrap()
    }

    async fn order(&self, rank: usize, token: u64, sequence: u64, action: Value) -> Option<String> {
        let mut body = action;
        body["object_version"] = 1.into();
        let request = wire::OrderRequest {
            sender: Some(wire::Sender {
                name: "e1".to_owned(),
                incarnation: 1,
                config_version: u64::MAX,
            }),
            id: format!("{token}.{sequence}"),
            role: "group/g".to_owned(),
            token,
            order: body.to_string().into(),
        };
        let reply = self.client(rank).await.order(request).await.unwrap();
        let reply = reply.into_inner();
        assert_eq!(reply.done, reply.refusal.is_none());
        reply.refusal.map(|refusal| refusal.reason)
    }

    async fn rank(&self, rank: usize) -> wire::RankReply {
        let request = wire::RankRequest::default();
        let reply = self.client(rank).await.rank(request).await.unwrap();
        reply.into_inner()
    }

    fn engine(&self, rank: usize) -> control::Client {
        let fake = self.cluster.fake("g").unwrap();
        control::Client::new(fake.servers[rank].1)
    }
}

fn load(map: u64) -> Value {
    json!({"action": "load_map", "map": map, "placement": placement()})
}

/// Guards against a map switch that is confirmed before the engine has completed
/// it, and against a report that does not show it.
#[tokio::test]
async fn order_map_switch() {
    let system = System::start("enforced", &["--map-load-ms", "50"]).await;
    for rank in 0..RANKS {
        assert_eq!(system.order(rank, 1, 1, load(1)).await, None);
        assert_eq!(system.rank(rank).await.loaded, [0, 1]);
    }
    let stamp = json!({"action": "stamp_map", "map": 1});
    assert_eq!(system.order(0, 1, 2, stamp).await, None);
    while system.rank(0).await.begun != 1 {}
    let unload = json!({"action": "unload_map", "map": 0});
    // The step in progress may still use the old map, and ends soon.
    let mut sequence = 3;
    while system.order(1, 1, sequence, unload.clone()).await.is_some() {
        sequence += 1;
    }
    assert_eq!(system.rank(1).await.loaded, [1]);
    let in_use = json!({"action": "unload_map", "map": 1});
    let refusal = system.order(0, 1, 9, in_use).await;
    assert_eq!(refusal.as_deref(), Some("server_failed"));
    let report = system.rank(0).await;
    assert_eq!(report.expert_tokens.len(), usize::from(EXPERTS));
    let steps: Steps = system.engine(0).get("/steps").await.unwrap();
    assert_eq!((steps.mixed, steps.switches), (0, 1));
}

/// Guards against orders of a former role holder, even after the agent that
/// received the newer token was killed, and even if the engine ignores tokens.
#[tokio::test]
async fn order_stale_token() {
    for (fencing, args) in [
        ("enforced", &[][..]),
        ("ignored", &["--ignore-fencing"][..]),
    ] {
        let mut system = System::start(fencing, args).await;
        assert_eq!(system.order(1, 7, 1, load(1)).await, None);
        let stale = system.order(1, 6, 1, load(2)).await;
        assert_eq!(stale.as_deref(), Some("stale_token"));
        system.cluster.agents[1].restart().await.unwrap();
        system.configured(1).await;
        while system.rank(1).await.refusal.is_some() {}
        let stale = system.order(1, 6, 2, load(2)).await;
        assert_eq!(stale.as_deref(), Some("stale_token"));
        // The current holder receives the outcome of its order.
        assert_eq!(system.order(1, 7, 1, load(1)).await, None);
        let orders: Value = system.engine(1).get("/orders").await.unwrap();
        assert_eq!(orders["orders"].as_array().unwrap().len(), 1, "{orders}");
        assert_eq!(
            (&orders["stale"], &orders["overlapping"]),
            (&json!(0), &json!(0))
        );
    }
}

/// Guards against orders from a sender that does not hold the group's role.
#[tokio::test]
async fn order_other_role() {
    let system = System::start("enforced", &[]).await;
    let request = wire::OrderRequest {
        sender: Some(wire::Sender {
            config_version: u64::MAX,
            ..Default::default()
        }),
        id: "1.1".to_owned(),
        role: "group/other".to_owned(),
        token: 1,
        order: json!({"object_version": 1, "action": "unload_map", "map": 0})
            .to_string()
            .into(),
    };
    let reply = system.client(0).await.order(request).await.unwrap();
    let refusal = reply.into_inner().refusal.unwrap();
    assert_eq!(refusal.reason, "invalid_request");
    assert_eq!(refusal.outcome, wire::Outcome::NotRun as i32);
}
