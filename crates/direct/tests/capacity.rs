//! Placement and limits of an entry by the paces that ranks report.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::Content;
use berylgw_core::group::capacity::{Rejected, Step};
use berylgw_core::group::queue::Request;
use berylgw_direct::Settings;
use berylgw_direct::backend::Server;
use berylgw_direct::config::{Configuration, RequestKind, Route, Service, Target};
use berylgw_direct::state::{Admission, ServerKey, ServiceKey, State};
use berylgw_direct::view::{Part, View};
use berylgw_wire::rank::Pace;
use serde_json::json;

const SERVICE: &str = "model";
/// Ranks of each of two groups.
const RANKS: usize = 8;
const SLOTS: u32 = 6;
const ACCEPTED: Duration = Duration::from_millis(120);

fn at(millis: u64) -> Instant {
    Instant::from_millis(60_000 + millis)
}

fn server(index: usize) -> Server {
    Server {
        id: format!("i-{index:02}").into(),
        born: Some(7),
        service: SERVICE.into(),
        address: ([10, 0, 0, index as u8], 80).into(),
        domain: "shed".into(),
        slots: SLOTS,
        draining: false,
    }
}

/// Returns a state with two groups of ranks, of which no report is known yet.
fn state(capacity: &str) -> (State, ServiceKey) {
    let address = "127.0.0.1:1";
    let settings: Settings = serde_json::from_value(json!({
        "name": "edge-own", "domain": "shed",
        "listen": { "callers": address, "peers": address, "metrics": address },
        "retry": { "window_s": 10, "ratio": 0.2, "extra": 90.0 },
        "cold": { "overshoot": 1.5, "slack": 5.0 }, "stop_s": 8.0,
        "group": { "capacity": capacity },
    }))
    .expect("the settings are valid");
    let mut state = State::new(settings);
    let step = Step {
        base_ms: 2.0,
        per_request_ms: 0.5,
        steps: 8.0,
    };
    let configuration = Configuration {
        services: vec![Service {
            name: SERVICE.into(),
            cold_rate: 0.0,
            grouped: true,
            step: Some(step),
        }],
        routes: vec![Route {
            host: "desk.example".into(),
            prefix: "/".into(),
            targets: vec![Target {
                service: SERVICE.into(),
                weight: 1,
            }],
            kind: RequestKind::Stream,
            timeout: Duration::from_secs(8),
            latency_target: Duration::from_millis(400),
            pause_target: Some(ACCEPTED),
            attempts: 2,
            priority: 1,
            anonymous: false,
        }],
        ..Configuration::default()
    };
    let view = View {
        configuration: Part {
            revision: 1.into(),
            value: Arc::new(configuration),
        },
        servers: Part {
            revision: 1.into(),
            value: Arc::new((0..RANKS * 2).map(server).collect()),
        },
        ..View::default()
    };
    state.update_view(Arc::new(view));
    let service = state.service_key(&SERVICE.into());
    (state, service)
}

/// Reports a pace of each rank. The first half of the ranks is one group.
fn report(state: &mut State, millis: u64, pace: impl Fn(usize) -> f32) {
    for index in 0..RANKS * 2 {
        let pace = Pace {
            rank: server(index).address.to_string(),
            group: 1 + (index / RANKS) as u32,
            epoch: 1,
            size: RANKS as u32,
            pace: pace(index),
            read_us: at(millis).as_micros(),
            age_ms: 0,
        };
        state.record_pace(at(millis), &pace).expect("newer");
    }
    state.evaluate_capacity(at(millis));
}

fn admit(state: &mut State, now: Instant, service: ServiceKey) -> bool {
    let request = Request {
        priority: 1,
        account_priority: 1,
        class: None,
        in_time: true,
        account: "a".into(),
        tokens: 100,
        deadline: now,
    };
    matches!(
        state.request_permit(now, service, request),
        Admission::Granted
    )
}

fn choose(state: &mut State, now: Instant, service: ServiceKey) -> (ServerKey, usize) {
    let content = Content::new([1, 2], 3);
    let (key, server) = state
        .choose_server(now, service, &[], &content)
        .expect("there are servers");
    (key, server.id[2..].parse().expect("the id has a number"))
}

/// Guards against requests at a rank whose report says that it delays all others, and
/// against a setting that is ignored.
#[test]
fn slow_rank_gets_no_requests() {
    for (capacity, expected) in [("measured", 0), ("fixed", 4)] {
        let (mut state, service) = state(capacity);
        report(&mut state, 0, |index| if index == 3 { 4.0 } else { 1.0 });
        let mut at_slow = 0;
        for _ in 0..RANKS * 2 * 4 {
            at_slow += usize::from(choose(&mut state, at(1), service).1 == 3);
        }
        assert_eq!(at_slow, expected, "{capacity}");
        report(&mut state, 500, |_| 1.0);
        let again = (0..4).any(|_| choose(&mut state, at(501), service).1 == 3);
        assert!(again || capacity == "fixed");
    }
}

/// Guards against requests at a group that can answer none on time while the other group
/// has free permits, and against refusals while the slow group could take more.
#[test]
fn slow_group_beside_sound_one() {
    let (mut state, service) = state("measured");
    report(&mut state, 0, |_| 1.0);
    let whole = state.concurrency_limit(service);
    report(&mut state, 300, |index| if index == 3 { 12.0 } else { 1.0 });
    assert!(state.concurrency_limit(service) >= whole);
    let (mut slow, mut sound) = (0, 0);
    let mut admitted = 0;
    while admitted < whole && admit(&mut state, at(301), service) {
        admitted += 1;
        match choose(&mut state, at(301), service).1 < RANKS {
            true => slow += 1,
            false => sound += 1,
        }
        // The sound group is filled up to its limit first.
        assert!(slow == 0 || sound >= whole / 2 - 1, "{slow} {sound}");
    }
    println!("limit {whole}, slow group {slow}, sound group {sound}");
    assert!(slow > 0 && sound > 0);
}

/// Guards against a limit of the sound group that falls with the pauses of the other.
#[test]
fn limit_of_sound_group_kept() {
    let (mut state, service) = state("measured");
    report(&mut state, 0, |_| 1.0);
    let before = state.concurrency_limit(service);
    let mut of_first = None;
    while of_first.is_none() {
        let (key, index) = choose(&mut state, at(1), service);
        of_first = (index < RANKS).then_some(key);
    }
    let key = of_first.expect("found");
    for step in 1..40 {
        let pause = Duration::from_millis(170);
        state.record_pause(at(step * 110), service, key, pause, ACCEPTED);
    }
    let after = state.concurrency_limit(service);
    // The slow group has a floor of 8 permits.
    assert!(after < before && after >= before / 2, "{before} {after}");
}

/// Guards against a rank that is not read correctly.
#[test]
fn invalid_report_rejected() {
    let (mut state, _) = state("measured");
    let pace = Pace {
        rank: "nowhere".to_owned(),
        pace: 4.0,
        size: 4,
        ..Pace::default()
    };
    assert_eq!(state.record_pace(at(0), &pace), Err(Rejected::Invalid));
    assert!(state.pace_report(at(0), true).is_empty());
}
