//! Exit codes.

use derive_more::Display;
use serde::Serialize;

/// Exit code of a command. [`Display`] and JSON give the label.
///
/// [`Display`]: std::fmt::Display
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Code {
    /// The command did what it was asked to.
    #[display("done")]
    Done = 0,
    /// The input has findings or the command refuses it; nothing was written.
    #[display("refused")]
    Refused = 1,
    /// The command line is wrong.
    #[display("usage")]
    Usage = 2,
    /// Another write came first; nothing was written.
    #[display("conflict")]
    Conflict = 3,
    /// The platform is unavailable; nothing was written.
    #[display("unavailable")]
    Unavailable = 4,
    /// A write may have taken effect and reading back could not tell.
    #[display("unknown")]
    Unknown = 5,
}
