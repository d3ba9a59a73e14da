//! Detection of another process that has taken over this agent's name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::identity::{Identity, Role};
use berylgw_runtime::clock::Clock;
use berylgw_runtime::tls::{Connector, PeerCredentials};
use berylgw_wire as wire;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::control::{self, Published};

/// Time between two checks for another process of this name.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to the other process.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Version that excludes all objects from a reply: none is newer.
const NO_OBJECTS: u64 = u64::MAX;

/// Inputs of the check.
pub struct Inputs {
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Address of this agent.
    pub address: SocketAddr,
    /// Incarnation of this agent.
    pub incarnation: u64,
    /// The newest configuration.
    pub published: watch::Receiver<Arc<Published>>,
    /// Credentials for connections with other agents.
    pub peers: Option<Arc<PeerCredentials>>,
    /// The process clock.
    pub clock: Clock,
}

/// Returns once another process is the agent of this name.
pub async fn superseded(inputs: Inputs) {
    let mut identity = Identity::new(inputs.incarnation);
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changes = inputs.published.clone();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // A change is checked at once: the process may be paused before the
            // next tick.
            Ok(()) = changes.changed() => {}
        }
        let published = changes.borrow_and_update().clone();
        let Some(server) = published.snapshot.server(&inputs.name) else {
            continue;
        };
        if server.address == inputs.address {
            identity.confirm_host();
            continue;
        }
        let Some(incarnation) = fetch_incarnation(&inputs, server.address).await else {
            continue;
        };
        let role = identity.observe_answer(inputs.clock.now(), incarnation);
        if role == Role::Superseded {
            tracing::warn!(address = %server.address, "another process is the agent of this name");
            return;
        }
    }
}

/// Returns the incarnation of the process at `address`.
async fn fetch_incarnation(inputs: &Inputs, address: SocketAddr) -> Option<u64> {
    let name = inputs.name.clone();
    let expected = move |_| Some(name.clone());
    let connector = Connector::new(address, inputs.peers.clone(), Arc::new(expected));
    let call = async {
        let mut client = control::connect(address, connector).await.ok()?;
        let sender = wire::Sender {
            name: inputs.name.to_string(),
            incarnation: inputs.incarnation,
            config_version: 0,
        };
        let request = wire::PullRequest {
            sender: Some(sender),
            since: NO_OBJECTS,
            ..wire::PullRequest::default()
        };
        let reply = client.pull(request).await.ok()?.into_inner();
        reply.sender.map(|sender| sender.incarnation)
    };
    timeout(CALL_TIMEOUT, call).await.ok().flatten()
}
