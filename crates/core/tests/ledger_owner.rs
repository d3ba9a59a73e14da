//! State machine of the owner of a ledger partition.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::{Holder, Record, Update};
use berylgw_core::ledger::{
    Action, Answer, Completion, Digest, Event, Grant, Owner, Partition, Reply, Request, Settings,
    Target,
};
use berylgw_core::outcome::{Outcome, Reason};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn settings(name: &str) -> Settings {
    Settings::new(Holder {
        name: name.into(),
        incarnation: 1,
    })
}

fn request(id: u64, key: &[u8], body: &[u8]) -> Request {
    Request {
        id,
        key: Digest::of_key("wash", "yard-app", key),
        body: Digest::of_parts(&[body]),
        target: Target {
            server: "yard-1".into(),
            incarnation: 7,
        },
        deadline: at(100_000),
    }
}

fn claim(owner: &mut Owner, request: Request, now: u64) -> Vec<Action> {
    owner.step(Event::Claim(request), at(now))
}

fn tick(owner: &mut Owner, now: u64) -> Vec<Action> {
    owner.step(Event::Tick, at(now))
}

fn written(owner: &mut Owner, update: Update, now: u64) -> Vec<Action> {
    owner.step(Event::Written(update), at(now))
}

fn write(actions: &[Action]) -> Arc<Partition> {
    let write = actions.iter().find_map(|action| match action {
        Action::Write { partition, .. } => Some(partition.clone()),
        _ => None,
    });
    write.expect("a write")
}

fn reply(actions: &[Action], id: u64) -> Option<Reply> {
    actions.iter().find_map(|action| match action {
        Action::Reply { id: of, reply } if *of == id => Some(reply.clone()),
        _ => None,
    })
}

fn grant(actions: &[Action], id: u64) -> Grant {
    match reply(actions, id) {
        Some(Reply::Granted(grant)) => grant,
        other => panic!("request {id} got {other:?}"),
    }
}

fn refusal(actions: &[Action], id: u64) -> (Reason, Outcome) {
    match reply(actions, id) {
        Some(Reply::Refused(refusal)) => (refusal.reason, refusal.outcome),
        other => panic!("request {id} got {other:?}"),
    }
}

const NOT_RUN: (Reason, Outcome) = (Reason::LedgerUnavailable, Outcome::NotRun);
const UNKNOWN: (Reason, Outcome) = (Reason::LedgerUnavailable, Outcome::Unknown);

// Returns an owner that acquired a new partition, now at version 1, at time 0.
fn held() -> Owner {
    let mut owner = Owner::new(settings("e1"));
    assert!(matches!(tick(&mut owner, 0)[..], [Action::Read]));
    let actions = owner.step(Event::ReadDone(None), at(1));
    assert_eq!(write(&actions).lease.token, 1);
    let actions = written(&mut owner, Update::Applied(1), 2);
    assert!(matches!(actions[..], [Action::LeaseAcquired]));
    owner
}

fn granted(owner: &mut Owner) -> Grant {
    claim(owner, request(1, b"k", b"b"), 10);
    assert!(!tick(owner, 15).is_empty());
    grant(&written(owner, Update::Applied(2), 20), 1)
}

// Guards against a separate platform update for each claim.
#[test]
fn step_groups_window() {
    let mut owner = held();
    assert!(claim(&mut owner, request(1, b"1", b"b"), 10).is_empty());
    assert!(claim(&mut owner, request(2, b"2", b"b"), 12).is_empty());
    assert_eq!(owner.wake_at(), Some(at(15)));
    assert_eq!(write(&tick(&mut owner, 15)).claims.len(), 2);
    assert!(claim(&mut owner, request(3, b"3", b"b"), 16).is_empty());
    let actions = written(&mut owner, Update::Applied(2), 40);
    grant(&actions, 1);
    grant(&actions, 2);
    assert_eq!(write(&actions).claims.len(), 3);
}

// Guards against a grant whose claim another owner cannot see.
#[test]
fn step_unknown_settled_by_read() {
    let mut owner = held();
    claim(&mut owner, request(1, b"k", b"b"), 10);
    let value = write(&tick(&mut owner, 15));
    let actions = written(&mut owner, Update::Unknown, 300);
    assert_eq!(refusal(&actions, 1), NOT_RUN);
    assert!(matches!(actions[..], [_, Action::Read]));
    let actions = claim(&mut owner, request(2, b"k", b"b"), 305);
    assert_eq!(refusal(&actions, 2), NOT_RUN);
    owner.step(Event::ReadDone(Some((2, value))), at(310));
    claim(&mut owner, request(3, b"k", b"b"), 311);
    assert_eq!(write(&tick(&mut owner, 316)).lease.token, 2);
    let actions = written(&mut owner, Update::Applied(3), 320);
    assert_eq!(grant(&actions, 3).token, 2);
}

// Guards against applying the refusal of a repeated write to the first write,
// which can still take effect.
#[test]
fn step_unknown_then_refused() {
    let mut owner = held();
    claim(&mut owner, request(1, b"0", b"b"), 3);
    let before = write(&tick(&mut owner, 8));
    written(&mut owner, Update::Applied(2), 9);
    claim(&mut owner, request(2, b"k", b"b"), 10);
    let value = write(&tick(&mut owner, 15));
    let actions = written(&mut owner, Update::Unknown, 300);
    assert_eq!(refusal(&actions, 2), NOT_RUN);
    let actions = owner.step(Event::ReadDone(Some((2, before))), at(310));
    assert_eq!(write(&actions), value);
    written(&mut owner, Update::Refused, 320);
    assert!(!tick(&mut owner, 900).is_empty());
    let actions = written(&mut owner, Update::Conflict, 910);
    assert!(matches!(actions[..], [Action::Read]));
    owner.step(Event::ReadDone(Some((3, value))), at(920));
    // The claim of the first write is in the object and its grant was never issued.
    claim(&mut owner, request(3, b"k", b"b"), 921);
    assert_eq!(write(&tick(&mut owner, 926)).lease.token, 2);
    let actions = written(&mut owner, Update::Applied(4), 930);
    assert_eq!(grant(&actions, 3).token, 2);
}

// Guards against a resend that stays pending although no grant was issued.
#[test]
fn step_abandoned_claim_granted_again() {
    let mut owner = held();
    let mut first = request(1, b"k", b"b");
    first.deadline = at(50);
    claim(&mut owner, first, 10);
    let value = write(&tick(&mut owner, 15));
    let actions = tick(&mut owner, 50);
    assert_eq!(refusal(&actions, 1), NOT_RUN);
    written(&mut owner, Update::Unknown, 300);
    owner.step(Event::ReadDone(Some((2, value))), at(310));
    claim(&mut owner, request(2, b"k", b"b"), 320);
    let again = write(&tick(&mut owner, 325));
    assert_eq!(again.lease.token, 2);
    let actions = written(&mut owner, Update::Applied(3), 330);
    assert_eq!(grant(&actions, 2).token, 2);
}

// Guards against a second grant after a takeover.
#[test]
fn step_takeover_pending() {
    let mut owner = held();
    let first = granted(&mut owner);
    let mut value = Partition::parse(&write(&tick(&mut owner, 3_000)).to_json()).unwrap();
    value.lease.released = true;
    let mut next = Owner::new(settings("e2"));
    tick(&mut next, 0);
    let actions = next.step(Event::ReadDone(Some((3, Arc::new(value)))), at(1));
    assert_eq!(write(&actions).lease.token, 2);
    written(&mut next, Update::Applied(4), 2);
    let actions = claim(&mut next, request(5, b"k", b"b"), 3);
    assert!(matches!(reply(&actions, 5), Some(Reply::Pending(grant, _)) if grant == first));
    let actions = next.step(
        Event::Complete {
            id: 6,
            grant: first,
            completion: Completion::NotRun,
        },
        at(4),
    );
    assert!(matches!(
        actions[..],
        [Action::Completed { accepted: true, .. }]
    ));
    claim(&mut next, request(7, b"k", b"b"), 5);
    tick(&mut next, 10);
    let actions = written(&mut next, Update::Applied(5), 11);
    assert_eq!(grant(&actions, 7).token, 3);
}

// Guards against a result that is served only after its deferred write.
#[test]
fn step_done_from_memory() {
    let mut owner = held();
    let grant = granted(&mut owner);
    let answer = Answer {
        status: 201,
        body: b"booked".to_vec(),
        ..Answer::default()
    };
    let completion = Completion::Done(answer.clone());
    owner.step(
        Event::Complete {
            id: 1,
            grant,
            completion,
        },
        at(30),
    );
    let actions = claim(&mut owner, request(2, b"k", b"b"), 31);
    assert_eq!(reply(&actions, 2), Some(Reply::Done(answer)));
    assert!(tick(&mut owner, 1_029).is_empty());
    assert_eq!(write(&tick(&mut owner, 1_030)).claims.len(), 1);
}

#[test]
fn step_key_reused() {
    let mut owner = held();
    let grant = granted(&mut owner);
    // The key may have run with its first body.
    let actions = claim(&mut owner, request(2, b"k", b"other"), 30);
    let reused = |outcome| (Reason::KeyReused, outcome);
    assert_eq!(refusal(&actions, 2), reused(Outcome::Unknown));
    let event = Event::Complete {
        id: 3,
        grant,
        completion: Completion::NotRun,
    };
    owner.step(event, at(31));
    let actions = claim(&mut owner, request(4, b"k", b"other"), 32);
    assert_eq!(refusal(&actions, 4), reused(Outcome::NotRun));
}

// Guards against grants after the lease deadline, when another owner may grant.
#[test]
fn step_lapsed_refuses() {
    let mut owner = held();
    claim(&mut owner, request(1, b"k", b"b"), 10);
    tick(&mut owner, 15);
    let actions = tick(&mut owner, 6_001);
    assert!(matches!(actions[0], Action::LeaseEnded));
    assert_eq!(refusal(&actions, 1), UNKNOWN);
    let actions = written(&mut owner, Update::Applied(2), 7_000);
    assert!(reply(&actions, 1).is_none());
    let actions = claim(&mut owner, request(2, b"2", b"b"), 7_001);
    assert_eq!(refusal(&actions, 2), UNKNOWN);
}

#[test]
fn step_outage_refuses() {
    let mut owner = held();
    claim(&mut owner, request(1, b"k", b"b"), 10);
    tick(&mut owner, 15);
    let actions = written(&mut owner, Update::Refused, 16);
    assert_eq!(refusal(&actions, 1), NOT_RUN);
    let actions = claim(&mut owner, request(2, b"2", b"b"), 17);
    assert_eq!(refusal(&actions, 2), NOT_RUN);
}

// Guards against `not run` for a key that another owner may have granted.
#[test]
fn step_conflict_refuses() {
    let mut owner = held();
    claim(&mut owner, request(1, b"k", b"b"), 10);
    tick(&mut owner, 15);
    let actions = written(&mut owner, Update::Conflict, 16);
    assert!(matches!(actions[0], Action::LeaseEnded));
    assert_eq!(refusal(&actions, 1), UNKNOWN);
}

// Guards against treating another owner's claim as an ungranted claim of this
// owner: a failed update and another owner's acquisition can have the same token.
#[test]
fn step_failed_token_reused() {
    let mut owner = held();
    let first = granted(&mut owner);
    let event = Event::Complete {
        id: 2,
        grant: first,
        completion: Completion::NotRun,
    };
    owner.step(event, at(30));
    claim(&mut owner, request(3, b"k", b"b"), 31);
    let failed = write(&tick(&mut owner, 36));
    assert_eq!(failed.lease.token, 2);
    written(&mut owner, Update::Unknown, 300);
    // Meanwhile another owner acquires with token 2 and grants the key.
    let mut taken = Partition::clone(&failed);
    taken.lease = Record {
        holder: settings("e2").holder,
        nonce: 9,
        released: true,
        ..taken.lease
    };
    let actions = owner.step(Event::ReadDone(Some((7, Arc::new(taken)))), at(7_000));
    assert!(matches!(actions[0], Action::LeaseEnded));
    assert_eq!(write(&actions).lease.token, 3);
    written(&mut owner, Update::Applied(8), 7_001);
    let actions = claim(&mut owner, request(4, b"k", b"b"), 7_002);
    assert!(matches!(reply(&actions, 4), Some(Reply::Pending(grant, _)) if grant.token == 2));
}

// Guards against an object that outgrows the platform's limit.
#[test]
fn step_full_refuses() {
    let mut settings = settings("e1");
    settings.max_bytes = 20_000;
    let mut owner = Owner::new(settings);
    tick(&mut owner, 0);
    owner.step(Event::ReadDone(None), at(1));
    written(&mut owner, Update::Applied(1), 2);
    for id in 0..100 {
        claim(&mut owner, request(id, &id.to_be_bytes(), b"b"), 3);
    }
    let actions = tick(&mut owner, 8);
    let value = write(&actions);
    assert_eq!(refusal(&actions, 99), NOT_RUN);
    assert!(value.claims.len() > 10 && value.claims.len() < 100);
    assert!(value.to_json().len() <= 20_000);
    let actions = written(&mut owner, Update::Applied(2), 10);
    for claim in &value.claims {
        let grant = Grant {
            key: claim.key,
            token: claim.token,
        };
        let completion = Completion::Done(Answer {
            status: 200,
            body: vec![255; 4_000],
            ..Answer::default()
        });
        let event = Event::Complete {
            id: 0,
            grant,
            completion,
        };
        owner.step(event, at(11));
    }
    assert_eq!(actions.len(), value.claims.len());
    assert!(write(&tick(&mut owner, 2_000)).to_json().len() <= 20_000);
}

// Guards against claims that are never pruned or are pruned too early.
#[test]
fn step_prunes_after_generations() {
    let mut settings = settings("e1");
    settings.generation = Duration::from_millis(100);
    settings.retained_generations = 2;
    settings.completion_interval = Duration::from_millis(1);
    let mut owner = Owner::new(settings);
    tick(&mut owner, 0);
    owner.step(Event::ReadDone(None), at(1));
    written(&mut owner, Update::Applied(1), 2);
    granted(&mut owner);
    claim(&mut owner, request(2, b"2", b"b"), 280);
    assert_eq!(write(&tick(&mut owner, 290)).claims.len(), 2);
    written(&mut owner, Update::Applied(3), 291);
    claim(&mut owner, request(3, b"3", b"b"), 300);
    assert_eq!(write(&tick(&mut owner, 305)).claims.len(), 2);
}

// Guards against a planned release that loses results or leaves the lease to
// expire.
#[test]
fn step_release_writes_results() {
    let mut owner = held();
    let grant = granted(&mut owner);
    let completion = Completion::Done(Answer::default());
    owner.step(
        Event::Complete {
            id: 1,
            grant,
            completion: completion.clone(),
        },
        at(30),
    );
    let actions = owner.step(Event::SetWanted(false), at(31));
    assert!(matches!(actions[0], Action::LeaseEnded));
    let value = write(&actions);
    assert!(value.lease.released);
    let state = &value.claim(&grant.key).unwrap().state;
    assert_eq!(*state, completion.into());
    written(&mut owner, Update::Unknown, 40);
    let mut before = Partition::clone(&value);
    before.lease.nonce = 0;
    let actions = owner.step(Event::ReadDone(Some((2, Arc::new(before)))), at(41));
    assert_eq!(write(&actions), value);
    written(&mut owner, Update::Applied(3), 42);
    assert_eq!(owner.wake_at(), None);
}
