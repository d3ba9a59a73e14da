//! Observations of entries, exchanged by gossip.

use berylgw_core::clock::Instant;
use berylgw_core::host::Entry;
use berylgw_core::member::{Observation, State, Table};

const SECOND: u64 = 1_000_000;

fn entry(port: u16) -> Entry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Entry {
        name: "e".into(),
        domain: "d".into(),
        address,
        peer_address: address,
    }
}

fn observation(incarnation: u64, port: u16, state: State, second: u64) -> Observation {
    Observation {
        name: "e".into(),
        incarnation,
        address: entry(port).address,
        state,
        at: Instant::from_micros(second * SECOND),
    }
}

fn merged(observations: &[Observation]) -> Table {
    let mut table = Table::default();
    for (second, observation) in (100..).zip(observations) {
        table.merge(Instant::from_micros(second * SECOND), observation.clone());
    }
    table
}

/// Guards against an older observation that overwrites a newer one.
#[test]
fn merge_newest_wins() {
    let down = observation(1, 1, State::Down, 5);
    let open = observation(1, 1, State::Open, 6);
    for order in [[down.clone(), open.clone()], [open, down]] {
        assert_eq!(merged(&order).state(&entry(1)), State::Open);
    }
}

/// Guards against a leaving process that is listed again because it still answers,
/// or that hides the process that replaced it.
#[test]
fn merge_leaving_stays() {
    let leaving = observation(1, 1, State::Leaving, 5);
    let answers = observation(1, 1, State::Open, 9);
    assert_eq!(
        merged(&[leaving.clone(), answers]).state(&entry(1)),
        State::Leaving
    );
    let restarted = observation(2, 1, State::Open, 9);
    let outdated = observation(1, 1, State::Leaving, 6);
    let table = merged(&[leaving.clone(), restarted, outdated]);
    assert_eq!(table.state(&entry(1)), State::Open);
    assert_eq!(merged(&[leaving]).state(&entry(2)), State::Open, "moved");
}

/// Guards against a lost shutdown notice: by the receiver's clock, the process
/// answered just after the notice was made.
#[test]
fn merge_leaving_earlier_time() {
    let answers = observation(1, 1, State::Open, 7);
    let leaving = observation(1, 1, State::Leaving, 6);
    assert_eq!(merged(&[answers, leaving]).state(&entry(1)), State::Leaving);
}

/// Guards against changes that are sent forever or not at all.
#[test]
fn recent_changes_period() {
    let table = merged(&[observation(1, 1, State::Down, 5)]);
    assert_eq!(
        table
            .recent_changes(Instant::from_micros(101 * SECOND))
            .len(),
        1
    );
    assert_eq!(table.recent_changes(Instant::from_micros(200 * SECOND)), []);
}
