//! The operators' CSV sheet.
//!
//! [`parse()`] turns the text of a sheet into a [`config::Sheet`] or returns all
//! findings. [`write()`] is the inverse, and [`diff()`] compares two sheets row
//! by row.
//!
//! [`config::Sheet`]: crate::config::Sheet

mod cells;
mod check;
mod column;
mod diff;
mod finding;
mod parse;
mod row;

pub use column::{Column, Kind};
pub use diff::{Change, Field, diff};
pub use finding::Finding;
pub use parse::parse;
pub use row::{Row, rows, write};
