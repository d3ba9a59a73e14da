//! Completes a switch that an unresponsive leader left unfinished.
//!
//! If the leader's host freezes right after it has held the group, every
//! response of the group waits for that host. The sidecars of the next ranks
//! detect that no pass begins and take over.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::expert::switch::{self, Switch};
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream;
use tokio::time::Instant;

use crate::engine::{Action, State};
use crate::member::{self, Member};

/// Number of ranks after the first whose sidecars act as deputies, in turn.
const DEPUTIES: usize = 3;

/// Time without a new pass and without a message from the leader after which the
/// first deputy acts. It spans several passes and is shorter than the time that
/// callers wait for an event.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two attempts of a deputy; each one queries all ranks.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Ranks that a deputy queries at once. Hundreds of replies at the same time would
/// overflow the link of its host.
const MAX_QUERIES: usize = 24;

/// Returns whether the sidecar of `rank` must act as deputy.
///
/// The last pass began at `last_pass_at`, and the last message from the leader
/// arrived at `last_message_at`. Each further deputy waits one more timeout.
pub fn must_act(rank: usize, last_pass_at: Instant, last_message_at: Instant) -> bool {
    let timeout = LEADER_TIMEOUT * rank as u32;
    let silent = last_pass_at.elapsed() >= timeout && last_message_at.elapsed() >= timeout;
    (1..=DEPUTIES).contains(&rank) && silent
}

/// Executes the next step of the switch for the held pass, if all ranks have the
/// map.
pub async fn continue_switch(member: &Member, epoch: u64) {
    let engine = &member.engine;
    let service = match (engine.service)().await {
        Ok(service) => service,
        Err(error) => {
            tracing::warn!(%error, "group not read");
            return;
        }
    };
    let queries = service.ranks.iter().map(|&address| async move {
        match (engine.state)(address, ()).await {
            Ok(state) => Some((address, state)),
            Err(error) => {
                tracing::info!(%address, %error, "rank does not answer");
                None
            }
        }
    });
    let replies = stream::iter(queries).buffer_unordered(MAX_QUERIES);
    let replies: Vec<Option<(SocketAddr, State)>> = replies.collect().await;
    let replies = replies.into_iter().flatten();
    // The service may have other groups.
    let own_group = member.state().map(|state| state.group);
    let of_group = replies.filter(|(_, state)| Some(state.group) == own_group);
    let states: Vec<(SocketAddr, State)> = of_group.collect();
    let Some(size) = states.iter().map(|(_, state)| state.size).max() else {
        return;
    };
    let mut switch = Switch::new(epoch, size);
    for (_, state) in &states {
        switch.report(state.rank, state.report);
    }
    let action = switch.next_action_of_deputy();
    tracing::warn!(epoch, ?action, "leader is silent and no pass begins");
    let order =
        |address, action| member::send_order(engine, &member.metrics, address, epoch, action);
    match action {
        switch::Action::Arm(goal) => {
            let is_unarmed = |entry: &&(SocketAddr, State)| entry.1.report.armed != Some(goal);
            let unarmed = states.iter().filter(is_unarmed);
            join_all(unarmed.map(|(address, _)| order(*address, Action::Arm(goal)))).await;
        }
        switch::Action::Release { pass } => {
            for (address, _) in states.iter().filter(|(_, state)| state.rank == 0) {
                order(*address, Action::Release { pass }).await;
            }
        }
        _ => {}
    }
}
