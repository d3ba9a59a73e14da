//! A fake of the interface for duties, which records the calls and judges them.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Treatment of the calls at one address of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Accepts calls, up to the rate limit.
    Open,
    /// Refuses all calls with 429.
    Limited,
    /// Refuses all calls with 503.
    Unavailable,
    /// Accepts calls and answers after this time.
    Slow(Duration),
    /// Reads calls and neither accepts nor answers them.
    Silent,
    /// Resets connections.
    Reset,
    /// Accepts calls and never answers them.
    AnswerLost,
    /// Accepts no call and answers with what is not HTTP.
    Malformed,
}

/// Rules of the judgement.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Time within which holders must not act in the order A, B, A.
    pub lease: Duration,
    /// Time after the resumption of a sender for which its calls are not judged.
    pub thaw: Duration,
    /// Calls accepted in any second.
    pub per_s: usize,
}

/// A call that was received.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it arrived.
    pub at: Instant,
    /// Host of the sender.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Path of the request.
    pub path: String,
    /// Body; null if it is malformed.
    pub body: Value,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// The interface, with one address for each process that uses it.
#[derive(Clone, Debug)]
pub struct Interface {
    rules: Rules,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    calls: Vec<Call>,
    /// When the accepted calls of the last second arrived.
    recent: VecDeque<Instant>,
    /// Senders that resumed, and when.
    resumed: Vec<(String, Instant)>,
}

impl Interface {
    /// Creates an interface that has received no call.
    pub fn new(rules: Rules) -> Self {
        Interface {
            rules,
            inner: Arc::default(),
        }
    }

    /// Listens on loopback; the sender sets the treatment of calls at this address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn listen(&self) -> io::Result<(SocketAddr, watch::Sender<Treatment>)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, treatment) = watch::channel(Treatment::Open);
        let interface = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let treatment = *treatment.borrow();
                tokio::spawn(interface.clone().serve(stream, treatment));
            }
        });
        Ok((address, sender))
    }

    /// Returns the calls that were received, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.lock().calls.clone()
    }

    /// Returns the accepted calls, in order of arrival.
    pub fn accepted(&self) -> Vec<Call> {
        let calls = self.calls().into_iter();
        calls.filter(|call| call.accepted).collect()
    }

    /// Returns the window and total of each accepted report, in order of arrival.
    pub fn reports(&self) -> Vec<(u64, u64)> {
        let accepted = self.accepted().into_iter();
        let reports = accepted.filter(|call| call.path == "/usage");
        let total = |body: &Value| {
            let counts = body["Counts"].as_object().into_iter().flatten();
            counts.filter_map(|(_, count)| count.as_u64()).sum()
        };
        reports
            .filter_map(|call| Some((call.body["WindowId"].as_u64()?, total(&call.body))))
            .collect()
    }

    /// Records that a sender was resumed: its next calls are not judged for a while.
    pub fn record_resumption(&self, holder: &str) {
        let resumed = (holder.to_owned(), Instant::now());
        self.lock().resumed.push(resumed);
    }

    /// Returns the violations of the rules by all calls so far.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.lock();
        let is_judged = |call: &&Call| {
            !inner.resumed.iter().any(|(holder, at)| {
                *holder == call.holder && call.at >= *at && call.at - *at < self.rules.thaw
            })
        };
        let calls: Vec<&Call> = inner.calls.iter().filter(is_judged).collect();
        let mut violations = two_reports(&calls);
        violations.extend(tokens(&calls));
        violations.extend(alternations(&calls, self.rules.lease));
        violations
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, mut stream: TcpStream, treatment: Treatment) {
        if matches!(treatment, Treatment::Reset | Treatment::Malformed) {
            let mut buffer = [0; 64];
            drop(stream.read(&mut buffer).await);
            if treatment == Treatment::Malformed {
                drop(stream.write_all(b"200 accepted\r\n\r\n").await);
                return;
            }
            // Closing then sends a reset.
            let socket = socket2::SockRef::from(&stream);
            drop(socket.set_linger(Some(Duration::ZERO)));
            return;
        }
        let service = service_fn(|request| self.answer(request, treatment));
        // A client may close its connection at any time.
        drop(
            http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await,
        );
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        treatment: Treatment,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = request.into_parts();
        let header = |name: &str| {
            let value = parts.headers.get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return Ok(status(StatusCode::BAD_REQUEST)),
        };
        let call = Call {
            at: Instant::now(),
            holder: header("berylgw-duty-holder"),
            token: header("berylgw-fencing-token").parse().unwrap_or(0),
            path: parts.uri.path().to_owned(),
            body: serde_json::from_slice(&body).unwrap_or_default(),
            accepted: false,
        };
        let accepts = !matches!(
            treatment,
            Treatment::Limited | Treatment::Unavailable | Treatment::Silent
        );
        let accepted = self.record(call, accepts);
        match treatment {
            Treatment::Unavailable => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
            Treatment::Silent | Treatment::AnswerLost => std::future::pending().await,
            Treatment::Slow(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        Ok(status(match accepted {
            true => StatusCode::OK,
            false => StatusCode::TOO_MANY_REQUESTS,
        }))
    }

    /// Records a call; returns whether it is accepted.
    fn record(&self, mut call: Call, accepts: bool) -> bool {
        let mut inner = self.lock();
        let second_ago = call.at.checked_sub(Duration::from_secs(1));
        while let Some(at) = inner.recent.front()
            && second_ago.is_some_and(|second_ago| *at <= second_ago)
        {
            inner.recent.pop_front();
        }
        call.accepted = accepts && inner.recent.len() < self.rules.per_s;
        if call.accepted {
            inner.recent.push_back(call.at);
        }
        let accepted = call.accepted;
        inner.calls.push(call);
        accepted
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Finds windows that were reported with two different counts.
fn two_reports(calls: &[&Call]) -> Vec<String> {
    let reports = calls
        .iter()
        .filter(|call| call.accepted && call.path == "/usage");
    let mut known: Vec<&Call> = Vec::new();
    let mut violations = Vec::new();
    for report in reports {
        let window = &report.body["WindowId"];
        match known.iter().find(|call| call.body["WindowId"] == *window) {
            Some(call) if call.body == report.body => {}
            Some(call) => violations.push(format!(
                "window {window} reported twice: {} by {} and {} by {}",
                call.body, call.token, report.body, report.token
            )),
            None => known.push(report),
        }
    }
    violations
}

/// Finds a token of two holders, and a token below an earlier one.
fn tokens(calls: &[&Call]) -> Vec<String> {
    let mut highest: Option<&Call> = None;
    let mut violations = Vec::new();
    for call in calls {
        match highest {
            Some(high) if call.token < high.token => violations.push(format!(
                "token {} of {} after {} of {}",
                call.token, call.holder, high.token, high.holder
            )),
            Some(high) if call.token == high.token && call.holder != high.holder => violations
                .push(format!(
                    "token {} of {} and {}",
                    call.token, high.holder, call.holder
                )),
            _ => highest = Some(call),
        }
    }
    violations
}

/// Finds holders that acted in the order A, B, A within `lease`.
fn alternations(calls: &[&Call], lease: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        let recent = calls[..index].iter().rev();
        let mut recent = recent.take_while(|earlier| call.at - earlier.at < lease);
        let other = recent.find(|earlier| earlier.holder != call.holder);
        let again = recent.find(|earlier| earlier.holder == call.holder);
        if let (Some(other), Some(again)) = (other, again) {
            violations.push(format!(
                "{} acted, then {}, then {} again after {:?}",
                call.holder,
                other.holder,
                call.holder,
                call.at - again.at
            ));
        }
    }
    violations
}
