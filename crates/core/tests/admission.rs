//! Admission control: limits, slow start and queue of one backend server.

use std::time::Duration;

use berylgw_core::admission::{Action, Controller, Decision, Limits, Report, Request};
use berylgw_core::clock::Instant;
use berylgw_core::fair::Queue;
use berylgw_core::outcome::{Outcome, Reason};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LAG: Duration = Duration::from_secs(1);

fn request(id: u64) -> Request {
    Request {
        id,
        account: "a".into(),
        weight: 1,
        concurrency: 1_000,
        deadline: Instant::from_millis(u64::from(u32::MAX)),
        alone: false,
    }
}

fn report(as_of_ms: u64, in_flight: u32) -> Report {
    Report {
        in_flight,
        cold: false,
        as_of_ms,
    }
}

fn controller(warm: u32, cold: u32) -> Controller {
    Controller::new(Limits { warm, cold }, Queue::new(1_000, 1_000), LAG)
}

/// Delivers a report without delay.
fn deliver(controller: &mut Controller, report: Report) {
    let now = Instant::from_millis(report.as_of_ms);
    controller.report(now, now, report);
}

/// Returns a controller without requests of an earlier agent.
fn ready(warm: u32, cold: u32) -> Controller {
    let mut controller = controller(warm, cold);
    deliver(&mut controller, report(0, 0));
    deliver(&mut controller, report(2_000, 0));
    controller
}

fn started(controller: &mut Controller, now: Instant) -> Vec<u64> {
    let mut ids = Vec::new();
    for action in controller.advance(now) {
        if let Action::Run(id) = action {
            ids.push(id);
        }
    }
    ids
}

/// Guards against exceeding the limit after a restart of the agent, while the
/// server still runs requests from before it.
#[test]
fn advance_orphans_unknown() {
    let now = Instant::ORIGIN;
    let mut controller = controller(4, 4);
    for id in 0..4 {
        assert_eq!(controller.offer(now, request(id)), Decision::Queued);
    }
    assert!(started(&mut controller, now).is_empty());
    deliver(&mut controller, report(5_000, 0));
    assert!(started(&mut controller, now).is_empty());
    // This report may still describe the server before the restart.
    deliver(&mut controller, report(6_000, 0));
    assert!(started(&mut controller, now).is_empty());
    deliver(&mut controller, report(6_001, 3));
    assert_eq!(started(&mut controller, now), [0]);
    deliver(&mut controller, report(7_000, 1));
    assert_eq!(started(&mut controller, now), [1, 2]);
}

/// Guards against comparing reports of a restarted server with its old clock.
#[test]
fn report_server_clock_restarts() {
    let mut controller = controller(2, 2);
    deliver(&mut controller, report(900_000, 2));
    deliver(&mut controller, report(10, 0));
    controller.offer(Instant::ORIGIN, request(1));
    assert!(started(&mut controller, Instant::ORIGIN).is_empty());
    deliver(&mut controller, report(1_011, 0));
    assert_eq!(started(&mut controller, Instant::ORIGIN), [1]);
}

/// Guards against a slow start that does not follow completed requests, or that is not
/// reset when the server reports cold.
#[test]
fn complete_slow_start() {
    let mut controller = ready(8, 2);
    let service_time = Duration::from_millis(10);
    let mut limits = vec![controller.limit()];
    for _ in 0..30 {
        controller.complete(Instant::ORIGIN, service_time);
        if limits.last() != Some(&controller.limit()) {
            limits.push(controller.limit());
        }
    }
    assert_eq!(limits, [2, 3, 4, 6, 8]);
    let cold = Report {
        cold: true,
        ..report(3_000, 0)
    };
    deliver(&mut controller, cold);
    assert_eq!(controller.limit(), 2);
    for _ in 0..30 {
        controller.complete(Instant::ORIGIN, service_time);
    }
    assert_eq!(controller.limit(), 2);
}

/// Guards against the warm limit for a server that has suddenly become slow.
#[test]
fn complete_service_time_rises() {
    let mut controller = ready(8, 2);
    for _ in 0..30 {
        controller.complete(Instant::ORIGIN, Duration::from_millis(100));
    }
    assert_eq!(controller.limit(), 8);
    controller.complete(Instant::ORIGIN, Duration::from_secs(5));
    assert_eq!(controller.limit(), 2);
}

/// Guards against queueing a request whose deadline cannot be met.
#[test]
fn offer_deadline_cannot_be_met() {
    let now = Instant::ORIGIN;
    let mut controller = ready(1, 1);
    controller.complete(Instant::ORIGIN, Duration::from_millis(100));
    controller.offer(now, request(1));
    assert_eq!(started(&mut controller, now), [1]);
    let urgent = Request {
        deadline: Instant::from_millis(150),
        ..request(2)
    };
    let Decision::Refused(refusal) = controller.offer(now, urgent) else {
        panic!("the request was queued");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(!refusal.retry_after.is_zero());
}

/// Guards against a service time estimate above all deadlines: it would refuse
/// every request and never be corrected.
#[test]
fn offer_idle_server() {
    let now = Instant::ORIGIN;
    let mut controller = ready(1, 1);
    controller.complete(Instant::ORIGIN, Duration::from_secs(60));
    let short = Request {
        deadline: Instant::from_millis(1_000),
        ..request(1)
    };
    assert_eq!(controller.offer(now, short), Decision::Queued);
    assert_eq!(started(&mut controller, now), [1]);
}

/// Guards against running a suspected request beside other requests.
#[test]
fn advance_suspect_alone() {
    let now = Instant::ORIGIN;
    let mut controller = ready(4, 4);
    controller.offer(now, request(1));
    let suspect = Request {
        alone: true,
        ..request(2)
    };
    controller.offer(now, suspect);
    controller.offer(now, request(3));
    assert_eq!(started(&mut controller, now), [1]);
    controller.release(1);
    assert_eq!(started(&mut controller, now), [2]);
    assert!(started(&mut controller, now).is_empty());
    controller.release(2);
    assert_eq!(started(&mut controller, now), [3]);
}

/// Guards against an account with more requests in flight than its concurrency limit.
#[test]
fn advance_account_concurrency() {
    let now = Instant::ORIGIN;
    let mut controller = ready(4, 4);
    for id in 0..3 {
        let limited = Request {
            concurrency: 1,
            ..request(id)
        };
        controller.offer(now, limited);
    }
    let other = Request {
        account: "b".into(),
        ..request(9)
    };
    controller.offer(now, other);
    assert_eq!(started(&mut controller, now), [0, 9]);
}

/// Guards against schedules in which the server has more requests in flight than
/// its limit.
#[test]
fn advance_random_schedules() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        run_schedule(&mut random, seed);
    }
}

fn run_schedule(random: &mut ChaCha8Rng, seed: u64) {
    let warm = random.random_range(1..9);
    let cold = random.random_range(1..=warm);
    let mut controller = controller(warm, cold);
    // Requests of an earlier agent, and reports as old as the lag allows.
    let mut orphans: u32 = random.random_range(0..=warm);
    let mut running: Vec<u64> = Vec::new();
    // Reports from before the restart may show fewer requests than were running.
    let mut reports: Vec<Report> = (0..10)
        .map(|step| report(49_000 + step * 100, random.random_range(0..=orphans)))
        .collect();
    for step in 0..400u64 {
        let now = Instant::from_millis(step * 100);
        match random.random_range(0..6) {
            0 | 1 => {
                controller.offer(now, request(step));
            }
            2 if !running.is_empty() => {
                let index = random.random_range(0..running.len());
                controller.complete(
                    Instant::ORIGIN,
                    Duration::from_millis(random.random_range(1..2_000)),
                );
                controller.release(running.swap_remove(index));
            }
            3 => orphans = orphans.saturating_sub(random.random_range(0..2)),
            4 => {
                let oldest = reports.len().saturating_sub(10);
                if let Some(report) = reports[oldest..].first() {
                    controller.report(now, now, *report);
                }
            }
            _ => {
                controller.withdraw(random.random_range(0..=step));
            }
        }
        reports.push(Report {
            in_flight: orphans + running.len() as u32,
            cold: random.random_range(0..40) == 0,
            as_of_ms: 50_000 + step * 100,
        });
        let newly_started = started(&mut controller, now);
        let any_started = !newly_started.is_empty();
        running.extend(newly_started);
        let in_flight = orphans + running.len() as u32;
        assert!(controller.limit() <= warm, "seed {seed}, step {step}");
        assert!(
            !any_started || in_flight <= controller.limit(),
            "seed {seed}, step {step}"
        );
        assert_eq!(
            controller.in_flight() as usize,
            running.len(),
            "seed {seed}, step {step}"
        );
    }
}

/// Returns a controller after a report that bounds the requests of an earlier
/// agent at half the limit, with enough queued requests to fill the server.
fn saturated(warm: u32) -> Controller {
    let mut controller = controller(warm, warm);
    deliver(&mut controller, report(0, 0));
    deliver(&mut controller, report(1_500, warm / 2));
    for id in 0..u64::from(warm) {
        controller.offer(Instant::from_millis(1_500), request(id));
    }
    controller
}

/// Guards against capacity that stays reserved for an earlier agent because the
/// reports of a busy server never fall below the agent's own requests.
#[test]
fn report_saturated_server() {
    let mut controller = saturated(8);
    let mut running = Vec::new();
    for now_ms in (1_500..10_000).step_by(100) {
        let now = Instant::from_millis(now_ms);
        for id in started(&mut controller, now) {
            controller.answer_started(id, now);
            running.push(id);
        }
        for id in &running {
            controller.answer_progressed(*id, now);
        }
        deliver(&mut controller, report(now_ms, running.len() as u32));
    }
    assert_eq!(running.len(), 8);
}

/// Guards against subtracting an own request that the report may not include:
/// one without an answer yet, and one whose answer made no further progress.
#[test]
fn report_own_requests_uncertain() {
    for silent in [true, false] {
        let mut controller = saturated(8);
        let mut running = Vec::new();
        for now_ms in (1_500..10_000).step_by(100) {
            let now = Instant::from_millis(now_ms);
            for id in started(&mut controller, now) {
                if silent {
                    controller.answer_started(id, now);
                }
                running.push(id);
            }
            for id in &running {
                if !silent {
                    controller.answer_progressed(*id, now);
                }
            }
            deliver(&mut controller, report(now_ms, 8));
        }
        assert_eq!(running.len(), 4, "silent: {silent}");
    }
}

/// Guards against a server without load reports that gets no requests after a
/// start of its agent, or gets them while those of an earlier agent may run.
#[test]
fn advance_no_reports() {
    let ended_at = Instant::from_millis(300_000);
    let mut controller = controller(8, 2).with_orphans_until(ended_at);
    for id in 0..8 {
        controller.offer(Instant::ORIGIN, request(id));
    }
    assert!(started(&mut controller, Instant::from_millis(299_999)).is_empty());
    assert_eq!(started(&mut controller, ended_at), [0, 1]);
}

/// Guards against capacity that stays reserved at a busy server whose answers do
/// not prove that its reports include them.
#[test]
fn advance_orphans_ended() {
    let ended_at = Instant::from_millis(300_000);
    let mut controller = saturated(8).with_orphans_until(ended_at);
    assert_eq!(
        started(&mut controller, Instant::from_millis(1_500)).len(),
        4
    );
    deliver(&mut controller, report(299_999, 8));
    assert!(started(&mut controller, Instant::from_millis(299_999)).is_empty());
    assert_eq!(started(&mut controller, ended_at).len(), 4);
    deliver(&mut controller, report(300_100, 8));
    assert!(started(&mut controller, Instant::from_millis(300_100)).is_empty());
}

/// Guards against missing a tenfold slowdown because the baseline follows the
/// samples.
#[test]
fn complete_tenfold_rise() {
    let mut controller = ready(8, 2);
    for _ in 0..30 {
        controller.complete(Instant::ORIGIN, Duration::from_millis(100));
    }
    assert_eq!(controller.limit(), 8);
    for _ in 0..3 {
        controller.complete(Instant::ORIGIN, Duration::from_secs(1));
    }
    // Requests completed after the reset have already raised the limit again.
    assert!(controller.limit() < 4, "limit {}", controller.limit());
}

/// Guards against a reset to the cold limit when long answers follow short ones.
#[test]
fn complete_model_mixed_lengths() {
    let token = Duration::from_millis(20);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut controller = ready(8, 2);
    for round in 0..200 {
        let tokens = if round % 20 < 18 { 4 } else { 2_000 };
        for _ in 0..4 {
            controller.token_interval(
                Instant::ORIGIN,
                token + Duration::from_millis(random.random_range(0..20)),
            );
        }
        controller.complete_model(Instant::ORIGIN, token * tokens, Some(token));
        assert!(round < 30 || controller.limit() == 8, "round {round}");
    }
}

/// Guards against detecting a slowdown of a model server only when its long
/// answers end.
#[test]
fn token_interval_rises() {
    let mut controller = ready(8, 2);
    for _ in 0..30 {
        controller.token_interval(Instant::ORIGIN, Duration::from_millis(20));
        controller.complete_model(Instant::ORIGIN, Duration::from_secs(1), None);
    }
    assert_eq!(controller.limit(), 8);
    controller.token_interval(Instant::ORIGIN, Duration::from_millis(200));
    controller.token_interval(Instant::ORIGIN, Duration::from_millis(200));
    assert_eq!(controller.limit(), 2);
}

/// Guards against missing requests from before a restart of the agent when the
/// engine stalled: its first reports are then older than the lag allows.
#[test]
fn report_after_stall() {
    let mut controller = controller(4, 4);
    for id in 0..4 {
        controller.offer(Instant::ORIGIN, request(id));
    }
    let at = Instant::from_millis;
    controller.report(at(0), at(0), report(1_000, 0));
    controller.report(at(100), at(100), report(5_000, 0));
    assert!(started(&mut controller, at(100)).is_empty());
    controller.report(at(1_000), at(1_000), report(6_000, 3));
    assert_eq!(started(&mut controller, at(1_000)), [0]);
}

/// Guards against a slow start that completes while late reports still describe the
/// server before it became cold.
#[test]
fn complete_late_reports() {
    let mut controller = ready(8, 2);
    let complete_all = |controller: &mut Controller, now_ms| {
        for _ in 0..30 {
            controller.complete(Instant::from_millis(now_ms), Duration::from_millis(10));
        }
    };
    complete_all(&mut controller, 3_000);
    assert_eq!(controller.limit(), 8);
    controller.restart_slow_start(Instant::from_millis(4_000));
    for now_ms in (4_000..5_000).step_by(100) {
        deliver(&mut controller, report(now_ms, 0));
        complete_all(&mut controller, now_ms);
        assert_eq!(controller.limit(), 2, "{now_ms} ms");
    }
    deliver(&mut controller, report(5_100, 0));
    complete_all(&mut controller, 5_100);
    assert_eq!(controller.limit(), 8);
}

/// Guards against the warm limit for a server that restarted while idle.
#[test]
fn report_server_restarts_cold() {
    let mut controller = ready(8, 2);
    for _ in 0..30 {
        controller.complete(Instant::from_millis(2_000), Duration::from_millis(10));
    }
    assert_eq!(controller.limit(), 8);
    controller.report(
        Instant::from_millis(3_000),
        Instant::from_millis(3_000),
        report(10, 0),
    );
    assert_eq!(controller.limit(), 2);
}
