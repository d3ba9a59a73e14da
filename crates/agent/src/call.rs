//! One request while the server may hold it.

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
use crate::place::{Place, Time};
use crate::run::{Answer, Dropped};
use crate::sse;

/// Time allowed for one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a cancel call that failed is repeated.
const CANCEL_PAUSE: Duration = Duration::from_millis(250);

/// Wait without data after which the connection has been read empty: the task
/// that reads it is woken before this timer is set.
const READ_EMPTY: Duration = Duration::from_millis(5);

/// Retry time after a failure of the server.
const RETRY_FAILED: Duration = Duration::from_millis(250);

/// Tokens of a whole answer that are enough for a sample of the time per token.
const ENOUGH_TOKENS: u32 = 16;

/// Largest result kept for `Seal`, in bytes.
pub const MAX_RESULT: usize = 16 << 10;

/// Message for an answer that names another request.
const OTHER_REQUEST: &str = "the server's answer belongs to another request";

/// A request that has been passed on to the server.
#[derive(Debug)]
pub(crate) struct Call {
    pub server: Server,
    pub place: Place,
    pub kind: Kind,
    pub engine_id: String,
    pub request_id: String,
    pub deadline: Instant,
    pub started: Instant,
}

type Sending = Pin<Box<dyn Future<Output = Result<Response<Incoming>, Error>> + Send>>;

/// What is left of a call that its entry has given up.
enum Rest {
    Head(Sending),
    Body(Incoming, Kept),
}

/// Why a call ended before the whole answer was passed on.
enum End {
    Dropped,
    Late,
    Broken,
    Corrupt(&'static str),
}

/// The answer as far as it is kept for `Seal`.
struct Kept {
    head: wire::AnswerHead,
    body: BytesMut,
    fits: bool,
}

impl Call {
    /// Passes the request on and its answer back.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that has to end the stream.
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
            self.place.answering();
        }
        let end = match answer.head(kept.head.clone()).await {
            Ok(()) => self.copy(&mut body, &mut kept, events, answer).await,
            Err(Dropped) => Err(End::Dropped),
        };
        let Err(end) = end else {
            self.complete(kept);
            // An entry that drops the stream now has lost only the final frame.
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
                self.place.broken();
                Err(server_failed().with_message("the server's answer was cut short"))
            }
        }
    }

    /// Copies the body into data frames.
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
                self.place.token(time);
            }
            if splitter.pending() > sse::MAX_EVENT {
                return Err(End::Corrupt("an event of the server's answer is too long"));
            }
        }
        // A body without length ends where its connection ends, even in mid-answer.
        if events && (!done || splitter.pending() > 0) {
            return Err(End::Broken);
        }
        // A larger answer than is kept is not checked.
        let whole = self.kind == Kind::Model && !events && kept.fits;
        if whole && !origin::is_answer_of(&kept.body, &self.request_id) {
            return Err(End::Corrupt(OTHER_REQUEST));
        }
        Ok(())
    }

    /// Reads further bytes; `None` at the end of the body.
    async fn next(
        &self,
        body: &mut Incoming,
        events: bool,
        answer: &mut Answer,
    ) -> Result<Option<Bytes>, End> {
        let waited_from = self.place.now();
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
                self.place.heard(waited_from);
            }
            return Ok(Some(data));
        }
    }

    /// Accounts for a request that got no head.
    fn failed(mut self, error: &Error) -> Refusal {
        if matches!(error, Error::Connect(_)) {
            self.place.not_run();
            return Refusal::not_run(Reason::ServerFailed, RETRY_FAILED)
                .with_message(error.to_string());
        }
        self.place.broken();
        server_failed().with_message(error.to_string())
    }

    fn complete(mut self, kept: Kept) {
        let whole = self.started.elapsed();
        let time = match self.kind {
            Kind::Plain => Time::Plain(whole),
            Kind::Model => Time::Model {
                whole,
                per_token: kept.tokens().map(|tokens| whole / tokens),
            },
        };
        let healthy = kept.head.status < 500;
        self.place.completed(healthy.then_some(time), kept.result());
    }

    /// Keeps the place until the server does not hold the request any more.
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
        // A service that has sent a head only writes; closing its connection
        // ends that. Before the head it may work on, so there is no limit.
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
            Ok(Err(_)) => self.place.broken(),
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

/// Lines per second about failed cancel calls; a silent engine fails them for
/// every request it holds.
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
    if let Some(suppressed) = LINES.admit(std::time::Instant::now()) {
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

    /// Tokens of a whole answer of a model engine, if it says so and they are
    /// enough for its prompt not to decide the time.
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
