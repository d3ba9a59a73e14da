//! Attempts to send a request, one server after another until one answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::{self, Content};
use berylgw_core::group::reply::{self, Verdict};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::answer::{Buffered, Refusal, strip_connection_headers};
use crate::backend::Server;
use crate::call::Call;
use crate::config::RequestKind;
use crate::event::Splitter;
use crate::gateway::{Assignment, Gateway};
use crate::metrics::{End, Retry};
use crate::record::Record;
use crate::send::{self, Exchange, Failure};
use crate::state::{Notice, Readiness, ServiceKey, State, Value};
use crate::usage::Start;

/// Servers tried for one request, including those that could not be connected
/// to.
const MAX_SERVERS_TRIED: usize = 5;

/// Time after which an attempt of an idempotent request is ended if another server
/// can be sent the request instead, as a multiple of the route's latency target.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 3;

/// Delays after which a server that broke off an answer and still accepted a connection is
/// checked again. A process that ends may close its connections before its listener.
const LISTENER_CHECKS: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(40),
    Duration::from_millis(150),
];

/// Shortest `Retry-After` when no server can take the request.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Largest answer that is read as a whole, twice the largest request body that
/// the users allow.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Largest incomplete event of a stream. Events hold a few tokens.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Reason why an answer could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than any sound answer.
    #[error("answer has more than {MAX_ANSWER_BYTES} bytes")]
    AnswerTooLong,
    /// The body ended inside an event.
    #[error("body ended {0} bytes after the last complete event")]
    EventIncomplete(usize),
    /// An event is longer than any sound one.
    #[error("event has more than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// Too many bytes of bodies are buffered already.
    #[error("no memory is left for the answer")]
    NoMemory,
}

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct Opened {
    /// Status that the server sent.
    pub status: StatusCode,
    /// Headers that the server sent, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The events that have arrived.
    pub first: Bytes,
    /// Splits the rest of the body into events.
    pub splitter: Splitter,
    /// The response, whose body continues.
    pub exchange: Exchange,
    /// The server that sends it.
    pub assignment: Assignment,
}

/// The answer of a server to a request.
#[derive(Debug)]
pub enum Answer {
    /// A response that was read to its end.
    Buffered(Buffered),
    /// A stream that has begun.
    Stream(Box<Opened>),
}

/// The servers that a request was sent to.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Ids of the servers tried so far, which are not tried again.
    pub tried: Vec<Arc<str>>,
    /// Attempts that reached the chosen server: all but those that ended as
    /// unreachable or replaced.
    pub attempts_at_server: u32,
    /// Attempts that reached a process at the server's address: all but those
    /// that ended as unreachable.
    attempts_connected: u32,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
}

/// How one attempt ended.
enum Outcome {
    Answer(Answer),
    /// The server ran the request and answered with a 5xx status.
    Failed(Buffered),
    /// The server states that it did not run the request.
    NotRun {
        group_broken: bool,
    },
    /// Another process at the server's address answered and did not run the
    /// request.
    Replaced,
    Unreachable,
    /// The request was not sent, since the server has said that it leaves or pauses.
    Withheld,
    /// The server may have run the request.
    Lost(End),
    /// The server is slow, and another one was chosen instead.
    Superseded(Assignment),
    /// The connection ended before the first event or the end of the answer.
    Broken,
    /// It holds what has crashed another server meanwhile. The server may have run
    /// it.
    Withdrawn,
}

impl From<Malformed> for Outcome {
    fn from(error: Malformed) -> Self {
        match error {
            Malformed::Broken(_) | Malformed::EventIncomplete(_) => Outcome::Broken,
            Malformed::AnswerTooLong | Malformed::EventTooLong | Malformed::NoMemory => {
                Outcome::Lost(End::AnswerLost)
            }
        }
    }
}

impl Attempts {
    /// Tries servers until one answers the request. A stream continues after
    /// the event `last_event`.
    ///
    /// # Errors
    ///
    /// Fails with the answer to the caller if no server answers.
    pub async fn run(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        record: &mut Record,
        last_event: Option<&str>,
    ) -> Result<Answer, Refusal> {
        let mut failed = None;
        let mut end = None;
        let mut broken_groups = 0;
        let mut successor = None;
        loop {
            match quarantine(gateway, call) {
                Some(_) if self.may_have_run => break,
                Some(refusal) => return Err(refusal),
                None => {}
            }
            let next = successor.take();
            let next = next.or_else(|| self.next_server(gateway, call, self.attempts_at_server));
            let Some(assignment) = next else { break };
            record.sent(&assignment.server);
            self.tried.push(assignment.server.id.clone());
            let server = assignment.server.clone();
            let supersede = || self.next_server(gateway, call, self.attempts_at_server + 1);
            let outcome = attempt(gateway, call, assignment, last_event, supersede).await;
            match outcome {
                Outcome::Unreachable | Outcome::Withheld => {}
                Outcome::Replaced => self.attempts_connected += 1,
                _ => {
                    self.attempts_connected += 1;
                    self.attempts_at_server += 1;
                }
            }
            match outcome {
                Outcome::Answer(answer) => {
                    let is_whole = matches!(answer, Answer::Buffered(_));
                    gateway.with_state(|state, now| {
                        state.mark_group_up(now, call.service);
                        // A stream shows only at its end that it crashes no server.
                        if is_whole {
                            state.record_answer(now, &call.content);
                        }
                    });
                    return Ok(answer);
                }
                Outcome::Failed(buffered) => {
                    self.may_have_run = true;
                    failed = Some(buffered);
                    if !call.kind().repeatable() {
                        break;
                    }
                    record.retried(Retry::Failed);
                }
                Outcome::NotRun { group_broken } => {
                    if group_broken {
                        broken_groups += 1;
                        let several = gateway
                            .with_state(|state, now| state.has_several_groups(now, call.service));
                        if !several || broken_groups > 1 {
                            gateway
                                .with_state(|state, now| state.mark_group_down(now, call.service));
                            end = Some(End::GroupClosed);
                            break;
                        }
                    }
                    record.retried(Retry::NotRun);
                }
                Outcome::Replaced => record.retried(Retry::Replaced),
                Outcome::Unreachable => record.retried(Retry::Unreachable),
                Outcome::Withheld => record.retried(Retry::Withheld),
                Outcome::Lost(reason) => {
                    self.may_have_run = true;
                    end = Some(reason);
                    if !call.kind().repeatable() || reason == End::Timeout {
                        break;
                    }
                    record.retried(Retry::AnswerLost);
                }
                Outcome::Superseded(next) => {
                    self.may_have_run = true;
                    end = Some(End::AnswerLost);
                    record.retried(Retry::AnswerLost);
                    successor = Some(next);
                }
                Outcome::Withdrawn => {
                    self.may_have_run = true;
                    end = Some(End::AnswerLost);
                    break;
                }
                Outcome::Broken => {
                    self.may_have_run = true;
                    end = Some(End::AnswerLost);
                    let may_follow = may_follow_crash(gateway, call, &server, None).await;
                    if !may_follow || !call.kind().repeatable() {
                        break;
                    }
                    record.retried(Retry::AnswerLost);
                }
            }
        }
        if let Some(buffered) = failed {
            return Ok(Answer::Buffered(buffered));
        }
        Err(self.refusal(gateway, call, end))
    }

    /// Chooses the server for the next attempt after `attempts` at chosen servers, and
    /// takes a retry from the budget if it is one.
    fn next_server(&self, gateway: &Rc<Gateway>, call: &Call, attempts: u32) -> Option<Assignment> {
        if self.tried.len() >= MAX_SERVERS_TRIED || attempts >= call.route.attempts {
            return None;
        }
        if call.time_left(gateway).is_zero() {
            return None;
        }
        let assignment = Assignment::choose(gateway, call.service, &self.tried, &call.content)?;
        let retry = self.attempts_connected > 0 || attempts > 0;
        if retry && !gateway.with_state(|state, now| state.take_retry(now, call.service)) {
            return None;
        }
        Some(assignment)
    }

    fn refusal(&self, gateway: &Gateway, call: &Call, end: Option<End>) -> Refusal {
        if self.may_have_run {
            return Refusal::new(end.unwrap_or(End::AnswerLost));
        }
        if let (None, Some(refusal)) = (end, unservable(gateway, call)) {
            return refusal;
        }
        let time = gateway.with_state(|state, now| state.retry_after(now, call.service));
        let end = match end {
            Some(end) => end,
            None if self.attempts_at_server > 0 => End::ServersRefused,
            None => End::NoServer,
        };
        Refusal::new(end).with_retry_after(time.max(NO_SERVER_RETRY_AFTER))
    }
}

/// Records a crash if the server that broke off the answer, or the `stream` that it
/// wrote, is gone; returns whether the request may be sent to another one.
pub async fn may_follow_crash(
    gateway: &Rc<Gateway>,
    call: &Call,
    server: &Server,
    stream: Option<blame::Stream>,
) -> bool {
    let crashed = record_crash(gateway, call, server, stream).await;
    gateway.with_state(|state, now| {
        let last = crashed && !state.has_spare_server(now, call.service);
        !state.is_suspect(&call.content) && !last
    })
}

/// Records a crash if the server that broke off the answer is gone; returns whether it
/// is known to be.
async fn record_crash(
    gateway: &Rc<Gateway>,
    call: &Call,
    server: &Server,
    stream: Option<blame::Stream>,
) -> bool {
    let crash = Crash {
        broken_at: gateway.clock.now(),
        request: call.id.clone(),
        service: call.service,
        service_name: call.service_name.clone(),
        server: server.clone(),
        content: call.content.clone(),
        stream,
    };
    if send::refuses_connections(server.address).await {
        crash.record(gateway);
        return true;
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        for delay in LISTENER_CHECKS {
            tokio::time::sleep(delay).await;
            if send::refuses_connections(crash.server.address).await {
                crash.record(&gateway);
                return;
            }
        }
    });
    false
}

/// A server that is gone, and the request whose answer it broke off.
struct Crash {
    broken_at: Instant,
    request: HeaderValue,
    service: ServiceKey,
    service_name: Arc<str>,
    server: Server,
    content: Content,
    stream: Option<blame::Stream>,
}

impl Crash {
    fn record(&self, gateway: &Gateway) {
        let Crash {
            broken_at,
            service,
            ref server,
            ref content,
            stream,
            ..
        } = *self;
        let record =
            |state: &mut State, _| state.record_crash(broken_at, service, server, content, stream);
        if gateway.with_state(record) {
            gateway.quarantine_changed.notify_waiters();
        }
        gateway.state_changed.notify_one();
        gateway.metrics.crashes.inc();
        let digests = content.digests().iter();
        let digests: Vec<String> = digests.map(|digest| format!("{digest:x}")).collect();
        tracing::warn!(
            request = ?self.request, server = %server.id, service = %self.service_name,
            began = stream.is_some(), content = digests.join(","),
            "server crashed before it answered a request"
        );
    }
}

/// Returns the refusal of a request under which a server crashed, while it is the
/// turn of another entry to send it again or no server would be left.
pub fn hold(gateway: &Gateway, call: &Call) -> Option<Refusal> {
    let left = gateway.with_state(|state, now| state.hold(now, call.service, &call.content))?;
    Some(Refusal::new(End::Suspected).with_retry_after(left))
}

/// Returns the refusal of a request that holds what crashes servers.
pub fn quarantine(gateway: &Gateway, call: &Call) -> Option<Refusal> {
    let left = gateway.with_state(|state, now| state.quarantine(now, &call.content))?;
    Some(Refusal::new(End::Quarantined).with_retry_after(left))
}

/// Returns the refusal of a request whose service has no server that takes requests,
/// or only such that have asked for a pause.
pub fn unservable(gateway: &Gateway, call: &Call) -> Option<Refusal> {
    gateway.with_state(|state, now| match state.readiness(now, call.service) {
        Readiness::Ready => None,
        Readiness::Pausing(left) => Some(Refusal::new(End::ServersPause).with_retry_after(left)),
        Readiness::NoServer => {
            let time = state.retry_after(now, call.service);
            let time = time.max(NO_SERVER_RETRY_AFTER);
            Some(Refusal::new(End::NoServer).with_retry_after(time))
        }
    })
}

async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    assignment: Assignment,
    last_event: Option<&str>,
    supersede: impl FnOnce() -> Option<Assignment>,
) -> Outcome {
    let left = call.time_left(gateway);
    let slow_after = call.route.latency_target * ATTEMPT_TIMEOUT_FACTOR;
    let slow_after = slow_after.min(left / 2);
    let server = assignment.server.id.clone();
    let (key, load) = assignment.load();
    let sent = gateway.clock.now();
    let request = call.request(gateway, &server, last_event);
    // A stream counts with its first event instead.
    let plain = !call.kind().streams();
    let start = plain.then(|| Start::new(gateway, &call.account));
    let exchange = async {
        let address = assignment.server.address;
        let may_send = || {
            let may_send = assignment.may_send();
            if let Some(start) = start.as_ref().filter(|_| may_send) {
                start.sent();
            }
            may_send
        };
        let exchange = match send::send(address, request, may_send).await {
            Ok(exchange) => exchange,
            Err(Failure::Withheld) => return Outcome::Withheld,
            Err(Failure::Unreachable(error)) => {
                assignment.report(|health, now| health.unreachable(now));
                tracing::info!(server = %assignment.server.id, %error, "server unreachable");
                return Outcome::Unreachable;
            }
            Err(Failure::Broken(error)) => {
                assignment.report(|health, now| health.failed(now));
                tracing::info!(server = %assignment.server.id, %error, "answer lost");
                return Outcome::Broken;
            }
        };
        let outcome = read(gateway, call, assignment, exchange).await;
        if let (Some(start), Outcome::NotRun { .. } | Outcome::Replaced) = (&start, &outcome) {
            start.not_run();
        }
        outcome
    };
    let mut exchange = std::pin::pin!(exchange);
    let exchange = async {
        if call.kind() == RequestKind::Idempotent {
            let ended = tokio::time::timeout(slow_after, exchange.as_mut()).await;
            let next = match ended {
                Ok(ended) => return Ok(ended),
                Err(_) => supersede(),
            };
            if let Some(next) = next {
                return Ok(Outcome::Superseded(next));
            }
        }
        tokio::time::timeout(call.time_left(gateway), exchange).await
    };
    let ended = tokio::select! {
        biased;
        ended = exchange => ended,
        () = until_quarantined(gateway, call) => {
            tracing::info!(request = ?call.id, %server, "request withdrawn: quarantined");
            return Outcome::Withdrawn;
        }
    };
    let outcome = match ended {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Lost(End::Timeout),
    };
    // A server that was too slow to answer has taken at least this long.
    let time = gateway.clock.now().since(sent);
    let timed = match outcome {
        Outcome::Answer(Answer::Buffered(_)) | Outcome::Superseded(_) => true,
        // The time that the caller allowed may have been short.
        Outcome::Lost(End::Timeout) => time >= slow_after,
        _ => false,
    };
    if timed {
        gateway.with_state(|state, now| state.record_time(now, key, &call.route, load, time));
    }
    outcome
}

/// Waits until a request is quarantined.
async fn until_quarantined(gateway: &Gateway, call: &Call) {
    loop {
        let changed = gateway.quarantine_changed.notified();
        if quarantine(gateway, call).is_some() {
            return;
        }
        changed.await;
    }
}

async fn read(
    gateway: &Rc<Gateway>,
    call: &Call,
    assignment: Assignment,
    exchange: Exchange,
) -> Outcome {
    let response = &exchange.response;
    let names = &gateway.names;
    let status = response.status();
    let header = |name| response.headers().get(name);
    let id = header(&names.attempt_id);
    let head = reply::Head {
        status: status.as_u16(),
        not_run: header(&names.not_run).is_some(),
        names_failed: header(&names.failed_server).is_some(),
        is_other: id.is_some_and(|id| *id != call.id),
        is_signed: header(&names.signature).is_some(),
    };
    let verdict = reply::judge(head, call.kind().repeatable());
    if verdict != Verdict::Replaced && id.is_some_and(|id| *id == call.id) {
        let refused = status == StatusCode::SERVICE_UNAVAILABLE;
        assignment.record_notice(Notice {
            leaving: header(&names.server_leaving).is_some_and(|value| value == "1"),
            rate_limit: number(header(&names.rate_limit)),
            pause: number(header(&RETRY_AFTER).filter(|_| refused)),
        });
    }
    match verdict {
        Verdict::Replaced => {
            tracing::info!(
                server = %assignment.server.id,
                "another process at the address of the server"
            );
            assignment.mark_replaced();
            return Outcome::Replaced;
        }
        Verdict::NotRun { group_broken } => {
            if group_broken {
                // All servers of its group refuse until the group is formed again.
                assignment.report(|health, now| health.unreachable(now));
            } else {
                assignment.report(|health, now| health.failed(now));
            }
            return Outcome::NotRun { group_broken };
        }
        Verdict::Unproven => {
            tracing::warn!(
                server = %assignment.server.id, status = head.status, other = head.is_other,
                signed = head.is_signed,
                "answer rejected: it does not prove whether the request has run"
            );
            assignment.report(|health, now| health.failed(now));
            return Outcome::Lost(End::AnswerLost);
        }
        Verdict::Failed | Verdict::Answered => {}
    }
    if call.kind().streams() && status.is_success() {
        return open_stream(gateway, call, exchange, assignment).await;
    }
    match read_response(gateway, exchange).await {
        Ok(buffered) if verdict == Verdict::Failed => {
            assignment.report(|health, now| health.failed(now));
            Outcome::Failed(buffered)
        }
        Ok(buffered) => {
            assignment.report(|health, _| health.succeeded());
            Outcome::Answer(Answer::Buffered(buffered))
        }
        Err(error) => {
            assignment.report(|health, now| health.failed(now));
            tracing::info!(
                server = %assignment.server.id, %error,
                "answer could not be read"
            );
            error.into()
        }
    }
}

fn number(value: Option<&HeaderValue>) -> Value {
    let Some(value) = value else {
        return Value::Absent;
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    match number {
        Some(number) if f64::is_finite(number) => Value::Number(number),
        _ => Value::Unreadable,
    }
}

async fn read_response(
    gateway: &Rc<Gateway>,
    mut exchange: Exchange,
) -> Result<Buffered, Malformed> {
    let status = exchange.response.status();
    let mut headers = exchange.response.headers().clone();
    strip_connection_headers(&mut headers);
    let mut body = Vec::new();
    // Callers may read slowly, so that the memory is held until the answer is sent.
    let mut held = gateway.reserve_body(0).ok_or(Malformed::NoMemory)?;
    while let Some(frame) = exchange.response.body_mut().frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if body.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(Malformed::AnswerTooLong);
        }
        held.extend(
            gateway
                .reserve_body(data.len())
                .ok_or(Malformed::NoMemory)?,
        );
        body.extend_from_slice(&data);
    }
    Ok(Buffered {
        status,
        headers,
        body: held.hold(body),
    })
}

async fn open_stream(
    gateway: &Gateway,
    call: &Call,
    mut exchange: Exchange,
    assignment: Assignment,
) -> Outcome {
    let mut splitter = Splitter::default();
    match next_events(&mut exchange.response, &mut splitter).await {
        Ok(Some(first)) => {
            if let Some(meter) = &gateway.meter {
                meter.record(meter.true_now(), &call.account);
            }
            assignment.report(|health, _| health.succeeded());
            let status = exchange.response.status();
            let mut headers = exchange.response.headers().clone();
            strip_connection_headers(&mut headers);
            Outcome::Answer(Answer::Stream(Box::new(Opened {
                status,
                headers,
                first,
                splitter,
                exchange,
                assignment,
            })))
        }
        Ok(None) => Outcome::Broken,
        Err(error) => {
            assignment.report(|health, now| health.failed(now));
            tracing::info!(
                server = %assignment.server.id, %error,
                "stream broken off before its first event"
            );
            error.into()
        }
    }
}

/// Reads the next complete events of a stream, `None` at its end.
///
/// # Errors
///
/// Fails if the stream breaks off, also inside an event, or an event is too long.
pub async fn next_events(
    response: &mut Response<Incoming>,
    splitter: &mut Splitter,
) -> Result<Option<Bytes>, Malformed> {
    while let Some(frame) = response.body_mut().frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if let Some(events) = splitter.push(&data) {
            return Ok(Some(events));
        }
        if splitter.incomplete_bytes() > MAX_EVENT_BYTES {
            return Err(Malformed::EventTooLong);
        }
    }
    // For a body without a length, a closed connection looks like its end.
    match splitter.incomplete_bytes() {
        0 => Ok(None),
        bytes => Err(Malformed::EventIncomplete(bytes)),
    }
}
