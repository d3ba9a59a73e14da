//! Tickets for requests that run at most once without the ledger.

use std::sync::Arc;

use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_core::route::Request;
use berylgw_wire as wire;
use berylgw_wire::agent_client::AgentClient;
use serde::Serialize;

use crate::dispatch::NO_SERVER_RETRY_AFTER;
use crate::shared::Shared;

/// Separates the backend server from the agent's token; server names do not
/// contain it.
const SEPARATOR: char = ':';

/// A ticket sent with a request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Backend server whose agent issued it.
    pub server: Arc<str>,
    /// Token issued by the agent.
    pub token: String,
    /// Whether the caller declares this the first sending of the ticket.
    first_sending: bool,
}

impl Ticket {
    /// Parses the text form returned by [`issue`].
    pub fn parse(text: &str, first_sending: bool) -> Option<Self> {
        let (server, token) = text.split_once(SEPARATOR)?;
        Some(Ticket {
            server: server.into(),
            token: token.to_owned(),
            first_sending,
        })
    }

    /// Sets the outcome of a refusal to cover all sendings of the ticket, not only
    /// this one.
    ///
    /// The agent refuses some requests before it checks the ticket and then does
    /// not know whether an earlier sending ran.
    pub fn correct_outcome(&self, refusal: &mut Refusal) {
        let checked = refusal.reason == Reason::TicketInvalid;
        if !checked && !self.first_sending {
            refusal.outcome = Outcome::Unknown;
        }
    }
}

/// An issued ticket as sent to the caller.
#[derive(Debug, Serialize)]
pub struct Issued {
    ticket: String,
    expires_ms: u64,
}

/// Requests a ticket from the agent of a backend server of the service.
///
/// # Errors
///
/// Fails if the agent issues no ticket; nothing has run.
pub async fn issue(
    shared: &Arc<Shared>,
    account: &str,
    service: &str,
    key: &str,
) -> Result<Issued, Refusal> {
    let request = Request {
        service,
        affinity: None,
        tried: &[],
    };
    let now = shared.now();
    let found = {
        let table = shared.table();
        let picked = table.pick(request, now, &mut *shared.rng());
        picked.and_then(|key| {
            let (name, address) = table.server(key)?;
            Some((key, name.clone(), address))
        })
    };
    let unreachable = |message: String| {
        Refusal::not_run(Reason::AgentUnreachable, NO_SERVER_RETRY_AFTER).with_message(message)
    };
    let (server_key, server, address) =
        found.ok_or_else(|| Refusal::not_run(Reason::NoServer, NO_SERVER_RETRY_AFTER))?;
    let call = async {
        let channel = shared.pool.get(address).await;
        let channel = channel.map_err(|error| unreachable(error.to_string()))?;
        let request = wire::TicketRequest {
            sender: Some(shared.sender()),
            account: account.to_owned(),
            service: service.to_owned(),
            key: key.to_owned().into(),
        };
        let reply = AgentClient::new(channel).issue_ticket(request).await;
        let reply = reply.map_err(|status| unreachable(status.message().to_owned()))?;
        Ok(reply.into_inner())
    };
    let progress_timeout = shared.settings.limits.progress();
    let timed_out = |_| unreachable("no ticket within the progress timeout".to_owned());
    let reply = tokio::time::timeout(progress_timeout, call).await;
    let reply = reply.map_err(timed_out).and_then(|reply| reply);
    let reply = reply.inspect_err(|_| {
        shared.pool.evict(address);
        let now = shared.now();
        shared.table().failed(server_key, now);
    })?;
    shared.record_sender(address, reply.sender.as_ref());
    if let Some(refusal) = &reply.refusal {
        return Err(Refusal::from(refusal));
    }
    Ok(Issued {
        ticket: format!("{server}{SEPARATOR}{}", reply.ticket),
        expires_ms: reply.expires_ms,
    })
}
