//! Settings files in YAML.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Field, as a dotted path; empty if the file as a whole is meant.
    pub field: String,
    /// Line in the file, from 1, if it is known.
    pub line: Option<u64>,
    /// What is wrong and what is expected.
    pub message: String,
}

impl Finding {
    /// A finding about `field`.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Finding {
            field: field.into(),
            line: None,
            message: message.into(),
        }
    }
}

/// All problems found in one settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    file: String,
    findings: Vec<Finding>,
}

impl Error {
    /// The findings, in the order in which they were found.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}", self.file)?;
            if let Some(line) = finding.line {
                write!(f, ":{line}")?;
            }
            if !finding.field.is_empty() {
                write!(f, ": {}", finding.field)?;
            }
            write!(f, ": {}", finding.message)?;
        }
        Ok(())
    }
}

/// Reads a settings file and checks it whole.
///
/// `check` returns findings about values that are well formed but not allowed.
///
/// # Errors
///
/// Fails with every finding if the file cannot be read, is not YAML of the
/// expected shape or does not pass `check`.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<Finding>,
) -> Result<T, Error> {
    let file = path.display().to_string();
    let fail = |findings| Error {
        file: file.clone(),
        findings,
    };
    let text = std::fs::read_to_string(path)
        .map_err(|error| fail(vec![Finding::new("", error.to_string())]))?;
    let settings: T = serde_saphyr::from_str(&text).map_err(|error| {
        let line = error.location().map(|location| location.line());
        fail(vec![Finding {
            field: String::new(),
            line,
            message: error.to_string(),
        }])
    })?;
    let mut findings = check(&settings);
    for finding in &mut findings {
        finding.line = line_of(&text, &finding.field);
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(fail(findings))
    }
}

/// Line of the last segment of a dotted field path, found by indentation order.
fn line_of(text: &str, field: &str) -> Option<u64> {
    let mut segments = field.split('.').peekable();
    for (index, line) in text.lines().enumerate() {
        let segment = segments.peek()?;
        let key = line.trim_start().split(':').next()?;
        if key != *segment {
            continue;
        }
        segments.next();
        if segments.peek().is_none() {
            return Some(index as u64 + 1);
        }
    }
    None
}
