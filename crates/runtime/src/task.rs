//! Tasks that run as long as their process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

/// Pause before a task that panicked is started again. What made it panic may still be
/// there.
const RESTART_DELAY: Duration = Duration::from_millis(100);

static RESTARTS: AtomicU64 = AtomicU64::new(0);

/// Runs a task and starts it again if it panics; returns when it ends by itself.
///
/// Without a supervisor the process would go on with a part missing, for example
/// without hearing of other processes.
///
/// ```
/// use berylgw_runtime::task::supervise;
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// supervise("greeting", || tokio::spawn(async { println!("hello") })).await;
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn supervise(name: &'static str, spawn: impl Fn() -> JoinHandle<()>) {
    loop {
        match spawn().await {
            Ok(()) => return,
            // The runtime is being shut down.
            Err(error) if error.is_cancelled() => return,
            Err(error) => {
                RESTARTS.fetch_add(1, Ordering::Relaxed);
                tracing::error!(task = name, %error, "task failed; starting it again");
            }
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the number of times that tasks of this process were started again.
pub fn restarts() -> u64 {
    RESTARTS.load(Ordering::Relaxed)
}
