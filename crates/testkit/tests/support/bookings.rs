//! Callers that resend bookings, and checks against what the service ran.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use berylgw_core::outcome::{Outcome, Refusal};
use berylgw_testkit::client::{Client, Error};
use berylgw_testkit::cluster::Cluster;
use berylgw_testkit::control;
use berylgw_testkit::service::Execution;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{booking, caller};

/// Time after which a caller sends again without an answer.
const PATIENCE: Duration = Duration::from_millis(700);

/// Longest pause before a resend; callers do not wait longer than that for the
/// retry time, so that resends fall into the faults.
const PAUSE: Duration = Duration::from_millis(100);

/// Bookings that each caller makes at least.
const LEAST: usize = 4;

/// One in so many callers gives a booking up when it is told `not run`.
const ABANDON: u32 = 4;

/// How a sending ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Done,
    Refused(Refusal),
    /// The connection broke, because the entry was killed.
    Broken,
    /// There was no answer within the caller's patience.
    Late,
}

/// One booking with all its sendings; clones share their state.
#[derive(Clone, Debug)]
pub struct Booking {
    pub id: String,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    sent: u32,
    /// Sendings without an answer.
    open: BTreeSet<u32>,
    /// Sendings that were answered with `not run`.
    not_run: Vec<u32>,
    answer: Option<Value>,
    abandoned: bool,
    late: Vec<JoinHandle<Reply>>,
}

impl Booking {
    fn new(id: String) -> Self {
        Booking {
            id,
            state: Arc::default(),
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap())
    }

    pub fn is_done(&self) -> bool {
        self.with(|state| state.answer.is_some())
    }

    pub fn is_abandoned(&self) -> bool {
        self.with(|state| state.abandoned)
    }

    /// Waits for the answers to sendings that the caller did not wait for.
    pub async fn join_late(&self) {
        for task in self.with(|state| std::mem::take(&mut state.late)) {
            task.await.unwrap();
        }
    }
}

/// A caller of all entries; clones share their counts.
#[derive(Clone, Debug)]
pub struct Caller {
    clients: Vec<Client>,
    service: control::Client,
    started: Arc<watch::Sender<u64>>,
}

impl Caller {
    pub fn new(cluster: &Cluster) -> Self {
        Caller {
            clients: cluster.entries.iter().map(caller).collect(),
            service: cluster.fake("app").unwrap().control.clone(),
            started: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Number of sendings started.
    pub fn started(&self) -> u64 {
        *self.started.borrow()
    }

    /// Waits until so many more sendings were started.
    pub async fn more(&self, count: u64) {
        let wanted = self.started() + count;
        let mut started = self.started.subscribe();
        started.wait_for(|count| *count >= wanted).await.unwrap();
    }

    /// Makes bookings until `ended`; those without a result are sent again later.
    pub async fn run(
        self,
        name: String,
        mut rng: ChaCha8Rng,
        ended: watch::Receiver<bool>,
    ) -> Vec<Booking> {
        let mut bookings = Vec::new();
        while bookings.len() < LEAST || !*ended.borrow() {
            let booking = Booking::new(format!("{name}-{}", bookings.len()));
            bookings.push(booking.clone());
            let abandons = rng.random_ratio(1, ABANDON);
            let first = rng.random_range(0..self.clients.len());
            while self.again(&booking, first, abandons).await && !*ended.borrow() {}
        }
        bookings
    }

    /// Sends once; returns whether to send again.
    async fn again(&self, booking: &Booking, first: usize, abandons: bool) -> bool {
        let pause = match self.send(booking, first).await {
            Reply::Done => return false,
            Reply::Refused(refusal) => {
                // A sending without an answer may still be claimed and run.
                let last = booking.with(|state| state.open.is_empty());
                if abandons && last && refusal.outcome == Outcome::NotRun {
                    booking.with(|state| state.abandoned = true);
                    return false;
                }
                refusal.retry_after.min(PAUSE)
            }
            Reply::Broken | Reply::Late => PAUSE,
        };
        tokio::time::sleep(pause).await;
        true
    }

    /// Sends a booking to the next entry after `first`.
    pub async fn send(&self, booking: &Booking, first: usize) -> Reply {
        let ran = !self.runs(&booking.id).await.is_empty();
        let (number, open) = booking.with(|state| {
            let open = state.open.clone();
            state.sent += 1;
            state.open.insert(state.sent);
            (state.sent, open)
        });
        let client = &self.clients[(first + number as usize) % self.clients.len()];
        let (caller, client, sent) = (self.clone(), client.clone(), booking.clone());
        let mut task = tokio::spawn(async move {
            let call = berylgw_testkit::client::Call {
                key: Some(&sent.id),
                sending: Some(number),
                ..self::booking(&sent.id)
            };
            let result = client.call::<Value>(call).await;
            let refusal = result.as_ref().err().and_then(Error::refusal);
            let not_run = refusal.is_some_and(|refusal| refusal.outcome == Outcome::NotRun);
            assert!(!(ran && not_run), "{}: `not run` after it ran", sent.id);
            let reply = caller.judge(&sent, number, &open, result).await;
            sent.with(|state| state.open.remove(&number));
            reply
        });
        self.started.send_modify(|count| *count += 1);
        match tokio::time::timeout(PATIENCE, &mut task).await {
            Ok(reply) => reply.unwrap(),
            Err(_) => {
                booking.with(|state| state.late.push(task));
                Reply::Late
            }
        }
    }

    /// Checks an answer against what the service ran. `open` are the sendings
    /// without an answer when this one was sent.
    async fn judge(
        &self,
        booking: &Booking,
        number: u32,
        open: &BTreeSet<u32>,
        result: Result<Value, Error>,
    ) -> Reply {
        let id = &booking.id;
        match result {
            Ok(answer) => {
                assert_eq!(answer["booking"], **id);
                assert_eq!(self.runs(id).await.len(), 1, "{id} is done");
                let first = booking.with(|state| state.answer.replace(answer.clone()));
                assert!(
                    first.is_none_or(|first| first == answer),
                    "{id}: two results"
                );
                Reply::Done
            }
            Err(Error::Refused(refusal)) => {
                if refusal.outcome == Outcome::NotRun {
                    for run in self.runs(id).await {
                        // Only a sending that was on its way may have run since.
                        let later = open.contains(&run) || run > number;
                        assert!(later, "{id}: `not run` for {number}, but {run} ran");
                    }
                    booking.with(|state| state.not_run.push(number));
                }
                Reply::Refused(refusal)
            }
            Err(Error::Broken(_)) => Reply::Broken,
            Err(error) => panic!("{id}: {error}"),
        }
    }

    async fn executions(&self) -> Vec<Execution> {
        self.service.get("/executions").await.unwrap()
    }

    /// Numbers of the sendings that ran.
    pub async fn runs(&self, id: &str) -> Vec<u32> {
        let all = self.executions().await;
        let found = all.into_iter().find(|execution| execution.booking == id);
        found.map_or_else(Vec::new, |execution| execution.sendings)
    }

    /// Checks all bookings after the last sending was answered.
    pub async fn check(&self, bookings: &[Booking]) {
        let all = self.executions().await;
        for booking in bookings {
            let id = &booking.id;
            let found = all.iter().find(|execution| execution.booking == *id);
            let runs = found.map_or(&[][..], |execution| &execution.sendings);
            assert!(runs.len() <= 1, "{id} ran more than once: {runs:?}");
            booking.with(|state| {
                assert!(state.open.is_empty(), "{id} has open sendings");
                if state.answer.is_some() {
                    assert_eq!(runs.len(), 1, "{id} is done");
                }
                if state.abandoned {
                    assert!(runs.is_empty(), "{id} ran after `not run`: {runs:?}");
                }
                for number in &state.not_run {
                    assert!(!runs.contains(number), "{id}: {number} ran after `not run`");
                }
            });
        }
    }
}
