//! Home entries of agents.

use berylgw_core::config::Snapshot;
use berylgw_core::home::{addresses, entry_order};
use berylgw_core::sheet::parse;

const EXAMPLE: &str = include_str!("../../../examples/sheet.csv");

fn snapshot() -> Snapshot {
    Snapshot {
        sheet: parse(EXAMPLE).unwrap(),
        ..Snapshot::default()
    }
}

/// Guards against an entry with more than its share of agents, and against all
/// agents of a failed entry moving to the same other entry.
#[test]
fn entry_order_even() {
    for (agents, entries) in [(38, 8), (2_600, 380), (5, 8), (70, 7)] {
        let mut first_counts = vec![0; entries];
        let mut second_counts = vec![0; entries];
        for agent in 0..agents {
            let order = entry_order(agent, entries);
            let mut sorted = order.clone();
            sorted.sort_unstable();
            assert!(sorted.into_iter().eq(0..entries));
            first_counts[order[0]] += 1;
            if order[0] == 0 {
                second_counts[order[1]] += 1;
            }
        }
        assert!(first_counts.iter().max().unwrap() - first_counts.iter().min().unwrap() <= 1);
        assert!(
            second_counts[1..].iter().max().unwrap() - second_counts[1..].iter().min().unwrap()
                <= 1
        );
    }
    assert!(entry_order(3, 0).is_empty());
    assert_eq!(entry_order(3, 1), [0]);
}

/// Guards against home entries in another region, in the same failure domain or in
/// one out of service while better ones exist.
#[test]
fn addresses_near_and_apart() {
    let mut snapshot = snapshot();
    snapshot.domains_out = vec!["office-loft".into()];
    let entry = |address| {
        let mut entries = snapshot.sheet.entries.iter();
        entries.find(|entry| entry.peer_address == address).unwrap()
    };
    for server in &snapshot.sheet.servers {
        let homes = addresses(&snapshot, &server.name);
        assert_eq!(homes.len(), snapshot.sheet.entries.len());
        let (first, second) = (entry(homes[0]), entry(homes[1]));
        assert_ne!(first.domain, second.domain);
        let region = |domain: &str| berylgw_core::directory::region_of(&snapshot, domain);
        for home in [first, second] {
            assert_eq!(region(&home.domain), region(&server.domain));
            assert!(!snapshot.is_domain_out(&home.domain));
        }
    }
    assert!(addresses(&snapshot, "unknown").is_empty());
}
