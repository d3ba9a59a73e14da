//! A request's way to an agent: attempts, retries and resumption.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_core::route::{Key, Request};
use berylgw_core::stream::Resume;
use berylgw_wire as wire;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::answer::{self, Item, Pushed, Sink, Source};
use crate::attempt::{self, End, Fault};
use crate::render;
use crate::scope::{self, Scope};
use crate::shared::Shared;

/// Failed attempts after which a request is given up on.
const ATTEMPTS: u32 = 4;

/// Server failures after which a request is not tried again: it may be the
/// cause, and at most two servers may be lost to one request.
const CRASHES: u32 = 2;

/// Longest wait for the configuration that a `stale_config` refusal names.
const STALE_WAIT: Duration = Duration::from_millis(500);

const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// How the payload of an answer is handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Server-sent events that can be resumed.
    Events,
    /// Whole, once it is complete.
    Collect,
    /// As it comes.
    Pass,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub account: Arc<str>,
    pub service: Arc<str>,
    pub method: String,
    pub path: String,
    pub headers: Vec<wire::Header>,
    pub body: Bytes,
    pub idempotent: bool,
    pub key: Option<String>,
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

/// Counts an admitted request while it lives.
pub struct Admitted {
    pub shared: Arc<Shared>,
    pub account: Arc<str>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.shared.limits().leave(&self.account);
        self.shared.metrics.in_flight.dec();
    }
}

/// Dispatches a request and waits for the head of its answer.
///
/// Every request passes here once, so that a claim can be made before.
///
/// # Errors
///
/// Fails if the request is given up on before its answer starts.
pub async fn run(
    shared: &Arc<Shared>,
    mut call: Call,
    admitted: Admitted,
) -> Result<Answer, Refusal> {
    // Without a claim, a second dispatch of a keyed request could run it twice.
    call.idempotent &= call.key.is_none();
    shared.retries().deposit();
    let (head, started) = oneshot::channel();
    let (sink, payload) = answer::queue(shared);
    let driver = Driver {
        shared: shared.clone(),
        mode: call.mode,
        call,
        start: Some(head),
        sink,
        resume: Resume::default(),
        attempt: 0,
        failures: 0,
        tried: Vec::new(),
        ran: false,
        crashes: 0,
        head: None,
        collected: Vec::new(),
        scope: scope::current(),
    };
    tokio::spawn(async move {
        driver.run().await;
        drop(admitted);
    });
    let lost = |_| Refusal::unknown(Reason::ConnectionLost, NO_SERVER_RETRY);
    let (head, mode) = started.await.map_err(lost)??;
    Ok(Answer {
        status: head.status as u16,
        headers: head.headers,
        mode,
        payload,
    })
}

type Start = Result<(wire::AnswerHead, Mode), Refusal>;

/// State of a dispatched request.
pub struct Driver {
    pub shared: Arc<Shared>,
    pub call: Call,
    pub mode: Mode,
    pub sink: Sink,
    pub resume: Resume,
    pub attempt: u32,
    pub collected: Vec<u8>,
    start: Option<oneshot::Sender<Start>>,
    head: Option<wire::AnswerHead>,
    failures: u32,
    tried: Vec<Key>,
    ran: bool,
    crashes: u32,
    scope: Scope,
}

impl Driver {
    /// The message for the current attempt.
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
            claim: None,
            ticket: String::new(),
            fingerprint: call.fingerprint,
            stream: call.mode == Mode::Events,
            isolate: false,
        }
    }

    /// Takes the head of an attempt's answer.
    ///
    /// # Errors
    ///
    /// Fails if a resumed stream does not continue with the same status.
    pub fn head(&mut self, head: wire::AnswerHead) -> Result<(), String> {
        self.ran = true;
        if self.start.is_none() {
            let same = head.status == 200;
            let message = format!("status {} on resumption", head.status);
            return if same { Ok(()) } else { Err(message) };
        }
        if self.mode == Mode::Events && head.status != 200 {
            self.mode = Mode::Pass;
        }
        if self.mode == Mode::Collect {
            self.head = Some(head);
            return Ok(());
        }
        self.begin(head);
        Ok(())
    }

    async fn run(mut self) {
        loop {
            self.attempt += 1;
            let end = match self.choose() {
                Ok((key, address)) => attempt::run(&mut self, key, address).await,
                Err(refusal) => return self.fail(refusal),
            };
            match end {
                End::Complete => return self.complete().await,
                End::CallerGone => return,
                End::Suspended => {
                    self.shared.metrics.resumed.inc();
                    let left = self.shared.clock.until(self.call.deadline);
                    let drained = self.sink.drained();
                    if tokio::time::timeout(left, drained).await.is_err() {
                        return self.fail(Refusal::unknown(Reason::SlowReader, NO_SERVER_RETRY));
                    }
                    self.tried.clear();
                }
                End::Failed(fault) => {
                    if let Err(refusal) = self.may_retry(&fault) {
                        return self.fail(refusal);
                    }
                    self.prepare_retry(&fault).await;
                }
            }
            if self.start.is_none() {
                self.resume.resume();
            }
            self.collected.clear();
        }
    }

    fn choose(&mut self) -> Result<(Key, std::net::SocketAddr), Refusal> {
        let now = self.shared.now();
        if now >= self.call.deadline {
            return Err(Refusal::not_run(Reason::Deadline, NO_SERVER_RETRY));
        }
        let request = Request {
            service: &self.call.service,
            affinity: self.call.affinity.filter(|_| self.tried.is_empty()),
            tried: &self.tried,
        };
        let table = self.shared.table();
        let key = table.pick(request, now, &mut *self.shared.rng());
        let found = key.and_then(|key| {
            let (name, address) = table.server(key)?;
            self.scope.server(name);
            Some((key, address))
        });
        drop(table);
        let (key, address) =
            found.ok_or_else(|| Refusal::not_run(Reason::NoServer, NO_SERVER_RETRY))?;
        self.tried.push(key);
        Ok((key, address))
    }

    fn may_retry(&mut self, fault: &Fault) -> Result<(), Refusal> {
        self.ran |= fault.refusal.outcome != Outcome::NotRun;
        self.failures += 1;
        let started = self.start.is_none();
        let repeatable = if started {
            self.call.idempotent && self.mode == Mode::Events
        } else {
            self.call.idempotent || !self.ran
        };
        let crashed = fault.refusal.reason == Reason::ServerFailed;
        self.crashes += u32::from(crashed);
        let exhausted = self.failures >= ATTEMPTS || self.crashes >= CRASHES;
        if !fault.retry || !repeatable || exhausted {
            return Err(fault.refusal.clone());
        }
        let now = self.shared.now();
        if !self.shared.retries().withdraw(now) {
            let message = format!("retry budget spent after {}", fault.refusal.message);
            let refusal = Refusal::not_run(Reason::RetryBudget, NO_SERVER_RETRY);
            return Err(refusal.with_message(message));
        }
        Ok(())
    }

    async fn prepare_retry(&mut self, fault: &Fault) {
        let reason = fault.refusal.reason;
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[reason.label()]).inc();
        self.scope.retried(&fault.refusal, &self.call.id);
        let Some(version) = fault.stale else { return };
        let mut current = self.shared.current.clone();
        let known = current.wait_for(|current| u64::from(current.view.version()) >= version);
        // Without the newer configuration the next attempt decides.
        let _ = tokio::time::timeout(STALE_WAIT, known).await;
        self.tried.pop();
    }

    fn begin(&mut self, head: wire::AnswerHead) {
        if let Some(start) = self.start.take() {
            // A caller that is gone is noticed at the next event.
            let _ = start.send(Ok((head, self.mode)));
        }
    }

    async fn complete(mut self) {
        if let Some(head) = self.head.take() {
            let body = std::mem::take(&mut self.collected);
            let patience = Duration::from_millis(self.shared.settings.limits.slow_reader_ms);
            if self.sink.push_patiently(body.into(), patience).await != Pushed::Kept {
                return self.fail(Refusal::unknown(Reason::SlowReader, NO_SERVER_RETRY));
            }
            self.begin(head);
        }
        self.sink.end(Item::End);
    }

    fn fail(mut self, mut refusal: Refusal) {
        if self.ran {
            refusal.outcome = Outcome::Unknown;
        }
        match self.start.take() {
            Some(start) => {
                let _ = start.send(Err(refusal));
            }
            None => {
                // Counted here: a caller that stopped reading never gets it.
                render::count(&self.shared, &refusal);
                self.scope.refused(&refusal, &self.call.id);
                if refusal.reason == Reason::SlowReader {
                    return self.sink.abandon(refusal);
                }
                self.sink.end(Item::Failed(refusal));
            }
        }
    }
}
