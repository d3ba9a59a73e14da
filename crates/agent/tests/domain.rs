//! Failure domain of the agent's server.

mod support;

use berylgw_core::failure::{State, Transition};
use berylgw_core::service::Kind;
use support::{last, request, system};

/// Guards against an agent that learns both moves of its failure domain at
/// once and keeps its warm limit.
#[tokio::test]
async fn back_missed_out() {
    let (entry, _backend, agent) = system(Kind::Plain, 4, 2).await;
    let mut warm = 0;
    while warm < 4 {
        let frames = agent.frames(request(1, "r", "text")).await;
        assert!(last(&frames).is_some());
        agent
            .probe_until(|reply| {
                warm = reply.load.unwrap().limit;
                true
            })
            .await;
    }
    let back = Transition {
        state: State::In,
        nonce: 1,
    };
    let back = serde_json::to_string(&back).unwrap();
    entry.publish(2, &[("domain.d", back)]);
    agent.at_version(2).await;
    agent
        .probe_until(|reply| {
            assert_eq!(reply.load.unwrap().limit, 2);
            true
        })
        .await;
}
