//! Forwarding a stream to the caller, one or more complete events at once.

use std::rc::Rc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use bytes::Bytes;
use futures_util::stream;
use hyper::Response;

use crate::answer::{Abort, Body, respond};
use crate::attempt::{Answer, Attempts, Opened, may_follow_crash, next_events};
use crate::call::Call;
use crate::config::RequestKind;
use crate::event::Splitter;
use crate::gateway::{Assignment, Gateway, Permit};
use crate::metrics::{End, Retry};
use crate::record::Record;
use crate::send::Exchange;

/// Time from the first event of a server within which its crash may be due to the
/// stream. Each stream that a server has begun breaks off with it.
const PROBATION: Duration = Duration::from_millis(150);

/// A stream in progress. Dropping it closes the connection to the server, which
/// cancels the server's work.
struct Relay {
    gateway: Rc<Gateway>,
    call: Call,
    attempts: Attempts,
    record: Record,
    first: Option<Bytes>,
    splitter: Splitter,
    exchange: Exchange,
    assignment: Assignment,
    /// When the server began to answer, `None` once it has shown that the stream does
    /// not crash it.
    on_probation: Option<Instant>,
    _permit: Option<Permit>,
}

/// Builds the response that forwards the stream `opened`.
pub fn relay(
    gateway: &Rc<Gateway>,
    call: Call,
    attempts: Attempts,
    record: Record,
    opened: Opened,
    permit: Option<Permit>,
) -> Response<Body> {
    let relay = Relay {
        gateway: gateway.clone(),
        call,
        attempts,
        record,
        first: Some(opened.first),
        splitter: opened.splitter,
        exchange: opened.exchange,
        assignment: opened.assignment,
        on_probation: Some(gateway.clock.now()),
        _permit: permit,
    };
    let body = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(abort) => Some((Err(abort), None)),
        }
    });
    respond(opened.status, opened.headers, Body::Stream(Box::pin(body)))
}

impl Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, Abort> {
        if let Some(first) = self.first.take() {
            self.record.event();
            return Ok(Some(first));
        }
        loop {
            let left = self.call.time_left(&self.gateway);
            let reading = next_events(&mut self.exchange.response, &mut self.splitter);
            let read = match tokio::time::timeout(left, reading).await {
                Ok(read) => read,
                Err(_) => return Err(self.abort(End::Timeout)),
            };
            match read {
                Ok(Some(events)) => {
                    self.observe_event();
                    return Ok(Some(events));
                }
                Ok(None) => {
                    self.end_probation();
                    let status = self.exchange.response.status();
                    self.record.end(End::Answered, status.as_u16(), None);
                    return Ok(None);
                }
                Err(error) => {
                    let server = &self.assignment.server.id;
                    tracing::info!(%server, %error, "stream broken off");
                    self.assignment.report(|health, now| health.failed(now));
                    let server = self.assignment.server.clone();
                    if self.on_probation.is_some()
                        && !may_follow_crash(&self.gateway, &self.call, &server).await
                    {
                        return Err(self.abort(End::BrokenOff));
                    }
                    if let Some(events) = self.resume().await? {
                        return Ok(Some(events));
                    }
                }
            }
        }
    }

    /// Records that the server answers the request, once for each server.
    fn end_probation(&mut self) {
        if self.on_probation.take().is_some() {
            let content = &self.call.content;
            self.gateway
                .with_state(|state, now| state.record_answer(now, content));
        }
    }

    fn observe_event(&mut self) {
        let now = self.gateway.clock.now();
        if self
            .on_probation
            .is_some_and(|begun| now.since(begun) >= PROBATION)
        {
            self.end_probation();
        }
        let Some(pause) = self.record.event() else {
            return;
        };
        let Some(target) = self.call.route.pause_target else {
            return;
        };
        let service = self.call.service;
        self.gateway
            .with_state(|state, now| state.record_pause(now, service, pause, target));
    }

    /// Continues the stream at another server, after the last complete event.
    async fn resume(&mut self) -> Result<Option<Bytes>, Abort> {
        let last = self.splitter.last_id().map(str::to_owned);
        let (RequestKind::ResumableStream, Some(last)) = (self.call.kind(), last) else {
            return Err(self.abort(End::BrokenOff));
        };
        self.record.retried(Retry::BrokenOff);
        let resumed = self
            .attempts
            .run(&self.gateway, &self.call, &mut self.record, Some(&last));
        let opened = match resumed.await {
            Ok(Answer::Stream(opened)) => *opened,
            Ok(Answer::Buffered(_)) | Err(_) => return Err(self.abort(End::BrokenOff)),
        };
        self.splitter = opened.splitter;
        self.exchange = opened.exchange;
        self.assignment = opened.assignment;
        self.on_probation = Some(self.gateway.clock.now());
        self.record.event();
        Ok(Some(opened.first))
    }

    fn abort(&mut self, end: End) -> Abort {
        let status = self.exchange.response.status();
        self.record.end(end, status.as_u16(), None);
        Abort(end)
    }
}
