//! In-process stand-ins for an entry and a backend server.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use berylgw_agent::process;
use berylgw_agent::settings::{self, Settings};
use berylgw_core::config::{SHEET_OBJECT, Sheet};
use berylgw_core::{backend, client, failure, service};
use berylgw_wire as wire;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::{TcpListenerStream, WatchStream};
use tonic::transport::Channel;
use wire::agent_client::AgentClient;
use wire::answer_frame::Kind;

#[derive(Clone)]
pub struct Entry {
    pub objects: watch::Sender<wire::PullReply>,
    /// Whether `Follow` sends messages; otherwise its stream stays silent.
    pub sends_updates: bool,
    pub followed: Arc<Notify>,
}

#[tonic::async_trait]
impl wire::sync_server::Sync for Entry {
    async fn pull(
        &self,
        _request: tonic::Request<wire::PullRequest>,
    ) -> Result<tonic::Response<wire::PullReply>, tonic::Status> {
        Ok(tonic::Response::new(self.objects.borrow().clone()))
    }

    type FollowStream = std::pin::Pin<
        Box<dyn tokio_stream::Stream<Item = Result<wire::PullReply, tonic::Status>> + Send>,
    >;

    async fn follow(
        &self,
        _request: tonic::Request<wire::PullRequest>,
    ) -> Result<tonic::Response<Self::FollowStream>, tonic::Status> {
        self.followed.notify_one();
        if !self.sends_updates {
            return Ok(tonic::Response::new(Box::pin(tokio_stream::pending())));
        }
        let stream = WatchStream::new(self.objects.subscribe()).map(Ok);
        Ok(tonic::Response::new(Box::pin(stream)))
    }
}

impl Entry {
    pub async fn start(sends_updates: bool) -> (Entry, SocketAddr) {
        let entry = Entry {
            objects: watch::Sender::new(wire::PullReply::default()),
            sends_updates,
            followed: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = wire::sync_server::SyncServer::new(entry.clone());
        tokio::spawn(
            tonic::transport::Server::builder()
                .add_service(server)
                .serve_with_incoming(TcpListenerStream::new(listener)),
        );
        (entry, address)
    }

    pub fn publish(&self, version: u64, values: &[(&str, String)]) {
        self.objects.send_modify(|reply| {
            reply.version = version;
            for (name, value) in values {
                reply.objects.retain(|object| object.name != *name);
                reply.objects.push(wire::Object {
                    name: (*name).to_owned(),
                    version,
                    value: value.clone().into(),
                });
            }
        });
    }

    pub fn publish_sheet(&self, version: u64, sheet: &Sheet) {
        let value = serde_json::to_string(sheet).unwrap();
        self.publish(version, &[(SHEET_OBJECT, value)]);
    }
}

/// A sheet with the server `s`, its service `svc` and accounts `a` and `b`.
pub fn sheet(kind: service::Kind, limit: u32, cold_limit: u32) -> Sheet {
    let account = |name: &str| client::Account {
        name: name.into(),
        weight: 1,
        rate: 100,
        concurrency: 100,
        token_sha256: "".into(),
    };
    let grant = |name: &str| client::Grant {
        account: name.into(),
        service: "svc".into(),
    };
    Sheet {
        domains: vec![failure::Domain {
            name: "d".into(),
            region: "r".into(),
        }],
        services: vec![service::Service {
            name: "svc".into(),
            region: "r".into(),
            kind,
            fencing: service::Fencing::Ignored,
        }],
        servers: vec![backend::Server {
            name: "s".into(),
            service: "svc".into(),
            domain: "d".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            limit,
            cold_limit,
            rank: None,
        }],
        accounts: vec![account("a"), account("b")],
        grants: vec![grant("a"), grant("b")],
        ..Sheet::default()
    }
}

/// A backend server that counts its requests in flight.
#[derive(Default)]
pub struct Backend {
    pub in_flight: AtomicU32,
    pub most_held: AtomicU32,
    pub runs: AtomicU32,
    pub cold: AtomicBool,
    /// Requests added to the load report, as work of an earlier agent.
    pub earlier: AtomicU32,
    pub clock: AtomicU64,
    /// Whether cancel calls are answered with an error.
    pub refuse_cancel: AtomicBool,
    pub cancelled: Mutex<Vec<String>>,
    pub bodies: Mutex<Vec<String>>,
    pub arrived: Notify,
    pub cancel_called: Notify,
    /// Releases requests whose path or body contains `hold`.
    pub release: Notify,
    /// Breaks the connections of requests whose path or body contains `hold`.
    pub crash: Notify,
}

struct Held(Arc<Backend>);

impl Held {
    fn new(backend: &Arc<Backend>) -> Self {
        let now = backend.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        backend.most_held.fetch_max(now, Ordering::SeqCst);
        backend.runs.fetch_add(1, Ordering::SeqCst);
        backend.arrived.notify_one();
        Held(backend.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Backend {
    pub async fn start() -> (Arc<Backend>, SocketAddr) {
        let backend = Arc::new(Backend::default());
        let router = Router::new()
            .route("/load", get(load))
            .route("/cancel/{id}", post(cancel))
            .route("/v1/chat/completions", post(chat))
            .fallback(plain)
            .with_state(backend.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        (backend, address)
    }
}

async fn load(State(backend): State<Arc<Backend>>) -> String {
    let as_of = backend.clock.fetch_add(10_000, Ordering::SeqCst);
    let in_flight =
        backend.in_flight.load(Ordering::SeqCst) + backend.earlier.load(Ordering::SeqCst);
    let cold = backend.cold.load(Ordering::SeqCst);
    format!(
        r#"{{"in_flight":{in_flight},"queued":0,"capacity":8,"cold":{cold},"as_of_ms":{as_of}}}"#
    )
}

async fn cancel(State(backend): State<Arc<Backend>>, Path(id): Path<String>) -> Response {
    backend.cancelled.lock().unwrap().push(id);
    backend.cancel_called.notify_one();
    if backend.refuse_cancel.load(Ordering::SeqCst) {
        return axum::http::StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    "".into_response()
}

async fn chat(State(backend): State<Arc<Backend>>, body: String) -> Response {
    backend.bodies.lock().unwrap().push(body.clone());
    answer(backend, body, "text/event-stream").await
}

async fn plain(
    State(backend): State<Arc<Backend>>,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    let header = headers.get("x-test").map(|value| value.to_str().unwrap());
    let seen = format!("{uri} {} {body}", header.unwrap_or(""));
    backend.bodies.lock().unwrap().push(seen);
    answer(backend, format!("{uri} {body}"), "text/plain").await
}

async fn answer(backend: Arc<Backend>, text: String, content_type: &'static str) -> Response {
    let held = Held::new(&backend);
    let broken = || Err::<Bytes, _>(std::io::Error::other("crash"));
    let items: Vec<_> = if text.contains("cut") {
        vec![Ok("data: 1\n\n".into()), broken()]
    } else if text.contains("no-done") {
        vec![Ok("data: 1\n\n".into())]
    } else {
        vec![Ok("data: 1\n\nda".into()), Ok("ta: [DONE]\n\n".into())]
    };
    let hold = text.contains("hold");
    let items = if hold {
        tokio::select! {
            () = backend.release.notified() => items,
            () = backend.crash.notified() => vec![broken()],
        }
    } else {
        items
    };
    let stream = tokio_stream::iter(items).map(move |item| {
        let _ = &held;
        item
    });
    ([("content-type", content_type)], Body::from_stream(stream)).into_response()
}

/// A running agent.
pub struct Agent {
    pub client: AgentClient<Channel>,
    pub stop: Option<oneshot::Sender<()>>,
    pub ended: tokio::task::JoinHandle<Result<(), process::Error>>,
}

pub fn settings(entries: Vec<SocketAddr>, server: SocketAddr) -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    Settings {
        name: "s".into(),
        domain: "d".into(),
        listen: settings::Listen {
            agent: any,
            metrics: any,
        },
        entries,
        server: settings::Server {
            address: server,
            report_lag_ms: 1_000,
            longest_ms: 300_000,
        },
        queue: settings::Queue::default(),
        claims: settings::Claims::default(),
        tickets: settings::Tickets::default(),
        quarantine: settings::Quarantine::default(),
        orders: settings::Orders::default(),
        tls: settings::Tls::default(),
    }
}

impl Agent {
    pub async fn start(settings: Settings) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let ended = tokio::spawn(process::serve(settings, listener, async {
            let _ = stopped.await;
        }));
        let client = AgentClient::connect(format!("http://{address}"))
            .await
            .unwrap();
        Agent {
            client,
            stop: Some(stop),
            ended,
        }
    }

    /// Waits until the agent reports this configuration version.
    pub async fn at_version(&self, version: u64) {
        self.probe_until(|reply| reply.sender.as_ref().unwrap().config_version == version)
            .await;
    }

    pub async fn probe_until(&self, mut accept: impl FnMut(&wire::ProbeReply) -> bool) {
        loop {
            let request = wire::ProbeRequest::default();
            let reply = self.client.clone().probe(request).await.unwrap();
            if accept(reply.get_ref()) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    pub async fn dispatch(
        &self,
        request: wire::DispatchRequest,
    ) -> tonic::Streaming<wire::AnswerFrame> {
        let reply = self.client.clone().dispatch(request).await.unwrap();
        reply.into_inner()
    }

    /// Dispatches a request and collects all frames except heartbeats.
    pub async fn frames(&self, request: wire::DispatchRequest) -> Vec<wire::AnswerFrame> {
        collect(self.dispatch(request).await).await
    }
}

pub async fn collect(mut stream: tonic::Streaming<wire::AnswerFrame>) -> Vec<wire::AnswerFrame> {
    let mut frames = Vec::new();
    while let Some(frame) = stream.message().await.unwrap() {
        if !matches!(frame.kind, Some(Kind::Heartbeat(_))) {
            frames.push(frame);
        }
    }
    frames
}

pub fn refusal(frames: &[wire::AnswerFrame]) -> Option<(String, wire::Outcome)> {
    match &frames.last()?.kind {
        Some(Kind::Refusal(refusal)) => Some((refusal.reason.clone(), refusal.outcome())),
        _ => None,
    }
}

pub fn data(frames: &[wire::AnswerFrame]) -> Vec<String> {
    let mut texts = Vec::new();
    for frame in frames {
        if let Some(Kind::Data(data)) = &frame.kind {
            texts.push(String::from_utf8(data.to_vec()).unwrap());
        }
    }
    texts
}

pub fn last(frames: &[wire::AnswerFrame]) -> Option<wire::AnswerFinal> {
    match &frames.last()?.kind {
        Some(Kind::Final(last)) => Some(*last),
        _ => None,
    }
}

pub fn request(version: u64, id: &str, body: &str) -> wire::DispatchRequest {
    wire::DispatchRequest {
        sender: Some(wire::Sender {
            name: "entry".to_owned(),
            incarnation: 1,
            config_version: version,
        }),
        request_id: id.to_owned(),
        attempt: 1,
        account: "a".to_owned(),
        service: "svc".to_owned(),
        method: "POST".to_owned(),
        path: "/path?x=1".to_owned(),
        body: body.to_owned().into(),
        timeout_ms: 3_600_000,
        idempotent: true,
        ..Default::default()
    }
}

/// Starts an entry, a backend server and an agent, and waits until the agent has
/// configuration version 1.
pub async fn system(kind: service::Kind, limit: u32, cold: u32) -> (Entry, Arc<Backend>, Agent) {
    let (entry, entry_address) = Entry::start(true).await;
    let (backend, server) = Backend::start().await;
    entry.publish_sheet(1, &sheet(kind, limit, cold));
    let agent = Agent::start(settings(vec![entry_address], server)).await;
    agent.at_version(1).await;
    (entry, backend, agent)
}
