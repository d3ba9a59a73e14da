use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::duty::{self, Backoff, Bucket, Silence, Turns};
use berylgw_core::usage::Report;
use berylgw_runtime::clock::uptime;

use super::{CALL_TIMEOUT, Kind, Order, Outcome, Reply, Response, Shared, Tenure};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

struct Task {
    shared: Arc<Shared>,
    /// Token under which the other fields were set up.
    token: Option<u64>,
    bucket: Bucket,
    turns: Turns,
    reports: Attempts,
    silence: Silence,
    /// When a report was last accepted.
    accepted: Option<Instant>,
}

/// Attempts of the call that is due.
#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    backoff: Backoff,
    failed: u32,
}

impl Attempts {
    /// Records a result; returns the number of attempts so far.
    fn end(&mut self, now: Instant, accepted: bool) -> u32 {
        let attempts = self.failed + 1;
        if accepted {
            *self = Attempts::default();
        } else {
            self.failed = attempts;
            self.backoff.fail(now);
        }
        attempts
    }
}

/// Sends what is due while the lease is held; never returns.
pub async fn run(shared: Arc<Shared>) {
    let now = uptime();
    let mut task = Task {
        bucket: Bucket::new(shared.settings.rate_per_s, now),
        shared,
        token: None,
        turns: Turns::default(),
        reports: Attempts::default(),
        silence: Silence::default(),
        accepted: None,
    };
    loop {
        tokio::time::sleep(TICK).await;
        task.export();
        let Some(tenure) = task.shared.tenure() else {
            task.token = None;
            continue;
        };
        task.begin(tenure);
        task.expire(tenure);
        task.call(tenure).await;
    }
}

impl Task {
    /// Sets the state up for a new tenure.
    fn begin(&mut self, tenure: Tenure) {
        let token = Some(tenure.token());
        if self.token == token {
            return;
        }
        self.token = token;
        self.bucket = Bucket::new(self.shared.settings.rate_per_s, uptime());
        self.turns = Turns::default();
        self.reports = Attempts::default();
        self.silence = Silence::default();
    }

    /// Gives up the reports that are too late to be sent.
    fn expire(&self, tenure: Tenure) {
        if !self.shared.settings.kinds.contains(&Kind::Usage) {
            return;
        }
        let office = &self.shared.office;
        let expired = office.with_ledger(|ledger, now| (ledger.expire(now), now));
        let Some((windows, now)) = expired else {
            return;
        };
        for window in windows {
            self.shared.metrics.count_given_up();
            let age_ms = self.age_ms(window, now);
            let token = tenure.token();
            tracing::error!(token, window, age_ms, "usage report given up");
        }
    }

    /// Returns the time since the end of a window, in milliseconds.
    fn age_ms(&self, window: u64, true_now: Duration) -> u64 {
        let window_ms = self.shared.settings.duties.window_s.saturating_mul(1_000);
        let end_ms = window.saturating_add(1).saturating_mul(window_ms);
        (true_now.as_millis() as u64).saturating_sub(end_ms)
    }

    async fn call(&mut self, tenure: Tenure) {
        let shared = self.shared.clone();
        let now = uptime();
        // Its lease may be valid before the ledger has been restored.
        let is_ready = shared.office.token() == Some(tenure.token());
        if !is_ready || shared.is_closing() {
            return;
        }
        let report = match shared.settings.kinds.contains(&Kind::Usage) {
            true if self.reports.backoff.is_over(now) => {
                let due = shared.office.with_ledger(|ledger, now| {
                    let report = ledger.due()?;
                    Some((report, now))
                });
                due.flatten()
            }
            _ => None,
        };
        if report.is_none() || !shared.permits(tenure.token()) || !self.bucket.take(now) {
            return;
        }
        // Orders are not decided yet.
        let chosen = self.turns.choose(report.is_some(), false);
        if let (Some(duty::Subject::Report), Some((report, true_now))) = (chosen, report) {
            self.report(tenure, report, true_now).await;
        }
    }

    async fn report(&mut self, tenure: Tenure, report: Report, true_now: Duration) {
        let window = report.window;
        let (accounts, requests) = (report.counts.len(), total(&report));
        let order = self.order(tenure, report);
        let call = (self.shared.calls.report)(order);
        let (response, took) = self.carry_out(duty::Subject::Report, call).await;
        let now = uptime();
        let is_accepted = response.outcome == Outcome::Accepted;
        let attempts = self.reports.end(now, is_accepted);
        let age_ms = self.age_ms(window, true_now + took);
        let took_ms = took.as_millis() as u64;
        let lease_left_ms = tenure.lease.deadline().since(now).as_millis() as u64;
        let (token, outcome, detail) = (tenure.token(), response.outcome, &*response.detail);
        if !is_accepted {
            tracing::warn!(
                token, window, accounts, requests, age_ms, attempts, took_ms, lease_left_ms,
                %outcome, detail, "usage report not accepted"
            );
            return;
        }
        self.accepted = Some(now);
        let shared = &self.shared;
        shared
            .office
            .with_ledger(|ledger, _| ledger.accepted(window));
        let is_late = age_ms as f64 > shared.settings.duties.late_s * 1_000.0;
        if is_late {
            shared.metrics.count_late();
        }
        tracing::info!(
            token,
            window,
            accounts,
            requests,
            age_ms,
            attempts,
            took_ms,
            lease_left_ms,
            is_late,
            "usage report accepted"
        );
    }

    fn order<T>(&self, tenure: Tenure, content: T) -> Order<T> {
        let (shared, token) = (self.shared.clone(), tenure.token());
        Order {
            token,
            content,
            permit: Box::new(move || shared.permits(token)),
        }
    }

    /// Waits for the response to a call, and records what it shows of the interface.
    async fn carry_out(
        &mut self,
        subject: duty::Subject,
        call: Reply<Response>,
    ) -> (Response, Duration) {
        let shared = self.shared.clone();
        let began = uptime();
        let response = {
            let _calling = shared.calling.lock().await;
            tokio::time::timeout(CALL_TIMEOUT, call).await
        };
        let response = response.unwrap_or_else(|_| Response {
            outcome: Outcome::NoResponse,
            detail: format!("timed out after {CALL_TIMEOUT:?}"),
        });
        shared.metrics.count_call(subject, response.outcome);
        let now = uptime();
        match response.outcome {
            Outcome::Unreachable | Outcome::NoResponse => self.silence.no_response(began),
            // Says nothing of the interface.
            Outcome::Withheld => {}
            _ => self.silence.reset(),
        }
        let term = shared.settings.duties.lease();
        let others = shared.others();
        if self.silence.is_too_long(now, term, others) {
            self.silence.reset();
            shared.makes_way.store(true, Ordering::Relaxed);
            tracing::warn!(
                token = self.token,
                others,
                silent_ms = term.as_millis() as u64,
                "interface of the duties unreachable; another entry is to try"
            );
        }
        (response, now.since(began))
    }

    fn export(&self) {
        let accepted = self.accepted.filter(|_| self.token.is_some());
        let age = accepted.map(|at| uptime().since(at));
        self.shared.metrics.set_report_age(age);
    }
}

fn total(report: &Report) -> u64 {
    report.counts.iter().map(|(_, count)| count).sum()
}
