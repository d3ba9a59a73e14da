//! Exhaustive exploration of the expert map switch at a held pass.

use berylgw_spec::hold::{Mistake, Settings, State, Violation, count, find};

const SETTINGS: Settings = Settings {
    maps: 2,
    passes: 4,
    leader_restarts: 1,
    reforms: 0,
    deputy: false,
    mistake: None,
};

/// Formats a path to a violation, one line per state.
fn format_path(path: Option<Vec<State>>) -> String {
    let states = path.unwrap_or_default();
    let lines = states.iter().map(|state| format!("{state:?}\n"));
    lines.collect()
}

fn finds(mistake: Mistake, settings: Settings) -> bool {
    let mistake = Some(mistake);
    find(
        &Settings {
            mistake,
            ..settings
        },
        Violation::MixedPass,
    )
    .is_some()
}

// Guards against a pass with two maps when commands are lost, late or repeated and
// the leader restarts in the middle of a switch.
#[test]
fn explore_leader_restart() {
    let path = find(&SETTINGS, Violation::MixedPass);
    assert!(path.is_none(), "{}", format_path(path));
    println!("explore_leader_restart: {} states", count(&SETTINGS));
}

// Guards against the same violation with more leader restarts and a third map.
#[test]
fn explore_more_restarts() {
    let settings = Settings {
        maps: 3,
        passes: 5,
        leader_restarts: 3,
        ..SETTINGS
    };
    let path = find(&settings, Violation::MixedPass);
    assert!(path.is_none(), "{}", format_path(path));
    println!("explore_more_restarts: {} states", count(&settings));
}

// Guards against the same violation when a deputy wrongly considers the leader
// silent and acts concurrently with it.
#[test]
fn explore_deputy() {
    let settings = Settings {
        leader_restarts: 1,
        passes: 3,
        deputy: true,
        ..SETTINGS
    };
    let path = find(&settings, Violation::MixedPass);
    assert!(path.is_none(), "{}", format_path(path));
    println!("explore_deputy: {} states", count(&settings));
}

#[test]
fn find_deputy_leads() {
    let settings = Settings {
        deputy: true,
        ..SETTINGS
    };
    assert!(finds(Mistake::DeputyLeads, settings));
}

// Guards against the same violation when the group is re-formed.
#[test]
fn explore_reformed_group() {
    let settings = Settings {
        leader_restarts: 0,
        reforms: 1,
        passes: 3,
        ..SETTINGS
    };
    let path = find(&settings, Violation::MixedPass);
    assert!(path.is_none(), "{}", format_path(path));
    println!("explore_reformed_group: {} states", count(&settings));
}

#[test]
fn find_arm_without_hold() {
    assert!(finds(Mistake::ArmWithoutHold, SETTINGS));
}

#[test]
fn find_hold_before_prepared() {
    assert!(finds(Mistake::HoldBeforePrepared, SETTINGS));
}

#[test]
fn find_release_before_armed() {
    assert!(finds(Mistake::ReleaseBeforeArmed, SETTINGS));
}

#[test]
fn find_reuse_version() {
    assert!(finds(Mistake::ReuseVersion, SETTINGS));
}

// A hold of the first leader process arrives after the second has begun to
// prepare another map, and the third then switches to the first map.
#[test]
fn find_decide_without_wait() {
    let settings = Settings {
        leader_restarts: 2,
        maps: 3,
        passes: 3,
        ..SETTINGS
    };
    assert!(finds(Mistake::DecideWithoutWait, settings));
}

#[test]
fn find_decide_while_holding() {
    assert!(finds(Mistake::DecideWhileHolding, SETTINGS));
}

#[test]
fn find_ignore_epoch() {
    let settings = Settings {
        leader_restarts: 0,
        reforms: 1,
        ..SETTINGS
    };
    assert!(finds(Mistake::IgnoreEpoch, settings));
}
