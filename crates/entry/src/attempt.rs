//! A single attempt to run a request at an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::outcome::{Reason, Refusal};
use berylgw_core::route::{Load, ServerKey};
use berylgw_core::stream::{Action, Content, Position, Reader};
use berylgw_wire as wire;
use bytes::Bytes;
use tonic::{Status, Streaming};
use wire::answer_frame::Kind;

use crate::answer::Pushed;
use crate::dispatch::{Driver, Mode};
use crate::shared::Shared;

const RETRY_AFTER: Duration = Duration::from_millis(500);

/// How an attempt ended.
pub enum End {
    /// The complete answer was received and delivered.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The caller reads too slowly; the stream is resumed once its buffer is
    /// empty.
    Suspended,
    /// The attempt failed.
    Failed(Failure),
}

/// Cause of a failed attempt; the outcome of the refusal says whether the
/// request may have run.
pub struct Failure {
    pub refusal: Refusal,
    pub retry: bool,
    /// Configuration version that a `stale_config` refusal requires.
    pub required_version: Option<u64>,
}

impl Failure {
    pub fn new(refusal: Refusal, retry: bool) -> Self {
        Failure {
            refusal,
            retry,
            required_version: None,
        }
    }

    fn outcome_unknown(reason: Reason, message: String) -> Self {
        let refusal = Refusal::unknown(reason, RETRY_AFTER).with_message(message);
        Failure::new(refusal, reason != Reason::AnswerCorrupt)
    }

    pub fn unreachable(message: String) -> Self {
        let refusal = Refusal::not_run(Reason::AgentUnreachable, RETRY_AFTER);
        Failure::new(refusal.with_message(message), true)
    }
}

/// Guard that counts an attempt as in flight in the routing table.
struct InFlightGuard {
    shared: Arc<Shared>,
    key: ServerKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.table().finished(self.key);
    }
}

pub fn load(load: &wire::Load) -> Load {
    Load {
        in_flight: load.in_flight.saturating_add(load.queued),
        limit: load.limit,
        service_time: Duration::from_micros(load.service_time_us),
        draining: load.draining,
    }
}

/// Runs one attempt at the server and records its result in the routing table.
pub async fn run(driver: &mut Driver, key: ServerKey, address: SocketAddr) -> End {
    let shared = driver.shared.clone();
    shared.table().dispatched(key);
    let _guard = InFlightGuard {
        shared: shared.clone(),
        key,
    };
    let end = exchange(driver, key, address).await;
    let End::Failed(failure) = &end else {
        return end;
    };
    match failure.refusal.reason {
        Reason::AgentUnreachable | Reason::ConnectionLost => {
            shared.pool.evict(address);
            let now = shared.now();
            shared.table().failed(key, now);
        }
        Reason::ServerFull | Reason::QueueFull => {
            let now = shared.now();
            shared.table().refused(key, false, now);
        }
        Reason::Draining | Reason::ShuttingDown => {
            let now = shared.now();
            shared.table().refused(key, true, now);
        }
        _ => {}
    }
    end
}

async fn exchange(driver: &mut Driver, key: ServerKey, address: SocketAddr) -> End {
    let shared = driver.shared.clone();
    let channel = match shared.pool.get(address).await {
        Ok(channel) => channel,
        Err(error) => return End::Failed(Failure::unreachable(error.to_string())),
    };
    let mut client = wire::agent_client::AgentClient::new(channel)
        .max_decoding_message_size(shared.settings.limits.answer_bytes.max(4 << 20));
    let request = driver.request();
    let progress_timeout = shared.settings.limits.progress();
    let answer = tokio::select! {
        answer = tokio::time::timeout(progress_timeout, client.dispatch(request)) => answer,
        () = driver.caller_gone() => return End::CallerGone,
    };
    let frames = match answer {
        Ok(Ok(response)) => response.into_inner(),
        Ok(Err(status)) if never_sent(&status) => {
            return End::Failed(Failure::unreachable(status.message().to_owned()));
        }
        Ok(Err(status)) => return connection_lost(&status),
        Err(_) => return timed_out(),
    };
    read(driver, key, address, frames).await
}

async fn read(
    driver: &mut Driver,
    key: ServerKey,
    address: SocketAddr,
    mut frames: Streaming<wire::AnswerFrame>,
) -> End {
    let shared = driver.shared.clone();
    let progress_timeout = shared.settings.limits.progress();
    let mut reader = Reader::new(&driver.call.id, driver.attempt);
    loop {
        let wait = progress_timeout.min(shared.clock.until(driver.call.deadline));
        let frame = tokio::select! {
            frame = tokio::time::timeout(wait, frames.message()) => frame,
            () = driver.caller_gone() => return End::CallerGone,
        };
        let frame = match frame {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return truncated(&reader),
            Ok(Err(status)) => return connection_lost(&status),
            Err(_) if shared.clock.until(driver.call.deadline).is_zero() => {
                return deadline_exceeded();
            }
            Err(_) => return timed_out(),
        };
        shared.record_sender(address, frame.sender.as_ref());
        if let Some(report) = &frame.load {
            let now = shared.now();
            shared.table().reported(key, load(report), now);
        }
        let Some(kind) = frame.kind else {
            return corrupt(None);
        };
        let position = Position {
            request_id: &frame.request_id,
            attempt: frame.attempt,
            sequence: frame.sequence,
        };
        match reader.accept(position, content(&kind)) {
            Ok(Action::Drop) => continue,
            Ok(Action::Complete) => return End::Complete,
            Ok(Action::Forward) => {}
            Err(error) => return corrupt(Some(error)),
        }
        let ended = match kind {
            Kind::Head(head) => driver.head(head).err().map(|message| {
                End::Failed(Failure::outcome_unknown(Reason::ServerFailed, message))
            }),
            Kind::Data(data) => deliver(driver, data).await,
            Kind::Refusal(refusal) => Some(refused(&refusal, frame.sender.as_ref())),
            Kind::Final(_) | Kind::Heartbeat(_) => None,
        };
        if let Some(end) = ended {
            return end;
        }
        if shared.clock.until(driver.call.deadline).is_zero() {
            return deadline_exceeded();
        }
    }
}

fn content(kind: &Kind) -> Content {
    match kind {
        Kind::Head(_) => Content::Head,
        Kind::Data(data) => Content::Data(data.len()),
        Kind::Final(end) => Content::Final {
            frames: end.frames,
            bytes: end.bytes,
        },
        Kind::Refusal(_) => Content::Refusal,
        Kind::Heartbeat(_) => Content::Heartbeat,
    }
}

async fn deliver(driver: &mut Driver, data: Bytes) -> Option<End> {
    let limits = &driver.shared.settings.limits;
    match driver.mode {
        Mode::Collect => {
            if driver.collected.len() + data.len() > limits.answer_bytes {
                let message = "the answer exceeds the size that the entry collects".to_owned();
                let mut failure = Failure::outcome_unknown(Reason::ServerFailed, message);
                failure.retry = false;
                return Some(End::Failed(failure));
            }
            driver.collected.extend_from_slice(&data);
            None
        }
        Mode::Events => {
            if !driver.resume.should_forward(&data) {
                return None;
            }
            match driver.sink.push(data.clone()) {
                Pushed::Kept => driver.resume.record_forwarded(&data),
                Pushed::Full => return Some(End::Suspended),
                Pushed::Closed => return Some(End::CallerGone),
            }
            None
        }
        Mode::Relay => {
            let left = driver.shared.clock.until(driver.call.deadline);
            let timeout = Duration::from_millis(limits.slow_reader_ms).min(left);
            match driver.sink.push_within(data, timeout).await {
                Pushed::Kept => None,
                Pushed::Closed => Some(End::CallerGone),
                Pushed::Full => {
                    let refusal = Refusal::unknown(Reason::SlowReader, RETRY_AFTER);
                    Some(End::Failed(Failure::new(refusal, false)))
                }
            }
        }
    }
}

fn refused(refusal: &wire::Refusal, sender: Option<&wire::Sender>) -> End {
    let refusal = Refusal::from(refusal);
    let retry = matches!(
        refusal.reason,
        Reason::ServerFull
            | Reason::QueueFull
            | Reason::Draining
            | Reason::StaleConfig
            | Reason::ShuttingDown
            | Reason::AgentUnreachable
            | Reason::ConnectionLost
            | Reason::ServerFailed
            | Reason::NoServer
    );
    let required_version = (refusal.reason == Reason::StaleConfig)
        .then(|| sender.map(|sender| sender.config_version))
        .flatten();
    End::Failed(Failure {
        refusal,
        retry,
        required_version,
    })
}

/// Returns whether connecting failed, so that the request was not sent.
fn never_sent(status: &Status) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn connection_lost(status: &Status) -> End {
    let message = format!("connection to the agent lost: {}", status.message());
    End::Failed(Failure::outcome_unknown(Reason::ConnectionLost, message))
}

fn timed_out() -> End {
    let message = "no frame from the agent within the progress timeout".to_owned();
    End::Failed(Failure::outcome_unknown(Reason::ConnectionLost, message))
}

/// Returns the failure of a stream that ended without its final frame. The
/// frames received are valid, so another server can resume after them.
fn truncated(reader: &Reader) -> End {
    let error = reader.finish().err();
    let message = error.map_or_else(String::new, |error| error.to_string());
    End::Failed(Failure::outcome_unknown(Reason::ConnectionLost, message))
}

fn deadline_exceeded() -> End {
    let refusal = Refusal::unknown(Reason::Deadline, RETRY_AFTER);
    End::Failed(Failure::new(refusal, false))
}

fn corrupt(error: Option<berylgw_core::Error>) -> End {
    let message = error.map_or_else(
        || "answer frame without content".to_owned(),
        |error| error.to_string(),
    );
    End::Failed(Failure::outcome_unknown(Reason::AnswerCorrupt, message))
}
