//! Two processes with the same name.

use berylgw_core::clock::Instant;
use berylgw_core::identity::{Identity, Role};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Guards against an older process that keeps running after it was replaced.
#[test]
fn identity_superseded() {
    let mut old = Identity::new(1);
    old.confirm_host();
    assert_eq!(old.observe_answer(at(0), 2), Role::Host);
    assert_eq!(old.observe_answer(at(999), 2), Role::Host);
    assert_eq!(old.observe_answer(at(1_000), 2), Role::Superseded);
    old.confirm_host();
    assert_eq!(
        old.role(),
        Role::Superseded,
        "a superseded process stays so"
    );
}

/// Guards against a second process, started by mistake or before the sheet lists
/// it, that displaces the host or stops before it is listed.
#[test]
fn identity_standby() {
    let mut new = Identity::new(2);
    for second in 0..100 {
        assert_eq!(new.observe_answer(at(second * 1_000), 1), Role::Standby);
    }
    new.confirm_host();
    assert_eq!(new.role(), Role::Host);
}

/// Guards against a host behind a translated address that stops because of answers
/// of an earlier process.
#[test]
fn identity_interrupted() {
    let mut host = Identity::new(1);
    assert_eq!(host.observe_answer(at(0), 1), Role::Host);
    assert_eq!(host.observe_answer(at(1_000), 2), Role::Host);
    assert_eq!(host.observe_answer(at(2_000), 1), Role::Host);
    assert_eq!(host.observe_answer(at(3_000), 2), Role::Host);
}
