//! The error type of the decision core.

use std::sync::Arc;

use derive_more::Display;

/// Result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// A value could not be parsed.
    #[display("parse error")]
    Parse,
    /// A value is well formed but not allowed.
    #[display("invalid value")]
    Invalid,
    /// A referenced object does not exist.
    #[display("not found")]
    Missing,
}

/// An error of the decision core: its kind, its location in the input and a
/// message.
///
/// ```
/// use berylgw_core::error::{Error, Kind};
///
/// let error = Error::new(Kind::Parse, "row 3, column limit", "not a number");
/// assert_eq!(error.to_string(), "parse error at row 3, column limit: not a number");
/// ```
#[derive(Clone, Debug, thiserror::Error)]
#[error("{kind} at {location}: {message}")]
pub struct Error {
    kind: Kind,
    location: Arc<str>,
    message: Arc<str>,
}

impl Error {
    /// Creates an error of `kind` at `location`.
    pub fn new(kind: Kind, location: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Self {
        Error {
            kind,
            location: location.into(),
            message: message.into(),
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns where the error was found, for example a row and column.
    pub fn location(&self) -> &str {
        &self.location
    }
}
