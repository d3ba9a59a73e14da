//! Exhaustive exploration of the ledger claim model.

use berylgw_spec::claim::{Mistake, Settings, Violation, explore, find, find_stuck};

fn settings() -> Settings {
    Settings {
        attempts: 2,
        two_accounts: false,
        lost_responses: 1,
        outages: 1,
        replacements: 1,
        lease_expiries: 1,
        mistake: None,
    }
}

fn finds(mistake: Mistake, violation: Violation) -> bool {
    let settings = Settings {
        mistake: Some(mistake),
        two_accounts: mistake == Mistake::KeyWithoutAccount,
        ..settings()
    };
    find(&settings, violation).is_some()
}

// Guards against a request that runs twice after a resend, and against a false
// `not run`.
#[test]
fn explore_all_faults() {
    let count = explore(&settings()).unwrap();
    println!("explore_all_faults: {count} states");
}

#[test]
fn explore_two_accounts() {
    let settings = Settings {
        two_accounts: true,
        ..settings()
    };
    let count = explore(&settings).unwrap();
    println!("explore_two_accounts: {count} states");
}

// Guards against a lost response that leaves a key which no resend can claim.
#[test]
fn find_stuck_none() {
    assert_eq!(find_stuck(&settings()), None);
}

// Guards against violations in states that only a third attempt reaches.
#[test]
fn explore_three_attempts() {
    let settings = Settings {
        attempts: 3,
        lost_responses: 1,
        outages: 0,
        replacements: 1,
        lease_expiries: 0,
        ..settings()
    };
    let count = explore(&settings).unwrap();
    println!("explore_three_attempts: {count} states");
}

// The tests below guard against a model that cannot detect protocol bugs.

#[test]
fn find_claim_after_dispatch() {
    assert!(finds(Mistake::ClaimAfterDispatch, Violation::RanTwice));
}

#[test]
fn find_expired_owner_not_fenced() {
    assert!(finds(Mistake::ExpiredOwnerNotFenced, Violation::RanTwice));
}

#[test]
fn find_key_without_account() {
    assert!(finds(Mistake::KeyWithoutAccount, Violation::ForeignResult));
}

#[test]
fn find_retry_after_broken_connection() {
    assert!(finds(
        Mistake::RetryAfterBrokenConnection,
        Violation::RanTwice
    ));
}

#[test]
fn find_grant_before_applied() {
    assert!(finds(Mistake::GrantBeforeApplied, Violation::RanTwice));
}

#[test]
fn find_seal_ignored() {
    assert!(finds(Mistake::SealIgnored, Violation::FalseNotRun));
}

#[test]
fn find_takeover_discards_claims() {
    assert!(finds(Mistake::TakeoverDiscardsClaims, Violation::RanTwice));
}

#[test]
fn find_rejection_ignores_key() {
    assert!(finds(Mistake::RejectionIgnoresKey, Violation::FalseNotRun));
}

#[test]
fn find_stuck_lost_response_is_failure() {
    let mistake = Some(Mistake::LostResponseIsFailure);
    assert!(
        find_stuck(&Settings {
            mistake,
            ..settings()
        })
        .is_some()
    );
}
