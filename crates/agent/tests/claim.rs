//! Claims of one agent incarnation.

use std::time::Duration;

use berylgw_agent::claim::{Bounds, Key, Register};
use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Outcome, Reason};
use berylgw_wire as wire;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RETENTION: Duration = Duration::from_secs(600);

fn register(capacity: usize) -> Register {
    Register::new(Bounds {
        retention: RETENTION,
        capacity,
        result_bytes: 64 << 10,
    })
}

fn key(name: &str) -> Key {
    Key {
        partition: "p".into(),
        key: name.to_owned().into(),
    }
}

fn result(length: usize) -> wire::Result {
    wire::Result {
        status: 200,
        body: vec![b'x'; length].into(),
        ..Default::default()
    }
}

/// Returns a time well after the start of the agent.
fn settled() -> Instant {
    Instant::ORIGIN + RETENTION
}

/// Guards against two runs of a claim, and against a wrong outcome after a run.
#[test]
fn reserve_seen_claim() {
    let now = settled();
    let mut register = register(8);
    register.reserve(now, &key("k"), 5).unwrap();
    let again = register.reserve(now, &key("k"), 6).unwrap_err();
    assert_eq!(again.outcome, Outcome::Unknown);
    register.start(now, &key("k"));
    assert_eq!(register.seal(now, &key("k"), 5).0, wire::Outcome::Unknown);
    register.finish(now, &key("k"), Some(result(3)));
    let done = (wire::Outcome::Done, Some(result(3)));
    assert_eq!(register.seal(now, &key("k"), 5), done);
}

/// Guards against running a claim with a sealed token, and against refusing one
/// with the next token.
#[test]
fn reserve_stale_token() {
    let now = settled();
    let mut register = register(8);
    assert_eq!(register.seal(now, &key("k"), 5).0, wire::Outcome::NotRun);
    for token in [4, 5] {
        let refusal = register.reserve(now, &key("k"), token).unwrap_err();
        assert_eq!(refusal.reason, Reason::StaleToken);
        assert_eq!(refusal.outcome, Outcome::NotRun);
    }
    // The release of a newer token leaves the seal in force.
    register.reserve(now, &key("k"), 6).unwrap();
    register.release(now, &key("k"));
    assert!(register.reserve(now, &key("k"), 5).is_err());
    register.reserve(now, &key("k"), 7).unwrap();
    register.reserve(now, &key("other"), 5).unwrap();
}

/// Guards against running a claim after it was sealed as `not run`.
#[test]
fn seal_unseen_claim() {
    let now = settled();
    let mut register = register(8);
    assert_eq!(register.seal(now, &key("k"), 5).0, wire::Outcome::NotRun);
    assert_eq!(register.seal(now, &key("k"), 5).0, wire::Outcome::NotRun);
    let refusal = register.reserve(now, &key("k"), 5).unwrap_err();
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

/// Guards against reporting a run with a lost answer as done or not run.
#[test]
fn seal_lost_answer() {
    let now = settled();
    let mut register = register(8);
    register.reserve(now, &key("k"), 5).unwrap();
    register.start(now, &key("k"));
    register.finish(now, &key("k"), None);
    assert_eq!(register.seal(now, &key("k"), 5).0, wire::Outcome::Unknown);
}

/// Guards against evicting a claim within its retention time, and against
/// reporting an evicted claim as `not run`.
#[test]
fn reserve_memory_full() {
    let now = settled();
    let mut register = register(2);
    for name in ["a", "b"] {
        register.reserve(now, &key(name), 5).unwrap();
        register.start(now, &key(name));
        register.finish(now, &key(name), None);
    }
    let refusal = register.reserve(now, &key("c"), 5).unwrap_err();
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let later = now + RETENTION;
    register.reserve(later, &key("c"), 5).unwrap();
    assert_eq!(register.seal(later, &key("a"), 5).0, wire::Outcome::Unknown);
    assert_eq!(register.seal(later, &key("b"), 5).0, wire::Outcome::Unknown);
}

/// Guards against retained results that exceed their memory bound.
#[test]
fn reserve_results_full() {
    let now = settled();
    let mut register = register(100);
    let mut kept = 0;
    loop {
        let name = format!("k{kept}");
        if register.reserve(now, &key(&name), 5).is_err() {
            break;
        }
        register.start(now, &key(&name));
        register.finish(now, &key(&name), Some(result(16 << 10)));
        kept += 1;
    }
    assert_eq!(kept, 4);
    let later = now + RETENTION;
    register.reserve(later, &key("next"), 5).unwrap();
    assert_eq!(
        register.seal(later, &key("k0"), 5).0,
        wire::Outcome::Unknown
    );
}

/// Guards against any order of events in which a claim runs twice, or runs after
/// it was reported as `not run`.
#[test]
fn seal_random_schedules() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut register = register(3);
        let mut now = settled();
        let mut running = [false; 6];
        let mut ran = [false; 6];
        let mut sealed = [0; 6];
        let (mut newest, mut tokens) = (5, [5; 6]);
        for _ in 0..200 {
            now = now + Duration::from_secs(random.random_range(0..200));
            let index = random.random_range(0..6);
            let key = key(&index.to_string());
            if !ran[index] {
                tokens[index] = newest;
            }
            let token = tokens[index];
            match random.random_range(0..12) {
                // A claim is not dispatched again after it has run.
                0..4 if !ran[index] => {
                    if register.reserve(now, &key, token).is_err() {
                        continue;
                    }
                    assert!(token > sealed[index], "seed {seed}");
                    if random.random_range(0..3) == 0 {
                        register.release(now, &key);
                        continue;
                    }
                    register.start(now, &key);
                    running[index] = true;
                    ran[index] = true;
                }
                4..8 if running[index] => {
                    running[index] = false;
                    register.finish(now, &key, random.random::<bool>().then(|| result(1)));
                }
                8..11 => {
                    let (outcome, _) = register.seal(now, &key, token);
                    if outcome == wire::Outcome::NotRun {
                        assert!(!ran[index], "seed {seed}");
                        sealed[index] = token;
                    }
                    assert!(outcome != wire::Outcome::Done || ran[index], "seed {seed}");
                }
                11 if random.random_range(0..4) == 0 => {
                    // A seal covers the tokens up to its own; a newer one may run.
                    newest += 1;
                }
                _ => {}
            }
        }
    }
}
