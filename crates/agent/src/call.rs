//! One request while it is in flight at the server.

use std::pin::Pin;
use std::time::Duration;

use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::service::Kind;
use berylgw_runtime::log::Limiter;
use berylgw_wire as wire;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::forward::{Error, Server, head_of};
use crate::gaps::Gaps;
use crate::origin;
use crate::permit::{Latency, Permit};
use crate::run::{Answer, Dropped};
use crate::sse;

/// Timeout of one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed cancel call is repeated.
const CANCEL_PAUSE: Duration = Duration::from_millis(250);

/// Wait without data after which all bytes that have arrived on the connection
/// have been read: the task that reads it is woken before this timer is set.
const READ_EMPTY: Duration = Duration::from_millis(5);

/// Retry delay after a failure of the server.
const RETRY_FAILED: Duration = Duration::from_millis(250);

/// Fewest tokens of an unstreamed answer that give a sample of the time per
/// token. In a shorter answer, the prefill dominates the time.
const ENOUGH_TOKENS: u32 = 16;

/// Largest result that is retained for `Seal`, in bytes.
pub const MAX_RESULT: usize = 16 << 10;

/// Refusal message for an answer that carries the id of another request.
const OTHER_REQUEST: &str = "the server's answer belongs to another request";

/// A request that is being sent to the server.
#[derive(Debug)]
pub(crate) struct Call {
    pub server: Server,
    pub permit: Permit,
    pub kind: Kind,
    pub engine_id: String,
    pub request_id: String,
    pub deadline: Instant,
    pub started: Instant,
}

type Sending = Pin<Box<dyn Future<Output = Result<Response<Incoming>, Error>> + Send>>;

/// Unread part of a call whose stream to the entry has ended.
enum Rest {
    Head(Sending),
    Body(Incoming, Kept),
}

/// Reason why a call ended before the whole answer was forwarded.
enum End {
    Dropped,
    Late,
    Broken,
    Corrupt(&'static str),
}

/// Copy of the answer that is retained for `Seal`, unless its body exceeds
/// [`MAX_RESULT`] bytes.
struct Kept {
    head: wire::AnswerHead,
    body: BytesMut,
    fits: bool,
}

impl Call {
    /// Sends the request to the server and its answer to the entry.
    ///
    /// # Errors
    ///
    /// Fails with the refusal to end the stream with.
    pub async fn run(
        self,
        request: Request<Full<Bytes>>,
        answer: &mut Answer,
    ) -> Result<(), Refusal> {
        let server = self.server.clone();
        let mut sending: Sending = Box::pin(async move { server.send(request).await });
        let sent = tokio::select! {
            sent = &mut sending => sent,
            Dropped = answer.beat() => {
                self.give_up(Rest::Head(sending));
                return Ok(());
            }
            () = sleep_until(self.deadline) => {
                self.give_up(Rest::Head(sending));
                return Err(Refusal::unknown(Reason::Deadline, RETRY_FAILED));
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Err(self.failed(&error)),
        };
        self.pass_back(response, answer).await
    }

    async fn pass_back(
        self,
        response: Response<Incoming>,
        answer: &mut Answer,
    ) -> Result<(), Refusal> {
        let mut kept = Kept::new(&response);
        let events = self.kind == Kind::Model && is_event_stream(&response);
        let mut body = response.into_body();
        if events {
            self.permit.answering();
        }
        let end = match answer.head(kept.head.clone()).await {
            Ok(()) => self.copy(&mut body, &mut kept, events, answer).await,
            Err(Dropped) => Err(End::Dropped),
        };
        let Err(end) = end else {
            self.complete(kept);
            // An entry that drops the stream here misses only the final frame.
            let _ = answer.finish().await;
            return Ok(());
        };
        match end {
            End::Dropped => {
                self.give_up(Rest::Body(body, kept));
                Ok(())
            }
            End::Late => {
                self.give_up(Rest::Body(body, kept));
                Err(Refusal::unknown(Reason::Deadline, RETRY_FAILED))
            }
            End::Corrupt(message) => {
                self.give_up(Rest::Body(body, kept));
                Err(server_failed().with_message(message))
            }
            End::Broken => {
                self.permit.broken();
                Err(server_failed().with_message("the server's answer was cut short"))
            }
        }
    }

    /// Forwards the body as data frames.
    async fn copy(
        &self,
        body: &mut Incoming,
        kept: &mut Kept,
        events: bool,
        answer: &mut Answer,
    ) -> Result<(), End> {
        let mut splitter = sse::Splitter::default();
        let mut done = false;
        let mut gaps = Gaps::new();
        loop {
            let asked = Instant::now();
            let data = self.next(body, events, answer).await?;
            let arrived = Instant::now();
            let Some(data) = data else { break };
            kept.push(&data);
            if !events {
                pass(answer, data, self.deadline).await?;
                continue;
            }
            splitter.push(&data);
            let mut count = 0;
            while let Some(event) = splitter.next() {
                if !origin::is_event_of(&event, &self.request_id) {
                    return Err(End::Corrupt(OTHER_REQUEST));
                }
                done |= sse::is_done(&event);
                count += 1;
                pass(answer, event, self.deadline).await?;
            }
            if let Some(time) = gaps.sample(asked, arrived, count).filter(|_| !done) {
                self.permit.token(time);
            }
            if splitter.pending() > sse::MAX_EVENT {
                return Err(End::Corrupt("an event of the server's answer is too long"));
            }
        }
        // A body without a length ends with its connection, even in the middle
        // of an answer.
        if events && (!done || splitter.pending() > 0) {
            return Err(End::Broken);
        }
        // An answer too large to retain is not checked.
        let checkable = self.kind == Kind::Model && !events && kept.fits;
        if checkable && !origin::is_answer_of(&kept.body, &self.request_id) {
            return Err(End::Corrupt(OTHER_REQUEST));
        }
        Ok(())
    }

    /// Reads the next bytes; returns `None` at the end of the body.
    async fn next(
        &self,
        body: &mut Incoming,
        events: bool,
        answer: &mut Answer,
    ) -> Result<Option<Bytes>, End> {
        let waited_from = self.permit.now();
        let mut is_empty = false;
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                Dropped = answer.beat() => return Err(End::Dropped),
                () = sleep_until(self.deadline) => return Err(End::Late),
                () = sleep(READ_EMPTY), if events && !is_empty => {
                    is_empty = true;
                    continue;
                }
            };
            let Some(frame) = frame else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| End::Broken)?.into_data() else {
                continue;
            };
            if is_empty {
                self.permit.progressed(waited_from);
            }
            return Ok(Some(data));
        }
    }

    /// Records that no head of an answer arrived; returns the refusal.
    fn failed(mut self, error: &Error) -> Refusal {
        if matches!(error, Error::Connect(_)) {
            self.permit.not_run();
            return Refusal::not_run(Reason::ServerFailed, RETRY_FAILED)
                .with_message(error.to_string());
        }
        self.permit.broken();
        server_failed().with_message(error.to_string())
    }

    fn complete(mut self, kept: Kept) {
        let total = self.started.elapsed();
        let time = match self.kind {
            Kind::Plain => Latency::Plain(total),
            Kind::Model => Latency::Model {
                total,
                per_token: kept.tokens().map(|tokens| total / tokens),
            },
        };
        let healthy = kept.head.status < 500;
        self.permit
            .completed(healthy.then_some(time), kept.result());
    }

    /// Holds the permit, in a task of its own, until the server has finished or
    /// cancelled the request.
    fn give_up(self, rest: Rest) {
        tokio::spawn(self.wind_up(rest));
    }

    async fn wind_up(self, rest: Rest) {
        if self.kind == Kind::Plain {
            self.read_to_end(rest).await;
            return;
        }
        let server = self.server.clone();
        let engine_id = self.engine_id.clone();
        tokio::select! {
            () = self.read_to_end(rest) => {}
            () = cancel(&server, &engine_id) => {}
        }
    }

    async fn read_to_end(self, rest: Rest) {
        let (mut body, mut kept) = match rest {
            Rest::Body(body, kept) => (body, kept),
            Rest::Head(sending) => match sending.await {
                Ok(response) => {
                    let kept = Kept::new(&response);
                    (response.into_body(), kept)
                }
                Err(error) => {
                    self.failed(&error);
                    return;
                }
            },
        };
        // After the head, a service only writes its answer, and closing the
        // connection stops that. Before the head, it may still be working on
        // the request, so that there is no limit on the wait for the head.
        let limit = self.deadline.max(Instant::now() + CANCEL_TIMEOUT);
        let read = timeout_at(limit, async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame?.into_data() {
                    kept.push(&data);
                }
            }
            Ok::<(), hyper::Error>(())
        });
        match read.await {
            Ok(Ok(())) => self.complete(kept),
            Ok(Err(_)) => self.permit.broken(),
            Err(_) => {}
        }
    }
}

async fn pass(answer: &mut Answer, data: Bytes, deadline: Instant) -> Result<(), End> {
    if data.is_empty() {
        return Ok(());
    }
    match timeout_at(deadline, answer.data(data)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(Dropped)) => Err(End::Dropped),
        Err(_) => Err(End::Late),
    }
}

/// Log lines per second about failed cancel calls. An engine that does not
/// answer fails one for every request it holds.
const CANCEL_LINES: u32 = 5;

/// Repeats the cancel call until the engine confirms it.
async fn cancel(server: &Server, engine_id: &str) {
    loop {
        match timeout(CANCEL_TIMEOUT, server.cancel(engine_id)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => warn_cancel(engine_id, &error.to_string()),
            Err(_) => warn_cancel(engine_id, "timed out"),
        }
        sleep(CANCEL_PAUSE).await;
    }
}

fn warn_cancel(engine_id: &str, detail: &str) {
    static LINES: Limiter = Limiter::new(CANCEL_LINES);
    if let Some(suppressed) = LINES.pass(std::time::Instant::now()) {
        tracing::warn!(engine_id, detail, suppressed, "cancel call failed");
    }
}

fn server_failed() -> Refusal {
    Refusal::unknown(Reason::ServerFailed, RETRY_FAILED)
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    response.status().is_success() && text.is_some_and(|text| text.starts_with("text/event-stream"))
}

impl Kept {
    fn new(response: &Response<Incoming>) -> Self {
        Kept {
            head: head_of(response),
            body: BytesMut::new(),
            fits: true,
        }
    }

    fn push(&mut self, data: &[u8]) {
        self.fits &= self.body.len() + data.len() <= MAX_RESULT;
        if self.fits {
            self.body.extend_from_slice(data);
        }
    }

    /// Returns the number of tokens of an unstreamed answer of a model engine,
    /// if the answer states it and there are enough for a sample.
    fn tokens(&self) -> Option<u32> {
        #[derive(Deserialize)]
        struct Answer {
            usage: Usage,
        }
        #[derive(Deserialize)]
        struct Usage {
            completion_tokens: u32,
        }
        if !self.fits {
            return None;
        }
        let answer: Answer = serde_json::from_slice(&self.body).ok()?;
        let tokens = answer.usage.completion_tokens;
        (tokens >= ENOUGH_TOKENS).then_some(tokens)
    }

    fn result(self) -> Option<wire::Result> {
        self.fits.then(|| wire::Result {
            status: self.head.status,
            headers: self.head.headers,
            body: self.body.freeze(),
            truncated: false,
        })
    }
}
