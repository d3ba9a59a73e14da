//! Quarantine of poison requests.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::quarantine::{Suspect, Table, Verdict};

const QUARANTINE: Duration = Duration::from_secs(600);

/// Guards against a quarantine that never ends.
#[test]
fn verdict_quarantine_ends() {
    let mut table = Table::new(QUARANTINE, 8);
    table.record_crash(Instant::ORIGIN, &[1]);
    table.record_crash(Instant::ORIGIN, &[1]);
    let before = Instant::ORIGIN + Duration::from_secs(599);
    let remaining = Duration::from_secs(1);
    assert_eq!(table.verdict(before, 1), Verdict::Quarantined(remaining));
    let after = Instant::ORIGIN + QUARANTINE;
    assert_eq!(table.verdict(after, 1), Verdict::Clear);
}

/// Guards against counting one crash twice when another process reports it back.
#[test]
fn merge_repeated_report() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(QUARANTINE, 8);
    table.record_crash(now, &[1]);
    let report = table.suspects(now)[0];
    for _ in 0..5 {
        table.merge(now, report);
    }
    assert_eq!(table.verdict(now, 1), Verdict::Suspected(QUARANTINE));
    let quarantined = Suspect {
        remaining: Duration::from_secs(5),
        crashes: 2,
        ..report
    };
    table.merge(now, quarantined);
    let remaining = Duration::from_secs(5);
    assert_eq!(table.verdict(now, 1), Verdict::Quarantined(remaining));
}

/// Guards against a suspicion that stays on a request that ran without a crash.
#[test]
fn clear_suspicion_ends() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(QUARANTINE, 8);
    table.record_crash(now, &[1, 2]);
    table.clear_suspicion(1);
    assert_eq!(table.verdict(now, 1), Verdict::Clear);
    table.record_crash(now, &[2]);
    table.clear_suspicion(2);
    assert_eq!(table.verdict(now, 2), Verdict::Quarantined(QUARANTINE));
}

/// Guards against unbounded memory and against evicting quarantines first.
#[test]
fn record_crash_capacity() {
    let now = Instant::ORIGIN;
    let mut table = Table::new(QUARANTINE, 3);
    table.record_crash(now, &[1]);
    table.record_crash(now, &[1]);
    table.record_crash(now, &[2, 3, 4, 5]);
    assert_eq!(table.suspects(now).len(), 3);
    assert_eq!(table.verdict(now, 1), Verdict::Quarantined(QUARANTINE));
}

/// Guards against a suspicion, or a quarantine, that processes tell each other for good.
#[test]
fn suspicion_forgotten_by_all() {
    const PROCESSES: usize = 3;
    const WAY_MS: u64 = 10;
    let end_ms = QUARANTINE.as_millis() as u64 + 30_000;
    for crashes in [1, 2] {
        let mut tables = vec![Table::new(QUARANTINE, 8); PROCESSES];
        for _ in 0..crashes {
            tables[0].record_crash(Instant::ORIGIN, &[1]);
        }
        let mut on_way = Vec::new();
        for time in (0..=end_ms).step_by(WAY_MS as usize) {
            let now = Instant::from_millis(time);
            for suspect in std::mem::take(&mut on_way) {
                for table in &mut tables {
                    table.merge(now, suspect);
                }
            }
            on_way.extend(tables.iter().flat_map(|table| table.suspects(now)));
        }
        assert_eq!(on_way, [], "still told after {crashes} crashes");
    }
}
