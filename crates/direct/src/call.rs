//! Reading, routing and identifying a request of a caller.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::Content;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};

use crate::admit::outlasts_stop;
use crate::answer::{Refusal, strip_connection_headers};
use crate::config::{Configuration, Limits, RequestKind, Route};
use crate::gateway::{BodyReservation, Gateway};
use crate::metrics::End;
use crate::state::ServiceKey;

/// Time before the client's timeout at which it is answered at the latest.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// `Retry-After` while no configuration is known or too many bodies are
/// buffered. A reachable store answers within milliseconds.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Parts of a prompt that are considered.
const MAX_PARTS: usize = 32;

/// A request of a caller whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// Id of this attempt of the client.
    pub id: HeaderValue,
    /// Time at which its head was read.
    pub started: Instant,
    /// Time at which the entry answers at the latest.
    pub deadline: Instant,
    /// Time that the client waits, counted from the head.
    pub client_timeout: Duration,
    /// Whether it can still be answered on time. A late request is a client's
    /// retry, whose client timeout is far shorter than usual on its route.
    pub in_time: bool,
    /// Route of its host and path.
    pub route: Route,
    /// Client account that is charged, empty for anonymous requests.
    pub account: Arc<str>,
    /// Priority of the client account, 0 is the highest; `None` if it has none of its
    /// own.
    pub account_priority: Option<u32>,
    /// Tokens of its prompt, 0 if it has none.
    pub prompt_tokens: u32,
    /// What it holds, to find requests that crash servers.
    pub content: Content,
    /// Service that it is sent to.
    pub service: ServiceKey,
    /// Name of that service.
    pub service_name: Arc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _body_reservation: BodyReservation,
}

impl Call {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails with the answer to the caller if the request is malformed, too
    /// large or not authenticated, or cannot be routed.
    pub async fn read(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Result<Self, Refusal> {
        let started = gateway.clock.now();
        let view = gateway.with_state(|state, _| state.view.clone());
        if !view.is_ready() {
            return Err(
                Refusal::new(End::NoConfiguration).with_retry_after(UNAVAILABLE_RETRY_AFTER)
            );
        }
        let configuration = &*view.configuration.value;
        let names = &gateway.names;
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let malformed = Refusal::new(End::Malformed);
        let id = headers.get(&names.attempt_id).ok_or(malformed)?.clone();
        let host = text(&headers, &HOST).ok_or(malformed)?;
        let route = configuration.route(host, parts.uri.path());
        let route = route.ok_or(Refusal::new(End::NoRoute))?.clone();
        let (account, account_priority) = identify(configuration, &headers, &route)?;
        let client_timeout = match headers.get(&names.deadline) {
            Some(value) => milliseconds(value).ok_or(malformed)?,
            None => route.timeout,
        };
        let prompt_tokens = text(&headers, &names.token_count).map_or(Some(0), prompt_tokens);
        let prompt_tokens = prompt_tokens.ok_or(malformed)?;
        let draw = gateway.with_state(|_, _| rand::random());
        let target = route.target(draw).ok_or(Refusal::new(End::NoServer))?;
        let service_name = target.service.clone();
        let service = gateway.with_state(|state, _| state.service_key(&service_name));
        let in_time = gateway.with_state(|state, _| state.is_in_time(&route, client_timeout));
        let time = route
            .timeout
            .min(client_timeout.saturating_sub(ANSWER_MARGIN));
        let deadline = started + time;
        if let Some(refusal) = outlasts_stop(gateway, route.kind, deadline) {
            return Err(refusal);
        }
        let reading = read_body(gateway, body, &configuration.limits);
        let left = gateway.clock.until(deadline);
        let read = tokio::time::timeout(left, reading).await;
        let (body, body_reservation) = read.map_err(|_| Refusal::new(End::Timeout))??;
        let prompt = text(&headers, &names.prompt_parts).unwrap_or("");
        let whole = digest(&(&account, &parts.method, &parts.uri, prompt, &body));
        let content = Content::new(shared_parts(prompt).map(|id| digest(&id)), whole);
        Ok(Call {
            id,
            started,
            deadline,
            client_timeout,
            in_time,
            route,
            account,
            account_priority,
            prompt_tokens,
            content,
            service,
            service_name,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            _body_reservation: body_reservation,
        })
    }

    /// Returns the route's kind, which determines whether the request may be
    /// retried.
    pub fn kind(&self) -> RequestKind {
        self.route.kind
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, gateway: &Gateway) -> Duration {
        gateway.clock.until(self.deadline)
    }

    /// Returns the request to send to a server. It continues a stream after the
    /// event `last_event`, if one is given.
    pub fn request(
        &self,
        gateway: &Gateway,
        server: &str,
        last_event: Option<&str>,
    ) -> Request<http_body_util::Full<Bytes>> {
        let names = &gateway.names;
        let mut headers = self.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(EXPECT);
        headers.remove(AUTHORIZATION);
        let left = self.time_left(gateway).as_millis();
        let account = Some(&*self.account).filter(|account| !account.is_empty());
        let left = left.to_string();
        let set = [
            (&names.account, account),
            (&names.expected_server, Some(server)),
            (&names.deadline, Some(&*left)),
        ];
        for (name, value) in set {
            headers.remove(name);
            insert(&mut headers, name, value);
        }
        if last_event.is_some() {
            insert(&mut headers, &names.last_event, last_event);
        }
        let body = http_body_util::Full::new(self.body.clone());
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        // Requests to a server have only path and query in the request line.
        *request.uri_mut() = match self.uri.path_and_query() {
            Some(path) => Uri::from(path.clone()),
            None => self.uri.clone(),
        };
        *request.headers_mut() = headers;
        request
    }
}

fn insert(headers: &mut HeaderMap, name: &hyper::header::HeaderName, value: Option<&str>) {
    let Some(value) = value else { return };
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => tracing::error!(%name, %error, "header omitted: invalid value"),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn milliseconds(value: &HeaderValue) -> Option<Duration> {
    let millis = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Parses the first of the comma-separated numbers.
fn prompt_tokens(value: &str) -> Option<u32> {
    value.split(',').next()?.trim().parse().ok()
}

/// Returns the ids of the parts of a prompt that other requests may share: all
/// but the last.
fn shared_parts(value: &str) -> impl Iterator<Item = &str> {
    let shared = value.rsplit_once(',').map_or("", |(shared, _)| shared);
    let parts = shared.split(',').take(MAX_PARTS);
    let ids = parts.map(|part| part.split_once(':').map_or(part, |(id, _)| id).trim());
    ids.filter(|id| !id.is_empty())
}

/// Hashes with fixed keys, so that all entries compute the same digest.
fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn identify(
    configuration: &Configuration,
    headers: &HeaderMap,
    route: &Route,
) -> Result<(Arc<str>, Option<u32>), Refusal> {
    let anonymous = (Arc::from(""), None);
    if configuration.keys.is_none() {
        return Ok(anonymous);
    }
    let bearer = text(headers, &AUTHORIZATION);
    let key = bearer.and_then(|value| value.split_once(' '));
    let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let account = key.and_then(|(_, key)| configuration.api_key(key.trim()));
    match account {
        Some(key) => Ok((key.account.clone(), key.priority)),
        None if route.anonymous => Ok(anonymous),
        None => Err(Refusal::new(End::Unauthenticated)),
    }
}

async fn read_body(
    gateway: &Rc<Gateway>,
    body: Incoming,
    limits: &Limits,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let hint = body.size_hint();
    // Without a known length, reserves the largest allowed size.
    let most = hint
        .upper()
        .map_or(limits.body_bytes, |bytes| bytes as usize);
    if most > limits.body_bytes && hint.upper().is_some() {
        return Err(Refusal::new(End::TooLarge));
    }
    let reserved = gateway.reserve_body(most).ok_or_else(|| {
        // Reserved memory is released when an answer ends, within seconds.
        Refusal::new(End::NoPermit).with_retry_after(UNAVAILABLE_RETRY_AFTER)
    })?;
    match Limited::new(body, limits.body_bytes).collect().await {
        Ok(body) => Ok((body.to_bytes(), reserved)),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(End::TooLarge))
        }
        Err(_) => Err(Refusal::new(End::Malformed)),
    }
}
