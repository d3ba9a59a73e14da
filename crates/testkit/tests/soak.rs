//! The fault soak with fixed seeds. `berylgw-soak` runs fresh ones.

use std::time::Duration;

use berylgw_testkit::direct::site::Failure;
use berylgw_testkit::soak;

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
