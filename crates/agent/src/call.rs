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

use crate::forward::{Error, ServerClient, head_of};
use crate::gaps::Gaps;
use crate::origin;
use crate::permit::{Latency, Permit};
use crate::run::{Answer, Dropped};
use crate::sse;

/// Timeout of one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed cancel call is repeated.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// If no data comes for this long, later data has newly arrived from the server
/// and was not buffered before: the task that reads the connection is woken before
/// this timer is set.
const READ_IDLE: Duration = Duration::from_millis(5);

/// Retry delay after a failure of the server.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Fewest tokens of an unstreamed answer that give a sample of the time per
/// token. In a shorter answer, the prefill dominates the time.
const MIN_SAMPLE_TOKENS: u32 = 16;

/// Largest result that is retained for `Seal`, in bytes.
pub const MAX_RESULT_BYTES: usize = 16 << 10;

/// Refusal message for an answer that carries the id of another request.
const REQUEST_MISMATCH: &str = "the server's answer belongs to another request";

/// A request that is being sent to the server.
#[derive(Debug)]
pub(crate) struct Call {
    pub server: ServerClient,
    pub permit: Permit,
    pub kind: Kind,
    pub engine_id: String,
    pub request_id: String,
    pub deadline: Instant,
    pub started: Instant,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Incoming>, Error>> + Send>>;

/// Unread part of a call whose stream to the entry has ended.
enum Unread {
    Head(ResponseFuture),
    Body(Incoming, Buffer),
}

/// Reason why a call ended before the whole answer was forwarded.
enum Abort {
    Dropped,
    DeadlineExceeded,
    Broken,
    Corrupt(&'static str),
}

/// Copy of the answer that is retained for `Seal`, unless its body exceeds
/// [`MAX_RESULT_BYTES`] bytes.
struct Buffer {
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
        let mut pending: ResponseFuture = Box::pin(async move { server.send(request).await });
        let sent = tokio::select! {
            sent = &mut pending => sent,
            Dropped = answer.heartbeat() => {
                self.abandon(Unread::Head(pending));
                return Ok(());
            }
            () = sleep_until(self.deadline) => {
                self.abandon(Unread::Head(pending));
                return Err(Refusal::unknown(Reason::Deadline, RETRY_AFTER));
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Err(self.fail(&error)),
        };
        self.forward_answer(response, answer).await
    }

    async fn forward_answer(
        self,
        response: Response<Incoming>,
        answer: &mut Answer,
    ) -> Result<(), Refusal> {
        let mut buffer = Buffer::new(&response);
        let events = self.kind == Kind::Model && is_event_stream(&response);
        let mut body = response.into_body();
        if events {
            self.permit.record_answer_started();
        }
        let forwarded = match answer.head(buffer.head.clone()).await {
            Ok(()) => self.relay(&mut body, &mut buffer, events, answer).await,
            Err(Dropped) => Err(Abort::Dropped),
        };
        let Err(abort) = forwarded else {
            self.complete(buffer);
            // An entry that drops the stream here misses only the final frame.
            let _ = answer.finish().await;
            return Ok(());
        };
        match abort {
            Abort::Dropped => {
                self.abandon(Unread::Body(body, buffer));
                Ok(())
            }
            Abort::DeadlineExceeded => {
                self.abandon(Unread::Body(body, buffer));
                Err(Refusal::unknown(Reason::Deadline, RETRY_AFTER))
            }
            Abort::Corrupt(message) => {
                self.abandon(Unread::Body(body, buffer));
                Err(server_failure().with_message(message))
            }
            Abort::Broken => {
                self.permit.record_broken();
                Err(server_failure().with_message("the server's answer was cut short"))
            }
        }
    }

    /// Forwards the body as data frames.
    async fn relay(
        &self,
        body: &mut Incoming,
        buffer: &mut Buffer,
        events: bool,
        answer: &mut Answer,
    ) -> Result<(), Abort> {
        let mut splitter = sse::Splitter::default();
        let mut done = false;
        let mut gaps = Gaps::new();
        loop {
            let waited_from = Instant::now();
            let data = self.next_data(body, events, answer).await?;
            let arrived = Instant::now();
            let Some(data) = data else { break };
            buffer.push(&data);
            if !events {
                forward_data(answer, data, self.deadline).await?;
                continue;
            }
            splitter.push(&data);
            let mut count = 0;
            while let Some(event) = splitter.next() {
                if !origin::is_event_of(&event, &self.request_id) {
                    return Err(Abort::Corrupt(REQUEST_MISMATCH));
                }
                done |= sse::is_done(&event);
                count += 1;
                forward_data(answer, event, self.deadline).await?;
            }
            if let Some(time) = gaps.sample(waited_from, arrived, count).filter(|_| !done) {
                self.permit.record_token_interval(time);
            }
            if splitter.pending() > sse::MAX_EVENT_BYTES {
                return Err(Abort::Corrupt(
                    "an event of the server's answer is too long",
                ));
            }
        }
        // For a body without a length, a closed connection looks like its end, even
        // in the middle of an answer.
        if events && (!done || splitter.pending() > 0) {
            return Err(Abort::Broken);
        }
        // An answer too large to retain is not checked.
        let checkable = self.kind == Kind::Model && !events && buffer.fits;
        if checkable && !origin::is_answer_of(&buffer.body, &self.request_id) {
            return Err(Abort::Corrupt(REQUEST_MISMATCH));
        }
        Ok(())
    }

    /// Reads the next bytes; returns `None` at the end of the body.
    async fn next_data(
        &self,
        body: &mut Incoming,
        events: bool,
        answer: &mut Answer,
    ) -> Result<Option<Bytes>, Abort> {
        let waited_from = self.permit.now();
        let mut idle = false;
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                Dropped = answer.heartbeat() => return Err(Abort::Dropped),
                () = sleep_until(self.deadline) => return Err(Abort::DeadlineExceeded),
                () = sleep(READ_IDLE), if events && !idle => {
                    idle = true;
                    continue;
                }
            };
            let Some(frame) = frame else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| Abort::Broken)?.into_data() else {
                continue;
            };
            if idle {
                self.permit.record_progress(waited_from);
            }
            return Ok(Some(data));
        }
    }

    /// Records that no head of an answer arrived; returns the refusal.
    fn fail(mut self, error: &Error) -> Refusal {
        if matches!(error, Error::Connect(_)) {
            self.permit.record_not_run();
            return Refusal::not_run(Reason::ServerFailed, RETRY_AFTER)
                .with_message(error.to_string());
        }
        self.permit.record_broken();
        server_failure().with_message(error.to_string())
    }

    fn complete(mut self, buffer: Buffer) {
        let total = self.started.elapsed();
        let time = match self.kind {
            Kind::Plain => Latency::Plain(total),
            Kind::Model => Latency::Model {
                total,
                per_token: buffer.tokens().map(|tokens| total / tokens),
            },
        };
        let healthy = buffer.head.status < 500;
        self.permit
            .record_completed(healthy.then_some(time), buffer.result());
    }

    /// Holds the permit, in a task of its own, until the server has finished or
    /// cancelled the request, or, once the head has arrived, until the deadline (at
    /// least [`CANCEL_TIMEOUT`]).
    fn abandon(self, unread: Unread) {
        tokio::spawn(self.finish_abandoned(unread));
    }

    async fn finish_abandoned(self, unread: Unread) {
        if self.kind == Kind::Plain {
            self.read_to_end(unread).await;
            return;
        }
        let server = self.server.clone();
        let engine_id = self.engine_id.clone();
        tokio::select! {
            () = self.read_to_end(unread) => {}
            () = cancel(&server, &engine_id) => {}
        }
    }

    async fn read_to_end(self, unread: Unread) {
        let (mut body, mut buffer) = match unread {
            Unread::Body(body, buffer) => (body, buffer),
            Unread::Head(pending) => match pending.await {
                Ok(response) => {
                    let buffer = Buffer::new(&response);
                    (response.into_body(), buffer)
                }
                Err(error) => {
                    self.fail(&error);
                    return;
                }
            },
        };
        // After the head, a service only writes its answer, and closing the
        // connection stops that. Before the head, it may still be working on
        // the request, so the wait for the head has no limit.
        let limit = self.deadline.max(Instant::now() + CANCEL_TIMEOUT);
        let read = timeout_at(limit, async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame?.into_data() {
                    buffer.push(&data);
                }
            }
            Ok::<(), hyper::Error>(())
        });
        match read.await {
            Ok(Ok(())) => self.complete(buffer),
            Ok(Err(_)) => self.permit.record_broken(),
            Err(_) => {}
        }
    }
}

async fn forward_data(answer: &mut Answer, data: Bytes, deadline: Instant) -> Result<(), Abort> {
    if data.is_empty() {
        return Ok(());
    }
    match timeout_at(deadline, answer.data(data)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(Dropped)) => Err(Abort::Dropped),
        Err(_) => Err(Abort::DeadlineExceeded),
    }
}

/// Log lines per second about failed cancel calls. If an engine does not
/// answer, the cancel calls of all its requests fail.
const CANCEL_LOG_LINES_PER_SECOND: u32 = 5;

/// Repeats the cancel call until the engine confirms it.
async fn cancel(server: &ServerClient, engine_id: &str) {
    loop {
        match timeout(CANCEL_TIMEOUT, server.cancel(engine_id)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => warn_cancel_failed(engine_id, &error.to_string()),
            Err(_) => warn_cancel_failed(engine_id, "timed out"),
        }
        sleep(CANCEL_RETRY_DELAY).await;
    }
}

fn warn_cancel_failed(engine_id: &str, detail: &str) {
    static LIMITER: Limiter = Limiter::new(CANCEL_LOG_LINES_PER_SECOND);
    if let Some(suppressed) = LIMITER.admit(std::time::Instant::now()) {
        tracing::warn!(engine_id, detail, suppressed, "cancel call failed");
    }
}

fn server_failure() -> Refusal {
    Refusal::unknown(Reason::ServerFailed, RETRY_AFTER)
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    response.status().is_success() && text.is_some_and(|text| text.starts_with("text/event-stream"))
}

impl Buffer {
    fn new(response: &Response<Incoming>) -> Self {
        Buffer {
            head: head_of(response),
            body: BytesMut::new(),
            fits: true,
        }
    }

    fn push(&mut self, data: &[u8]) {
        self.fits &= self.body.len() + data.len() <= MAX_RESULT_BYTES;
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
        (tokens >= MIN_SAMPLE_TOKENS).then_some(tokens)
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
