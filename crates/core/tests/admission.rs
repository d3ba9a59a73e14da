//! Admission control: limits, ramp and queue of one backend server.

use std::time::Duration;

use berylgw_core::admission::{Action, Decision, Limits, Report, Request, State};
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

fn state(warm: u32, cold: u32) -> State {
    State::new(Limits { warm, cold }, Queue::new(1_000, 1_000), LAG)
}

/// Delivers a report without delay.
fn give(state: &mut State, report: Report) {
    let now = Instant::from_millis(report.as_of_ms);
    state.report(now, now, report);
}

/// A state in which no request of an earlier agent is left.
fn ready(warm: u32, cold: u32) -> State {
    let mut state = state(warm, cold);
    give(&mut state, report(0, 0));
    give(&mut state, report(2_000, 0));
    state
}

fn started(state: &mut State, now: Instant) -> Vec<u64> {
    let mut ids = Vec::new();
    for action in state.advance(now) {
        if let Action::Run(id) = action {
            ids.push(id);
        }
    }
    ids
}

/// Guards against exceeding the limit after a restart of the agent, while the
/// server still runs requests from before it.
#[test]
fn advance_earlier_work_unknown() {
    let now = Instant::ORIGIN;
    let mut state = state(4, 4);
    for id in 0..4 {
        assert_eq!(state.offer(now, request(id)), Decision::Queued);
    }
    assert!(started(&mut state, now).is_empty());
    give(&mut state, report(5_000, 0));
    assert!(started(&mut state, now).is_empty());
    // This report may still describe the server before the restart.
    give(&mut state, report(6_000, 0));
    assert!(started(&mut state, now).is_empty());
    give(&mut state, report(6_001, 3));
    assert_eq!(started(&mut state, now), [0]);
    give(&mut state, report(7_000, 1));
    assert_eq!(started(&mut state, now), [1, 2]);
}

/// Guards against comparing reports of a restarted server with its old clock.
#[test]
fn report_server_clock_restarts() {
    let mut state = state(2, 2);
    give(&mut state, report(900_000, 2));
    give(&mut state, report(10, 0));
    state.offer(Instant::ORIGIN, request(1));
    assert!(started(&mut state, Instant::ORIGIN).is_empty());
    give(&mut state, report(1_011, 0));
    assert_eq!(started(&mut state, Instant::ORIGIN), [1]);
}

/// Guards against a ramp that does not follow completed requests, or that is not
/// reset when the server reports cold.
#[test]
fn complete_ramp() {
    let mut state = ready(8, 2);
    let service_time = Duration::from_millis(10);
    let mut limits = vec![state.limit()];
    for _ in 0..30 {
        state.complete(Instant::ORIGIN, service_time);
        if limits.last() != Some(&state.limit()) {
            limits.push(state.limit());
        }
    }
    assert_eq!(limits, [2, 3, 4, 6, 8]);
    let cold = Report {
        cold: true,
        ..report(3_000, 0)
    };
    give(&mut state, cold);
    assert_eq!(state.limit(), 2);
    for _ in 0..30 {
        state.complete(Instant::ORIGIN, service_time);
    }
    assert_eq!(state.limit(), 2);
}

/// Guards against the warm limit for a server that has suddenly become slow.
#[test]
fn complete_service_time_rises() {
    let mut state = ready(8, 2);
    for _ in 0..30 {
        state.complete(Instant::ORIGIN, Duration::from_millis(100));
    }
    assert_eq!(state.limit(), 8);
    state.complete(Instant::ORIGIN, Duration::from_secs(5));
    assert_eq!(state.limit(), 2);
}

/// Guards against queueing a request whose deadline cannot be met.
#[test]
fn offer_deadline_cannot_be_met() {
    let now = Instant::ORIGIN;
    let mut state = ready(1, 1);
    state.complete(Instant::ORIGIN, Duration::from_millis(100));
    state.offer(now, request(1));
    assert_eq!(started(&mut state, now), [1]);
    let hurried = Request {
        deadline: Instant::from_millis(150),
        ..request(2)
    };
    let Decision::Refused(refusal) = state.offer(now, hurried) else {
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
    let mut state = ready(1, 1);
    state.complete(Instant::ORIGIN, Duration::from_secs(60));
    let short = Request {
        deadline: Instant::from_millis(1_000),
        ..request(1)
    };
    assert_eq!(state.offer(now, short), Decision::Queued);
    assert_eq!(started(&mut state, now), [1]);
}

/// Guards against running a suspected request beside other requests.
#[test]
fn advance_suspect_alone() {
    let now = Instant::ORIGIN;
    let mut state = ready(4, 4);
    state.offer(now, request(1));
    let suspect = Request {
        alone: true,
        ..request(2)
    };
    state.offer(now, suspect);
    state.offer(now, request(3));
    assert_eq!(started(&mut state, now), [1]);
    state.release(1);
    assert_eq!(started(&mut state, now), [2]);
    assert!(started(&mut state, now).is_empty());
    state.release(2);
    assert_eq!(started(&mut state, now), [3]);
}

/// Guards against an account with more requests in flight than its concurrency limit.
#[test]
fn advance_account_concurrency() {
    let now = Instant::ORIGIN;
    let mut state = ready(4, 4);
    for id in 0..3 {
        let limited = Request {
            concurrency: 1,
            ..request(id)
        };
        state.offer(now, limited);
    }
    let other = Request {
        account: "b".into(),
        ..request(9)
    };
    state.offer(now, other);
    assert_eq!(started(&mut state, now), [0, 9]);
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
    let mut state = state(warm, cold);
    // Requests of an earlier agent, and reports as old as the lag allows.
    let mut earlier: u32 = random.random_range(0..=warm);
    let mut running: Vec<u64> = Vec::new();
    // Reports from before the restart may show fewer requests than were running.
    let mut reports: Vec<Report> = (0..10)
        .map(|step| report(49_000 + step * 100, random.random_range(0..=earlier)))
        .collect();
    for step in 0..400u64 {
        let now = Instant::from_millis(step * 100);
        match random.random_range(0..6) {
            0 | 1 => {
                state.offer(now, request(step));
            }
            2 if !running.is_empty() => {
                let index = random.random_range(0..running.len());
                state.complete(
                    Instant::ORIGIN,
                    Duration::from_millis(random.random_range(1..2_000)),
                );
                state.release(running.swap_remove(index));
            }
            3 => earlier = earlier.saturating_sub(random.random_range(0..2)),
            4 => {
                let oldest = reports.len().saturating_sub(10);
                if let Some(report) = reports[oldest..].first() {
                    state.report(now, now, *report);
                }
            }
            _ => {
                state.withdraw(random.random_range(0..=step));
            }
        }
        reports.push(Report {
            in_flight: earlier + running.len() as u32,
            cold: random.random_range(0..40) == 0,
            as_of_ms: 50_000 + step * 100,
        });
        let new = started(&mut state, now);
        let some = !new.is_empty();
        running.extend(new);
        let held = earlier + running.len() as u32;
        assert!(state.limit() <= warm, "seed {seed}, step {step}");
        assert!(!some || held <= state.limit(), "seed {seed}, step {step}");
        assert_eq!(
            state.held() as usize,
            running.len(),
            "seed {seed}, step {step}"
        );
    }
}

/// A state after a report that bounds the requests of an earlier agent at half
/// the limit, with enough queued requests to fill the server.
fn saturated(warm: u32) -> State {
    let mut state = state(warm, warm);
    give(&mut state, report(0, 0));
    give(&mut state, report(1_500, warm / 2));
    for id in 0..u64::from(warm) {
        state.offer(Instant::from_millis(1_500), request(id));
    }
    state
}

/// Guards against capacity that stays reserved for an earlier agent because the
/// reports of a busy server never fall below the agent's own requests.
#[test]
fn report_saturated_server() {
    let mut state = saturated(8);
    let mut running = Vec::new();
    for now_ms in (1_500..10_000).step_by(100) {
        let now = Instant::from_millis(now_ms);
        for id in started(&mut state, now) {
            state.answering(id, now);
            running.push(id);
        }
        for id in &running {
            state.heard(*id, now);
        }
        give(&mut state, report(now_ms, running.len() as u32));
    }
    assert_eq!(running.len(), 8);
}

/// Guards against subtracting an own request that the report may not include:
/// one without an answer yet, and one whose answer made no further progress.
#[test]
fn report_own_work_uncertain() {
    for silent in [true, false] {
        let mut state = saturated(8);
        let mut running = Vec::new();
        for now_ms in (1_500..10_000).step_by(100) {
            let now = Instant::from_millis(now_ms);
            for id in started(&mut state, now) {
                if silent {
                    state.answering(id, now);
                }
                running.push(id);
            }
            for id in &running {
                if !silent {
                    state.heard(*id, now);
                }
            }
            give(&mut state, report(now_ms, 8));
        }
        assert_eq!(running.len(), 4, "silent: {silent}");
    }
}

/// Guards against a server without load reports that gets no requests after a
/// start of its agent, or gets them while those of an earlier agent may run.
#[test]
fn advance_no_reports() {
    let over_at = Instant::from_millis(300_000);
    let mut state = state(8, 2).with_earlier_until(over_at);
    for id in 0..8 {
        state.offer(Instant::ORIGIN, request(id));
    }
    assert!(started(&mut state, Instant::from_millis(299_999)).is_empty());
    assert_eq!(started(&mut state, over_at), [0, 1]);
}

/// Guards against capacity that stays reserved at a busy server whose answers do
/// not prove that its reports include them.
#[test]
fn advance_earlier_work_over() {
    let over_at = Instant::from_millis(300_000);
    let mut state = saturated(8).with_earlier_until(over_at);
    assert_eq!(started(&mut state, Instant::from_millis(1_500)).len(), 4);
    give(&mut state, report(299_999, 8));
    assert!(started(&mut state, Instant::from_millis(299_999)).is_empty());
    assert_eq!(started(&mut state, over_at).len(), 4);
    give(&mut state, report(300_100, 8));
    assert!(started(&mut state, Instant::from_millis(300_100)).is_empty());
}

/// Guards against missing a tenfold slowdown because the baseline follows the
/// samples.
#[test]
fn complete_tenfold_rise() {
    let mut state = ready(8, 2);
    for _ in 0..30 {
        state.complete(Instant::ORIGIN, Duration::from_millis(100));
    }
    assert_eq!(state.limit(), 8);
    for _ in 0..3 {
        state.complete(Instant::ORIGIN, Duration::from_secs(1));
    }
    // Requests completed after the reset have already raised the limit again.
    assert!(state.limit() < 4, "limit {}", state.limit());
}

/// Guards against a reset to the cold limit when long answers follow short ones.
#[test]
fn complete_model_mixed_lengths() {
    let token = Duration::from_millis(20);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut state = ready(8, 2);
    for round in 0..200 {
        let tokens = if round % 20 < 18 { 4 } else { 2_000 };
        for _ in 0..4 {
            state.token(
                Instant::ORIGIN,
                token + Duration::from_millis(random.random_range(0..20)),
            );
        }
        state.complete_model(Instant::ORIGIN, token * tokens, Some(token));
        assert!(round < 30 || state.limit() == 8, "round {round}");
    }
}

/// Guards against detecting a slowdown of a model server only when its long
/// answers end.
#[test]
fn token_rises() {
    let mut state = ready(8, 2);
    for _ in 0..30 {
        state.token(Instant::ORIGIN, Duration::from_millis(20));
        state.complete_model(Instant::ORIGIN, Duration::from_secs(1), None);
    }
    assert_eq!(state.limit(), 8);
    state.token(Instant::ORIGIN, Duration::from_millis(200));
    state.token(Instant::ORIGIN, Duration::from_millis(200));
    assert_eq!(state.limit(), 2);
}

/// Guards against missing requests from before a restart of the agent when the
/// engine stalled: its first reports are then older than the lag allows.
#[test]
fn report_after_stall() {
    let mut state = state(4, 4);
    for id in 0..4 {
        state.offer(Instant::ORIGIN, request(id));
    }
    let at = Instant::from_millis;
    state.report(at(0), at(0), report(1_000, 0));
    state.report(at(100), at(100), report(5_000, 0));
    assert!(started(&mut state, at(100)).is_empty());
    state.report(at(1_000), at(1_000), report(6_000, 3));
    assert_eq!(started(&mut state, at(1_000)), [0]);
}

/// Guards against a ramp that completes while late reports still describe the
/// server before it became cold.
#[test]
fn complete_reports_late() {
    let mut state = ready(8, 2);
    let answers = |state: &mut State, now_ms| {
        for _ in 0..30 {
            state.complete(Instant::from_millis(now_ms), Duration::from_millis(10));
        }
    };
    answers(&mut state, 3_000);
    assert_eq!(state.limit(), 8);
    state.fall_back(Instant::from_millis(4_000));
    for now_ms in (4_000..5_000).step_by(100) {
        give(&mut state, report(now_ms, 0));
        answers(&mut state, now_ms);
        assert_eq!(state.limit(), 2, "{now_ms} ms");
    }
    give(&mut state, report(5_100, 0));
    answers(&mut state, 5_100);
    assert_eq!(state.limit(), 8);
}

/// Guards against the warm limit for a server that restarted while idle.
#[test]
fn report_server_restarts_cold() {
    let mut state = ready(8, 2);
    for _ in 0..30 {
        state.complete(Instant::from_millis(2_000), Duration::from_millis(10));
    }
    assert_eq!(state.limit(), 8);
    state.report(
        Instant::from_millis(3_000),
        Instant::from_millis(3_000),
        report(10, 0),
    );
    assert_eq!(state.limit(), 2);
}
