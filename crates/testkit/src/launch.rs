//! Starts processes and reads the JSON lines they log.

use std::collections::VecDeque;
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

const RECENT_LINES: usize = 500;

/// Time after which a line that does not come is reported as missing.
const LINE_LIMIT: Duration = Duration::from_secs(60);

/// An error of starting or following a process.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {message}")]
pub struct Error {
    name: String,
    message: String,
}

/// A running process, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
    log: Log,
}

#[derive(Clone, Debug)]
struct Log {
    lines: Arc<Mutex<Lines>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Lines {
    listening: Vec<(String, SocketAddr)>,
    recent: VecDeque<String>,
    open_pipes: usize,
}

/// Path of a binary in the target directory of the running executable.
///
/// # Errors
///
/// Fails if the path of the running executable is not known.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let executable = std::env::current_exe().map_err(|error| failure(name, error))?;
    let mut directory = executable;
    directory.pop();
    // Test executables are one level below the binaries.
    if directory.ends_with("deps") {
        directory.pop();
    }
    Ok(directory.join(name))
}

/// Starts a binary from the target directory of the running executable.
///
/// # Errors
///
/// Fails if the binary does not exist or cannot be started.
pub fn start<A: AsRef<OsStr>>(
    name: &str,
    args: impl IntoIterator<Item = A>,
) -> Result<Process, Error> {
    let mut child = Command::new(binary(name)?)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|error| failure(name, error))?;
    let pid = child.id().ok_or_else(|| failure(name, "no process id"))?;
    let log = Log {
        lines: Arc::default(),
        changed: watch::Sender::new(0),
    };
    if let Some(pipe) = child.stdout.take() {
        log.follow(pipe);
    }
    if let Some(pipe) = child.stderr.take() {
        log.follow(pipe);
    }
    Ok(Process {
        name: name.to_owned(),
        child,
        pid: Pid::from_raw(pid as i32),
        log,
    })
}

impl Process {
    /// Name of the binary.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Waits until the process listens on an interface.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or does not log the line.
    pub async fn address(&self, interface: &str) -> Result<SocketAddr, Error> {
        Ok(self.addresses(interface, 1).await?[0])
    }

    /// Waits until the process listens `count` times on an interface and
    /// returns the addresses in the order of the log.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or does not log the lines.
    pub async fn addresses(&self, interface: &str, count: usize) -> Result<Vec<SocketAddr>, Error> {
        self.until(&format!("{count} listeners of {interface}"), |lines| {
            let own = lines.listening.iter().filter(|(name, _)| name == interface);
            let addresses: Vec<SocketAddr> = own.map(|(_, address)| *address).collect();
            (addresses.len() >= count).then_some(addresses)
        })
        .await
    }

    /// Waits for a log line that is JSON and for which `wanted` holds.
    ///
    /// # Errors
    ///
    /// Fails if the process ends without such a line.
    pub async fn line(&self, wanted: impl Fn(&Value) -> bool) -> Result<Value, Error> {
        self.until("a log line", |lines| {
            let parsed = lines
                .recent
                .iter()
                .flat_map(|line| serde_json::from_str(line));
            parsed.into_iter().find(|line| wanted(line))
        })
        .await
    }

    /// The last lines that the process wrote.
    pub fn recent(&self) -> Vec<String> {
        self.log.lines().recent.iter().cloned().collect()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended and was waited for.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        nix::sys::signal::kill(self.pid, signal).map_err(|error| failure(&self.name, error))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the status cannot be read.
    pub async fn wait(&mut self) -> Result<ExitStatus, Error> {
        let status = self.child.wait().await;
        status.map_err(|error| failure(&self.name, error))
    }

    /// Waits for the end of the process and of its output.
    ///
    /// # Errors
    ///
    /// Fails if the status cannot be read.
    pub async fn finish(&mut self) -> Result<ExitStatus, Error> {
        let status = self.wait().await?;
        let ended = |lines: &Lines| (lines.open_pipes == 0).then_some(());
        self.until("the end of the output", ended).await?;
        Ok(status)
    }

    /// Sends SIGTERM and waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended and was waited for.
    pub async fn stop(&mut self) -> Result<ExitStatus, Error> {
        self.signal(Signal::SIGTERM)?;
        self.wait().await
    }

    async fn until<T>(&self, what: &str, found: impl Fn(&Lines) -> Option<T>) -> Result<T, Error> {
        let missing = |reason: &str| {
            let recent = self.recent().join("\n");
            failure(&self.name, format!("{reason} before {what}:\n{recent}"))
        };
        let mut changed = self.log.changed.subscribe();
        let search = async {
            loop {
                {
                    let lines = self.log.lines();
                    if let Some(value) = found(&lines) {
                        return Ok(value);
                    }
                    if lines.open_pipes == 0 {
                        break;
                    }
                }
                if changed.changed().await.is_err() {
                    break;
                }
            }
            Err(missing("the process ended"))
        };
        let limited = tokio::time::timeout(LINE_LIMIT, search).await;
        limited.unwrap_or_else(|_| Err(missing("the time limit passed")))
    }
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn follow(&self, pipe: impl AsyncRead + Unpin + Send + 'static) {
        self.lines().open_pipes += 1;
        let log = self.clone();
        tokio::spawn(async move {
            let mut reader = BufReader::new(pipe).lines();
            while let Ok(Some(line)) = reader.next_line().await {
                log.lines().push(line);
                log.changed.send_modify(|count| *count += 1);
            }
            log.lines().open_pipes -= 1;
            log.changed.send_modify(|count| *count += 1);
        });
    }
}

impl Lines {
    fn push(&mut self, line: String) {
        if let Some(listener) = listener(&line) {
            self.listening.push(listener);
        }
        if self.recent.len() == RECENT_LINES {
            self.recent.pop_front();
        }
        self.recent.push_back(line);
    }
}

fn listener(line: &str) -> Option<(String, SocketAddr)> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line["message"] != "listening" {
        return None;
    }
    let interface = line["interface"].as_str()?;
    let address = line["address"].as_str()?.parse().ok()?;
    Some((interface.to_owned(), address))
}

fn failure(name: &str, message: impl ToString) -> Error {
    Error {
        name: name.to_owned(),
        message: message.to_string(),
    }
}
