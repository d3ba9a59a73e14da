//! Moves of the failure domain of the agent's server.

mod support;

use berylgw_core::failure::{State, Transition};
use berylgw_core::service::Kind;
use support::{last, request, system};

/// Guards against an agent that keeps its warm limit when its failure domain
/// goes out of service and back within one configuration update.
#[tokio::test]
async fn configure_domain_out_and_back() {
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
