//! Processing of one request from the queue to its last frame.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::service::Kind;
use berylgw_wire as wire;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval, timeout_at};
use tonic::Status;
use wire::answer_frame::Kind as FrameKind;

use crate::admission::{Admitted, Controller};
use crate::call::Call;
use crate::convert;
use crate::dispatch::Service;

/// A frame as tonic sends it.
pub type Frame = Result<wire::AnswerFrame, Status>;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Retry delay after a failure of the server.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Stream of the frames of one answer to its entry.
#[derive(Debug)]
pub struct Answer {
    request_id: String,
    attempt: u32,
    controller: Arc<Controller>,
    frames: mpsc::Sender<Frame>,
    sequence: u64,
    bytes: u64,
    heartbeat: Interval,
}

/// Error of a stream that its entry has dropped.
#[derive(Clone, Copy, Debug)]
pub struct Dropped;

impl Answer {
    /// Creates the answer to `request`, which is sent through `frames`.
    pub fn new(
        request: &wire::DispatchRequest,
        controller: Arc<Controller>,
        frames: mpsc::Sender<Frame>,
    ) -> Self {
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat.reset();
        Answer {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            controller,
            frames,
            sequence: 0,
            bytes: 0,
            heartbeat,
        }
    }

    /// Resolves when the entry has dropped the stream.
    pub async fn dropped(&self) {
        self.frames.closed().await;
    }

    /// Ends the stream with a refusal.
    pub async fn refuse(&mut self, refusal: &Refusal) {
        let kind = FrameKind::Refusal(convert::refusal(refusal));
        let _ = self.send(kind, true).await;
    }

    pub(crate) async fn head(&mut self, head: wire::AnswerHead) -> Result<(), Dropped> {
        self.send(FrameKind::Head(head), true).await?;
        self.sequence += 1;
        Ok(())
    }

    pub(crate) async fn data(&mut self, data: Bytes) -> Result<(), Dropped> {
        let length = data.len() as u64;
        self.send(FrameKind::Data(data), false).await?;
        self.sequence += 1;
        self.bytes += length;
        Ok(())
    }

    pub(crate) async fn finish(&mut self) -> Result<(), Dropped> {
        let last = wire::AnswerFinal {
            frames: self.sequence,
            bytes: self.bytes,
        };
        self.send(FrameKind::Final(last), true).await
    }

    /// Sends heartbeats until the entry drops the stream.
    pub(crate) async fn heartbeat(&mut self) -> Dropped {
        loop {
            tokio::select! {
                () = self.frames.closed() => return Dropped,
                _ = self.heartbeat.tick() => {}
            }
            let frame = self.frame(FrameKind::Heartbeat(wire::Heartbeat {}), false);
            // A full channel holds frames that the entry has yet to read, which
            // make a heartbeat unnecessary.
            let _ = self.frames.try_send(Ok(frame));
        }
    }

    async fn send(&mut self, kind: FrameKind, with_load: bool) -> Result<(), Dropped> {
        let frame = self.frame(kind, with_load);
        self.heartbeat.reset();
        self.frames.send(Ok(frame)).await.map_err(|_| Dropped)
    }

    fn frame(&self, kind: FrameKind, with_load: bool) -> wire::AnswerFrame {
        wire::AnswerFrame {
            request_id: self.request_id.clone(),
            attempt: self.attempt,
            sequence: self.sequence,
            sender: Some(self.controller.current_sender()),
            load: with_load.then(|| self.controller.load()),
            kind: Some(kind),
        }
    }
}

/// Runs an admitted request.
///
/// # Errors
///
/// Fails with the refusal to end the stream with.
pub async fn run(
    service: &Service,
    request: wire::DispatchRequest,
    admitted: Admitted,
    answer: &mut Answer,
) -> Result<(), Refusal> {
    let Admitted {
        mut permit,
        grant,
        kind,
        deadline,
    } = admitted;
    let deadline = Instant::now() + service.controller.clock().until(deadline);
    tokio::select! {
        grant = timeout_at(deadline, grant) => match grant {
            Ok(Ok(grant)) => grant?,
            // The request is not sent: returning drops its permit.
            Ok(Err(_)) | Err(_) => {
                return Err(Refusal::not_run(Reason::Deadline, RETRY_AFTER));
            }
        },
        Dropped = answer.heartbeat() => return Ok(()),
    }
    let engine_id = format!("{}.{}", request.request_id, request.attempt);
    let built = match kind {
        Kind::Model => service.server.model_request(&request, &engine_id),
        Kind::Plain => service.server.plain_request(&request),
    };
    let built = built.map_err(|error| {
        Refusal::not_run(Reason::InvalidRequest, RETRY_AFTER).with_message(error.to_string())
    })?;
    permit.record_forwarded();
    let call = Call {
        server: service.server.clone(),
        permit,
        kind,
        engine_id,
        request_id: request.request_id,
        deadline,
        started: Instant::now(),
    };
    call.run(built, answer).await
}
