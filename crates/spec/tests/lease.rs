//! Exhaustive exploration of the lease protocol model.

use berylgw_spec::lease::{Mistake, Settings, State, Violation, explore};
use pathfinding::directed::bfs::bfs_reach;

const SETTINGS: Settings = Settings {
    lost_responses: 1,
    outages: 1,
    max_version: 3,
    mistake: None,
};

fn finds(mistake: Mistake, violation: Violation) -> bool {
    let settings = Settings {
        mistake: Some(mistake),
        ..SETTINGS
    };
    bfs_reach(State::new(&settings), |state| state.successors(&settings))
        .any(|state| state.check(&settings) == Err(violation))
}

// Guards against two concurrent holders, or a stale operation taking effect, under
// pauses, a lost response and a store outage.
#[test]
fn explore_all_faults() {
    let count = explore(&SETTINGS).unwrap();
    println!("explore_all_faults: {count} states");
}

// Guards against the same violations after more than one takeover.
#[test]
fn explore_second_takeover() {
    let settings = Settings {
        lost_responses: 0,
        outages: 0,
        max_version: 5,
        ..SETTINGS
    };
    let count = explore(&settings).unwrap();
    println!("explore_second_takeover: {count} states");
}

// The tests below guard against a model that cannot detect protocol bugs.

#[test]
fn find_deadline_from_response() {
    assert!(finds(Mistake::DeadlineFromResponse, Violation::TwoHolders));
}

#[test]
fn find_takeover_without_wait() {
    assert!(finds(Mistake::TakeoverWithoutWait, Violation::TwoHolders));
}

#[test]
fn find_wait_too_short() {
    assert!(finds(Mistake::WaitTooShort, Violation::TwoHolders));
}

#[test]
fn find_unconditional_update() {
    assert!(finds(Mistake::UnconditionalUpdate, Violation::TwoHolders));
}

#[test]
fn find_deadline_ignored() {
    assert!(finds(Mistake::DeadlineIgnored, Violation::TwoHolders));
}

#[test]
fn find_token_kept() {
    assert!(finds(Mistake::TokenKept, Violation::StaleEffect));
}

#[test]
fn find_nonce_ignored() {
    assert!(finds(Mistake::NonceIgnored, Violation::TwoHolders));
}

#[test]
fn find_release_without_stop() {
    assert!(finds(Mistake::ReleaseWithoutStop, Violation::TwoHolders));
}

#[test]
fn find_token_unchecked() {
    assert!(finds(Mistake::TokenUnchecked, Violation::StaleEffect));
}
