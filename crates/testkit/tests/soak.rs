//! The fault soak with fixed seeds. `berylgw-soak` runs fresh ones.

use std::time::Duration;

use berylgw_testkit::direct::site::Failure;
use berylgw_testkit::soak;
use berylgw_testkit::soak::planned::{self, Traffic};

const LENGTH: Duration = Duration::from_secs(4);

async fn keeps_promises(seed: u64, length: Duration) -> Result<(), Failure> {
    let summary = soak::run(seed, length).await?;
    println!("seed {seed}: {summary:?}");
    assert_eq!(summary.broken, Vec::<String>::new());
    assert!(summary.served > 0);
    Ok(())
}

// Guards against promises that hold for each fault and break where faults
// overlap.
#[tokio::test]
async fn soak_seed_1() -> Result<(), Failure> {
    keeps_promises(1, LENGTH).await
}

#[tokio::test]
async fn soak_seed_2() -> Result<(), Failure> {
    keeps_promises(2, LENGTH).await
}

#[tokio::test]
async fn soak_seed_3() -> Result<(), Failure> {
    keeps_promises(3, LENGTH).await
}

// Failed once: a process that started again between preparing and arming knew
// no map and did not arm its rank, and the group stayed held for good.
#[tokio::test]
async fn soak_seed_8() -> Result<(), Failure> {
    keeps_promises(8, Duration::from_secs(6)).await
}

// Guards against two reports, lower tokens and holders in the order A, B, A when faults
// of entries, store and interface overlap for long enough that the holder changes.
#[tokio::test]
async fn soak_duties_seed_21() -> Result<(), Failure> {
    let summary = soak::run(21, Duration::from_secs(25)).await?;
    println!("seed 21: {summary:?}");
    assert_eq!(summary.broken, Vec::<String>::new());
    assert!(summary.reports > 0);
    Ok(())
}

// Guards against requests that are cut off at planned work: stops, signals, changes
// of the configuration and servers that drain.
async fn planned_work_loses_nothing(seed: u64, traffic: Traffic) -> Result<(), Failure> {
    let summary = planned::run(seed, Duration::from_secs(12), traffic).await?;
    println!("seed {seed}: {summary:?}");
    assert_eq!(summary.broken, Vec::<String>::new());
    assert!(summary.served > 0);
    Ok(())
}

const SHORT_WORK: Traffic = Traffic {
    callers: 40,
    entries: 3,
    limit_ms: 1_000,
    work_ms: 120,
    slow_readers: 0.1,
};

const LONG_WORK: Traffic = Traffic {
    limit_ms: 3_000,
    work_ms: 2_700,
    slow_readers: 0.3,
    ..SHORT_WORK
};

#[tokio::test]
async fn planned_seed_1() -> Result<(), Failure> {
    planned_work_loses_nothing(1, SHORT_WORK).await
}

#[tokio::test]
async fn planned_seed_401() -> Result<(), Failure> {
    planned_work_loses_nothing(401, LONG_WORK).await
}

#[tokio::test]
async fn planned_seed_403() -> Result<(), Failure> {
    planned_work_loses_nothing(403, LONG_WORK).await
}
