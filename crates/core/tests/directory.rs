//! List of entry addresses for callers.

use std::sync::Arc;

use berylgw_core::config::Snapshot;
use berylgw_core::directory::addresses;
use serde_json::{Value, json};

fn snapshot() -> Snapshot {
    let entry = |name: &str, domain: &str, port: u16| -> Value {
        let address = format!("127.0.0.1:{port}");
        json!({"name": name, "domain": domain, "address": address, "peer_address": address})
    };
    let sheet = json!({
        "nonce": 1,
        "domains": [
            {"name": "a", "region": "r1"}, {"name": "b", "region": "r1"},
            {"name": "c", "region": "r2"}
        ],
        "entries": [
            entry("e1", "a", 1), entry("e2", "b", 2), entry("e3", "b", 3), entry("e4", "c", 4)
        ],
        "services": [], "servers": [], "accounts": [], "grants": []
    });
    Snapshot {
        sheet: serde_json::from_value(sheet).unwrap(),
        ..Snapshot::default()
    }
}

fn ports(snapshot: &Snapshot, leaving: &[Arc<str>], domain: &str, rotation: usize) -> Vec<u16> {
    let list = addresses(snapshot, leaving, &[], domain, rotation);
    list.iter().map(|entry| entry.address.port()).collect()
}

/// Guards against sending callers to distant entries, or all to the same one.
#[test]
fn addresses_nearest_first() {
    let snapshot = snapshot();
    assert_eq!(ports(&snapshot, &[], "a", 0), [1, 2, 3, 4]);
    assert_eq!(ports(&snapshot, &[], "a", 1), [1, 3, 2, 4]);
    assert_eq!(ports(&snapshot, &[], "c", 0), [4, 1, 2, 3]);
    assert_eq!(ports(&snapshot, &[], "nowhere", 0).len(), 4);
}

/// Guards against listing leaving hosts and failure domains out of service.
#[test]
fn addresses_exclude_leaving_and_out() {
    let mut snapshot = snapshot();
    snapshot.domains_out = vec!["c".into()];
    assert_eq!(ports(&snapshot, &["e2".into()], "a", 0), [1, 3]);
}

/// Guards against listing an entry that is down, and against a list of a single
/// address from an entry that is itself partitioned.
#[test]
fn addresses_down_last() {
    let snapshot = snapshot();
    let listed = |down: &[Arc<str>]| -> Vec<u16> {
        let list = addresses(&snapshot, &[], down, "a", 0);
        list.iter().map(|entry| entry.address.port()).collect()
    };
    assert_eq!(listed(&["e1".into()]), [2, 3, 4]);
    let all_others = ["e2".into(), "e3".into(), "e4".into()];
    assert_eq!(listed(&all_others), [1, 2, 3, 4]);
}
