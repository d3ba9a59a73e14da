//! The claim of a request with an idempotency key, as its entry sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::ledger::{Digest, MAX_RESULT_BYTES};
use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_wire as wire;
use berylgw_wire::agent_client::AgentClient;
use wire::claim_reply::Kind;

use crate::attempt::{End, Fault};
use crate::ledger;
use crate::shared::Shared;

/// Age at which an unused grant is dropped. Agents remember keys for minutes;
/// a grant must not outlive their memory.
const GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Claims made for one dispatch; each further one follows a claim that was
/// found not to run.
const CLAIMS: u32 = 3;

/// Time for which an agent that still runs a claim is asked again.
const SEAL_WAIT: Duration = Duration::from_secs(2);

const SEAL_PAUSE: Duration = Duration::from_millis(100);

const RETRY: Duration = Duration::from_millis(500);

/// What to do with a request whose key was claimed.
pub enum Step {
    /// Dispatch it once.
    Dispatch,
    /// It ran before with this result.
    Replay(wire::Result),
}

/// How a dispatch with a grant ended.
pub enum Settled {
    End(End),
    Replay(wire::Result),
}

/// What an agent said about a claim.
enum Fate {
    Done(wire::Result),
    NotRun,
    Unknown,
}

/// Claim state of one sending.
pub struct Keyed {
    key: Digest,
    body: Digest,
    /// The caller says that this is the first sending of the key.
    first: bool,
    grant: Option<wire::Claim>,
    /// The owner knows that no sending of the key was run.
    proven: bool,
    /// The own dispatch may have run.
    ran: bool,
}

impl Keyed {
    pub fn new(key: Digest, body: Digest, first: bool) -> Self {
        Keyed {
            key,
            body,
            first,
            grant: None,
            proven: false,
            ran: false,
        }
    }

    /// The grant to dispatch with.
    pub fn grant(&self) -> Option<wire::Claim> {
        self.grant.clone()
    }

    /// Corrects the outcome of a refusal, which is about the key.
    pub fn judge(&self, refusal: &mut Refusal) {
        let claimed = matches!(refusal.reason, Reason::KeyPending | Reason::KeyReused);
        let not_run = !self.ran && (self.proven || (self.first && !claimed));
        if refusal.outcome != Outcome::Done {
            refusal.outcome = if not_run {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
        }
    }

    /// Claims the key for a dispatch to the server.
    ///
    /// # Errors
    ///
    /// Fails if the key cannot be claimed.
    pub async fn claim(
        &mut self,
        shared: &Arc<Shared>,
        server: &Arc<str>,
        address: SocketAddr,
    ) -> Result<Step, Fault> {
        self.proven = false;
        let index = ledger::index_of(shared, &self.key);
        for _ in 0..CLAIMS {
            let Some(incarnation) = incarnation(shared, server, address).await else {
                return Err(Fault::unreachable("the agent was not reached".to_owned()));
            };
            let asked = shared.now();
            let request = wire::ClaimRequest {
                sender: Some(shared.sender()),
                partition: ledger::object_name(index),
                key: self.key.as_bytes().to_vec().into(),
                body_digest: self.body.as_bytes().to_vec().into(),
                server: server.to_string(),
                incarnation,
            };
            let kind = ledger::claim(shared, request).await;
            match kind.map_err(|refusal| Fault::new(refusal, false))? {
                Kind::Granted(claim) => {
                    if shared.now().since(asked) < GRANT_LIFETIME {
                        self.grant = Some(claim);
                        return Ok(Step::Dispatch);
                    }
                    self.proven = report_not_run(shared, claim).await;
                }
                Kind::Done(result) => return Ok(Step::Replay(result)),
                Kind::Pending(pending) => {
                    let Some(claim) = pending.claim else { break };
                    match seal(shared, &claim).await {
                        Fate::Done(result) => {
                            report_done(shared, claim, result.clone());
                            return Ok(Step::Replay(result));
                        }
                        Fate::NotRun => self.proven = report_not_run(shared, claim).await,
                        Fate::Unknown => break,
                    }
                }
                Kind::Refusal(refusal) => {
                    let refusal = Refusal::from(&refusal);
                    self.proven = refusal.outcome == Outcome::NotRun;
                    return Err(Fault::new(refusal, false));
                }
            }
        }
        let refusal = Refusal::unknown(Reason::KeyPending, RETRY);
        let message = "an earlier sending of this key has no known result yet";
        Err(Fault::new(refusal.with_message(message), false))
    }

    /// Gives up a grant before its dispatch.
    pub async fn give_up(&mut self, shared: &Arc<Shared>) {
        if let Some(claim) = self.grant.take() {
            self.proven = report_not_run(shared, claim).await;
        }
    }

    /// Reports how a dispatch ended, after asking the agent if that is open.
    pub async fn settle(
        &mut self,
        shared: &Arc<Shared>,
        end: End,
        result: Option<wire::Result>,
    ) -> Settled {
        let Some(claim) = self.grant.take() else {
            return Settled::End(end);
        };
        let mut fault = match end {
            End::Failed(fault) => fault,
            end => {
                if let Some(result) = result {
                    report_done(shared, claim, result);
                }
                return Settled::End(end);
            }
        };
        if fault.refusal.outcome != Outcome::NotRun {
            self.ran = true;
            match seal(shared, &claim).await {
                Fate::Done(result) => {
                    report_done(shared, claim, result.clone());
                    return Settled::Replay(result);
                }
                Fate::NotRun => self.ran = false,
                Fate::Unknown => {
                    fault.retry = false;
                    return Settled::End(End::Failed(fault));
                }
            }
            fault.refusal.outcome = Outcome::NotRun;
        }
        // A sealed or stale grant says nothing against a new one.
        fault.retry |= fault.refusal.reason == Reason::StaleToken;
        self.proven = report_not_run(shared, claim).await;
        Settled::End(End::Failed(fault))
    }
}

/// The incarnation of a server's agent, from its last message or a probe.
async fn incarnation(shared: &Arc<Shared>, server: &str, address: SocketAddr) -> Option<u64> {
    if let Some(known) = shared.incarnation_of(server) {
        return Some(known);
    }
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let sender = Some(shared.sender());
        let mut client = AgentClient::new(channel);
        let reply = client.probe(wire::ProbeRequest { sender }).await.ok()?;
        shared.saw(address, reply.into_inner().sender.as_ref());
        shared.incarnation_of(server)
    };
    let answer = tokio::time::timeout(shared.settings.limits.progress(), call).await;
    let known = answer.ok().flatten();
    if known.is_none() {
        shared.pool.evict(address);
    }
    known
}

/// Asks the agent what happened to a claim, so that it does not run later.
async fn seal(shared: &Arc<Shared>, claim: &wire::Claim) -> Fate {
    let until = shared.now() + SEAL_WAIT;
    loop {
        if let Some(fate) = seal_once(shared, claim, until).await {
            return fate;
        }
        if shared.clock.until(until).is_zero() {
            return Fate::Unknown;
        }
        tokio::time::sleep(SEAL_PAUSE).await;
    }
}

/// One seal call; nothing if it has to be repeated.
async fn seal_once(shared: &Arc<Shared>, claim: &wire::Claim, until: Instant) -> Option<Fate> {
    let snapshot = shared.current().snapshot;
    let address = snapshot.server(&claim.server)?.address;
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let request = wire::SealRequest {
            sender: Some(shared.sender()),
            claim: Some(claim.clone()),
        };
        let reply = AgentClient::new(channel).seal(request).await.ok()?;
        Some(reply.into_inner())
    };
    let wait = shared.clock.until(until).max(SEAL_PAUSE);
    let Some(reply) = tokio::time::timeout(wait, call).await.ok().flatten() else {
        shared.pool.evict(address);
        return None;
    };
    shared.saw(address, reply.sender.as_ref());
    match (reply.outcome(), reply.result) {
        (wire::Outcome::Done, Some(result)) => Some(Fate::Done(result)),
        (wire::Outcome::NotRun, _) => Some(Fate::NotRun),
        _ => {
            let same = |sender: &wire::Sender| sender.incarnation == claim.incarnation;
            let alive = reply.sender.as_ref().is_some_and(same);
            (!alive).then_some(Fate::Unknown)
        }
    }
}

/// Reports a result; one that is lost is found again by a seal.
fn report_done(shared: &Arc<Shared>, claim: wire::Claim, mut result: wire::Result) {
    if result.body.len() > MAX_RESULT_BYTES {
        result = wire::Result {
            status: result.status,
            truncated: true,
            ..wire::Result::default()
        };
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let request = wire::CompleteRequest {
            sender: Some(shared.sender()),
            claim: Some(claim),
            outcome: wire::Outcome::Done.into(),
            result: Some(result),
        };
        ledger::complete(&shared, request).await;
    });
}

/// Reports that a grant does not run. If the owner takes the report, the grant
/// was still the newest one of its key, so no other sending has run.
async fn report_not_run(shared: &Arc<Shared>, claim: wire::Claim) -> bool {
    let request = wire::CompleteRequest {
        sender: Some(shared.sender()),
        claim: Some(claim),
        outcome: wire::Outcome::NotRun.into(),
        result: None,
    };
    ledger::complete(shared, request).await
}
