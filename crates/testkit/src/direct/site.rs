//! Direct entries as processes that use a fake store.

use std::error::Error;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use tokio::sync::watch;

use crate::direct::backend::Server;
use crate::direct::store::{Store, Treatment};
use crate::launch::{self, Process};

/// API key of the client account of [`configuration`].
pub const KEY: &str = "key-of-growers";

/// An error of a test.
pub type Failure = Box<dyn Error + Send + Sync>;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the directory for callers.
    pub directory: SocketAddr,
    /// Address of the platform's readiness check.
    pub ready: SocketAddr,
    /// Address of its metrics.
    pub metrics: SocketAddr,
    /// Controls how the store treats its calls.
    pub treatment: watch::Sender<Treatment>,
}

/// Returns a configuration with a route of each kind.
///
/// Service `model` has the resumable streams `/notes/` and `/brief/`, the
/// latter with a short timeout, and `/once/`, which may not be resumed. Service `yard` has the requests `/pickup/`,
/// which run at most once, and the idempotent ones `/stock/`.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, timeout: u64| {
        json!({
            "Name": prefix, "Host": "desk.example", "PathPrefix": prefix, "RouteType": kind,
            "TimeoutMs": timeout, "TargetLatencyMs": 400, "TargetGapMs": 120, "Priority": 1,
            "Service": service, "MaxAttempts": 2, "Anonymous": false,
            "Resumable": kind == "streaming" && prefix != "/once/",
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("/notes/", "streaming", "model", 8_000),
            route("/brief/", "streaming", "model", 600),
            route("/once/", "streaming", "model", 8_000),
            route("/pickup/", "non_idempotent", "yard", 2_000),
            route("/stock/", "idempotent", "yard", 2_000),
        ],
        "Services": [
            { "Name": "model", "ColdPerS": 0.0, "Engine": { "Experts": 64 } },
            { "Name": "yard", "ColdPerS": 0.0 },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
        "Tenants": [{ "Name": "growers", "ApiKeys": keys, "Priority": 1 }],
    })
}

/// Writes a settings file and returns its path.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn settings(name: &str, domain: &str, store: SocketAddr) -> Result<PathBuf, Failure> {
    settings_with([127, 0, 0, 1].into(), name, domain, store, "")
}

/// Writes a settings file of an entry that other entries reach at `host`, with additional
/// lines in the entry's settings, and returns its path.
fn settings_with(
    host: IpAddr,
    name: &str,
    domain: &str,
    store: SocketAddr,
    further: &str,
) -> Result<PathBuf, Failure> {
    let text = format!(
        "entry:\n  name: {name}\n  domain: {domain}\n  listen:\n    callers: 127.0.0.1:0\n    \
         peers: {host}:0\n    metrics: 127.0.0.1:0\n  retry: {{window_s: 10, ratio: 0.2, \
         extra: 90}}\n  cold: {{overshoot: 1.5, slack: 5}}\n  stop_s: 8\n{further}platform:\n  \
         store: {store}\n  directory: 127.0.0.1:0\n  ready: 127.0.0.1:0\n  seeds: []\n  \
         lifetime_s: 5\n"
    );
    let unique = format!(
        "berylgw-{}-{}-{name}.yaml",
        std::process::id(),
        store.port()
    );
    let path = std::env::temp_dir().join(unique);
    std::fs::File::create(&path)?.write_all(text.as_bytes())?;
    Ok(path)
}

impl Entry {
    /// Starts an entry and waits until its listeners are bound.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start(store: &Store, name: &str, domain: &str) -> Result<Self, Failure> {
        Self::start_with(store, name, domain, "").await
    }

    /// Starts an entry with additional lines in the platform's settings.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_with(
        store: &Store,
        name: &str,
        domain: &str,
        further: &str,
    ) -> Result<Self, Failure> {
        Self::start_with_sections(store, name, domain, "", further).await
    }

    /// Starts an entry that is reached by other entries at the loopback address `host`,
    /// with additional lines in the platform's settings.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_on(
        host: IpAddr,
        store: &Store,
        name: &str,
        domain: &str,
        further: &str,
    ) -> Result<Self, Failure> {
        let (address, treatment) = store.listen().await?;
        let settings = settings_with(host, name, domain, address, "")?;
        Self::launch(&settings, treatment, further).await
    }

    /// Starts an entry with additional lines in the settings of the entry and in those
    /// of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_with_sections(
        store: &Store,
        name: &str,
        domain: &str,
        entry: &str,
        platform: &str,
    ) -> Result<Self, Failure> {
        let (address, treatment) = store.listen().await?;
        let host = [127, 0, 0, 1].into();
        let settings = settings_with(host, name, domain, address, entry)?;
        Self::launch(&settings, treatment, platform).await
    }

    async fn launch(
        settings: &Path,
        treatment: watch::Sender<Treatment>,
        platform: &str,
    ) -> Result<Self, Failure> {
        std::fs::OpenOptions::new()
            .append(true)
            .open(settings)?
            .write_all(platform.as_bytes())?;
        let process = launch::start("berylgw-direct", [Path::new("--settings"), settings])?;
        Ok(Entry {
            callers: process.address("callers").await?,
            directory: process.address("directory").await?,
            ready: process.address("ready").await?,
            metrics: process.address("metrics").await?,
            process,
            treatment,
        })
    }

    /// Waits for a log line with this message and these fields.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or does not log such a line.
    pub async fn wait_for_line(
        &self,
        message: &str,
        fields: &[(&str, Value)],
    ) -> Result<Value, Failure> {
        let wanted = |line: &Value| {
            let matches = fields.iter().all(|(name, value)| line[*name] == *value);
            line["message"] == message && matches
        };
        Ok(self.process.line(wanted).await?)
    }

    /// Waits until a view with these log fields is in force.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or does not log such a view.
    pub async fn wait_for_view(&self, fields: &[(&str, Value)]) -> Result<(), Failure> {
        self.wait_for_line("view in force", fields).await?;
        Ok(())
    }

    /// Returns the log fields of the view in force.
    ///
    /// # Errors
    ///
    /// Fails if no view is in force yet.
    pub fn last_view(&self) -> Result<Value, Failure> {
        let lines = self.process.recent();
        let lines = lines.iter().rev();
        let mut lines = lines.flat_map(|line| serde_json::from_str::<Value>(line));
        let last = lines.find(|line| line["message"] == "view in force");
        last.ok_or_else(|| "no view in force".into())
    }
}

/// Registers servers in the store.
pub fn register(store: &Store, service: &str, servers: &[&Server]) {
    for server in servers {
        let object = server.object(service, "shed", "ready");
        store.put("servers", &server.id, object);
    }
}
