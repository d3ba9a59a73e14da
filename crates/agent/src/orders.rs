//! Queue of orders to the local engine, which are sent one at a time.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::order::{
    Event, Id, Order, Outcome, Post, Progress, Queue, Report, Settings, Task,
};
use berylgw_core::service::Fencing;
use berylgw_runtime::clock::Clock;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, future};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::control::Published;
use crate::forward::{Error, ServerClient};
use crate::settings;

/// Capacity of the channel of submissions to the queue.
const SUBMISSIONS_BUFFERED: usize = 16;

/// Timeout of a call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer of the engine that is read, to a list call or a sent order, in
/// bytes.
const MAX_ORDERS_BYTES: usize = 1 << 20;

/// Handle that submits orders to the queue.
#[derive(Clone, Debug)]
pub struct Orders(mpsc::Sender<Submission>);

#[derive(Debug)]
struct Submission {
    order: Order,
    answer: oneshot::Sender<Outcome>,
}

impl Orders {
    /// Submits an order and waits for its outcome.
    ///
    /// Returns `None` if the agent is stopping.
    pub async fn submit(&self, order: Order) -> Option<Outcome> {
        let (answer, ended) = oneshot::channel();
        self.0.send(Submission { order, answer }).await.ok()?;
        ended.await.ok()
    }
}

/// Starts the queue of orders to the engine behind `server`.
pub fn spawn(
    server: ServerClient,
    clock: Clock,
    settings: settings::Orders,
    published: watch::Receiver<Arc<Published>>,
    name: Arc<str>,
) -> Orders {
    let (sender, submissions) = mpsc::channel(SUBMISSIONS_BUFFERED);
    let runner = Runner {
        queue: Queue::new(core_settings(&settings, Fencing::Ignored), clock.now()),
        server,
        clock,
        settings,
        published,
        name,
        answers: Vec::new(),
        call: None,
    };
    tokio::spawn(runner.run(submissions));
    Orders(sender)
}

fn core_settings(settings: &settings::Orders, fencing: Fencing) -> Settings {
    Settings {
        fencing: fencing == Fencing::Enforced,
        max_order_time: Duration::from_millis(settings.longest_ms),
        poll_interval: Duration::from_millis(settings.poll_ms),
        capacity: settings.capacity,
    }
}

struct Runner {
    queue: Queue,
    server: ServerClient,
    clock: Clock,
    settings: settings::Orders,
    published: watch::Receiver<Arc<Published>>,
    name: Arc<str>,
    answers: Vec<(Id, oneshot::Sender<Outcome>)>,
    /// The outstanding call to the engine.
    call: Option<BoxFuture<'static, Event>>,
}

impl Runner {
    async fn run(mut self, mut submissions: mpsc::Receiver<Submission>) {
        // Reads nothing before the first submission, because a plain service has no
        // orders to read.
        let Some(first) = submissions.recv().await else {
            return;
        };
        self.submit(first);
        loop {
            let wake = self.next_wake();
            let call = self.call.as_mut();
            let event = tokio::select! {
                submission = submissions.recv() => {
                    let Some(submission) = submission else { return };
                    self.submit(submission);
                    continue;
                }
                event = future::OptionFuture::from(call), if call.is_some() => {
                    self.call = None;
                    event.unwrap_or(Event::Tick)
                }
                () = wake => Event::Tick,
            };
            self.step(event);
        }
    }

    fn submit(&mut self, submission: Submission) {
        let Submission { order, answer } = submission;
        self.answers.push((order.id, answer));
        self.step(Event::Submit(order));
    }

    fn next_wake(&self) -> BoxFuture<'static, ()> {
        match self.queue.wake_at() {
            Some(at) => sleep(self.clock.until(at)).boxed(),
            None => future::pending().boxed(),
        }
    }

    fn step(&mut self, event: Event) {
        let fencing = self.fencing();
        self.queue.set(core_settings(&self.settings, fencing));
        for task in self.queue.step(event, self.clock.now()) {
            match task {
                Task::Post(order) => self.call = Some(post(self.server.clone(), order).boxed()),
                Task::Read => self.call = Some(read(self.server.clone()).boxed()),
                Task::Answer(id, outcome) => self.answer(id, outcome),
            }
        }
    }

    fn fencing(&self) -> Fencing {
        let published = self.published.borrow();
        let snapshot = &published.snapshot;
        let server = snapshot.server(&self.name);
        let service = server.and_then(|server| {
            let mut services = snapshot.sheet.services.iter();
            services.find(|service| service.name == server.service)
        });
        service.map_or(Fencing::Ignored, |service| service.fencing)
    }

    fn answer(&mut self, id: Id, outcome: Outcome) {
        tracing::info!(%id, ?outcome, "order ended");
        for (_, answer) in self.answers.extract_if(.., |(known, _)| *known == id) {
            // The sender may have stopped waiting; it repeats the order with the
            // same id.
            let _ = answer.send(outcome);
        }
    }
}

#[derive(Serialize)]
struct Body<'a> {
    id: String,
    token: u64,
    #[serde(flatten)]
    action: &'a berylgw_core::order::Action,
}

async fn post(server: ServerClient, order: Order) -> Event {
    let call = timeout(CALL_TIMEOUT, try_post(&server, &order)).await;
    let post = match call {
        Ok(Ok(post)) => post,
        Ok(Err(Error::Invalid(message))) => {
            tracing::error!(id = %order.id, message, "order cannot be sent");
            Post::Rejected
        }
        Ok(Err(error)) => {
            tracing::info!(id = %order.id, %error, "no valid answer to the order");
            Post::Unknown
        }
        Err(_) => Post::Unknown,
    };
    Event::Posted(post)
}

async fn try_post(server: &ServerClient, order: &Order) -> Result<Post, Error> {
    #[derive(Deserialize)]
    struct Stale {
        token: u64,
    }
    let body = Body {
        id: order.id.to_string(),
        token: order.id.token,
        action: &order.action,
    };
    let body = serde_json::to_vec(&body).map_err(|error| Error::Invalid(error.to_string()))?;
    let mut request = server.request(Method::POST, "/orders", body.into())?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let (status, body) = server.exchange(request, MAX_ORDERS_BYTES).await?;
    match status {
        StatusCode::CONFLICT => {
            let stale: Stale = decode(&body)?;
            Ok(Post::Stale(stale.token))
        }
        status if status.is_success() => Ok(Post::Accepted),
        status if status.is_client_error() => Ok(Post::Rejected),
        status => Err(Error::Answer(format!("status {status} for an order"))),
    }
}

async fn read(server: ServerClient) -> Event {
    let report = match timeout(CALL_TIMEOUT, try_read(&server)).await {
        Ok(Ok(report)) => Some(report),
        Ok(Err(error)) => {
            tracing::debug!(%error, "cannot read the engine's orders");
            None
        }
        Err(_) => None,
    };
    Event::Read(report)
}

async fn try_read(server: &ServerClient) -> Result<Report, Error> {
    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    enum State {
        Running,
        Done,
        Failed,
    }
    #[derive(Deserialize)]
    struct Known {
        id: String,
        state: State,
    }
    #[derive(Deserialize)]
    struct List {
        #[serde(default)]
        token: u64,
        orders: Vec<Known>,
    }
    let request = server.request(Method::GET, "/orders", Bytes::new())?;
    let (status, body) = server.exchange(request, MAX_ORDERS_BYTES).await?;
    if status != StatusCode::OK {
        return Err(Error::Answer(format!("status {status} for the orders")));
    }
    let list: List = decode(&body)?;
    let mut orders = Vec::with_capacity(list.orders.len());
    for known in list.orders {
        let progress = match known.state {
            State::Running => Progress::Running,
            State::Done => Progress::Done,
            State::Failed => Progress::Failed,
        };
        // An order whose id has another format was not sent by an agent.
        if let Some(id) = Id::parse(&known.id) {
            orders.push((id, progress));
        }
    }
    Ok(Report {
        token: list.token,
        orders,
    })
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Answer(error.to_string()))
}
