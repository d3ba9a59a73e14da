//! Probes of backend servers.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::route::ServerKey;
use berylgw_wire as wire;

use crate::attempt;
use crate::shared::Shared;
use crate::suspects;

const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum probes per interval, over all services.
const PROBES_PER_INTERVAL: usize = 16;

/// Probes a few servers of each service in use once per interval.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let count = shared.settings.limits.probes;
        let mut table = shared.table();
        let targets = table.probe_targets(count, PROBES_PER_INTERVAL, &mut *shared.rng());
        drop(table);
        for key in targets {
            tokio::spawn(probe(shared.clone(), key));
        }
    }
}

async fn probe(shared: Arc<Shared>, key: ServerKey) {
    let found = shared.table().server(key).map(|(_, address)| address);
    let Some(address) = found else { return };
    shared.metrics.probes.inc();
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let mut client = wire::agent_client::AgentClient::new(channel);
        let sender = Some(shared.sender());
        let reply = client.probe(wire::ProbeRequest { sender }).await;
        reply.ok().map(tonic::Response::into_inner)
    };
    let reply = tokio::time::timeout(shared.settings.limits.progress(), call).await;
    let now = shared.now();
    let Some(reply) = reply.ok().flatten() else {
        shared.metrics.probe_failures.inc();
        shared.pool.evict(address);
        shared.table().failed(key, now);
        return;
    };
    suspects::merge(&shared, &reply.suspects);
    shared.record_sender(address, reply.sender.as_ref());
    if let Some(load) = &reply.load {
        shared.table().reported(key, attempt::load(load), now);
    }
}
