//! Dispatch of requests to agents with retries and stream resumption.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_core::route::{Request, ServerKey};
use berylgw_core::stream::Cursor;
use berylgw_wire as wire;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::answer::{self, Item, Pushed, Sink, Source};
use crate::attempt::{self, End, Failure};
use crate::idempotency::{Claim, Claimed, Settled};
use crate::render;
use crate::scope::{self, Scope};
use crate::shared::Shared;
use crate::suspects;
use crate::ticket::Ticket;

/// Failed attempts after which a request fails.
const MAX_ATTEMPTS: u32 = 4;

/// Server failures after which a request is not retried: it may be the cause,
/// and one request may crash at most two servers.
const MAX_CRASHES: u32 = 2;

/// Longest wait for the configuration version of a `stale_config` refusal.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay suggested to the caller when no backend server is available.
pub const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the payload of an answer is delivered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// A stream of server-sent events that another server can resume.
    Events,
    /// Collected and sent once it is complete.
    Collect,
    /// Relayed frame by frame; cannot be resumed.
    Relay,
}

/// An authorized request of a caller.
pub struct Call {
    pub id: String,
    pub account: Arc<str>,
    pub service: Arc<str>,
    pub method: String,
    pub path: String,
    pub headers: Vec<wire::Header>,
    pub body: Bytes,
    pub idempotent: bool,
    pub claim: Option<Claim>,
    /// Ticket that binds the request to one backend server.
    pub ticket: Option<Ticket>,
    pub mode: Mode,
    pub affinity: Option<u64>,
    pub fingerprint: u64,
    pub deadline: Instant,
}

/// An answer whose head has arrived.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<wire::Header>,
    pub mode: Mode,
    pub payload: Source,
}

/// Admission permit; releases its concurrency slot when dropped.
pub struct Permit {
    pub shared: Arc<Shared>,
    pub account: Arc<str>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.limits().release(&self.account);
        self.shared.metrics.in_flight.dec();
    }
}

/// Dispatches a request and waits for the head of its answer.
///
/// Call this once per request; the driver claims the idempotency key before
/// each dispatch.
///
/// # Errors
///
/// Fails if the request fails before its answer starts.
pub async fn run(shared: &Arc<Shared>, call: Call, permit: Permit) -> Result<Answer, Refusal> {
    shared.retries().deposit();
    let (head_sender, head_receiver) = oneshot::channel();
    let (sink, payload) = answer::queue(shared);
    let driver = Driver {
        shared: shared.clone(),
        mode: call.mode,
        call,
        start: Some(head_sender),
        sink,
        resume: Cursor::default(),
        attempt: 0,
        failures: 0,
        tried: Vec::new(),
        may_have_run: false,
        crashes: 0,
        free_retry: true,
        suspected: None,
        last_refusal: None,
        stored_head: None,
        collected: Vec::new(),
        scope: scope::current(),
    };
    tokio::spawn(async move {
        driver.run().await;
        drop(permit);
    });
    let lost = |_| Refusal::unknown(Reason::ConnectionLost, NO_SERVER_RETRY_AFTER);
    let (head, mode) = head_receiver.await.map_err(lost)??;
    Ok(Answer {
        status: head.status as u16,
        headers: head.headers,
        mode,
        payload,
    })
}

type Start = Result<(wire::AnswerHead, Mode), Refusal>;

/// State of a request across its attempts.
pub struct Driver {
    pub shared: Arc<Shared>,
    pub call: Call,
    pub mode: Mode,
    pub sink: Sink,
    pub resume: Cursor,
    pub attempt: u32,
    pub collected: Vec<u8>,
    start: Option<oneshot::Sender<Start>>,
    stored_head: Option<wire::AnswerHead>,
    failures: u32,
    tried: Vec<ServerKey>,
    may_have_run: bool,
    crashes: u32,
    /// Whether the next retry after a lost connection is exempt from the retry
    /// budget. A broken or silent connection carries many requests that all
    /// need a retry at the same time. The exemption does not multiply load: each
    /// request has one such retry, and a slow server sends heartbeats, so its
    /// connection does not count as lost.
    free_retry: bool,
    /// For how long the request is still suspected of crashing servers and must run
    /// alone.
    suspected: Option<Duration>,
    /// Refusal of the last failed attempt.
    last_refusal: Option<Refusal>,
    scope: Scope,
}

impl Driver {
    /// Builds the dispatch message of the current attempt.
    pub fn request(&self) -> wire::DispatchRequest {
        let call = &self.call;
        wire::DispatchRequest {
            sender: Some(self.shared.sender()),
            request_id: call.id.clone(),
            attempt: self.attempt,
            account: call.account.to_string(),
            service: call.service.to_string(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            timeout_ms: self.shared.clock.until(call.deadline).as_millis() as u64,
            idempotent: call.idempotent,
            resume_from: self.resume.tokens(),
            claim: call.claim.as_ref().and_then(Claim::grant),
            ticket: call
                .ticket
                .as_ref()
                .map_or_else(String::new, |ticket| ticket.token.clone()),
            fingerprint: call.fingerprint,
            stream: call.mode == Mode::Events,
            isolate: self.suspected.is_some(),
            suspected_ms: self.suspected.map(|time| time.as_millis() as u64),
        }
    }

    /// Processes the head of an attempt's answer.
    ///
    /// # Errors
    ///
    /// Fails if a resumed stream does not continue with the same status.
    pub fn head(&mut self, head: wire::AnswerHead) -> Result<(), String> {
        // For a request with a key, the seal decides whether it ran.
        self.may_have_run |= self.call.claim.is_none();
        if self.start.is_none() {
            let same = head.status == 200;
            let message = format!("status {} on resumption", head.status);
            return if same { Ok(()) } else { Err(message) };
        }
        if self.mode == Mode::Events && head.status != 200 {
            self.mode = Mode::Relay;
        }
        if self.mode == Mode::Collect {
            self.stored_head = Some(head);
            return Ok(());
        }
        self.send_head(head);
        Ok(())
    }

    async fn run(mut self) {
        loop {
            self.attempt += 1;
            let (key, address) = match self.select_server() {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    let cause = self.with_previous_failure(refusal);
                    return self.fail(cause);
                }
            };
            let end = match self.claim(key, address).await {
                Ok(Claimed::Dispatch) => attempt::run(&mut self, key, address).await,
                Ok(Claimed::Replay(result)) => return self.replay(result).await,
                Err(failure) => End::Failed(failure),
            };
            let end = match self.settle(end).await {
                Settled::End(end) => end,
                Settled::Replay(result) => return self.replay(result).await,
            };
            match end {
                End::Complete => return self.complete().await,
                End::CallerGone => return,
                End::Suspended => {
                    self.shared.metrics.resumed.inc();
                    let left = self.shared.clock.until(self.call.deadline);
                    let drained = self.sink.drained();
                    if tokio::time::timeout(left, drained).await.is_err() {
                        return self
                            .fail(Refusal::unknown(Reason::SlowReader, NO_SERVER_RETRY_AFTER));
                    }
                    self.tried.clear();
                }
                End::Failed(failure) => {
                    if failure.refusal.reason == Reason::ServerFailed {
                        let fingerprint = self.call.fingerprint;
                        suspects::server_failed(&self.shared, address, fingerprint).await;
                    }
                    if let Err(refusal) = self.may_retry(&failure) {
                        return self.fail(refusal);
                    }
                    self.prepare_retry(&failure).await;
                }
            }
            if self.start.is_none() {
                self.resume.resume();
            }
            self.collected.clear();
        }
    }

    /// Waits until the caller has disconnected. Never resolves for a request
    /// with a key: it runs to completion so that a resend gets its result.
    pub async fn caller_gone(&self) {
        if self.call.claim.is_some() {
            return std::future::pending().await;
        }
        self.sink.closed().await;
    }

    async fn claim(&mut self, key: ServerKey, address: SocketAddr) -> Result<Claimed, Failure> {
        let Some(claim) = &mut self.call.claim else {
            return Ok(Claimed::Dispatch);
        };
        let server = self
            .shared
            .table()
            .server(key)
            .map(|(name, _)| name.clone());
        let Some(server) = server else {
            return Err(Failure::unreachable("the server was removed".to_owned()));
        };
        let claimed = claim.acquire(&self.shared, &server, address).await?;
        let late = self.shared.now() >= self.call.deadline;
        if late || self.sink.is_closed() {
            claim.release(&self.shared).await;
            let refusal = Refusal::not_run(Reason::Deadline, NO_SERVER_RETRY_AFTER);
            return Err(Failure::new(refusal, false));
        }
        Ok(claimed)
    }

    async fn settle(&mut self, end: End) -> Settled {
        let Some(claim) = &mut self.call.claim else {
            return Settled::End(end);
        };
        let complete = matches!(end, End::Complete);
        let head = self.stored_head.as_ref().filter(|_| complete);
        let result = head.map(|head| wire::Result {
            status: head.status,
            headers: head.headers.clone(),
            body: self.collected.clone().into(),
            truncated: false,
        });
        claim.settle(&self.shared, end, result).await
    }

    /// Replays the stored result of an earlier sending.
    async fn replay(mut self, result: wire::Result) {
        if result.truncated {
            let mut refusal = Refusal::unknown(Reason::AnswerNotKept, Duration::ZERO);
            refusal.outcome = Outcome::Done;
            let message = format!("the request ran with status {}", result.status);
            return self.fail(refusal.with_message(message));
        }
        self.stored_head = Some(wire::AnswerHead {
            status: result.status,
            headers: result.headers,
        });
        self.collected = result.body.to_vec();
        self.complete().await;
    }

    fn select_server(&mut self) -> Result<(ServerKey, SocketAddr), Refusal> {
        let now = self.shared.now();
        if now >= self.call.deadline {
            return Err(Refusal::not_run(Reason::Deadline, NO_SERVER_RETRY_AFTER));
        }
        self.suspected = suspects::check(&self.shared, self.call.fingerprint)?;
        let request = Request {
            service: &self.call.service,
            affinity: self.call.affinity.filter(|_| self.tried.is_empty()),
            tried: &self.tried,
        };
        let table = self.shared.table();
        let key = match &self.call.ticket {
            Some(ticket) => table.find(&ticket.server),
            None => table.pick(request, now, &mut *self.shared.rng()),
        };
        let found = key.and_then(|key| {
            let (name, address) = table.server(key)?;
            self.scope.set_server(name);
            Some((key, address))
        });
        drop(table);
        let (key, address) =
            found.ok_or_else(|| Refusal::not_run(Reason::NoServer, NO_SERVER_RETRY_AFTER))?;
        self.tried.push(key);
        Ok((key, address))
    }

    /// Replaces a `no_server` refusal with the failure of the previous attempt, if
    /// there was one.
    fn with_previous_failure(&mut self, refusal: Refusal) -> Refusal {
        let last = self.last_refusal.take();
        match last {
            Some(last) if refusal.reason == Reason::NoServer => {
                let message = format!("no other backend server; last failure: {}", last.message);
                last.with_message(message)
            }
            _ => refusal,
        }
    }

    fn may_retry(&mut self, failure: &Failure) -> Result<(), Refusal> {
        self.may_have_run |=
            self.call.claim.is_none() && failure.refusal.outcome != Outcome::NotRun;
        self.failures += 1;
        self.last_refusal = Some(failure.refusal.clone());
        let head_sent = self.start.is_none();
        let repeatable = if head_sent {
            self.call.idempotent && self.mode == Mode::Events
        } else {
            self.call.idempotent || !self.may_have_run
        };
        let crashed = failure.refusal.reason == Reason::ServerFailed;
        self.crashes += u32::from(crashed);
        let exhausted = self.failures >= MAX_ATTEMPTS || self.crashes >= MAX_CRASHES;
        // A ticket is valid at one server only.
        let bound = self.call.ticket.is_some() && failure.required_version.is_none();
        if !failure.retry || !repeatable || exhausted || bound {
            return Err(failure.refusal.clone());
        }
        let lost = failure.refusal.reason == Reason::ConnectionLost;
        if lost && std::mem::take(&mut self.free_retry) {
            return Ok(());
        }
        let now = self.shared.now();
        if !self.shared.retries().withdraw(now) {
            let message = format!(
                "retry budget exhausted; last failure: {}",
                failure.refusal.message
            );
            let refusal = Refusal::not_run(Reason::RetryBudget, NO_SERVER_RETRY_AFTER);
            return Err(refusal.with_message(message));
        }
        Ok(())
    }

    async fn prepare_retry(&mut self, failure: &Failure) {
        let reason = failure.refusal.reason;
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[reason.label()]).inc();
        self.scope.log_retried(&failure.refusal, &self.call.id);
        let Some(version) = failure.required_version else {
            return;
        };
        let mut current = self.shared.current.clone();
        let known = current.wait_for(|current| u64::from(current.view.version()) >= version);
        // After a timeout the next attempt is made with the old configuration.
        let _ = tokio::time::timeout(CONFIG_TIMEOUT, known).await;
        self.tried.pop();
    }

    fn send_head(&mut self, head: wire::AnswerHead) {
        if let Some(start) = self.start.take() {
            // A disconnected caller is detected at the next event.
            let _ = start.send(Ok((head, self.mode)));
        }
    }

    async fn complete(mut self) {
        if let Some(head) = self.stored_head.take() {
            let body = std::mem::take(&mut self.collected);
            let timeout = Duration::from_millis(self.shared.settings.limits.slow_reader_ms);
            if self.sink.push_within(body.into(), timeout).await != Pushed::Kept {
                return self.fail(Refusal::unknown(Reason::SlowReader, NO_SERVER_RETRY_AFTER));
            }
            self.send_head(head);
        }
        self.sink.end(Item::End);
    }

    fn fail(mut self, mut refusal: Refusal) {
        if self.may_have_run {
            refusal.outcome = Outcome::Unknown;
        }
        if let Some(claim) = &self.call.claim {
            claim.correct_outcome(&mut refusal);
        }
        if let Some(ticket) = &self.call.ticket {
            ticket.correct_outcome(&mut refusal);
        }
        match self.start.take() {
            Some(start) => {
                let _ = start.send(Err(refusal));
            }
            None => {
                // Counted here because a caller that stopped reading never
                // receives the item.
                render::count(&self.shared, &refusal);
                self.scope.log_refused(&refusal, &self.call.id);
                if refusal.reason == Reason::SlowReader {
                    return self.sink.abandon(refusal);
                }
                self.sink.end(Item::Failed(refusal));
            }
        }
    }
}
