//! Direct entries as processes, one of which holds the duties.

use std::time::Duration;

use berylgw_testkit::direct::backend::{Reply, Server};
use berylgw_testkit::direct::caller::{Call, send};
use berylgw_testkit::direct::duty::{Interface, Rules, Treatment};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration, register};
use berylgw_testkit::direct::store::{self, Store};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

type Result<T = ()> = std::result::Result<T, Failure>;

const RULES: Rules = Rules {
    lease: Duration::from_millis(3_000),
    thaw: Duration::from_millis(300),
    per_s: 4,
};

/// Longest time from the loss of a holder to the next one: the term with an eighth for
/// the clocks, the time between two reads, and some for a busy machine.
const TAKEOVER: Duration = Duration::from_millis(4_500);

/// A fleet with the store and the interface that it uses.
struct Fleet {
    store: Store,
    interface: Interface,
    entries: Vec<Member>,
}

struct Member {
    name: String,
    entry: Entry,
    calls: watch::Sender<Treatment>,
}

impl Fleet {
    /// Starts entries in three failure domains and waits until one of them holds the
    /// duties.
    async fn start(count: usize) -> Result<Self> {
        let mut fleet = Fleet {
            store: Store::default(),
            interface: Interface::new(RULES),
            entries: Vec::new(),
        };
        fleet.store.put("config", "main", configuration(3, &[KEY]));
        for number in 0..count {
            let member = fleet.start_entry(&format!("edge-{number}")).await?;
            fleet.entries.push(member);
        }
        fleet.holder_after(0).await?;
        Ok(fleet)
    }

    async fn start_entry(&self, name: &str) -> Result<Member> {
        let (interface, calls) = self.interface.listen().await?;
        let domain = &name[name.len() - 1..];
        let entry = "  duties: {window_s: 1, late_s: 10, lease_ms: 3000}\n";
        let platform = format!(
            "  duties:\n    interface: {interface}\n    kinds: [usage_report, autoscale]\n    \
             rate_per_s: {}\n",
            RULES.per_s
        );
        let entry = Entry::start_with_sections(&self.store, name, domain, entry, &platform).await?;
        Ok(Member {
            name: name.to_owned(),
            entry,
            calls,
        })
    }

    /// Waits for a holder with a token above `token`, returns its index and token.
    async fn holder_after(&self, token: u64) -> Result<(usize, u64)> {
        let end = Instant::now() + Duration::from_secs(12);
        while Instant::now() < end {
            for (index, member) in self.entries.iter().enumerate() {
                let lines = member.entry.process.recent();
                let lines = lines.iter().rev();
                let mut lines = lines.flat_map(|line| serde_json::from_str(line));
                let last = lines.find(|line: &serde_json::Value| {
                    line["message"] == "lease of the duties acquired"
                });
                let last = last.and_then(|line| line["token"].as_u64());
                if let Some(last) = last.filter(|last| *last > token) {
                    return Ok((index, last));
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("no holder after token {token}").into())
    }

    /// Waits until a window above `window` was reported, returns the last one.
    async fn report_after(&self, window: u64, limit: Duration) -> Result<u64> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let reports = self.interface.reports();
            if let Some((last, _)) = reports.last().filter(|last| last.0 > window) {
                return Ok(*last);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("no report after window {window}").into())
    }

    fn last_report(&self) -> u64 {
        self.interface.reports().last().map_or(0, |last| last.0)
    }

    #[track_caller]
    fn assert_rules(&self) {
        let violations = self.interface.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }

    /// Guards against windows that are left out: fails unless the accepted reports are
    /// of consecutive windows.
    #[track_caller]
    fn assert_consecutive(&self) {
        let mut windows: Vec<u64> = self.interface.reports().iter().map(|r| r.0).collect();
        windows.sort_unstable();
        windows.dedup();
        for pair in windows.windows(2) {
            assert_eq!(pair[1], pair[0] + 1, "{windows:?}");
        }
    }
}

/// Guards against reports that are not sent, or whose counts differ from the number of
/// requests that ran.
#[tokio::test]
async fn report_counts() -> Result {
    let fleet = Fleet::start(3).await?;
    let server = Server::start("i-0", Reply::Complete).await?;
    register(&fleet.store, "yard", &[&server]);
    for member in &fleet.entries {
        let view = [("servers", json!(1))];
        member.entry.wait_for_view(&view).await?;
    }
    for number in 0..60 {
        let call = Call {
            id: format!("a{number}"),
            path: "/stock/1".to_owned(),
            key: Some(KEY.to_owned()),
            deadline_ms: 2_000,
        };
        let callers = fleet.entries[number % 3].entry.callers;
        send(callers, &call).await?;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let reports = fleet.interface.reports();
    let total: u64 = reports.iter().map(|report| report.1).sum();
    assert_eq!(total, 60, "{reports:?}");
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against reports that stop, go back or differ when the holder is killed.
#[tokio::test]
async fn holder_killed() -> Result {
    let fleet = Fleet::start(3).await?;
    fleet.report_after(0, Duration::from_secs(10)).await?;
    let (holder, token) = fleet.holder_after(0).await?;
    fleet.entries[holder]
        .entry
        .process
        .signal(Signal::SIGKILL)?;
    let killed = Instant::now();
    fleet.holder_after(token).await?;
    let time = killed.elapsed();
    assert!(time < TAKEOVER, "next holder after {time:?}");
    let last = fleet.last_report();
    fleet
        .report_after(last + 2, Duration::from_secs(10))
        .await?;
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against a holder that acts after it was frozen for longer than its term, and
/// against the return of the duty to it within a term.
#[tokio::test]
async fn holder_paused() -> Result {
    let fleet = Fleet::start(3).await?;
    fleet.report_after(0, Duration::from_secs(10)).await?;
    let (holder, token) = fleet.holder_after(0).await?;
    let paused = &fleet.entries[holder];
    paused.entry.process.signal(Signal::SIGSTOP)?;
    let stopped = Instant::now();
    fleet.holder_after(token).await?;
    let time = stopped.elapsed();
    assert!(time < TAKEOVER, "next holder after {time:?}");
    paused.entry.process.signal(Signal::SIGCONT)?;
    let resumed = Instant::now();
    fleet.interface.record_resumption(&paused.name);
    let last = fleet.last_report();
    fleet
        .report_after(last + 3, Duration::from_secs(10))
        .await?;
    let calls = fleet.interface.calls();
    let stale = calls
        .iter()
        .find(|call| call.token == token && call.at > resumed);
    assert!(stale.is_none(), "{stale:?}");
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against a holder that keeps the duty while only its own way to the interface
/// is cut off.
#[tokio::test]
async fn holder_cut_off_from_interface() -> Result {
    for treatment in [Treatment::Silent, Treatment::Reset] {
        let fleet = Fleet::start(3).await?;
        fleet.report_after(0, Duration::from_secs(10)).await?;
        let (holder, token) = fleet.holder_after(0).await?;
        fleet.entries[holder].calls.send_replace(treatment);
        let cut = Instant::now();
        let (next, _) = fleet.holder_after(token).await?;
        let time = cut.elapsed();
        // Until the first call, then a term without response, then one read.
        let limit = RULES.lease + Duration::from_secs(3);
        assert!(time < limit, "{treatment:?}: next holder after {time:?}");
        assert_ne!(next, holder, "{treatment:?}");
        let last = fleet.last_report();
        fleet
            .report_after(last + 2, Duration::from_secs(10))
            .await?;
        fleet.assert_rules();
        fleet.assert_consecutive();
    }
    Ok(())
}

/// Guards against calls under a lease that cannot be renewed: the holder is cut off from
/// the store, or all entries are.
#[tokio::test]
async fn store_away() -> Result {
    let fleet = Fleet::start(3).await?;
    fleet.report_after(0, Duration::from_secs(10)).await?;
    let (holder, token) = fleet.holder_after(0).await?;
    let cut = &fleet.entries[holder].entry;
    cut.treatment.send_replace(store::Treatment::Silent);
    let (_, token) = fleet.holder_after(token).await?;
    for member in &fleet.entries {
        let treatment = store::Treatment::Refusing;
        member.entry.treatment.send_replace(treatment);
    }
    let refused = Instant::now();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let calls = fleet.interface.calls();
    let late = calls
        .iter()
        .find(|call| call.at > refused + RULES.lease + RULES.thaw);
    assert!(late.is_none(), "{late:?}");
    for member in &fleet.entries {
        let treatment = store::Treatment::Open;
        member.entry.treatment.send_replace(treatment);
    }
    fleet.holder_after(token).await?;
    let last = fleet.last_report();
    fleet
        .report_after(last + 2, Duration::from_secs(15))
        .await?;
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against a holder that relies on updates whose answers are lost, and against
/// one that gives up the duty because of a single one.
#[tokio::test]
async fn store_answers_lost() -> Result {
    let fleet = Fleet::start(3).await?;
    fleet.report_after(0, Duration::from_secs(10)).await?;
    let (holder, token) = fleet.holder_after(0).await?;
    let entry = &fleet.entries[holder].entry;
    for _ in 0..3 {
        entry.treatment.send_replace(store::Treatment::AnswerLost);
        tokio::time::sleep(Duration::from_millis(400)).await;
        entry.treatment.send_replace(store::Treatment::Open);
        tokio::time::sleep(Duration::from_millis(1_600)).await;
    }
    let (still, last) = fleet.holder_after(0).await?;
    assert_eq!((still, last), (holder, token));
    let last = fleet.last_report();
    fleet
        .report_after(last + 2, Duration::from_secs(10))
        .await?;
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against two holders, lower tokens and second reports with other counts after
/// the store has come back from a copy, taken before or under the lease.
#[tokio::test]
async fn store_restored() -> Result {
    let empty = Store::default();
    empty.put("config", "main", configuration(3, &[KEY]));
    for is_empty in [false, true] {
        let fleet = Fleet::start(3).await?;
        let first = fleet.report_after(0, Duration::from_secs(10)).await?;
        let (_, token) = fleet.holder_after(0).await?;
        let copy = match is_empty {
            true => empty.copy(),
            false => fleet.store.copy(),
        };
        fleet
            .report_after(first + 3, Duration::from_secs(10))
            .await?;
        fleet.store.restore(copy);
        let restored = Instant::now();
        let (_, next) = fleet.holder_after(token).await?;
        let time = restored.elapsed();
        assert!(
            time >= RULES.lease,
            "empty {is_empty}: next holder after {time:?}"
        );
        assert_eq!(next >> 32, 1, "empty {is_empty}");
        let last = fleet.last_report();
        fleet
            .report_after(last + 2, Duration::from_secs(15))
            .await?;
        fleet.assert_rules();
    }
    Ok(())
}

/// Guards against a stop that leaves the duties without a holder for a term.
#[tokio::test]
async fn holder_stopped() -> Result {
    let fleet = Fleet::start(3).await?;
    fleet.report_after(0, Duration::from_secs(10)).await?;
    let (holder, token) = fleet.holder_after(0).await?;
    fleet.entries[holder]
        .entry
        .process
        .signal(Signal::SIGTERM)?;
    let stopped = Instant::now();
    fleet.holder_after(token).await?;
    let time = stopped.elapsed();
    assert!(
        time < Duration::from_millis(1_000),
        "next holder after {time:?}"
    );
    let last = fleet.last_report();
    fleet
        .report_after(last + 2, Duration::from_secs(10))
        .await?;
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}

/// Guards against reports that are left out, sent out of order or with other counts
/// while the interface limits, fails, is slow, loses answers or sends malformed ones.
#[tokio::test]
async fn interface_fails() -> Result {
    let fleet = Fleet::start(3).await?;
    let mut last = fleet.report_after(0, Duration::from_secs(10)).await?;
    for treatment in [
        Treatment::Limited,
        Treatment::Unavailable,
        Treatment::Slow(Duration::from_millis(300)),
        Treatment::AnswerLost,
        Treatment::Malformed,
    ] {
        for member in &fleet.entries {
            member.calls.send_replace(treatment);
        }
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        for member in &fleet.entries {
            member.calls.send_replace(Treatment::Open);
        }
        last = fleet
            .report_after(last + 2, Duration::from_secs(10))
            .await?;
    }
    let windows: Vec<u64> = fleet.interface.reports().iter().map(|r| r.0).collect();
    assert!(windows.is_sorted(), "{windows:?}");
    fleet.assert_rules();
    fleet.assert_consecutive();
    Ok(())
}
