//! Operator command line of berylgw.
//!
//! [`run`] parses the arguments, executes one command and returns its output and
//! exit code. Each command has a module with its options, its help text and its
//! implementation. [`settle`] has the conditional update that all writing
//! commands share.

mod apply;
mod check;
mod code;
mod command;
mod diff;
mod domain;
mod explain;
mod parts;
mod platform;
mod report;
pub mod settle;
mod status;
mod version;

pub use code::Code;
pub use command::run;
pub use platform::PLATFORM_VARIABLE;
pub use report::Output;
