//! Operator command line of berylgw.
//!
//! [`run`] parses the arguments, carries out one command and returns what to
//! print and the exit code. Each command has a module with its options, its
//! help text and its work. [`settle`] is the conditional update that all
//! writing commands share.

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
