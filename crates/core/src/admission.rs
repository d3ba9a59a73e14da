//! Limits and cold-start ramp of one backend server, decided by its agent.

mod earlier;
mod fence;
mod pace;

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::fair::{Full, Queue};
use crate::outcome::{Reason, Refusal};
use earlier::Earlier;
use fence::Fence;
use pace::Pace;

/// Rise of the time of a whole answer below which it is noise.
const ANSWER_FLOOR: Duration = Duration::from_millis(200);

/// Rise of the time per token below which it is noise.
const TOKEN_FLOOR: Duration = Duration::from_millis(50);

/// Retry time given when nothing better is known.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// Number of requests a backend server may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When warm.
    pub warm: u32,
    /// In cold start.
    pub cold: u32,
}

/// A request that asks to be run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request within the agent.
    pub id: u64,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Weight of the client account.
    pub weight: u32,
    /// Requests of the account the server may hold.
    pub concurrency: u32,
    /// Time at which the answer is of no use any more.
    pub deadline: Instant,
    /// Whether it has to run alone.
    pub alone: bool,
}

/// Answer to an offered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits for a place; [`State::advance`] says when it has one.
    Queued,
    /// It is not run.
    Refused(Refusal),
}

/// What happens to a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request holds a place and has to be passed on now.
    Run(u64),
    /// The request is given up.
    Refuse(u64, Refusal),
}

/// A load report of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests it held at the time of the report.
    pub in_flight: u32,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Time of the report by the server's own clock, in milliseconds.
    pub as_of_ms: u64,
}

#[derive(Clone, Debug)]
struct Running {
    id: u64,
    account: Arc<str>,
    alone: bool,
    /// Since when its answer has been arriving.
    answering: Option<Instant>,
    /// Until when more of its answer was outstanding for certain.
    heard: Instant,
}

/// Requests held and queued for one backend server.
#[derive(Clone, Debug)]
pub struct State {
    limits: Limits,
    current: u32,
    completed: u32,
    reported_cold: bool,
    /// When the server made its last load report, by its own clock.
    reported_ms: Option<u64>,
    report_lag: Duration,
    /// Ramp that waits for a report from after the last fall back.
    fallen: Option<Fence>,
    earlier: Earlier,
    running: Vec<Running>,
    waiting: Vec<Request>,
    queue: Queue,
    service_time: Duration,
    answers: Pace,
    /// Per token of answers that do not come as a stream; includes the prompt.
    answer_tokens: Pace,
    tokens: Pace,
}

impl State {
    /// State after the start of an agent: cold, with unknown earlier work.
    ///
    /// A load report describes the server at most `report_lag` ago.
    pub fn new(limits: Limits, queue: Queue, report_lag: Duration) -> Self {
        State {
            limits,
            current: limits.cold.min(limits.warm),
            completed: 0,
            reported_cold: false,
            reported_ms: None,
            report_lag,
            fallen: None,
            earlier: Earlier::new(report_lag),
            running: Vec::new(),
            waiting: Vec::new(),
            queue,
            service_time: Duration::ZERO,
            answers: Pace::new(ANSWER_FLOOR),
            answer_tokens: Pace::new(TOKEN_FLOOR),
            tokens: Pace::new(TOKEN_FLOOR),
        }
    }

    /// Sets the time at which work from before the start is over, whatever load
    /// reports say and whether or not there are any.
    pub fn with_earlier_until(mut self, over_at: Instant) -> Self {
        self.earlier = self.earlier.until(over_at);
        self
    }

    /// Requests of this agent that the server holds or may still hold.
    pub fn held(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that wait for a place.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// The current limit.
    pub fn limit(&self) -> u32 {
        self.current
    }

    /// Whether the limit is below the warm limit.
    pub fn is_cold(&self) -> bool {
        self.reported_cold || self.current < self.limits.warm
    }

    /// Exponentially weighted service time.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Takes over new limits from the configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits == self.limits {
            return;
        }
        let cold = limits.cold.min(limits.warm);
        let was_cold = self.current <= self.limits.cold;
        self.limits = limits;
        self.current = if was_cold {
            cold
        } else {
            self.current.clamp(cold, limits.warm)
        };
    }

    /// Decides on a request that has just arrived.
    pub fn offer(&mut self, now: Instant, request: Request) -> Decision {
        let left = request.deadline.since(now);
        // An idle server runs anything, so that an estimate that is too high
        // is corrected by new samples.
        let needed = if self.held() + self.queued() == 0 {
            Duration::ZERO
        } else {
            self.expected_wait() + self.service_time
        };
        if left.is_zero() || left < needed {
            let refusal = Refusal::not_run(Reason::Deadline, self.retry_after());
            return Decision::Refused(refusal);
        }
        if let Err(full) = self
            .queue
            .push(request.id, &request.account, request.weight)
        {
            let reason = match full {
                Full::Total => Reason::QueueFull,
                Full::Account => Reason::ConcurrencyLimited,
            };
            return Decision::Refused(Refusal::not_run(reason, self.retry_after()));
        }
        self.insert_waiting(request);
        Decision::Queued
    }

    /// Starts or gives up queued requests.
    pub fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        for id in late {
            self.withdraw(id);
            let refusal = Refusal::not_run(Reason::Deadline, self.retry_after());
            actions.push(Action::Refuse(id, refusal));
        }
        while let Some(id) = self.start_one(now) {
            actions.push(Action::Run(id));
        }
        actions
    }

    /// Refuses everything that is queued.
    pub fn refuse_queued(&mut self, reason: Reason) -> Vec<Action> {
        let ids: Vec<u64> = self.waiting.iter().map(|request| request.id).collect();
        let mut actions = Vec::new();
        for id in ids {
            self.withdraw(id);
            actions.push(Action::Refuse(id, Refusal::not_run(reason, DEFAULT_RETRY)));
        }
        actions
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let queued = self.queue.remove(id);
        self.waiting.retain(|request| request.id != id);
        queued
    }

    /// Records a plain answer and the time it took.
    ///
    /// A sudden rise of this time is a fall back to the cold limit.
    pub fn complete(&mut self, now: Instant, service_time: Duration) {
        if self.answers.rises(service_time) {
            self.fall_back(now);
        }
        self.finish(service_time);
    }

    /// Records an answer of a model, the time it took and, if it did not come
    /// as a stream, the time per token.
    ///
    /// The time of the whole answer follows its length, so only the time per
    /// token says whether the server has become slow.
    pub fn complete_model(
        &mut self,
        now: Instant,
        service_time: Duration,
        per_token: Option<Duration>,
    ) {
        if per_token.is_some_and(|time| self.answer_tokens.rises(time)) {
            self.fall_back(now);
        }
        self.finish(service_time);
    }

    /// Records the time between two tokens of a stream.
    pub fn token(&mut self, now: Instant, time: Duration) {
        if self.tokens.rises(time) {
            self.fall_back(now);
        }
    }

    /// Frees the place of a request that the server does not hold any more.
    pub fn release(&mut self, id: u64) {
        self.running.retain(|running| running.id != id);
    }

    /// Falls back to the cold limit at once.
    ///
    /// A server that gives load reports stays there until one from after this
    /// moment says that it is not cold: late ones may still call it warm.
    pub fn fall_back(&mut self, now: Instant) {
        self.lower();
        self.fallen = self.reported_ms.map(|_| Fence::new(now));
    }

    fn lower(&mut self) {
        self.current = self.limits.cold.min(self.limits.warm);
        self.completed = 0;
        for pace in [&mut self.answers, &mut self.answer_tokens, &mut self.tokens] {
            pace.reset();
        }
    }

    /// Notes that the answer to a request has begun to arrive.
    ///
    /// From here to the end of the answer, the request counts in the server's
    /// load reports.
    pub fn answering(&mut self, id: u64, now: Instant) {
        if let Some(running) = self.running.iter_mut().find(|running| running.id == id) {
            running.answering = Some(now);
        }
    }

    /// Notes that a further part of an answer has come that was not there yet
    /// at `waited_from`, when the agent began to wait for it.
    pub fn heard(&mut self, id: u64, waited_from: Instant) {
        if let Some(running) = self.running.iter_mut().find(|running| running.id == id) {
            running.heard = waited_from;
        }
    }

    /// Takes in a load report that was asked for at `asked`.
    pub fn report(&mut self, asked: Instant, now: Instant, report: Report) {
        // The clock of a restarted server starts again.
        if self.reported_ms.is_some_and(|last| report.as_of_ms < last) {
            self.fall_back(now);
        }
        self.reported_ms = Some(report.as_of_ms);
        if report.cold {
            self.lower();
        }
        self.reported_cold = report.cold;
        let fallen = self.fallen.as_mut();
        if fallen.is_some_and(|fence| fence.passes(asked, report, self.report_lag)) {
            self.fallen = None;
        }
        self.earlier.report(asked, now, report, &self.running);
    }

    fn start_one(&mut self, now: Instant) -> Option<u64> {
        let earlier = self.earlier.most(now)?;
        let occupied = self.held() + earlier;
        if occupied >= self.current || self.running.iter().any(|running| running.alone) {
            return None;
        }
        let running = &self.running;
        let waiting = &self.waiting;
        let below = |account: &str| {
            let count = running.iter().filter(|held| *held.account == *account);
            let request = waiting.iter().find(|request| *request.account == *account);
            request.is_some_and(|request| (count.count() as u32) < request.concurrency)
        };
        let first = self
            .queue
            .items()
            .iter()
            .find(|item| below(&item.account))?;
        let index = self.waiting_index(first.id)?;
        let request = &self.waiting[index];
        // A suspect at the head waits until the server is empty.
        if request.deadline <= now || (request.alone && occupied > 0) {
            return None;
        }
        let item = self.queue.pop(below)?;
        let request = self.waiting.remove(index);
        self.running.push(Running {
            id: item.id,
            account: item.account,
            alone: request.alone,
            answering: None,
            heard: Instant::ORIGIN,
        });
        Some(item.id)
    }

    fn insert_waiting(&mut self, request: Request) {
        let index = self.waiting.partition_point(|known| known.id < request.id);
        self.waiting.insert(index, request);
    }

    fn waiting_index(&self, id: u64) -> Option<usize> {
        self.waiting
            .binary_search_by(|request| request.id.cmp(&id))
            .ok()
    }

    fn expected_wait(&self) -> Duration {
        let ahead = self.held() + self.queued() + 1;
        let rounds = ahead
            .saturating_sub(self.current)
            .div_ceil(self.current.max(1));
        self.service_time * rounds
    }

    fn retry_after(&self) -> Duration {
        self.expected_wait().max(DEFAULT_RETRY)
    }

    /// Updates the service time and the ramp.
    fn finish(&mut self, service_time: Duration) {
        self.service_time = if self.service_time.is_zero() {
            service_time
        } else {
            (self.service_time * 3 + service_time) / 4
        };
        if self.reported_cold || self.fallen.is_some() {
            return;
        }
        self.completed += 1;
        if self.completed < self.current {
            return;
        }
        self.completed = 0;
        let step = (self.current / 2).max(1);
        self.current = (self.current + step).min(self.limits.warm);
    }
}
