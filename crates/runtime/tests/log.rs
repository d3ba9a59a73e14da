//! Rate limits of log lines.

use std::time::{Duration, Instant};

use berylgw_runtime::log::Limiter;

/// Guards against a flood of log lines during a failure, and against suppressed
/// lines that are not counted.
#[test]
fn limiter_suppresses_and_counts() {
    let limiter = Limiter::new(3);
    let start = Instant::now();
    let admitted: Vec<_> = (0..1_000).filter_map(|_| limiter.admit(start)).collect();
    assert_eq!(admitted, [0, 0, 0]);
    let later = start + Duration::from_secs(1);
    assert_eq!(limiter.admit(later), Some(997));
    assert_eq!(limiter.admit(later), Some(0));
}
