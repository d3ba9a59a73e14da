//! The error type of the platform client.

use std::time::Duration;

use derive_more::Display;

/// Result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong in a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// The platform refused the call for its rate limit; nothing took effect.
    #[display("rate limited")]
    RateLimited,
    /// The platform refused the call during an outage; nothing took effect.
    #[display("unavailable")]
    Unavailable,
    /// No connection could be made; nothing took effect.
    #[display("unreachable")]
    Unreachable,
    /// The call was sent and no answer came; an update may have taken effect.
    #[display("no answer")]
    NoAnswer,
    /// The watched revision is no longer kept; list again.
    #[display("revision compacted")]
    Compacted,
    /// The value is larger than the platform accepts.
    #[display("value too large")]
    TooLarge,
    /// The answer does not follow the protocol.
    #[display("protocol error")]
    Protocol,
}

/// An error of a platform call: its kind, the call and an explanation.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{kind} in {call}: {message}")]
pub struct Error {
    kind: Kind,
    call: String,
    message: String,
    retry_after: Option<Duration>,
}

impl Error {
    /// An error of this kind in `call`.
    pub fn new(kind: Kind, call: impl Into<String>, message: impl ToString) -> Self {
        Error {
            kind,
            call: call.into(),
            message: message.to_string(),
            retry_after: None,
        }
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// The kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// When the platform wants the call to be made again.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
