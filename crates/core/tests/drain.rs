//! Withdrawal of a backend server and shutdown of an entry.

use berylgw_core::backend::Server;
use berylgw_core::clock::Instant;
use berylgw_core::config::{Sheet, Snapshot};
use berylgw_core::drain::{Shutdown, State, Times, state};
use std::time::Duration;

/// Guards against work for a server that is not listed, whose agent is leaving, or
/// whose failure domain in the settings or the sheet is out of service.
#[test]
fn state_cases() {
    let server = Server {
        name: "s".into(),
        service: "svc".into(),
        domain: "moved".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        limit: 1,
        cold_limit: 1,
        rank: None,
    };
    let mut snapshot = Snapshot {
        sheet: Sheet {
            servers: vec![server],
            ..Sheet::default()
        },
        ..Snapshot::default()
    };
    assert_eq!(state(&snapshot, "s", "d", false), State::Open);
    assert_eq!(state(&snapshot, "s", "d", true), State::Leaving);
    assert_eq!(state(&snapshot, "other", "d", false), State::Withdrawn);
    for out in ["d", "moved"] {
        snapshot.domains_out = vec![out.into()];
        assert_eq!(state(&snapshot, "s", "d", false), State::Withdrawn);
    }
}

const TIMES: Times = Times {
    min_open: Duration::from_secs(1),
    notify_timeout: Duration::from_secs(5),
    answer_lifetime: Duration::from_secs(10),
};

fn at(second: u64) -> Instant {
    Instant::from_micros(second * 1_000_000)
}

/// Guards against an entry that stops while a caller may still have its address
/// cached, and against one that keeps running although none has.
#[test]
fn accepts_until_answers_expire() {
    let none = Duration::ZERO;
    let mut shutdown = Shutdown::new(at(0), TIMES, none);
    assert_eq!(
        shutdown.accepts_until(),
        at(1),
        "no other process lists the address"
    );
    shutdown.add(["b".into(), "c".into()]);
    assert_eq!(shutdown.accepts_until(), at(15), "no acknowledgement");
    shutdown.acknowledge(at(0), "b", Duration::from_secs(8));
    shutdown.acknowledge(at(2), "b", Duration::from_secs(10));
    assert_eq!(
        shutdown.accepts_until(),
        at(15),
        "one acknowledgement missing"
    );
    shutdown.acknowledge(at(3), "c", none);
    assert_eq!(
        shutdown.accepts_until(),
        at(8),
        "the last directory answer expires"
    );
    shutdown.add(["c".into(), "d".into()]);
    assert_eq!(shutdown.unacknowledged(), ["d".into()], "a new entry");
    let own = Shutdown::new(at(0), TIMES, Duration::from_secs(7));
    assert_eq!(
        own.accepts_until(),
        at(7),
        "this entry's own directory answer"
    );
}
