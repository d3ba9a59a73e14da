//! Poison requests: each crashes the backend server that runs it.

use berylgw_core::outcome::Reason;
use berylgw_testkit::answer;
use berylgw_testkit::client::Client;
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::load::Plan;
use berylgw_testkit::load::sheet::{MODEL, token};
use berylgw_testkit::load::usage::metric;
use tokio::task::JoinSet;

const MARKER: &str = "crash-the-engine";
const TOKENS: u32 = 40;
const OTHER_REQUESTS: usize = 12;

/// Maximum number of servers that one request may crash.
const MAX_CRASHED_SERVERS: f64 = 2.0;

async fn cluster() -> Cluster {
    let plan = Plan {
        entries: 2,
        models: 4,
        ..Plan::default()
    };
    let extra = Extra {
        engine: [
            "--step-ms",
            "10",
            "--capacity",
            "1000",
            "--restart-ms",
            "200",
            "--crash-marker",
            MARKER,
        ]
        .map(str::to_owned)
        .to_vec(),
        ..Extra::default()
    };
    Cluster::start(&plan.render(), &extra).await.unwrap()
}

async fn value(address: std::net::SocketAddr, name: &str) -> f64 {
    let values = metric(address, name).await.unwrap_or_default();
    values.iter().map(|(_, value)| value).sum()
}

async fn crashes(cluster: &Cluster) -> f64 {
    let mut sum = 0.0;
    for agent in &cluster.agents {
        let address = agent.process.address("metrics").await.unwrap();
        sum += value(address, "berylgw_agent_server_crashes").await;
    }
    sum
}

/// Guards against a poison request that crashes more than two servers when its
/// caller repeats it at every entry, and against other requests that fail with
/// it.
#[tokio::test]
async fn poison_sent_to_every_entry() {
    let mut cluster = cluster().await;
    let clients: Vec<Client> = cluster
        .entries
        .iter()
        .map(|entry| Client::new(entry.address, token(0)))
        .collect();
    while clients[0].chat(MODEL, "ready", 1).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let mut others = JoinSet::new();
    for index in 0..OTHER_REQUESTS {
        let client = clients[index % clients.len()].clone();
        others.spawn(async move {
            let prompt = format!("innocent {index}");
            loop {
                match client.chat(MODEL, &prompt, TOKENS).await {
                    Ok(whole) => {
                        assert_eq!(whole.text, answer::text(&prompt, TOKENS as usize));
                        return;
                    }
                    Err(error) => {
                        let refusal = error.refusal().expect("a refusal").clone();
                        assert_ne!(refusal.reason, Reason::Quarantined, "{prompt}");
                        tokio::time::sleep(refusal.retry_after).await;
                    }
                }
            }
        });
    }
    let poison = format!("{MARKER} now");
    for client in &clients {
        for _ in 0..3 {
            let error = client.chat(MODEL, &poison, TOKENS).await.unwrap_err();
            assert!(error.refusal().is_some(), "{error}");
        }
    }
    while let Some(ended) = others.join_next().await {
        ended.unwrap();
    }
    let crashed = crashes(&cluster).await;
    assert!(
        (1.0..=MAX_CRASHED_SERVERS).contains(&crashed),
        "{crashed} servers crashed"
    );
    cluster.stop().await.unwrap();
}
