//! The error type of the platform client.

use std::time::Duration;

use derive_more::Display;

/// Result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Category of a failed call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// The platform's rate limit refused the call; nothing took effect.
    #[display("rate limited")]
    RateLimited,
    /// The platform refused the call during an outage; nothing took effect.
    #[display("unavailable")]
    Unavailable,
    /// No connection could be made; nothing took effect.
    #[display("unreachable")]
    Unreachable,
    /// The call was sent and no complete response arrived; an update may have
    /// taken effect.
    #[display("no answer")]
    NoAnswer,
    /// The platform no longer has the writes after the watched revision; list
    /// the objects and watch from the revision of the list.
    #[display("revision compacted")]
    Compacted,
    /// The value is larger than the platform accepts.
    #[display("value too large")]
    TooLarge,
    /// A request or response does not follow the protocol.
    #[display("protocol error")]
    Protocol,
}

/// Error of a platform call, with its kind, the path of the call and a cause.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{kind} in {path}: {message}")]
pub struct Error {
    kind: Kind,
    path: String,
    message: String,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of this kind for a call to `path`.
    pub fn new(kind: Kind, path: impl Into<String>, message: impl ToString) -> Self {
        Error {
            kind,
            path: path.into(),
            message: message.to_string(),
            retry_after: None,
        }
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the time to wait before a retry, from the `Retry-After` header.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
