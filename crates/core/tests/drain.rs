//! Withdrawal of a backend server.

use berylgw_core::backend::Server;
use berylgw_core::config::{Sheet, Snapshot};
use berylgw_core::drain::{State, state};

/// Guards against work for a server that is out by its settings, by the sheet,
/// or not listed, or whose agent is leaving.
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
