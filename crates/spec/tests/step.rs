//! Exhaustive exploration of the expert map switch in lock-step groups.

use berylgw_spec::step::{Mistake, Settings, Violation, count, find};

const SETTINGS: Settings = Settings {
    maps: 2,
    restarts: 2,
    mistake: None,
};

fn finds(mistake: Mistake, violation: Violation) -> bool {
    let mistake = Some(mistake);
    let with_restart = Settings {
        mistake,
        ..SETTINGS
    };
    find(&with_restart, violation).is_some()
}

// Guards against a step in which two ranks use different maps when several
// controllers are active, messages are late or repeated and ranks restart.
#[test]
fn explore_mixed_step() {
    assert!(find(&SETTINGS, Violation::MixedStep).is_none());
    println!("explore_mixed_step: {} states", count(&SETTINGS));
}

// Guards against a switch that makes a step wait for a rank to load a map.
#[test]
fn explore_stalled_step() {
    assert!(find(&SETTINGS, Violation::StalledStep).is_none());
}

#[test]
fn find_join_without_map() {
    assert!(finds(Mistake::JoinWithoutMap, Violation::MixedStep));
}

#[test]
fn find_ignore_stamp() {
    assert!(finds(Mistake::IgnoreStamp, Violation::MixedStep));
}

#[test]
fn find_unconditional_write() {
    assert!(finds(Mistake::UnconditionalWrite, Violation::MixedStep));
}

#[test]
fn find_rejoin_after_restart() {
    assert!(finds(Mistake::RejoinAfterRestart, Violation::MixedStep));
}

#[test]
fn find_stamp_before_loaded() {
    assert!(finds(Mistake::StampBeforeLoaded, Violation::StalledStep));
}

#[test]
fn find_unload_before_stamped() {
    assert!(finds(Mistake::UnloadBeforeStamped, Violation::StalledStep));
}

#[test]
fn find_stamp_decreases() {
    assert!(finds(Mistake::StampDecreases, Violation::StalledStep));
}

// The stamp advances while a step with the old map still waits for a rank, and the
// old map is unloaded from that rank.
#[test]
fn find_unload_before_step() {
    assert!(finds(Mistake::UnloadBeforeStep, Violation::StalledStep));
}
