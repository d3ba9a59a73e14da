//! Reload of certificate and key files in a running process.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::files::{Credentials, Error};

/// Credentials that can be read again from their files.
pub trait Reload: Send + Sync {
    /// Reads the files again and returns whether they have changed.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be used; the previous credentials stay in use.
    fn reload(&self) -> Result<bool, Error>;
}

impl<T: Send + Sync> Reload for Credentials<T> {
    fn reload(&self) -> Result<bool, Error> {
        Credentials::reload(self)
    }
}

/// Reads the files again at each interval and on SIGHUP, forever.
///
/// SIGHUP is handled even without files, because its default action ends the
/// process.
///
/// # Errors
///
/// Fails if the system refuses the signal handler.
pub async fn reload_periodically(
    interval: Duration,
    credentials: Vec<Arc<dyn Reload>>,
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            _ = hangup.recv() => {}
        }
        for credentials in &credentials {
            match credentials.reload() {
                Ok(true) => tracing::info!("certificate and key files reloaded"),
                Ok(false) => {}
                Err(error) => {
                    tracing::error!(%error, "certificate or key file not usable; the previous credentials stay in use");
                }
            }
        }
    }
}
