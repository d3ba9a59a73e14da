//! A temporary directory for settings files.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A directory that is removed when it is dropped.
#[derive(Debug)]
pub(super) struct Scratch(PathBuf);

impl Scratch {
    pub fn create() -> io::Result<Self> {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("berylgw-testkit-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Scratch(path))
    }

    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A leftover directory does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
