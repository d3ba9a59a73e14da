//! Two processes with the same name.

use berylgw_core::clock::Instant;
use berylgw_core::identity::{Identity, Standing};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Guards against an older process that keeps running after it was replaced.
#[test]
fn identity_superseded() {
    let mut old = Identity::new(1);
    old.named();
    assert_eq!(old.answered(at(0), 2), Standing::Host);
    assert_eq!(old.answered(at(999), 2), Standing::Host);
    assert_eq!(old.answered(at(1_000), 2), Standing::Superseded);
    old.named();
    assert_eq!(
        old.standing(),
        Standing::Superseded,
        "a superseded process stays so"
    );
}

/// Guards against a second process, started by mistake or before the sheet lists
/// it, that displaces the host or stops before it is listed.
#[test]
fn identity_standby() {
    let mut new = Identity::new(2);
    for second in 0..100 {
        assert_eq!(new.answered(at(second * 1_000), 1), Standing::Standby);
    }
    new.named();
    assert_eq!(new.standing(), Standing::Host);
}

/// Guards against a host behind a translated address that stops because of answers
/// of an earlier process.
#[test]
fn identity_interrupted() {
    let mut host = Identity::new(1);
    assert_eq!(host.answered(at(0), 1), Standing::Host);
    assert_eq!(host.answered(at(1_000), 2), Standing::Host);
    assert_eq!(host.answered(at(2_000), 1), Standing::Host);
    assert_eq!(host.answered(at(3_000), 2), Standing::Host);
}
