//! Graceful stop of an entry.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::drain::{Shutdown, Times};
use berylgw_core::member::{Observation, State};
use futures_util::future::join_all;

use crate::members::{self, NO_OBJECTS};
use crate::register;
use crate::shared::Shared;
use crate::sync;

/// Pause between attempts to tell the entries that do not know yet.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for one of them.
const TELL_LIMIT: Duration = Duration::from_secs(1);

/// Time that an answer takes to a caller, and its connection back.
const DELIVERY: Duration = Duration::from_millis(500);

/// Reports that this entry leaves and waits until no caller holds its address.
pub async fn run(shared: &Arc<Shared>) {
    // A process whose name has another address now must not hide that one.
    let is_host = members::is_host(shared).await;
    let report = async {
        if is_host {
            let address = shared.members().address;
            register::report(&shared.settings, address, "leaving").await;
        }
    };
    tokio::join!(report, expire(shared, is_host));
}

async fn expire(shared: &Arc<Shared>, is_host: bool) {
    let limits = &shared.settings.limits;
    let times = Times {
        min_open: Duration::from_millis(limits.leave_ms),
        notify_timeout: Duration::from_millis(limits.tell_ms),
        answer_lifetime: limits.directory() + DELIVERY,
    };
    let now = shared.now();
    let valid = shared.members().own_valid(now, limits.directory());
    let valid = if valid.is_zero() {
        valid
    } else {
        valid + DELIVERY
    };
    let mut shutdown = Shutdown::new(now, times, valid);
    loop {
        let snapshot = shared.current().snapshot;
        let entries = snapshot.sheet.entries.iter();
        let others = entries.filter(|entry| entry.name != shared.settings.name);
        shutdown.add(others.map(|entry| entry.name.clone()));
        if is_host {
            mark(shared);
        }
        let waiting = shutdown.unacknowledged().to_vec();
        let calls = waiting.iter().map(|name| tell(shared, name));
        for (name, valid) in waiting.iter().zip(join_all(calls).await) {
            if let Some(valid) = valid {
                shutdown.acknowledge(shared.now(), name, valid);
            }
        }
        let rest = shutdown.accepts_until().since(shared.now());
        if rest.is_zero() {
            break;
        }
        tokio::time::sleep(rest.min(PAUSE)).await;
    }
    if !shutdown.unacknowledged().is_empty() {
        tracing::warn!(entries = ?shutdown.unacknowledged(), "entries do not know of the stop");
    }
}

/// Puts the own state into what is told to other entries.
fn mark(shared: &Shared) {
    let Some(own) = members::own_row(shared) else {
        return;
    };
    let now = shared.now();
    let seen = Observation {
        name: own.name,
        incarnation: shared.incarnation,
        address: own.address,
        state: State::Leaving,
        at: now,
    };
    shared.members().table.merge(now, seen);
}

/// Tells one entry; returns for how long its last directory answer is valid.
async fn tell(shared: &Arc<Shared>, name: &str) -> Option<Duration> {
    let current = shared.current();
    let mut entries = current.snapshot.sheet.entries.iter();
    let Some(entry) = entries.find(|entry| *entry.name == *name) else {
        // No longer in the sheet: its callers get other addresses.
        return Some(Duration::ZERO);
    };
    let request = sync::request(shared, NO_OBJECTS);
    let call = sync::exchange(shared, entry.peer_address, request);
    let reply = tokio::time::timeout(TELL_LIMIT, call).await.ok()?.ok()?;
    members::contacted(shared, entry.peer_address, reply.sender.as_ref());
    // An older version may have another address for this name.
    if reply.version < current.view.version().into() {
        return None;
    }
    let valid = Duration::from_millis(reply.directory_ms);
    Some(if valid.is_zero() {
        valid
    } else {
        valid + DELIVERY
    })
}
