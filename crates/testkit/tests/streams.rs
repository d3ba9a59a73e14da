//! Streams whose connection to the agent fails, with real processes.

use berylgw_testkit::answer;
use berylgw_testkit::client::Client;
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::load::Plan;
use berylgw_testkit::load::sheet::{MODEL, token};
use berylgw_testkit::load::usage::metric;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const TOKENS: u32 = 60;
const ROUNDS: u64 = 6;

/// Agents of three whose connections fail at the same time.
const FAULTY: usize = 2;

/// Requests that fill the retry budget before a round.
const BUDGET_REQUESTS: u32 = 40;

async fn cluster() -> Cluster {
    let plan = Plan {
        models: 3,
        ..Plan::default()
    };
    let extra = Extra {
        engine: ["--step-ms", "10", "--capacity", "1000"]
            .map(str::to_owned)
            .to_vec(),
        entry: "limits: {progress_ms: 1000}\n".to_owned(),
        proxied: true,
        ..Extra::default()
    };
    Cluster::start(&plan.render(), &extra).await.unwrap()
}

/// Waits until the entry reaches a server.
async fn ready(client: &Client) {
    while client.chat(MODEL, "ready", 1).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

/// Fills the retry budget, which is a tenth of the requests.
async fn fill_retry_budget(client: &Client) {
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..BUDGET_REQUESTS {
        let client = client.clone();
        calls.spawn(async move { client.chat(MODEL, &format!("earn {index}"), 1).await });
    }
    while let Some(call) = calls.join_next().await {
        call.unwrap().unwrap();
    }
}

/// Reads a stream and injects `fault` at two of three proxies after a seeded
/// number of tokens, then clears it; the answer must be complete.
async fn stream_through_fault(cluster: &Cluster, fault: serde_json::Value, seed: u64) {
    let client = Client::new(cluster.entries[0].address, token(0));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for round in 0..ROUNDS {
        ready(&client).await;
        fill_retry_budget(&client).await;
        let prompt = format!("{fault} {round}");
        let after = rng.random_range(0..TOKENS - 10);
        let mut stream = client.stream(MODEL, &prompt, TOKENS).await.unwrap();
        let mut text = String::new();
        for _ in 0..after {
            text += &stream.next().await.unwrap().unwrap();
        }
        for agent in &cluster.agents[..FAULTY] {
            let proxy = agent.proxy.as_ref().unwrap();
            proxy.control.fault(fault.clone()).await.unwrap();
        }
        for agent in &cluster.agents[..FAULTY] {
            let proxy = agent.proxy.as_ref().unwrap();
            proxy.control.fault(json!({"clear": true})).await.unwrap();
        }
        while let Some(token) = stream
            .next()
            .await
            .unwrap_or_else(|error| panic!("{fault} after {after} tokens, round {round}: {error}"))
        {
            text += &token;
        }
        let expected = answer::text(&prompt, TOKENS as usize);
        assert_eq!(text, expected, "{fault} after {after} tokens");
    }
    // Without a lost connection the rounds would test nothing.
    let metrics = cluster.entries[0].process.address("metrics").await.unwrap();
    let retries = metric(metrics, "berylgw_retries_total").await.unwrap();
    let lost = retries
        .iter()
        .find(|(labels, _)| labels.contains("connection_lost"));
    assert!(lost.is_some_and(|(_, count)| *count >= 1.0), "{retries:?}");
}

/// Guards against a token lost or repeated when open connections freeze.
#[tokio::test]
async fn stream_frozen_connection_goes_on() {
    stream_through_fault(&cluster().await, json!({"freeze": true}), 1).await;
}

/// Guards against a token lost or repeated when connections are cut.
#[tokio::test]
async fn stream_cut_connection_goes_on() {
    stream_through_fault(&cluster().await, json!({"cut": true}), 2).await;
}
