//! Admission control for a service whose requests slow each other down.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::arrival::{self, Window};
use berylgw_core::group::bound::{Bound, Tuning};
use berylgw_core::group::closure::Closure;
use berylgw_core::group::comeback::Schedule;
use berylgw_core::group::health::Record;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::patience::Table;
use berylgw_core::group::place::{Candidate, choose};
use berylgw_core::group::wait::{Claim, Queue};
use berylgw_core::retry::{self, Allowance};

const TUNING: Tuning = Tuning {
    pause_share: 0.85,
    quantile: 0.9,
    gain: 0.2,
    load_share: 0.6,
    floor: 8.0,
    late_factor: 2.0,
};

const ACCEPTED: Duration = Duration::from_millis(120);

fn at(millis: u64) -> Instant {
    Instant::ORIGIN + Duration::from_millis(millis)
}

fn adjust_steps(bound: &mut Bound, pause_ms: u64, running: usize, steps: u64) {
    for step in 1..=steps {
        bound.observe(Duration::from_millis(pause_ms));
        bound.adjust(at(step * 100), running, ACCEPTED);
    }
}

/// Guards against a limit that stays where all responses become late.
#[test]
fn adjust_long_pauses() {
    let mut bound = Bound::new(TUNING, 192.0);
    let before = bound.places();
    adjust_steps(&mut bound, 150, before, 10);
    assert!(bound.places() < before);
}

/// Guards against a limit that shrinks although pauses are short.
#[test]
fn adjust_short_pauses() {
    let mut bound = Bound::new(TUNING, 192.0);
    for step in 1..=50 {
        bound.observe(Duration::from_millis(60));
        bound.adjust(at(step * 100), bound.places(), ACCEPTED);
    }
    assert_eq!(bound.places(), 192);
}

/// Guards against a limit that grows while the group is idle, when short pauses
/// do not show that it can serve more requests.
#[test]
fn adjust_idle_group() {
    let mut bound = Bound::new(TUNING, 192.0);
    let before = bound.places();
    adjust_steps(&mut bound, 40, 5, 50);
    assert_eq!(bound.places(), before);
}

/// Guards against refusing nearly all requests while a slow rank makes every
/// response late: late responses are preferred to refusals.
#[test]
fn adjust_slow_rank() {
    let mut bound = Bound::new(TUNING, 192.0);
    for step in 1..=300 {
        bound.observe(Duration::from_millis(200));
        bound.adjust(at(step * 100), bound.places(), ACCEPTED);
    }
    assert!(bound.places() > 60, "{} places", bound.places());
    for step in 301..=400 {
        bound.observe(Duration::from_millis(60));
        bound.adjust(at(step * 100), bound.places(), ACCEPTED);
    }
    assert_eq!(bound.places(), 192);
}

/// Guards against a limit that still counts the slots of servers that left.
#[test]
fn set_ceiling_fewer_servers() {
    let mut bound = Bound::new(TUNING, 192.0);
    bound.set_ceiling(96.0);
    assert!(bound.places() <= 96);
}

fn claim(priority: u32, in_time: bool, account: &str) -> Claim {
    Claim {
        priority,
        in_time,
        account: account.into(),
        tokens: 800,
        until: at(50),
    }
}

/// Guards against late requests that are served before those that can be on time.
#[test]
fn pop_order() {
    let mut queue = Queue::new(8);
    queue.push(1, claim(1, false, "a"));
    queue.push(2, claim(1, true, "busy"));
    queue.push(3, claim(1, true, "idle"));
    queue.push(4, claim(0, false, "a"));
    let running = |account: &str| usize::from(account == "busy");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(true, running)).collect();
    assert_eq!(order, [4, 3, 2, 1]);
}

/// Guards against late requests that take permits reserved for those on time.
#[test]
fn pop_without_late_places() {
    let mut queue = Queue::new(8);
    queue.push(1, claim(1, false, "a"));
    assert_eq!(queue.pop(false, |_| 0), None);
    queue.push(2, claim(1, true, "a"));
    assert_eq!(queue.pop(false, |_| 0), Some(2));
    assert_eq!(queue.len(), 1);
}

/// Guards against a queue that grows without bound.
#[test]
fn push_full() {
    let mut queue = Queue::new(1);
    assert!(queue.push(1, claim(1, true, "a")));
    assert!(!queue.push(2, claim(1, true, "a")));
    assert!(queue.remove(1));
    assert!(queue.is_empty());
}

/// Guards against a burst of requests whose prompts are prefilled in one pass.
#[test]
fn begin_burst() {
    let mut pacer = Pacer::new(1.2);
    for request in 0..40 {
        pacer.begin(at(request * 100), 800.0);
    }
    let last = at(3_900);
    assert!(!pacer.ready(last + Duration::from_millis(30)));
    assert!(pacer.ready(last + Duration::from_millis(100)));
}

/// Guards against a thundering herd: all entries prefer the same idle server.
#[test]
fn choose_ties() {
    let candidate = Candidate {
        in_flight: 2,
        slots: 12,
        near: true,
        doubtful: false,
    };
    let candidates = [candidate; 4];
    let chosen: Vec<_> = (0..4).map(|turn| choose(&candidates, turn)).collect();
    assert_eq!(chosen, [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!(choose(&[], 3), None);
}

/// Guards against choosing a server in another failure domain without need, and
/// against choosing a full server because it is in the same one.
#[test]
fn choose_near() {
    let near = Candidate {
        in_flight: 2,
        slots: 12,
        near: true,
        doubtful: false,
    };
    let far = Candidate {
        near: false,
        ..near
    };
    assert_eq!(choose(&[far, near], 0), Some(1));
    let full = Candidate {
        in_flight: 12,
        ..near
    };
    assert_eq!(choose(&[far, full], 1), Some(0));
}

/// Guards against a cold server that all entries together overload.
#[test]
fn share_all_entries() {
    let (limit, entries) = (36.0 * 1.5 + 5.0, 7);
    let mut windows = vec![Window::default(); entries];
    let mut sent = 0;
    for window in &mut windows {
        for millis in 0..1_000 {
            let allowed = window.take(at(millis), arrival::share(limit, entries));
            sent += usize::from(allowed);
        }
    }
    assert!(sent as f64 <= limit, "{sent} requests");
    assert_eq!(arrival::share(limit, 1_000), 1);
}

/// Guards against a server that is ejected for good, and against one that fails
/// fast and attracts requests.
#[test]
fn failed_and_back() {
    let mut record = Record::default();
    record.failed(at(0));
    assert!(record.usable(at(0)));
    record.failed(at(0));
    assert!(!record.usable(at(200)));
    assert!(record.usable(at(250)) && record.doubtful());
    record.failed(at(250));
    assert!(!record.usable(at(700)));
    assert!(record.usable(at(2_300)));
    record.succeeded();
    assert!(record.usable(at(2_300)) && !record.doubtful());
}

/// Guards against refused clients that retry in one wave, and against retry
/// times above the limit.
#[test]
fn promise_many() {
    let mut schedule = Schedule::default();
    let interval = Duration::from_millis(50);
    let times: Vec<_> = (0..200)
        .map(|_| schedule.promise(at(0), interval, Instant::ORIGIN))
        .collect();
    assert!(times.is_sorted());
    assert_eq!(times[10] - times[9], interval);
    assert_eq!(times[199], Duration::from_secs(5));
}

/// Guards against clients that retry before the group has re-formed.
#[test]
fn promise_closed_group() {
    let mut schedule = Schedule::default();
    let time = schedule.promise(at(0), Duration::from_millis(10), at(3_000));
    assert!(time >= Duration::from_secs(3));
}

/// Guards against clients refused during an outage that retry long after the
/// group runs again, or all at once.
#[test]
fn closure_refills() {
    let mut closure = Closure::default();
    let mut schedule = Schedule::default();
    assert!(closure.broke(at(1_000), 12));
    assert!(!closure.broke(at(1_300), 0));
    let mut returns = Vec::new();
    // One client in each 0.1 s until the group runs after 1.5 s.
    for step in 0..15 {
        let now = at(1_000 + step * 100);
        let interval = Duration::from_millis(1_200) / closure.rate(now, 0) as u32;
        returns.push(now + schedule.promise(now, interval, closure.opens(now)));
    }
    assert_eq!(closure.runs(at(2_500)), Some(Duration::from_millis(1_500)));
    let early = returns.iter().filter(|time| **time < at(2_200)).count();
    assert_eq!(early, 0);
    let in_refill = returns.iter().filter(|time| **time < at(4_000)).count();
    assert_eq!(in_refill, returns.len());
    assert!(
        returns
            .windows(2)
            .all(|pair| pair[1] >= pair[0] + Duration::from_millis(100))
    );
    assert_eq!(closure.rate(at(4_400), 0), 12);
    assert_eq!(closure.rate(at(4_600), 0), 0);
}

/// Guards against a start rate taken while the group refills, if it fails once
/// more in that time.
#[test]
fn closure_breaks_again() {
    let mut closure = Closure::default();
    closure.broke(at(1_000), 12);
    closure.runs(at(2_000));
    closure.broke(at(2_500), 3);
    assert_eq!(closure.rate(at(2_500), 0), 12);
    closure.runs(at(3_500));
    closure.broke(at(9_000), 5);
    assert_eq!(closure.rate(at(9_000), 0), 5);
    assert_eq!(closure.runs(at(9_100)), Some(Duration::from_millis(100)));
    assert_eq!(closure.runs(at(9_200)), None);
    // An entry that has just started knows the free permits only.
    let mut closure = Closure::default();
    closure.broke(at(20_000), 0);
    assert_eq!(closure.rate(at(20_000), 20), 12);
}

/// Guards against a service that refuses all requests each time one of its
/// groups fails.
#[test]
fn closure_of_one_of_several() {
    let mut closure = Closure::default();
    closure.broke(at(1_000), 5);
    closure.runs(at(2_500));
    assert!(!closure.is_one_of_several(at(2_500)));
    closure.broke(at(3_000), 5);
    closure.runs(at(3_320));
    assert!(closure.is_one_of_several(at(3_400)));
    assert!(closure.is_one_of_several(at(60_000)));
    assert!(!closure.is_one_of_several(at(64_000)));
}

/// Guards against clients with a shorter timeout that count as retries.
#[test]
fn is_late_spread() {
    let mut table = Table::default();
    let patience = |millis| Duration::from_millis(millis);
    assert!(!table.is_late("a", "/x/", patience(8_000)));
    assert!(!table.is_late("a", "/x/", patience(6_200)));
    assert!(table.is_late("a", "/x/", patience(5_300)));
    assert!(!table.is_late("a", "/y/", patience(1_000)));
}

/// Guards against retries beyond the ratio and an entry's share of the extra
/// budget.
#[test]
fn repeat_all_entries() {
    let allowance = Allowance {
        window: Duration::from_secs(10),
        ratio: 0.2,
        extra: 90.0,
    };
    let entries = 7;
    let mut windows = vec![retry::Window::default(); entries];
    let (mut requests, mut repeats) = (0, 0);
    for window in &mut windows {
        for request in 0..100 {
            window.request(at(request * 90), allowance);
            requests += 1;
            repeats += usize::from(window.repeat(at(request * 90), allowance, entries));
        }
    }
    let allowed = 0.2 * f64::from(requests) + 90.0;
    assert!(repeats as f64 <= allowed, "{repeats} of {allowed}");
    assert!(repeats as f64 > 0.5 * allowed, "{repeats} of {allowed}");
    let mut idle = retry::Window::default();
    let later = at(60_000);
    let taken = (0..100).filter(|_| idle.repeat(later, allowance, entries));
    assert!(taken.count() <= 90 / entries);
}
