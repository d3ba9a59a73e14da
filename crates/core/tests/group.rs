//! Admission control for a service whose requests slow each other down.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::arrival::{self, Window};
use berylgw_core::group::capacity::Slowdown;
use berylgw_core::group::client_timeout::Table;
use berylgw_core::group::concurrency::{Limit, Tuning};
use berylgw_core::group::health::Record;
use berylgw_core::group::outage::Outage;
use berylgw_core::group::pace::Pacer;
use berylgw_core::group::queue::{Push, Queue, Request};
use berylgw_core::group::retry_after::Schedule;
use berylgw_core::group::selection::{Candidate, choose};
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

fn adjust_steps(limit: &mut Limit, pause_ms: u64, running: usize, steps: u64) {
    for step in 1..=steps {
        limit.observe(Duration::from_millis(pause_ms));
        limit.adjust(at(step * 100), running, ACCEPTED);
    }
}

/// Guards against a limit that stays where all responses become late.
#[test]
fn adjust_long_pauses() {
    let mut limit = Limit::new(TUNING, 192.0);
    let before = limit.permits();
    adjust_steps(&mut limit, 150, before, 10);
    assert!(limit.permits() < before);
}

/// Guards against a limit that shrinks, or stays at its initial value, although
/// pauses are short and the group is full.
#[test]
fn adjust_short_pauses() {
    let mut limit = Limit::new(TUNING, 192.0);
    for step in 1..=50 {
        limit.observe(Duration::from_millis(60));
        limit.adjust(at(step * 100), limit.permits(), ACCEPTED);
    }
    assert_eq!(limit.permits(), 192);
}

/// Guards against a limit that grows while the group is idle, when short pauses
/// do not show that it can serve more requests.
#[test]
fn adjust_idle_group() {
    let mut limit = Limit::new(TUNING, 192.0);
    let before = limit.permits();
    adjust_steps(&mut limit, 40, 5, 50);
    assert_eq!(limit.permits(), before);
}

/// Guards against refusing nearly all requests while a slow rank makes every
/// response late: late responses are preferred to refusals.
#[test]
fn adjust_slow_rank() {
    let mut limit = Limit::new(TUNING, 192.0);
    for step in 1..=300 {
        limit.observe(Duration::from_millis(200));
        limit.adjust(at(step * 100), limit.permits(), ACCEPTED);
    }
    assert!(limit.permits() > 60, "{} permits", limit.permits());
    for step in 301..=400 {
        limit.observe(Duration::from_millis(60));
        limit.adjust(at(step * 100), limit.permits(), ACCEPTED);
    }
    assert_eq!(limit.permits(), 192);
}

/// Guards against a limit that still counts the slots of servers that left.
#[test]
fn set_ceiling_fewer_servers() {
    let mut limit = Limit::new(TUNING, 192.0);
    limit.set_ceiling(96.0);
    assert!(limit.permits() <= 96);
}

fn request(priority: u32, in_time: bool, account: &str) -> Request {
    Request {
        priority,
        account_priority: 0,
        class: None,
        in_time,
        account: account.into(),
        tokens: 800,
        deadline: at(50),
    }
}

/// Guards against late requests that are served before those that can be on time.
#[test]
fn pop_order() {
    let mut queue = Queue::new(8);
    queue.push(1, request(1, false, "a"));
    queue.push(2, request(1, true, "busy"));
    queue.push(3, request(1, true, "idle"));
    queue.push(4, request(0, false, "a"));
    let running = |account: &str| usize::from(account == "busy");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(true, running)).collect();
    assert_eq!(order, [4, 3, 2, 1]);
}

/// Guards against late requests that take permits reserved for those on time.
#[test]
fn pop_without_late_permits() {
    let mut queue = Queue::new(8);
    queue.push(1, request(1, false, "a"));
    assert_eq!(queue.pop(false, |_| 0), None);
    queue.push(2, request(1, true, "a"));
    assert_eq!(queue.pop(false, |_| 0), Some(2));
    assert_eq!(queue.len(), 1);
}

/// Guards against a queue that grows without limit.
#[test]
fn push_full() {
    let mut queue = Queue::new(1);
    assert!(queue.push(1, request(1, true, "a")));
    assert!(!queue.push(2, request(1, true, "a")));
    assert!(queue.remove(1));
    assert!(queue.is_empty());
}

/// Guards against an urgent request that a full queue refuses while less urgent ones
/// wait, and against equal requests that displace one another.
#[test]
fn push_before_full() {
    let mut queue = Queue::new(2);
    let running = |_: &str| 0;
    for (id, priority) in [(1, 1), (2, 2)] {
        let push = queue.push_before(id, request(priority, true, "a"), running);
        assert_eq!(push, Push::Queued);
    }
    let push = queue.push_before(3, request(2, true, "a"), running);
    assert_eq!(push, Push::Refused);
    let push = queue.push_before(4, request(0, true, "a"), running);
    assert_eq!(push, Push::Displaced(2));
    let push = queue.push_before(5, request(0, true, "b"), running);
    assert_eq!(push, Push::Displaced(1));
    assert_eq!(queue.pop(true, running), Some(4));
}

/// Guards against an account whose own priority moves its requests of a less urgent
/// route before those of an urgent one.
#[test]
fn pop_account_priority() {
    let mut queue = Queue::new(4);
    let preferred = Request {
        account_priority: 0,
        ..request(2, true, "preferred")
    };
    let usual = Request {
        account_priority: 2,
        ..request(2, true, "usual")
    };
    let urgent = Request {
        account_priority: 3,
        ..request(0, true, "usual")
    };
    for (id, request) in [(1, usual), (2, preferred), (3, urgent)] {
        assert!(queue.push(id, request));
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(true, |_| 0)).collect();
    assert_eq!(order, [3, 2, 1]);
}

/// Guards against a request that begins shortly after the last one, so that both
/// prompts are prefilled in one pass, and against a pacer that falls behind a steady
/// rate of requests.
#[test]
fn begin_steady_rate() {
    let mut pacer = Pacer::new(1.2);
    for request in 0..40 {
        pacer.begin(at(request * 100), 800.0);
    }
    let last = at(3_900);
    assert!(!pacer.ready(last + Duration::from_millis(30)));
    assert!(pacer.ready(last + Duration::from_millis(100)));
}

/// Guards against all entries choosing the same one of several equally loaded
/// servers.
#[test]
fn choose_ties() {
    let candidate = Candidate {
        in_flight: 2,
        slots: 12,
        same_domain: true,
        recovering: false,
        home_slots: 0,
        slowdown: Slowdown::default(),
    };
    let candidates = [candidate; 4];
    let chosen: Vec<_> = (0..4)
        .map(|turn| choose(&candidates, 0.0, |below| turn % below))
        .collect();
    assert_eq!(chosen, [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!(choose(&[], 0.0, |_| 0), None);
}

/// Guards against choosing a server in another failure domain without need, and
/// against choosing a full server because it is in the same one.
#[test]
fn choose_same_domain() {
    let same_domain = Candidate {
        in_flight: 2,
        slots: 12,
        same_domain: true,
        recovering: false,
        home_slots: 0,
        slowdown: Slowdown::default(),
    };
    let cross_domain = Candidate {
        same_domain: false,
        ..same_domain
    };
    assert_eq!(choose(&[cross_domain, same_domain], 0.0, |_| 0), Some(1));
    let full = Candidate {
        in_flight: 12,
        ..same_domain
    };
    assert_eq!(
        choose(&[cross_domain, full], 0.0, |below| 1 % below),
        Some(0)
    );
}

/// Guards against a cold server that all entries together overload.
#[test]
fn share_all_entries() {
    let (limit, entries) = (36.0 * 1.5 + 5.0, 7);
    let mut windows = vec![Window::default(); entries];
    let mut sent = 0;
    for window in &mut windows {
        for millis in 0..1_000 {
            let allowed = window.try_acquire(at(millis), arrival::share(limit, entries));
            sent += usize::from(allowed);
        }
    }
    assert!(sent as f64 <= limit, "{sent} requests");
    assert_eq!(arrival::share(limit, 1_000), 1);
}

/// Guards against a server that is ejected for good, and against one that fails
/// fast and attracts requests.
#[test]
fn failed_recovery() {
    let mut record = Record::default();
    record.failed(at(0));
    assert!(record.is_available(at(0)));
    record.failed(at(0));
    assert!(!record.is_available(at(200)));
    assert!(record.is_available(at(250)) && record.is_recovering());
    record.failed(at(250));
    assert!(!record.is_available(at(700)));
    assert!(record.is_available(at(2_300)));
    record.succeeded();
    assert!(record.is_available(at(2_300)) && !record.is_recovering());
}

/// Guards against refused clients that retry in one wave, and against retry
/// times above the limit.
#[test]
fn reserve_many() {
    let mut schedule = Schedule::default();
    let interval = Duration::from_millis(50);
    let times: Vec<_> = (0..200)
        .map(|_| schedule.reserve(at(0), interval, Instant::ORIGIN))
        .collect();
    assert!(times.is_sorted());
    assert_eq!(times[10] - times[9], interval);
    assert_eq!(times[199], Duration::from_secs(5));
}

/// Guards against clients that retry before the group has re-formed.
#[test]
fn reserve_during_outage() {
    let mut schedule = Schedule::default();
    let time = schedule.reserve(at(0), Duration::from_millis(10), at(3_000));
    assert!(time >= Duration::from_secs(3));
}

/// Guards against clients refused during an outage that retry long after the
/// group runs again, or all at once.
#[test]
fn outage_refill() {
    let mut outage = Outage::default();
    let mut schedule = Schedule::default();
    assert!(outage.begin(at(1_000), 12));
    assert!(!outage.begin(at(1_300), 0));
    let mut returns = Vec::new();
    // One client in each 0.1 s until the group runs after 1.5 s.
    for step in 0..15 {
        let now = at(1_000 + step * 100);
        let interval = Duration::from_millis(1_200) / outage.starts_per_window(now, 0) as u32;
        returns.push(now + schedule.reserve(now, interval, outage.expected_end(now)));
    }
    assert_eq!(outage.end(at(2_500)), Some(Duration::from_millis(1_500)));
    let early = returns.iter().filter(|time| **time < at(2_200)).count();
    assert_eq!(early, 0);
    let in_refill = returns.iter().filter(|time| **time < at(4_000)).count();
    assert_eq!(in_refill, returns.len());
    assert!(
        returns
            .windows(2)
            .all(|pair| pair[1] >= pair[0] + Duration::from_millis(100))
    );
    assert_eq!(outage.starts_per_window(at(4_400), 0), 12);
    assert_eq!(outage.starts_per_window(at(4_600), 0), 0);
}

/// Guards against replacing the usual start rate by the lower one seen when a
/// group fails again while refilling.
#[test]
fn outage_while_refilling() {
    let mut outage = Outage::default();
    outage.begin(at(1_000), 12);
    outage.end(at(2_000));
    outage.begin(at(2_500), 3);
    assert_eq!(outage.starts_per_window(at(2_500), 0), 12);
    outage.end(at(3_500));
    outage.begin(at(9_000), 5);
    assert_eq!(outage.starts_per_window(at(9_000), 0), 5);
    assert_eq!(outage.end(at(9_100)), Some(Duration::from_millis(100)));
    assert_eq!(outage.end(at(9_200)), None);
    // An entry that has just started knows the free permits only.
    let mut outage = Outage::default();
    outage.begin(at(20_000), 0);
    assert_eq!(outage.starts_per_window(at(20_000), 20), 12);
}

/// Guards against a service that refuses all requests each time one of its
/// groups fails.
#[test]
fn outage_of_one_of_several_groups() {
    let mut outage = Outage::default();
    outage.begin(at(1_000), 5);
    outage.end(at(2_500));
    assert!(!outage.has_several_groups(at(2_500)));
    outage.begin(at(3_000), 5);
    outage.end(at(3_320));
    assert!(outage.has_several_groups(at(3_400)));
    assert!(outage.has_several_groups(at(60_000)));
    assert!(!outage.has_several_groups(at(64_000)));
}

/// Guards against counting requests as retries because their client has a shorter
/// timeout.
#[test]
fn is_retry_different_timeouts() {
    let mut table = Table::default();
    let millis = |millis| Duration::from_millis(millis);
    assert!(!table.is_retry("a", "/x/", millis(8_000)));
    assert!(!table.is_retry("a", "/x/", millis(6_200)));
    assert!(table.is_retry("a", "/x/", millis(5_300)));
    assert!(!table.is_retry("a", "/y/", millis(1_000)));
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
            window.record_request(at(request * 90), allowance);
            requests += 1;
            repeats += usize::from(window.try_repeat(at(request * 90), allowance, entries));
        }
    }
    let allowed = 0.2 * f64::from(requests) + 90.0;
    assert!(repeats as f64 <= allowed, "{repeats} of {allowed}");
    assert!(repeats as f64 > 0.5 * allowed, "{repeats} of {allowed}");
    let mut idle = retry::Window::default();
    let later = at(60_000);
    let taken = (0..100).filter(|_| idle.try_repeat(later, allowance, entries));
    assert!(taken.count() <= 90 / entries);
}
