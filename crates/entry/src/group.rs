//! Control of the rank groups: roles, expert maps and orders.
//!
//! Each group has a lease. Its holder writes the expert map of the group and
//! sends the ranks orders to load it through their agents. During a platform
//! outage the leases expire, no orders are sent and steps continue with the map
//! in use.

mod controller;
mod map;
mod role;

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::backend::Server;
use berylgw_core::config::Snapshot;
use berylgw_core::ledger;
use berylgw_platform::Client;
use tokio::task::JoinSet;

use crate::shared::{Current, Shared};
use role::Role;

/// Interval at which the configuration is scanned for new groups.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// Number of entries that compete for the lease of a group.
///
/// The host list lags, so the entry that hashing prefers may no longer run; with
/// all entries as candidates, reads of the lease would grow with the fleet.
const MAX_CANDIDATES: usize = 3;

/// Controls the groups of the sheet until the process stops.
pub async fn run(shared: Arc<Shared>) {
    let Some(settings) = shared.settings.groups.clone() else {
        return std::future::pending().await;
    };
    let settings = Arc::new(settings);
    let platform = &shared.settings.platform;
    let client = Client::new(platform.address, Duration::from_millis(platform.timeout_ms));
    let mut running: Vec<Arc<str>> = Vec::new();
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(SCAN_INTERVAL);
    loop {
        ticks.tick().await;
        for group in groups(&shared.current().snapshot) {
            let Err(index) = running.binary_search(&group) else {
                continue;
            };
            running.insert(index, group.clone());
            let role = Role::new(&shared, &settings, group.clone());
            let controller = controller::Controller::new(
                shared.clone(),
                settings.clone(),
                client.clone(),
                group,
            );
            let client = client.clone();
            tasks.spawn(async move {
                tokio::join!(role.hold(&client), controller.run(&role));
            });
        }
    }
}

/// Returns the sorted names of all rank groups.
fn groups(snapshot: &Snapshot) -> Vec<Arc<str>> {
    let ranks = snapshot.sheet.servers.iter();
    let mut groups: Vec<Arc<str>> = ranks
        .filter_map(|server| Some(server.rank.as_ref()?.group.clone()))
        .collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// Returns the servers of a group in rank order; empty if a rank is missing.
fn servers(snapshot: &Snapshot, group: &str) -> Vec<Server> {
    let mut ranked = Vec::new();
    for server in &snapshot.sheet.servers {
        let Some(rank) = &server.rank else {
            continue;
        };
        if *rank.group == *group {
            ranked.push((rank.index, server.clone()));
        }
    }
    ranked.sort_by_key(|(index, _)| *index);
    let complete = { ranked.iter().zip(0..) }.all(|((index, _), expected)| *index == expected);
    if !complete {
        return Vec::new();
    }
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Returns whether an entry is a candidate for the lease of a group.
fn is_candidate(current: &Current, entry: &str, group: &str) -> bool {
    let snapshot = &current.snapshot;
    let region = |domain: &str| {
        let mut domains = snapshot.sheet.domains.iter();
        let found = domains.find(|known| *known.name == *domain);
        found.map(|domain| domain.region.clone())
    };
    let Some(first) = servers(snapshot, group).into_iter().next() else {
        return false;
    };
    let own_region = region(&first.domain);
    let mut entries: Vec<Arc<str>> = snapshot
        .sheet
        .entries
        .iter()
        .filter(|entry| region(&entry.domain) == own_region)
        .filter(|entry| current.leaving.binary_search(&entry.name).is_err())
        .map(|entry| entry.name.clone())
        .collect();
    for _ in 0..MAX_CANDIDATES {
        let Some(preferred) = ledger::preferred_owner(group, &entries).cloned() else {
            return false;
        };
        if *preferred == *entry {
            return true;
        }
        entries.retain(|name| *name != preferred);
    }
    false
}
