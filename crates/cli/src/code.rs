//! Exit codes of commands.

use derive_more::Display;
use serde::Serialize;

/// Exit code of a command. [`Display`] and JSON use its label.
///
/// [`Display`]: std::fmt::Display
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Code {
    /// The command succeeded.
    #[display("done")]
    Done = 0,
    /// The input has findings or was refused; nothing was written.
    #[display("refused")]
    Refused = 1,
    /// The command line is wrong.
    #[display("usage")]
    Usage = 2,
    /// Another write changed the object first; nothing was written.
    #[display("conflict")]
    Conflict = 3,
    /// The platform is unavailable; nothing was written.
    #[display("unavailable")]
    Unavailable = 4,
    /// A write may have taken effect; reading the object back did not show
    /// whether it did.
    #[display("unknown")]
    Unknown = 5,
}
