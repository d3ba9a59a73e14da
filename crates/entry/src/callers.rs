//! HTTP interface for callers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Query, Request, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Response, header};
use axum::middleware::{self, Next};
use axum::routing::{get, post};
use berylgw_core::client::{Account, token_digest};
use berylgw_core::directory::{self, Address};
use berylgw_core::ledger::Digest;
use berylgw_core::outcome::{Outcome, Reason, Refusal};
use berylgw_core::{route, service};
use berylgw_wire as wire;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::dispatch::{self, Call, Mode, Permit};
use crate::idempotency::Claim;
use crate::render;
use crate::scope;
use crate::shared::{Current, Shared};
use crate::ticket::{self, Ticket};

/// Leading bytes of the messages that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 1_024;

const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const SENDING: HeaderName = HeaderName::from_static("berylgw-sending");
const TICKET: HeaderName = HeaderName::from_static("berylgw-ticket");

type Result<T> = std::result::Result<T, Refusal>;

/// Returns the routes of the callers' interface.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/directory", get(serve_directory))
        .route("/v1/chat/completions", post(serve_chat))
        .route("/v1/tickets", post(serve_ticket))
        .fallback(serve_plain)
        .layer(middleware::from_fn_with_state(
            shared.clone(),
            announce_stop,
        ))
        .layer(middleware::from_fn_with_state(shared.clone(), scope::open))
        .with_state(shared)
}

/// Adds `connection: close` to HTTP/1 responses while the entry is stopping.
async fn announce_stop(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response<Body> {
    let http1 = request.version() < axum::http::Version::HTTP_2;
    let mut response = next.run(request).await;
    if http1 && *shared.stopping.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(reason: Reason, message: &str) -> Refusal {
    Refusal::not_run(reason, Duration::ZERO).with_message(message)
}

fn new_id(shared: &Shared) -> String {
    format!("{:032x}", shared.rng().random::<u128>())
}

fn authenticate<'a>(current: &'a Current, headers: &HeaderMap) -> Result<&'a Account> {
    if current.snapshot.sheet.accounts.is_empty() {
        let refusal = Refusal::not_run(Reason::NoServer, CONFIG_RETRY_AFTER);
        return Err(refusal.with_message("this entry has no configuration yet"));
    }
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    token
        .and_then(|token| current.snapshot.authenticate(&token_digest(token)))
        .inspect(|account| scope::current().set_account(&account.name))
        .ok_or_else(|| refuse(Reason::Unauthenticated, "a valid bearer token is required"))
}

/// Returns the service if the account may use it. The refusal is the same for
/// an unknown and a forbidden service, so that it does not reveal which exist.
fn authorize(
    current: &Current,
    account: &Account,
    name: &str,
    kind: service::Kind,
) -> Result<Arc<str>> {
    let snapshot = &current.snapshot;
    let service = snapshot.service(name);
    let granted = snapshot.is_granted(&account.name, name);
    match service {
        Some(service) if granted && service.kind == kind => Ok(service.name.clone()),
        _ => {
            let message = "the service does not exist or this account may not use it";
            Err(refuse(Reason::UnknownService, message))
        }
    }
}

fn admit(shared: &Arc<Shared>, current: &Current, account: &Account) -> Result<Permit> {
    let now = shared.now();
    let entries = current.live_entries(&shared.settings.domain);
    shared.limits().admit(account, entries, now)?;
    shared.metrics.requests.inc();
    shared.metrics.in_flight.inc();
    Ok(Permit {
        shared: shared.clone(),
        account: account.name.clone(),
    })
}

async fn read_body(shared: &Shared, body: Body) -> Result<Bytes> {
    let limit = shared.settings.limits.body_bytes;
    let wait = Duration::from_millis(shared.settings.limits.body_ms);
    let bytes = tokio::time::timeout(wait, axum::body::to_bytes(body, limit)).await;
    let bytes = bytes.map_err(|_| refuse(Reason::Deadline, "the body did not arrive in time"))?;
    bytes.map_err(|_| {
        let message = format!("the body is incomplete or larger than {limit} bytes");
        refuse(Reason::InvalidRequest, &message)
    })
}

#[derive(Deserialize)]
struct DirectoryQuery {
    #[serde(default)]
    domain: Option<String>,
}

#[derive(Serialize)]
struct Directory {
    addresses: Vec<Address>,
    lifetime_ms: u64,
}

async fn serve_directory(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<DirectoryQuery>,
    headers: HeaderMap,
) -> Response<Body> {
    let id = new_id(&shared);
    let current = shared.current();
    if let Err(refusal) = authenticate(&current, &headers) {
        return render::refusal(&shared, &refusal, &id);
    }
    let domain = query.domain.as_deref().unwrap_or(&shared.settings.domain);
    let rotation = shared.rng().random_range(0..usize::from(u16::MAX));
    let directory = Directory {
        addresses: directory_addresses(&shared, domain, rotation),
        lifetime_ms: shared.settings.limits.directory_ms,
    };
    let Ok(response) = render::json(&directory);
    response
}

/// Returns the entry addresses for a caller and records the time of the answer.
fn directory_addresses(shared: &Shared, domain: &str, rotation: usize) -> Vec<Address> {
    let now = shared.now();
    let snapshot = shared.current.borrow().snapshot.clone();
    let own = &shared.settings.name;
    let stopping = shared.stopping.borrow().then_some(own);
    let mut members = shared.members();
    // The answer is recorded and its addresses are selected under one lock, so
    // that an entry that leaves learns of every answer with its address.
    members.record_answer(now);
    let excluded = members.excluded(&snapshot, stopping);
    let (leaving, down) = (&excluded.leaving, &excluded.down);
    let listed = directory::addresses(&snapshot, leaving, down, domain, rotation);
    let entries = snapshot.sheet.entries.iter();
    let row = entries.filter(|entry| entry.name == *own);
    let mut own_addresses = row.map(|entry| entry.address).chain([members.address]);
    if own_addresses.any(|address| listed.iter().any(|entry| entry.address == address)) {
        members.record_own_answer(now);
    }
    listed
}

async fn serve_chat(State(shared): State<Arc<Shared>>, request: Request) -> Response<Body> {
    let id = new_id(&shared);
    match chat(&shared, request, &id).await {
        Ok(answer) => render::answer(answer, &id),
        Err(refusal) => render::refusal(&shared, &refusal, &id),
    }
}

#[derive(Deserialize)]
struct Chat<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

async fn chat(shared: &Arc<Shared>, request: Request, id: &str) -> Result<dispatch::Answer> {
    let (head, body) = request.into_parts();
    let current = shared.current();
    let account = authenticate(&current, &head.headers)?;
    let body = read_body(shared, body).await?;
    let chat: Chat<'_> = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("not a chat completion request: {error}");
        refuse(Reason::InvalidRequest, &message)
    })?;
    let service = authorize(&current, account, &chat.model, service::Kind::Model)?;
    let permit = admit(shared, &current, account)?;
    let prefix = chat.messages.get().as_bytes();
    let prefix = &prefix[..prefix.len().min(PREFIX_BYTES)];
    let call = Call {
        id: id.to_owned(),
        account: account.name.clone(),
        service,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: forwarded(&head.headers),
        idempotent: true,
        claim: None,
        ticket: None,
        mode: if chat.stream {
            Mode::Events
        } else {
            Mode::Collect
        },
        affinity: Some(route::affinity(&account.name, prefix)),
        fingerprint: route::affinity(&account.name, &body),
        deadline: deadline(shared),
        body: body.clone(),
    };
    dispatch::run(shared, call, permit).await
}

async fn serve_plain(State(shared): State<Arc<Shared>>, request: Request) -> Response<Body> {
    let id = new_id(&shared);
    let headers = request.headers();
    let has_key_or_ticket = headers.contains_key(IDEMPOTENCY_KEY) || headers.contains_key(TICKET);
    let may_have_run = has_key_or_ticket && !is_first(headers);
    let prepared = plain(&shared, request, &id).await.map_err(|mut refusal| {
        // The ledger or agent was not asked about earlier sendings of the key
        // or ticket.
        if may_have_run {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    });
    let answer = match prepared {
        Ok((call, permit)) => dispatch::run(&shared, call, permit).await,
        Err(refusal) => Err(refusal),
    };
    match answer {
        Ok(answer) => render::answer(answer, &id),
        Err(refusal) => render::refusal(&shared, &refusal, &id),
    }
}

/// Parses the ticket header of a request.
fn ticket_of(headers: &HeaderMap) -> Result<Option<Ticket>> {
    let Some(value) = headers.get(TICKET) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let ticket = Ticket::parse(text, is_first(headers));
    let malformed = || {
        Refusal::unknown(Reason::TicketInvalid, Duration::ZERO)
            .with_message("the ticket is malformed")
    };
    ticket.map(Some).ok_or_else(malformed)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketBody {
    service: String,
    key: String,
}

async fn serve_ticket(State(shared): State<Arc<Shared>>, request: Request) -> Response<Body> {
    let id = new_id(&shared);
    match issue(&shared, request).await {
        Ok(issued) => {
            let Ok(response) = render::json(&issued);
            response
        }
        Err(refusal) => render::refusal(&shared, &refusal, &id),
    }
}

async fn issue(shared: &Arc<Shared>, request: Request) -> Result<ticket::Issued> {
    let (head, body) = request.into_parts();
    let current = shared.current();
    let account = authenticate(&current, &head.headers)?;
    let body = read_body(shared, body).await?;
    let body: TicketBody = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("not a ticket request: {error}");
        refuse(Reason::InvalidRequest, &message)
    })?;
    let service = authorize(&current, account, &body.service, service::Kind::Plain)?;
    let _permit = admit(shared, &current, account)?;
    ticket::issue(shared, &account.name, &service, &body.key).await
}

/// Returns whether the caller declares the request the first sending of its key
/// or ticket.
fn is_first(headers: &HeaderMap) -> bool {
    headers.get(SENDING).is_some_and(|value| value == "1")
}

async fn plain(shared: &Arc<Shared>, request: Request, id: &str) -> Result<(Call, Permit)> {
    let (head, body) = request.into_parts();
    let current = shared.current();
    let account = authenticate(&current, &head.headers)?;
    let Some((name, path)) = split_service_path(&head.uri) else {
        return Err(refuse(Reason::InvalidRequest, "no such path"));
    };
    let service = authorize(&current, account, name, service::Kind::Plain)?;
    let ticket = ticket_of(&head.headers)?;
    let permit = admit(shared, &current, account)?;
    let body = read_body(shared, body).await?;
    let method = head.method.as_str();
    let has_ticket = ticket.is_some();
    let claim = head
        .headers
        .get(IDEMPOTENCY_KEY)
        .filter(|_| !has_ticket)
        .map(|key| {
            let key = Digest::of_key(&account.name, &service, key.as_bytes());
            let content = Digest::of_parts(&[method.as_bytes(), path.as_bytes(), &body]);
            Claim::new(key, content, is_first(&head.headers))
        });
    let call = Call {
        id: id.to_owned(),
        account: account.name.clone(),
        service,
        method: head.method.to_string(),
        path,
        headers: forwarded(&head.headers),
        // A request with a key or ticket does not count as idempotent, whatever
        // its method; one with a key is retried only with a new claim.
        idempotent: claim.is_none()
            && !has_ticket
            && matches!(head.method, Method::GET | Method::HEAD),
        ticket,
        mode: if claim.is_some() {
            Mode::Collect
        } else {
            Mode::Relay
        },
        claim,
        affinity: None,
        fingerprint: route::affinity(&account.name, &body),
        deadline: deadline(shared),
        body,
    };
    Ok((call, permit))
}

/// Splits `/services/{service}/{path}` into the service and the path with query.
fn split_service_path(uri: &axum::http::Uri) -> Option<(&str, String)> {
    let rest = uri.path().strip_prefix("/services/")?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}"));
    Some((name, format!("/{path}{}", query.unwrap_or_default())))
}

fn deadline(shared: &Shared) -> berylgw_core::clock::Instant {
    shared.now() + Duration::from_millis(shared.settings.limits.request_ms)
}

/// Returns the headers to forward to a backend server, without the bearer
/// token, `host`, `content-length`, `expect` and hop-by-hop headers.
fn forwarded(headers: &HeaderMap) -> Vec<wire::Header> {
    let dropped = [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ];
    let mut kept = Vec::new();
    for (name, value) in headers {
        if dropped.contains(name) || render::is_hop_by_hop(name) {
            continue;
        }
        kept.push(wire::Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec().into(),
        });
    }
    kept
}
