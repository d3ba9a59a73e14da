//! Tasks that fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use berylgw_runtime::task::{restarts, supervise};

/// Guards against a process that goes on without a task that panicked.
#[tokio::test]
async fn supervise_panicking_task() {
    let before = restarts();
    let runs: Arc<AtomicUsize> = Arc::default();
    let counted = runs.clone();
    let supervised = supervise("test", move || {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move { assert!(run >= 2, "run {run} fails") })
    });
    let ended = tokio::time::timeout(Duration::from_secs(5), supervised).await;
    assert_eq!(ended, Ok(()));
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    assert_eq!(restarts() - before, 2);
}
