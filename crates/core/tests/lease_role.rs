//! State machine of a process that competes for a role.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::{Action, Event, Holder, Record, Role, Settings, Update};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn role(name: &str) -> Role {
    Role::new(Settings {
        holder: Holder {
            name: name.into(),
            incarnation: 1,
        },
        term: Duration::from_millis(900),
        retry_interval: Duration::from_millis(100),
    })
}

fn record(actions: &[Action]) -> Record {
    let record = actions.iter().find_map(|action| match action {
        Action::Write { record, .. } => Some(record.clone()),
        _ => None,
    });
    record.expect("a write")
}

// Returns a role held with token 1 since time 0, and the record of version 1.
fn held() -> (Role, Record) {
    let mut role = role("e1");
    assert_eq!(role.step(Event::Tick, at(0)), [Action::Read]);
    let first = record(&role.step(Event::ReadDone(None), at(0)));
    let actions = role.step(Event::Written(Update::Applied(1)), at(10));
    assert_eq!(actions, [Action::LeaseAcquired(1)]);
    (role, first)
}

// Guards against a term that begins when the response arrives.
#[test]
fn token_ends_term_after_sending() {
    let (role, _) = held();
    assert_eq!(role.token(at(899)), Some(1));
    assert_eq!(role.token(at(900)), None);
    assert_eq!(role.wake_at(), Some(at(300)));
}

// Guards against losing the role because of one lost renewal.
#[test]
fn step_lost_renewal() {
    let (mut role, first) = held();
    let renewal = record(&role.step(Event::Tick, at(300)));
    let actions = role.step(Event::Written(Update::Unknown), at(500));
    assert_eq!(actions, [Action::Read]);
    let actions = role.step(Event::ReadDone(Some((1, first))), at(510));
    assert_eq!(record(&actions), renewal);
    assert!(
        role.step(Event::Written(Update::Applied(2)), at(520))
            .is_empty()
    );
    assert_eq!(role.token(at(1_199)), Some(1));
    assert_eq!(role.token(at(1_200)), None);
}

// Guards against mistaking a write of another process with the same nonce for the
// renewal, and so keeping the role.
#[test]
fn step_conflict_stops() {
    let (mut role, _) = held();
    let mut other = record(&role.step(Event::Tick, at(300)));
    other.holder.name = "e2".into();
    other.token = 2;
    role.step(Event::Written(Update::Unknown), at(500));
    let actions = role.step(Event::ReadDone(Some((2, other))), at(510));
    assert_eq!(actions[0], Action::LeaseEnded);
    assert_eq!(role.token(at(510)), None);
}

// Guards against a role that is held beyond its term in a platform outage.
#[test]
fn step_outage_stops_at_deadline() {
    let (mut role, _) = held();
    let mut now = 300;
    role.step(Event::Tick, at(now));
    while now < 900 {
        role.step(Event::Written(Update::Refused), at(now + 1));
        now += 101;
        role.step(Event::Tick, at(now));
    }
    assert_eq!(role.token(at(900)), None);
}

// Guards against a takeover while the former holder may still act.
#[test]
fn step_takeover_waits() {
    let (_, first) = held();
    let mut next = role("e2");
    next.step(Event::Tick, at(5_000));
    let mut now = 5_001;
    let mut actions = next.step(Event::ReadDone(Some((1, first.clone()))), at(now));
    while !matches!(actions[..], [Action::Write { .. }]) {
        now += 50;
        let event = if actions == [Action::Read] {
            Event::ReadDone(Some((1, first.clone())))
        } else {
            Event::Tick
        };
        actions = next.step(event, at(now));
        assert!(now < 10_000, "no takeover");
    }
    assert!(now > 5_001 + 900);
    assert_eq!(record(&actions).token, 2);
}

// Guards against a takeover that waits for the term although the holder has
// released the role.
#[test]
fn step_release_taken_at_once() {
    let (mut role, _) = held();
    let actions = role.step(Event::SetWanted(false), at(50));
    assert_eq!(actions[0], Action::LeaseEnded);
    let released = record(&actions);
    let mut next = self::role("e2");
    next.step(Event::Tick, at(0));
    let actions = next.step(Event::ReadDone(Some((2, released))), at(1));
    assert_eq!(record(&actions).token, 2);
}

// Guards against a process that takes a free role right after its start: it may follow
// another process of the same host, which has just acted.
#[test]
fn step_start_rests() {
    let mut role = role("e1").with_rest(at(0));
    let mut actions = role.step(Event::Tick, at(0));
    let mut now = 0;
    while !matches!(actions[..], [Action::Write { .. }]) {
        now += 50;
        let event = match actions[..] {
            [.., Action::Read] => Event::ReadDone(None),
            _ => Event::Tick,
        };
        actions = role.step(event, at(now));
        assert!(now < 2_000, "never acquired");
    }
    assert!(now > 900, "acquired after {now} ms");
}

// Guards against the order A, B, A of holders within one term after a release.
#[test]
fn step_release_rests() {
    let (role, _) = held();
    let mut role = role.with_rest(at(0));
    role.step(Event::SetWanted(false), at(1_000 - 500));
    role.step(Event::Written(Update::Applied(2)), at(510));
    let actions = role.step(Event::SetWanted(true), at(520));
    assert!(
        actions.is_empty() || actions == [Action::Read],
        "{actions:?}"
    );
    assert!(role.compete_at() >= at(500 + 900));
}

// Guards against a holder that goes on, with what it knew of the object, after the store
// was restored from a copy.
#[test]
fn step_era_stops() {
    let (mut role, first) = held();
    let mut now = 20;
    // The first era that is named may be any.
    let mut actions = role.step(Event::Era(0), at(now));
    assert_eq!(actions, [Action::LeaseEnded, Action::Read]);
    assert_eq!(role.token(at(now)), None);
    // The object of the copy names this process.
    while !matches!(actions[..], [Action::Write { .. }]) {
        now += 50;
        let event = match actions[..] {
            [.., Action::Read] => Event::ReadDone(Some((1, first.clone()))),
            _ => Event::Tick,
        };
        actions = role.step(event, at(now));
        assert!(now < 5_000, "never acquired");
    }
    assert!(now >= 20 + 900, "acquired after {now} ms");
    // The restore comes between the update and its answer, which names the new era.
    let actions = role.step(Event::Era(1), at(now + 10));
    assert!(!actions.contains(&Action::LeaseEnded));
    role.step(Event::Written(Update::Applied(2)), at(now + 10));
    assert_eq!(role.token(at(now + 10)), None);
    assert!(role.compete_at() >= at(now + 10 + 900));
}

// Guards against a token after a restore that is below one from before it.
#[test]
fn token_rises_with_era() {
    let (mut role, _) = held();
    let mut now = 20;
    let mut actions = role.step(Event::Era(3), at(now));
    while !matches!(actions[..], [Action::LeaseAcquired(_)]) {
        now += 50;
        let event = match actions[..] {
            [.., Action::Read] => Event::ReadDone(None),
            [Action::Write { .. }] => Event::Written(Update::Applied(1)),
            _ => Event::Tick,
        };
        actions = role.step(event, at(now));
        assert!(now < 5_000, "never acquired");
    }
    assert_eq!(actions, [Action::LeaseAcquired((3 << 32) + 1)]);
    assert_eq!(role.token(at(now)), Some((3 << 32) + 1));
}

// Guards against a token that goes back because the object was deleted.
#[test]
fn token_rises_after_deletion() {
    let (_, mut first) = held();
    first.token = 7;
    let mut next = role("e2");
    next.step(Event::Tick, at(0));
    let actions = next.step(Event::ReadDone(Some((4, first))), at(1));
    assert_eq!(actions, [Action::Read]);
    let actions = next.step(Event::ReadDone(None), at(102));
    assert_eq!(record(&actions).token, 8);
}
