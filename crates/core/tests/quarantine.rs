//! Quarantine of poison requests.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::quarantine::{Suspect, Table, Verdict};

const CONVICTION: Duration = Duration::from_secs(600);

/// Guards against a quarantine that never ends.
#[test]
fn verdict_conviction_ends() {
    let mut table = Table::new(CONVICTION, 8);
    table.crash(Instant::ORIGIN, &[1]);
    table.crash(Instant::ORIGIN, &[1]);
    let before = Instant::ORIGIN + Duration::from_secs(599);
    let rest = Duration::from_secs(1);
    assert_eq!(table.verdict(before, 1), Verdict::Convicted(rest));
    let after = Instant::ORIGIN + CONVICTION;
    assert_eq!(table.verdict(after, 1), Verdict::Clear);
}

/// Guards against counting one crash twice when another process reports it back.
#[test]
fn merge_repeated_report() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(CONVICTION, 8);
    table.crash(now, &[1]);
    let report = table.suspects(now)[0];
    for _ in 0..5 {
        table.merge(now, report);
    }
    assert_eq!(table.verdict(now, 1), Verdict::Suspected);
    let convicted = Suspect {
        convicted: Duration::from_secs(5),
        crashes: 2,
        ..report
    };
    table.merge(now, convicted);
    let rest = Duration::from_secs(5);
    assert_eq!(table.verdict(now, 1), Verdict::Convicted(rest));
}

/// Guards against a suspicion that stays on a request that ran without a crash.
#[test]
fn acquit_suspect() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(CONVICTION, 8);
    table.crash(now, &[1, 2]);
    table.acquit(1);
    assert_eq!(table.verdict(now, 1), Verdict::Clear);
    table.crash(now, &[2]);
    table.acquit(2);
    assert_eq!(table.verdict(now, 2), Verdict::Convicted(CONVICTION));
}

/// Guards against unbounded memory and against evicting quarantines first.
#[test]
fn crash_capacity() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(CONVICTION, 3);
    table.crash(now, &[1]);
    table.crash(now, &[1]);
    table.crash(now, &[2, 3, 4, 5]);
    assert_eq!(table.suspects(now).len(), 3);
    assert_eq!(table.verdict(now, 1), Verdict::Convicted(CONVICTION));
}
