//! Structured logs as JSON lines on standard output.

use std::net::SocketAddr;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use berylgw_core::outcome::Reason;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Installs the JSON log writer for standard output.
///
/// The level comes from the environment variable `BERYLGW_LOG` and defaults to
/// `info`. Each line has the event's fields at the top level.
pub fn install() {
    install_to(std::io::stdout);
}

/// Installs the JSON log writer for `output`; see [`install`].
pub fn install_to<W>(output: W)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env("BERYLGW_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let writer = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(output)
        .with_env_filter(filter);
    // A second call, for example from a test, keeps the first writer.
    let _ = writer.try_init();
}

/// Capacity of the queue for standard output: several seconds of log lines on a
/// fully loaded host.
const QUEUED_LINES: usize = 8_192;

/// Guard of the bounded log writer; flushes the queued lines when it is dropped.
#[derive(Debug)]
pub struct Writer {
    _guard: WorkerGuard,
}

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of lines dropped since the start because the queue was
/// full.
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Installs a log writer that never blocks.
///
/// Lines beyond a bounded queue are dropped and counted, see
/// [`dropped_lines`].
pub fn install_bounded() -> Writer {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(std::io::stdout());
    // A second installation keeps the first counter, as `install_to` keeps the
    // first writer.
    let _ = DROPPED.set(writer.error_counter());
    install_to(writer);
    Writer { _guard: guard }
}

/// Reports that an interface accepts connections.
///
/// Launchers wait for this line and read the address from it, which lets a
/// process bind port 0.
pub fn listening(interface: &str, address: SocketAddr) {
    tracing::info!(interface, address = %address, "listening");
}

/// Maximum number of log lines per second about refusals for one reason.
const REFUSAL_LINES: u32 = 10;

static REFUSALS: [Limiter; Reason::ALL.len()] =
    [const { Limiter::new(REFUSAL_LINES) }; Reason::ALL.len()];

/// Returns the number of lines suppressed since the last written one if a line
/// about a refusal for this reason may be written now.
pub fn admit_refusal_line(reason: Reason) -> Option<u64> {
    // The reasons are numbered in the order of `ALL`.
    REFUSALS[reason as usize].admit(Instant::now())
}

/// Rate limiter for log lines of one kind, so that a failure does not flood the
/// log.
///
/// ```
/// use berylgw_runtime::log::Limiter;
/// use std::time::{Duration, Instant};
///
/// let limiter = Limiter::new(1);
/// let now = Instant::now();
/// assert_eq!(limiter.admit(now), Some(0));
/// assert_eq!(limiter.admit(now), None);
/// assert_eq!(limiter.admit(now + Duration::from_secs(1)), Some(1));
/// ```
#[derive(Debug)]
pub struct Limiter {
    lines_per_second: u32,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter that admits `lines_per_second` lines in each second.
    pub const fn new(lines_per_second: u32) -> Self {
        Limiter {
            lines_per_second,
            window: Mutex::new(Window {
                start: None,
                lines: 0,
                suppressed: 0,
            }),
        }
    }

    /// Returns the number of lines suppressed since the last written one if a
    /// line may be written now.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let age = window
            .start
            .map(|start| now.saturating_duration_since(start));
        if age.is_none_or(|age| age >= Duration::from_secs(1)) {
            window.start = Some(now);
            window.lines = 0;
        }
        if window.lines >= self.lines_per_second {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
