//! Signals that ask a process to stop.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Installed handlers of SIGTERM, SIGINT and SIGHUP.
///
/// Install them before the first `listening` line is logged: a signal that
/// arrives earlier ends the process without a graceful shutdown.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
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
        let hangup = signal(SignalKind::hangup())?;
        Ok(Stop {
            terminate,
            interrupt,
            hangup,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// SIGHUP announces a changed settings file. Settings are read only at the
    /// start, so the signal is logged and otherwise ignored.
    pub async fn requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    tracing::info!("settings changed; they take effect at the next start");
                }
            }
        }
    }
}
