//! Exhaustive exploration of the lease of duties.

use berylgw_spec::duty::{Mistake, Settings, Violation, explore};

const SETTINGS: Settings = Settings {
    lost_answers: 1,
    restores: 1,
    restarts: 0,
    releases: 0,
    max_writes: 3,
    mistake: None,
};

#[track_caller]
fn assert_holds(settings: &Settings) {
    match explore(settings) {
        Ok(count) => println!("{settings:?}: {count} states"),
        Err(found) => panic!("{found:#?}"),
    }
}

#[track_caller]
fn assert_finds(settings: Settings, mistake: Mistake, violations: &[Violation]) {
    let mistake = Some(mistake);
    let found = explore(&Settings {
        mistake,
        ..settings
    });
    match found {
        Ok(count) => panic!("{mistake:?} not found in {count} states"),
        Err(found) => assert!(violations.contains(&found.0), "{mistake:?}: {found:#?}"),
    }
}

// Guards against lower or shared tokens, and holders in the order A, B, A, when the store
// loses an answer and is restored, with freezes around each step.
#[test]
fn explore_restore() {
    assert_holds(&SETTINGS);
}

// Guards against the same when a process is restarted and the lease is released.
#[test]
fn explore_restart_and_release() {
    assert_holds(&Settings {
        lost_answers: 0,
        restores: 0,
        restarts: 1,
        releases: 2,
        ..SETTINGS
    });
}

// Guards against the same with several updates whose answers are lost.
#[test]
fn explore_lost_answers() {
    assert_holds(&Settings {
        lost_answers: 2,
        restores: 0,
        releases: 1,
        ..SETTINGS
    });
}

// The tests below guard against a model that cannot detect protocol bugs.

const RELEASES: Settings = Settings {
    lost_answers: 0,
    restores: 0,
    restarts: 0,
    releases: 2,
    max_writes: 5,
    mistake: None,
};

#[test]
fn find_no_rest_after_start() {
    let settings = Settings {
        restarts: 1,
        ..RELEASES
    };
    assert_finds(
        settings,
        Mistake::NoRestAfterStart,
        &[Violation::Alternation],
    );
}

#[test]
fn find_no_rest_after_loss() {
    assert_finds(
        RELEASES,
        Mistake::NoRestAfterLoss,
        &[Violation::Alternation],
    );
}

#[test]
fn find_no_rest_in_era() {
    let any = [Violation::LowerToken, Violation::Alternation];
    assert_finds(SETTINGS, Mistake::NoRestInEra, &any);
}

#[test]
fn find_no_rest_in_first_era() {
    let any = [Violation::LowerToken, Violation::Alternation];
    assert_finds(SETTINGS, Mistake::NoRestInFirstEra, &any);
}

#[test]
fn find_era_ignored() {
    let any = [
        Violation::LowerToken,
        Violation::SharedToken,
        Violation::Alternation,
    ];
    assert_finds(SETTINGS, Mistake::EraIgnored, &any);
}

#[test]
fn find_token_without_era() {
    let any = [Violation::LowerToken, Violation::SharedToken];
    assert_finds(SETTINGS, Mistake::TokenWithoutEra, &any);
}

#[test]
fn find_answer_assumed() {
    let any = [Violation::LowerToken, Violation::SharedToken];
    assert_finds(SETTINGS, Mistake::AnswerAssumed, &any);
}

#[test]
fn find_deadline_from_answer() {
    assert_finds(
        SETTINGS,
        Mistake::DeadlineFromAnswer,
        &[Violation::LowerToken],
    );
}

#[test]
fn find_call_without_timeout() {
    assert_finds(
        SETTINGS,
        Mistake::CallWithoutTimeout,
        &[Violation::LowerToken],
    );
}

#[test]
fn find_release_during_call() {
    assert_finds(
        RELEASES,
        Mistake::ReleaseDuringCall,
        &[Violation::LowerToken],
    );
}

#[test]
fn find_check_before_freeze() {
    assert_finds(
        SETTINGS,
        Mistake::CheckBeforeFreeze,
        &[Violation::LowerToken],
    );
}
