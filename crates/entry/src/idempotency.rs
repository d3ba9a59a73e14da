//! Claims of idempotency keys on behalf of requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::ledger::{Digest, MAX_RESULT_BYTES};
use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_wire as wire;
use berylgw_wire::agent_client::AgentClient;
use wire::claim_reply::Kind;

use crate::attempt::{End, Failure};
use crate::ledger;
use crate::shared::Shared;

/// Age after which an unused grant is discarded. Agents retain keys for minutes,
/// and a grant must not outlive that retention.
const GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum claims per dispatch; each further one follows a grant whose request
/// was found not to have run.
const MAX_CLAIMS: u32 = 3;

/// Time for which the seal call is repeated while the agent still runs the
/// request.
const SEAL_TIMEOUT: Duration = Duration::from_secs(2);

const SEAL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

const RETRY_AFTER: Duration = Duration::from_millis(500);

/// How to proceed with a request whose key was claimed.
pub enum Claimed {
    /// Dispatch the request once.
    Dispatch,
    /// Return the result of an earlier run.
    Replay(wire::Result),
}

/// Result of a dispatch after its grant was settled.
pub enum Settled {
    End(End),
    Replay(wire::Result),
}

/// Outcome of a grant as reported by the agent.
enum SealOutcome {
    Done(wire::Result),
    NotRun,
    Unknown,
}

/// State of the claim of one sending.
pub struct Claim {
    key: Digest,
    body: Digest,
    /// Whether the caller declares this the first sending of the key.
    first_sending: bool,
    grant: Option<wire::Claim>,
    /// Whether the owner of the ledger partition has confirmed that no sending
    /// of the key ran.
    proven_not_run: bool,
    /// Whether the dispatch of this sending may have run.
    may_have_run: bool,
}

impl Claim {
    pub fn new(key: Digest, body: Digest, first_sending: bool) -> Self {
        Claim {
            key,
            body,
            first_sending,
            grant: None,
            proven_not_run: false,
            may_have_run: false,
        }
    }

    /// Returns the grant of the next dispatch.
    pub fn grant(&self) -> Option<wire::Claim> {
        self.grant.clone()
    }

    /// Sets the outcome of a refusal to cover all sendings of the key, not only
    /// this one.
    pub fn correct_outcome(&self, refusal: &mut Refusal) {
        let claimed_earlier = matches!(refusal.reason, Reason::KeyPending | Reason::KeyReused);
        let not_run =
            !self.may_have_run && (self.proven_not_run || (self.first_sending && !claimed_earlier));
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
    pub async fn acquire(
        &mut self,
        shared: &Arc<Shared>,
        server: &Arc<str>,
        address: SocketAddr,
    ) -> Result<Claimed, Failure> {
        self.proven_not_run = false;
        let index = ledger::index_of(shared, &self.key);
        for _ in 0..MAX_CLAIMS {
            let Some(incarnation) = incarnation(shared, server, address).await else {
                return Err(Failure::unreachable("the agent was not reached".to_owned()));
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
            match kind.map_err(|refusal| Failure::new(refusal, false))? {
                Kind::Granted(grant) => {
                    if shared.now().since(asked) < GRANT_LIFETIME {
                        self.grant = Some(grant);
                        return Ok(Claimed::Dispatch);
                    }
                    self.proven_not_run = report_not_run(shared, grant).await;
                }
                Kind::Done(result) => return Ok(Claimed::Replay(result)),
                Kind::Pending(pending) => {
                    let Some(grant) = pending.claim else { break };
                    match seal(shared, &grant).await {
                        SealOutcome::Done(result) => {
                            report_done(shared, grant, result.clone());
                            return Ok(Claimed::Replay(result));
                        }
                        SealOutcome::NotRun => {
                            self.proven_not_run = report_not_run(shared, grant).await
                        }
                        SealOutcome::Unknown => break,
                    }
                }
                Kind::Refusal(refusal) => {
                    let refusal = Refusal::from(&refusal);
                    self.proven_not_run = refusal.outcome == Outcome::NotRun;
                    return Err(Failure::new(refusal, false));
                }
            }
        }
        let refusal = Refusal::unknown(Reason::KeyPending, RETRY_AFTER);
        let message = "an earlier sending of this key has no known result yet";
        Err(Failure::new(refusal.with_message(message), false))
    }

    /// Releases a grant that was not dispatched.
    pub async fn release(&mut self, shared: &Arc<Shared>) {
        if let Some(grant) = self.grant.take() {
            self.proven_not_run = report_not_run(shared, grant).await;
        }
    }

    /// Reports the result of a dispatch to the owner of the ledger partition;
    /// seals the grant at the agent first if the outcome is unknown.
    pub async fn settle(
        &mut self,
        shared: &Arc<Shared>,
        end: End,
        result: Option<wire::Result>,
    ) -> Settled {
        let Some(grant) = self.grant.take() else {
            return Settled::End(end);
        };
        let mut failure = match end {
            End::Failed(failure) => failure,
            end => {
                if let Some(result) = result {
                    report_done(shared, grant, result);
                }
                return Settled::End(end);
            }
        };
        if failure.refusal.outcome != Outcome::NotRun {
            self.may_have_run = true;
            match seal(shared, &grant).await {
                SealOutcome::Done(result) => {
                    report_done(shared, grant, result.clone());
                    return Settled::Replay(result);
                }
                SealOutcome::NotRun => self.may_have_run = false,
                SealOutcome::Unknown => {
                    failure.retry = false;
                    return Settled::End(End::Failed(failure));
                }
            }
            failure.refusal.outcome = Outcome::NotRun;
        }
        // After a stale token, a new grant can succeed.
        failure.retry |= failure.refusal.reason == Reason::StaleToken;
        self.proven_not_run = report_not_run(shared, grant).await;
        Settled::End(End::Failed(failure))
    }
}

/// Returns the incarnation of a server's agent from its last message or a probe.
async fn incarnation(shared: &Arc<Shared>, server: &str, address: SocketAddr) -> Option<u64> {
    if let Some(known) = shared.incarnation_of(server) {
        return Some(known);
    }
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let sender = Some(shared.sender());
        let mut client = AgentClient::new(channel);
        let reply = client.probe(wire::ProbeRequest { sender }).await.ok()?;
        shared.record_sender(address, reply.into_inner().sender.as_ref());
        shared.incarnation_of(server)
    };
    let answer = tokio::time::timeout(shared.settings.limits.progress(), call).await;
    let known = answer.ok().flatten();
    if known.is_none() {
        shared.pool.evict(address);
    }
    known
}

/// Seals a grant at its agent: returns the outcome of its request and prevents
/// a later run.
async fn seal(shared: &Arc<Shared>, grant: &wire::Claim) -> SealOutcome {
    let until = shared.now() + SEAL_TIMEOUT;
    loop {
        if let Some(outcome) = seal_once(shared, grant, until).await {
            return outcome;
        }
        if shared.clock.until(until).is_zero() {
            return SealOutcome::Unknown;
        }
        tokio::time::sleep(SEAL_RETRY_INTERVAL).await;
    }
}

/// Makes one seal call; returns `None` if it must be repeated.
async fn seal_once(
    shared: &Arc<Shared>,
    grant: &wire::Claim,
    until: Instant,
) -> Option<SealOutcome> {
    let snapshot = shared.current().snapshot;
    let address = snapshot.server(&grant.server)?.address;
    let call = async {
        let channel = shared.pool.get(address).await.ok()?;
        let request = wire::SealRequest {
            sender: Some(shared.sender()),
            claim: Some(grant.clone()),
        };
        let reply = AgentClient::new(channel).seal(request).await.ok()?;
        Some(reply.into_inner())
    };
    let wait = shared.clock.until(until).max(SEAL_RETRY_INTERVAL);
    let Some(reply) = tokio::time::timeout(wait, call).await.ok().flatten() else {
        shared.pool.evict(address);
        return None;
    };
    shared.record_sender(address, reply.sender.as_ref());
    match (reply.outcome(), reply.result) {
        (wire::Outcome::Done, Some(result)) => Some(SealOutcome::Done(result)),
        (wire::Outcome::NotRun, _) => Some(SealOutcome::NotRun),
        _ => {
            let same = |sender: &wire::Sender| sender.incarnation == grant.incarnation;
            let alive = reply.sender.as_ref().is_some_and(same);
            (!alive).then_some(SealOutcome::Unknown)
        }
    }
}

/// Reports a result in the background; if the report is lost, a later seal
/// recovers the result.
fn report_done(shared: &Arc<Shared>, grant: wire::Claim, mut result: wire::Result) {
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
            claim: Some(grant),
            outcome: wire::Outcome::Done.into(),
            result: Some(result),
        };
        ledger::complete(&shared, request).await;
    });
}

/// Reports that the request of a grant did not run; returns whether the owner of
/// the ledger partition accepted the report. If so, the grant was the newest of
/// its key and no other sending ran.
async fn report_not_run(shared: &Arc<Shared>, grant: wire::Claim) -> bool {
    let request = wire::CompleteRequest {
        sender: Some(shared.sender()),
        claim: Some(grant),
        outcome: wire::Outcome::NotRun.into(),
        result: None,
    };
    ledger::complete(shared, request).await
}
