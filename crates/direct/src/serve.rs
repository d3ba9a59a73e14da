//! Accepting and serving the connections of callers.

use std::cell::Cell;
use std::io;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::admit::{admit, outlasts_stop};
use crate::answer::{Body, Refusal};
use crate::attempt::{Answer, Attempts, hold, quarantine, unservable};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::metrics::End;
use crate::record::Record;
use crate::relay::relay;

/// Smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a new connection may be without a request while the entry stops.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Signals for the end of an entry's service.
#[derive(Clone, Debug)]
pub struct Stopping {
    /// Whether connections are closed, each after the answer in progress.
    pub close: watch::Receiver<bool>,
    /// Whether no more connections are accepted.
    pub end: watch::Receiver<bool>,
}

/// Accepts connections until the end is signalled, and then those that callers have
/// made already: they would be reset with the listener.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener, mut stopping: Stopping) {
    let start = |stream, closing: &watch::Receiver<bool>| {
        let open = gateway.open_connection();
        let connection = connect(gateway.clone(), stream, closing.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.end.wait_for(|end| *end) => break,
        };
        match accepted {
            Ok((stream, _)) => start(stream, &stopping.close),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let waiting = listener.into_std().and_then(|listener| {
        let mut waiting = Vec::new();
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    waiting.push(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(waiting),
                Err(error) => return Err(error),
            }
        }
    });
    match waiting {
        Ok(waiting) => {
            for stream in waiting {
                start(stream, &stopping.close);
            }
        }
        Err(error) => tracing::warn!(%error, "cannot accept the last connections"),
    }
}

async fn connect(gateway: Rc<Gateway>, stream: TcpStream, closing: watch::Receiver<bool>) {
    if let Err(error) = serve(gateway, stream, closing).await {
        tracing::debug!(%error, "connection of a caller failed");
    }
}

async fn serve(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> Result<(), Box<dyn std::error::Error>> {
    stream.set_nodelay(true)?;
    let limits = gateway.with_state(|state, _| state.view.configuration.value.limits);
    let requested = Cell::new(false);
    let service = service_fn(|request| {
        requested.set(true);
        let gateway = gateway.clone();
        async move {
            // A panic would close the connection without an answer.
            let answered = AssertUnwindSafe(answer(gateway, request)).catch_unwind();
            let answered = answered.await;
            Ok::<_, io::Error>(answered.unwrap_or_else(|_| {
                tracing::error!("request failed: the task that served it panicked");
                Refusal::new(End::Internal).into_response()
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also closes idle connections: the timer runs from the end of the
        // previous request.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closes = closing.wait_for(|closing| *closing);
    tokio::select! {
        biased;
        ended = connection.as_mut() => return Ok(ended?),
        _ = closes => {}
    }
    if !requested.get() {
        // Its first request may be on its way; the connection closes after the answer.
        let first = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, connection.as_mut());
        if let Ok(ended) = first.await {
            return Ok(ended?);
        }
    }
    connection.as_mut().graceful_shutdown();
    Ok(connection.await?)
}

async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let id = request.headers().get(&gateway.names.attempt_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
    let mut record = Record::new(&gateway, id.to_owned());
    let mut response = match Call::read(&gateway, request).await {
        Ok(call) => process(&gateway, call, record).await,
        Err(refusal) => refuse(&mut record, refusal),
    };
    if gateway.stop().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn process(gateway: &Rc<Gateway>, call: Call, mut record: Record) -> Response<Body> {
    record.routed(&call);
    gateway.with_state(|state, now| state.count_request(now, call.service));
    // Refused at once, as a wait for a permit would be in vain.
    let refusal = outlasts_stop(gateway, call.kind(), call.deadline)
        .or_else(|| quarantine(gateway, &call))
        .or_else(|| hold(gateway, &call))
        .or_else(|| unservable(gateway, &call));
    if let Some(refusal) = refusal {
        return refuse(&mut record, refusal);
    }
    let permit = match admit(gateway, &call, &mut record).await {
        Ok(permit) => permit,
        Err(refusal) => return refuse(&mut record, refusal),
    };
    record.admitted();
    let mut attempts = Attempts::default();
    let answer = tokio::select! {
        biased;
        answer = attempts.run(gateway, &call, &mut record, None) => answer,
        // A connection that closes would tell the caller less.
        () = gateway.answers_due() => Err(Refusal::new(End::Stopped)),
    };
    match answer {
        Ok(Answer::Stream(opened)) => relay(gateway, call, attempts, record, *opened, permit),
        Ok(Answer::Buffered(buffered)) => {
            record.event();
            record.end(End::Answered, buffered.status.as_u16(), None);
            buffered.into_response()
        }
        Err(refusal) => refuse(&mut record, refusal),
    }
}

fn refuse(record: &mut Record, refusal: Refusal) -> Response<Body> {
    let status = refusal.status().as_u16();
    record.end(refusal.end, status, refusal.retry_after);
    refusal.into_response()
}
