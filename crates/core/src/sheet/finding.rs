//! Errors in a sheet.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One error in a sheet and its position.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error, Serialize, Deserialize,
)]
#[error("row {row}, column {column}: {message}")]
pub struct Finding {
    /// Line in the file, from 1.
    pub row: u64,
    /// Name of the column, or its position if it has no name.
    pub column: Arc<str>,
    /// What is wrong and what is expected.
    pub message: Arc<str>,
}

impl Finding {
    /// Makes a finding.
    pub fn new(row: u64, column: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Self {
        Finding {
            row,
            column: column.into(),
            message: message.into(),
        }
    }
}
