//! Duties that one entry of the fleet performs at a time.
//!
//! Failures that it handles: the holder is killed, frozen or cut off; the store is away,
//! loses answers or is restored from a copy; the interface is slow, limited, down or
//! unreachable from one host.
//!
//! [`run`] has three tasks. One competes for the lease, the only condition under which
//! the others act. One reads the stored record of the usage ledger when the lease begins
//! and writes it again when it changes. One sends the reports and orders that are due.
//! All calls are closures of the platform adapter.

mod hold;
mod keep;
pub mod metrics;
mod send;

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylgw_core::duty;
use berylgw_core::lease::{Lease, Update};
use berylgw_core::usage::Report;
use berylgw_runtime::clock::uptime;
use berylgw_runtime::task::supervise;
use serde_json::Value;
use tokio::sync::watch;

use crate::entry::Status;
use crate::peer::Role;
use crate::settings::Duties;
use crate::usage::Office;
use metrics::Metrics;

/// Timeout of a call to the interface, from the connection to the response.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the lease must be valid beyond the timeout of a call, which covers the way
/// of a call that was written last.
const CALL_MARGIN: Duration = Duration::from_millis(100);

/// Future result of a call.
pub type Reply<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A call of the adapter.
pub type Call<A, T> = Box<dyn Fn(A) -> Reply<T> + Send + Sync>;

/// Calls to the store and to the interface.
pub struct Calls {
    /// Reads an object: its revision and value, `None` if it does not exist.
    pub read: Call<Subject, Answer<Read>>,
    /// Writes an object if it has the expected revision.
    pub write: Call<Write, Answer<Update>>,
    /// Returns the highest era that any response of the store has named.
    pub era: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Sends a usage report.
    pub report: Call<Order<Report>, Response>,
}

impl std::fmt::Debug for Calls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Calls").finish_non_exhaustive()
    }
}

/// An object of the store that the duties use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Subject {
    /// The lease of all duties.
    #[display("lease")]
    Lease,
    /// The record of the usage ledger.
    #[display("usage")]
    Usage,
}

/// Result of a read: the revision and value, `None` if the object does not exist, or the
/// reason for the failure.
pub type Read = Result<Option<(u64, Value)>, Failure>;

/// A call that failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

/// An answer of the store.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Era of the store in the response, `None` without a response.
    pub era: Option<u64>,
    /// The answer.
    pub value: T,
}

/// A conditional update.
#[derive(Clone, Debug)]
pub struct Write {
    /// The object.
    pub subject: Subject,
    /// Revision that the object must have; 0 if it must not exist.
    pub expected: u64,
    /// New value.
    pub value: Value,
}

/// A call to the interface.
pub struct Order<T> {
    /// Fencing token.
    pub token: u64,
    /// What to send.
    pub content: T,
    /// Returns whether the call may still be sent; to be asked after connecting,
    /// immediately before the request is written.
    pub permit: Box<dyn Fn() -> bool + Send + Sync>,
}

impl<T: std::fmt::Debug> std::fmt::Debug for Order<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut order = f.debug_struct("Order");
        let order = order.field("token", &self.token);
        order
            .field("content", &self.content)
            .finish_non_exhaustive()
    }
}

/// Outcome of a call to the interface, a label value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// It was accepted.
    #[display("accepted")]
    Accepted,
    /// It was refused because of the rate limit (429).
    #[display("limited")]
    Limited,
    /// The interface is down (other 5xx status).
    #[display("unavailable")]
    Unavailable,
    /// The interface refused the call itself (other status).
    #[display("rejected")]
    Rejected,
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// The call was written and no response arrived.
    #[display("no_response")]
    NoResponse,
    /// The response is malformed.
    #[display("malformed")]
    Malformed,
    /// The lease no longer outlasted the call when it was to be written.
    #[display("withheld")]
    Withheld,
}

/// A response of the interface.
#[derive(Clone, Debug)]
pub struct Response {
    /// Outcome.
    pub outcome: Outcome,
    /// Status or error, for the log.
    pub detail: String,
}

/// A duty that the interface of the platform has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Reports of usage.
    Usage,
    /// Orders for numbers of servers.
    Scaling,
}

/// Settings of the duties.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, which identifies a holder to the interface.
    pub host: Arc<str>,
    /// Calls per second that the interface accepts from all entries together.
    pub rate_per_s: f64,
    /// The duties to perform.
    pub kinds: Vec<Kind>,
    /// Times of the duties.
    pub duties: Duties,
}

/// The lease of this entry and the era of the store that it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Tenure {
    lease: Lease,
    era: u64,
}

impl Tenure {
    fn token(&self) -> u64 {
        self.lease.token
    }
}

/// What the tasks share.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    calls: Calls,
    office: Office,
    metrics: Metrics,
    tenure: Mutex<Option<Tenure>>,
    /// Locked during a call to the interface: the lease is not released meanwhile.
    calling: tokio::sync::Mutex<()>,
    /// Whether the lease is about to be released, so that no call begins.
    is_closing: AtomicBool,
    /// Whether another entry should take the lease, as this one has no response of the
    /// interface.
    makes_way: AtomicBool,
    /// Other live entries.
    others: watch::Receiver<Arc<Status>>,
}

impl Shared {
    /// Returns the lease if it is valid now and no later era of the store is known.
    fn tenure(&self) -> Option<Tenure> {
        let tenure = *self.tenure.lock().unwrap_or_else(PoisonError::into_inner);
        let now = uptime();
        tenure.filter(|tenure| tenure.lease.is_valid(now) && (self.calls.era)() <= tenure.era)
    }

    fn set_tenure(&self, tenure: Option<Tenure>) {
        *self.tenure.lock().unwrap_or_else(PoisonError::into_inner) = tenure;
    }

    /// Returns whether a call under the lease with `token` may be written now.
    fn permits(&self, token: u64) -> bool {
        let Some(tenure) = self.tenure() else {
            return false;
        };
        let outlasts = duty::outlasts(&tenure.lease, uptime(), CALL_TIMEOUT + CALL_MARGIN);
        tenure.token() == token && outlasts
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Returns the number of other live entries.
    fn others(&self) -> usize {
        let status = self.others.borrow();
        let own = usize::from(!status.leaving);
        status.entries.len().saturating_sub(own)
    }
}

/// What the duties read from the entry.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// The usage ledger.
    pub office: Office,
    /// How the entry takes part in reading the store; observers compete for the lease.
    pub role: watch::Receiver<Role>,
    /// Whether the entry stops, and the other live entries.
    pub status: watch::Receiver<Arc<Status>>,
}

/// Performs the duties while this entry holds the lease; never returns.
pub async fn run(settings: Settings, calls: Calls, surroundings: Surroundings, metrics: Metrics) {
    let Surroundings {
        office,
        role,
        status,
    } = surroundings;
    let shared = Arc::new(Shared {
        settings,
        calls,
        office,
        metrics,
        tenure: Mutex::default(),
        calling: tokio::sync::Mutex::default(),
        is_closing: AtomicBool::default(),
        makes_way: AtomicBool::default(),
        others: status.clone(),
    });
    let (holding, keeping, sending) = (shared.clone(), shared.clone(), shared);
    tokio::join!(
        supervise("hold the lease of the duties", move || {
            tokio::spawn(hold::run(holding.clone(), role.clone(), status.clone()))
        }),
        supervise("keep the usage record", move || {
            tokio::spawn(keep::run(keeping.clone()))
        }),
        supervise("send the calls of the duties", move || {
            tokio::spawn(send::run(sending.clone()))
        }),
    );
}
