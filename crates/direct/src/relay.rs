//! Forwarding a stream to the caller, one or more complete events at once.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;

use crate::answer::{Abort, Body, respond};
use crate::attempt::{Answer, Attempts, Opened, may_follow_crash, next_events};
use crate::call::Call;
use crate::config::RequestKind;
use crate::event::Splitter;
use crate::gateway::{Assignment, Gateway, Permit, Stream};
use crate::metrics::{End, Retry};
use crate::record::Record;
use crate::send::Exchange;

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
    /// The stream as its server writes it.
    stream: Stream,
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
    let server = &opened.assignment.server;
    let relay = Relay {
        stream: Stream::begin(gateway, call.service, server, &call.content),
        gateway: gateway.clone(),
        call,
        attempts,
        record,
        first: Some(opened.first),
        splitter: opened.splitter,
        exchange: opened.exchange,
        assignment: opened.assignment,
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
                    let content = &self.call.content;
                    self.gateway
                        .with_state(|state, now| state.record_answer(now, content));
                    let service = self.call.service;
                    self.assignment
                        .record_response(service, self.record.events());
                    let status = self.exchange.response.status();
                    self.record.end(End::Answered, status.as_u16(), None);
                    return Ok(None);
                }
                Err(error) => {
                    let server = &self.assignment.server.id;
                    tracing::info!(%server, %error, "stream broken off");
                    self.assignment.report(|health, now| health.failed(now));
                    if !self.may_resume().await {
                        return Err(self.abort(End::BrokenOff));
                    }
                    if let Some(events) = self.resume().await? {
                        return Ok(Some(events));
                    }
                }
            }
        }
    }

    /// Records a crash if the stream may have caused one; returns whether it may be
    /// continued at another server.
    async fn may_resume(&self) -> bool {
        let server = &self.assignment.server;
        let stream = Some(self.stream.key());
        !self.stream.may_have_crashed()
            || may_follow_crash(&self.gateway, &self.call, server, stream).await
    }

    fn observe_event(&mut self) {
        let Some(pause) = self.record.event() else {
            return;
        };
        let Some(target) = self.call.route.pause_target else {
            return;
        };
        let service = self.call.service;
        self.assignment.record_pause(service, pause, target);
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
        let server = &self.assignment.server;
        let content = &self.call.content;
        self.stream = Stream::begin(&self.gateway, self.call.service, server, content);
        self.record.event();
        Ok(Some(opened.first))
    }

    fn abort(&mut self, end: End) -> Abort {
        let status = self.exchange.response.status();
        self.record.end(end, status.as_u16(), None);
        Abort(end)
    }
}
