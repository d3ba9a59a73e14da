//! Issue and use of tickets.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::outcome::Outcome;
use berylgw_core::ticket::{Registry, Subject};

const LIFETIME: Duration = Duration::from_secs(60);

fn subject(account: &str) -> Subject {
    Subject {
        server: "s".into(),
        account: account.into(),
        service: "svc".into(),
    }
}

fn registry(incarnation: u64) -> Registry {
    Registry::new([incarnation as u8; 32], incarnation, LIFETIME, 4)
}

/// Guards against a ticket that runs twice, or that ran and is refused with outcome
/// `not run`.
#[test]
fn reserve_used_ticket() {
    let now = Instant::ORIGIN;
    let mut registry = registry(1);
    let token = registry.issue(now, &subject("a"), b"key").unwrap();
    let serial = registry.reserve(now, &subject("a"), &token, None).unwrap();
    let refusal = registry
        .reserve(now, &subject("a"), &token, None)
        .unwrap_err();
    assert_eq!(refusal.outcome, Outcome::Unknown);
    registry.release(serial);
    let serial = registry.reserve(now, &subject("a"), &token, None).unwrap();
    registry.mark_used(serial);
    let late = now + Duration::from_secs(3_600);
    for time in [now, now + LIFETIME, late] {
        let refusal = registry
            .reserve(time, &subject("a"), &token, None)
            .unwrap_err();
        assert_eq!(refusal.outcome, Outcome::Unknown);
    }
}

/// Guards against outcome `unknown` for a ticket that provably never runs.
#[test]
fn reserve_expired_ticket() {
    let mut registry = registry(1);
    let token = registry
        .issue(Instant::ORIGIN, &subject("a"), b"key")
        .unwrap();
    let after = Instant::ORIGIN + LIFETIME;
    let refusal = registry
        .reserve(after, &subject("a"), &token, None)
        .unwrap_err();
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

/// Guards against tickets that are valid for another account, key or incarnation.
#[test]
fn reserve_foreign_ticket() {
    let now = Instant::ORIGIN;
    let mut first = registry(1);
    let token = first.issue(now, &subject("a"), b"key").unwrap();
    let mut second = registry(2);
    second.issue(now, &subject("a"), b"key").unwrap();
    let forged = token.replacen("0.", "1.", 1);
    for refusal in [
        second.reserve(now, &subject("a"), &token, None),
        first.reserve(now, &subject("b"), &token, None),
        first.reserve(now, &subject("a"), &token, Some(b"other")),
        first.reserve(now, &subject("a"), &forged, None),
        first.reserve(now, &subject("a"), "x.y", None),
    ] {
        assert_eq!(refusal.unwrap_err().outcome, Outcome::Unknown);
    }
    assert!(
        first
            .reserve(now, &subject("a"), &token, Some(b"key"))
            .is_ok()
    );
}

/// Guards against evicting recorded tickets when the capacity is reached.
#[test]
fn issue_capacity() {
    let now = Instant::ORIGIN;
    let mut registry = registry(1);
    for _ in 0..4 {
        registry.issue(now, &subject("a"), b"key").unwrap();
    }
    assert!(registry.issue(now, &subject("a"), b"key").is_err());
    let later = now + Duration::from_secs(3_600);
    assert!(registry.issue(later, &subject("a"), b"key").is_ok());
}
