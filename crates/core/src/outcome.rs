//! Outcomes of requests and reasons for refusals.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its complete answer was delivered.
    #[display("done")]
    Done,
    /// No backend server has run or will run the request.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $label:literal, $status:literal;)*) => {
        /// Reason why a request was refused or aborted.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* #[display($label)] $name,)*
        }

        impl Reason {
            /// All reasons, in order of declaration.
            pub const ALL: &[Reason] = &[$(Reason::$name),*];

            /// Returns the label used in metrics, logs and messages.
            pub const fn label(self) -> &'static str {
                match self { $(Reason::$name => $label),* }
            }

            /// Returns the HTTP status sent to the caller.
            pub const fn status(self) -> u16 {
                match self { $(Reason::$name => $status),* }
            }

            /// Returns the reason with this label, if there is one.
            pub fn from_label(label: &str) -> Option<Reason> {
                Self::ALL.iter().copied().find(|reason| reason.label() == label)
            }
        }
    };
}

reasons! {
    /// The bearer token is missing or belongs to no client account.
    Unauthenticated = "unauthenticated", 401;
    /// The service does not exist or the client account may not use it.
    UnknownService = "unknown_service", 404;
    /// The request is malformed or too large.
    InvalidRequest = "invalid_request", 400;
    /// The idempotency key was used before with another body.
    KeyReused = "key_reused", 422;
    /// The idempotency key is claimed and its result is not known yet.
    KeyPending = "key_pending", 409;
    /// The client account exceeds its request rate.
    RateLimited = "rate_limited", 429;
    /// The client account has too many requests in flight.
    ConcurrencyLimited = "concurrency_limited", 429;
    /// The agent has no capacity left for the request.
    ServerFull = "server_full", 503;
    /// The queue of the backend server is full.
    QueueFull = "queue_full", 503;
    /// No backend server of the service accepts work.
    NoServer = "no_server", 503;
    /// The backend server is draining or its failure domain is out of service.
    Draining = "draining", 503;
    /// The sender's configuration is older than the receiver's.
    StaleConfig = "stale_config", 503;
    /// The fencing token is not higher than one already recorded, or was granted
    /// for another incarnation of the agent.
    StaleToken = "stale_token", 503;
    /// The deadline passed or cannot be met.
    Deadline = "deadline", 504;
    /// The ledger partition cannot be written or has no owner.
    LedgerUnavailable = "ledger_unavailable", 503;
    /// The ticket is unknown, expired or already used.
    TicketInvalid = "ticket_invalid", 410;
    /// The retry budget is exhausted.
    RetryBudget = "retry_budget", 503;
    /// The request crashed backend servers and is quarantined.
    Quarantined = "quarantined", 422;
    /// The agent could not be reached.
    AgentUnreachable = "agent_unreachable", 503;
    /// The connection to the agent broke or timed out after dispatch.
    ConnectionLost = "connection_lost", 502;
    /// The backend server failed while it ran the request.
    ServerFailed = "server_failed", 502;
    /// The answer was incomplete or out of sequence.
    AnswerCorrupt = "answer_corrupt", 502;
    /// The request ran before, and its answer was too large to be kept.
    AnswerNotKept = "answer_not_kept", 410;
    /// The caller reads too slowly and the buffer budget is exhausted.
    SlowReader = "slow_reader", 503;
    /// The process is shutting down.
    ShuttingDown = "shutting_down", 503;
}

/// Refusal of a request, or the error that ended it.
///
/// ```
/// use berylgw_core::outcome::{Outcome, Reason, Refusal};
/// use std::time::Duration;
///
/// let refusal = Refusal::not_run(Reason::ServerFull, Duration::from_millis(250));
/// assert_eq!(refusal.outcome, Outcome::NotRun);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason} ({outcome}): {message}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Human-readable explanation.
    pub message: Arc<str>,
}

impl Refusal {
    /// Creates a refusal of a request that provably did not run.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Refusal {
            reason,
            outcome: Outcome::NotRun,
            retry_after,
            message: reason.label().into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason, retry_after: Duration) -> Self {
        Refusal {
            reason,
            outcome: Outcome::Unknown,
            retry_after,
            message: reason.label().into(),
        }
    }

    /// Replaces the explanation.
    pub fn with_message(mut self, message: impl Into<Arc<str>>) -> Self {
        self.message = message.into();
        self
    }
}
