//! Admission control for one backend server, run by its agent: concurrency
//! limit, slow start after a cold start, and the queue in front of it.

mod barrier;
mod orphans;
mod slowdown;

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::fair::{Full, Queue};
use crate::outcome::{Reason, Refusal};
use barrier::Barrier;
use orphans::Orphans;
use slowdown::Detector;

/// Smallest rise of the time of a whole answer that counts as a slowdown.
const MIN_ANSWER_RISE: Duration = Duration::from_millis(200);

/// Smallest rise of the time per token that counts as a slowdown.
const MIN_TOKEN_RISE: Duration = Duration::from_millis(50);

/// Minimum retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Concurrency limits of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit of a warm server.
    pub warm: u32,
    /// Limit during cold start.
    pub cold: u32,
}

/// A request offered for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request within the agent.
    pub id: u64,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Weight of the client account.
    pub weight: u32,
    /// Requests of the account that may be in flight at the server.
    pub concurrency: u32,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Whether it must run with no other request in flight.
    pub alone: bool,
}

/// Result of offering a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is queued; [`Controller::advance`] starts it.
    Queued,
    /// The request is refused and was not run.
    Refused(Refusal),
}

/// Action for a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the request to the server; it now counts as in flight.
    Run(u64),
    /// Refuses the request; it has left the queue.
    Refuse(u64, Refusal),
}

/// A load report of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests in flight at the time of the report.
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
    /// Time at which its answer began to arrive.
    answer_started: Option<Instant>,
    /// Latest time at which its answer was certainly incomplete.
    incomplete_at: Instant,
}

/// Admission controller of one backend server, with its requests in flight and
/// queued.
#[derive(Clone, Debug)]
pub struct Controller {
    limits: Limits,
    current_limit: u32,
    completed: u32,
    reported_cold: bool,
    /// Time of the server's last load report, by its own clock.
    reported_ms: Option<u64>,
    report_lag: Duration,
    /// Suspends slow start until a report describes the server after the last
    /// reset to the cold limit.
    slow_start_barrier: Option<Barrier>,
    orphans: Orphans,
    running: Vec<Running>,
    waiting: Vec<Request>,
    queue: Queue,
    service_time: Duration,
    answer_times: Detector,
    /// Time per token of answers that are not streamed; includes the prompt.
    answer_token_times: Detector,
    token_intervals: Detector,
}

impl Controller {
    /// Makes the controller of an agent that has just started: the server is cold
    /// and may still run an unknown number of requests of an earlier agent.
    ///
    /// A load report describes the server as it was at most `report_lag` earlier.
    pub fn new(limits: Limits, queue: Queue, report_lag: Duration) -> Self {
        Controller {
            limits,
            current_limit: limits.cold.min(limits.warm),
            completed: 0,
            reported_cold: false,
            reported_ms: None,
            report_lag,
            slow_start_barrier: None,
            orphans: Orphans::new(report_lag),
            running: Vec::new(),
            waiting: Vec::new(),
            queue,
            service_time: Duration::ZERO,
            answer_times: Detector::new(MIN_ANSWER_RISE),
            answer_token_times: Detector::new(MIN_TOKEN_RISE),
            token_intervals: Detector::new(MIN_TOKEN_RISE),
        }
    }

    /// Sets the time by which all requests of an earlier agent have ended,
    /// regardless of load reports.
    pub fn with_orphans_until(mut self, over_at: Instant) -> Self {
        self.orphans = self.orphans.with_end(over_at);
        self
    }

    /// Number of requests of this agent that are or may be in flight.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of queued requests.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.current_limit
    }

    /// Returns whether the server reports cold or the limit is below the warm one.
    pub fn is_cold(&self) -> bool {
        self.reported_cold || self.current_limit < self.limits.warm
    }

    /// Returns the exponentially weighted mean service time.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Applies new limits from the configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits == self.limits {
            return;
        }
        let cold = limits.cold.min(limits.warm);
        let was_cold = self.current_limit <= self.limits.cold;
        self.limits = limits;
        self.current_limit = if was_cold {
            cold
        } else {
            self.current_limit.clamp(cold, limits.warm)
        };
    }

    /// Queues or refuses a request that has just arrived.
    pub fn offer(&mut self, now: Instant, request: Request) -> Decision {
        let remaining = request.deadline.since(now);
        // An idle server accepts any deadline: otherwise an estimate that is
        // too high would refuse every request and never get a new sample.
        let required = if self.in_flight() + self.queued() == 0 {
            Duration::ZERO
        } else {
            self.expected_wait() + self.service_time
        };
        if remaining.is_zero() || remaining < required {
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

    /// Refuses queued requests whose deadline has passed and starts as many
    /// others as the limit allows.
    pub fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let expired: Vec<u64> = self
            .waiting
            .iter()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        for id in expired {
            self.withdraw(id);
            let refusal = Refusal::not_run(Reason::Deadline, self.retry_after());
            actions.push(Action::Refuse(id, refusal));
        }
        while let Some(id) = self.start_one(now) {
            actions.push(Action::Run(id));
        }
        actions
    }

    /// Refuses all queued requests.
    pub fn refuse_queued(&mut self, reason: Reason) -> Vec<Action> {
        let ids: Vec<u64> = self.waiting.iter().map(|request| request.id).collect();
        let mut actions = Vec::new();
        for id in ids {
            self.withdraw(id);
            actions.push(Action::Refuse(
                id,
                Refusal::not_run(reason, MIN_RETRY_AFTER),
            ));
        }
        actions
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let queued = self.queue.remove(id);
        self.waiting.retain(|request| request.id != id);
        queued
    }

    /// Records an answer of a plain service and the time it took.
    ///
    /// A sudden rise of this time resets the limit to the cold limit.
    pub fn complete(&mut self, now: Instant, service_time: Duration) {
        if self.answer_times.observe(service_time) {
            self.restart_slow_start(now);
        }
        self.count_completion(service_time);
    }

    /// Records an answer of a model, the time it took and, if it was not
    /// streamed, the time per token.
    ///
    /// The time of a whole answer depends on its length, so only the time per
    /// token shows whether the server has become slow.
    pub fn complete_model(
        &mut self,
        now: Instant,
        service_time: Duration,
        per_token: Option<Duration>,
    ) {
        if per_token.is_some_and(|time| self.answer_token_times.observe(time)) {
            self.restart_slow_start(now);
        }
        self.count_completion(service_time);
    }

    /// Records the time between two tokens of a streamed answer.
    pub fn token_interval(&mut self, now: Instant, time: Duration) {
        if self.token_intervals.observe(time) {
            self.restart_slow_start(now);
        }
    }

    /// Removes a request that is no longer in flight.
    pub fn release(&mut self, id: u64) {
        self.running.retain(|running| running.id != id);
    }

    /// Resets the limit to the cold limit and restarts slow start.
    ///
    /// If the server sends load reports, slow start begins only after a report
    /// that describes the server after `now`: a late report may still describe
    /// the warm server from before.
    pub fn restart_slow_start(&mut self, now: Instant) {
        self.reset_limit();
        self.slow_start_barrier = self.reported_ms.map(|_| Barrier::new(now));
    }

    fn reset_limit(&mut self) {
        self.current_limit = self.limits.cold.min(self.limits.warm);
        self.completed = 0;
        for detector in [
            &mut self.answer_times,
            &mut self.answer_token_times,
            &mut self.token_intervals,
        ] {
            detector.reset();
        }
    }

    /// Records that the answer to a request has begun to arrive.
    ///
    /// From now to the end of the answer, the server's load reports include the
    /// request.
    pub fn answer_started(&mut self, id: u64, now: Instant) {
        if let Some(running) = self.running.iter_mut().find(|running| running.id == id) {
            running.answer_started = Some(now);
        }
    }

    /// Records the arrival of a further part of an answer. The agent had waited
    /// for it since `waited_from`, so the answer was incomplete at that time.
    pub fn answer_progressed(&mut self, id: u64, waited_from: Instant) {
        if let Some(running) = self.running.iter_mut().find(|running| running.id == id) {
            running.incomplete_at = waited_from;
        }
    }

    /// Processes a load report that was requested at `requested_at` and arrived at `now`.
    pub fn report(&mut self, requested_at: Instant, now: Instant, report: Report) {
        // The server's clock goes back only if the server has restarted.
        if self.reported_ms.is_some_and(|last| report.as_of_ms < last) {
            self.restart_slow_start(now);
        }
        self.reported_ms = Some(report.as_of_ms);
        if report.cold {
            self.reset_limit();
        }
        self.reported_cold = report.cold;
        let slow_start_barrier = self.slow_start_barrier.as_mut();
        if slow_start_barrier
            .is_some_and(|barrier| barrier.passes(requested_at, report, self.report_lag))
        {
            self.slow_start_barrier = None;
        }
        self.orphans
            .report(requested_at, now, report, &self.running);
    }

    fn start_one(&mut self, now: Instant) -> Option<u64> {
        let orphans = self.orphans.upper_bound(now)?;
        let occupied = self.in_flight() + orphans;
        if occupied >= self.current_limit || self.running.iter().any(|running| running.alone) {
            return None;
        }
        let running = &self.running;
        let waiting = &self.waiting;
        let below = |account: &str| {
            let count = running
                .iter()
                .filter(|running| *running.account == *account);
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
        // A request that must run alone waits at the head until the server is idle.
        if request.deadline <= now || (request.alone && occupied > 0) {
            return None;
        }
        let item = self.queue.pop(below)?;
        let request = self.waiting.remove(index);
        self.running.push(Running {
            id: item.id,
            account: item.account,
            alone: request.alone,
            answer_started: None,
            incomplete_at: Instant::ORIGIN,
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
        let ahead = self.in_flight() + self.queued() + 1;
        let rounds = ahead
            .saturating_sub(self.current_limit)
            .div_ceil(self.current_limit.max(1));
        self.service_time * rounds
    }

    fn retry_after(&self) -> Duration {
        self.expected_wait().max(MIN_RETRY_AFTER)
    }

    /// Updates the mean service time and raises the limit by half for each
    /// `current_limit` completed requests, up to the warm limit.
    fn count_completion(&mut self, service_time: Duration) {
        self.service_time = if self.service_time.is_zero() {
            service_time
        } else {
            (self.service_time * 3 + service_time) / 4
        };
        if self.reported_cold || self.slow_start_barrier.is_some() {
            return;
        }
        self.completed += 1;
        if self.completed < self.current_limit {
            return;
        }
        self.completed = 0;
        let step = (self.current_limit / 2).max(1);
        self.current_limit = (self.current_limit + step).min(self.limits.warm);
    }
}
