//! Signals that ask a process to stop.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Installed handlers of SIGTERM and SIGINT.
///
/// Install them before the first `listening` line is logged: a signal that
/// comes earlier ends the process without a graceful shutdown.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler or no tokio runtime is running.
    pub fn install() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Stop {
            terminate,
            interrupt,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
