//! Settings files in YAML.

mod outline;

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

use outline::Outline;

/// Problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Dotted path of the field; empty if the finding is about the whole file.
    pub field: String,
    /// Line in the file, counted from 1, if known.
    pub line: Option<u64>,
    /// What is wrong and what is expected.
    pub message: String,
}

impl Finding {
    /// Creates a finding about `field` without a line.
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
    /// Creates an error about settings from `source`, a file or another place.
    pub fn new(source: impl Into<String>, findings: Vec<Finding>) -> Self {
        Error {
            file: source.into(),
            findings,
        }
    }

    /// Returns the findings in the order of their detection.
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

/// Reads and validates a settings file.
///
/// `check` returns findings about values that are well formed but not allowed.
///
/// # Errors
///
/// Fails if the file cannot be read, and otherwise with all findings that [`parse`]
/// detects: the text is not YAML of the expected shape or does not pass `check`.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<Finding>,
) -> Result<T, Error> {
    let file = path.display().to_string();
    let findings = match std::fs::read_to_string(path) {
        Ok(text) => match parse(&text, check) {
            Ok(settings) => return Ok(settings),
            Err(findings) => findings,
        },
        Err(error) => vec![Finding::new("", error.to_string())],
    };
    Err(Error { file, findings })
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Fails with at least one finding. The YAML library stops at the first problem,
/// so the part with the problem is removed and the remaining text parsed again.
/// Where the part cannot be removed, later problems are not found.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl Fn(&T) -> Vec<Finding>,
) -> Result<T, Vec<Finding>> {
    let outline = Outline::new(text);
    let mut findings: Vec<Finding> = Vec::new();
    let mut removed: Vec<String> = Vec::new();
    let mut remaining = text.to_owned();
    let parsed = loop {
        let error = match serde_saphyr::from_str::<T>(&remaining) {
            Ok(settings) => break Some(settings),
            Err(error) => error,
        };
        let problem = Problem::new(&error, &outline);
        let field = &*problem.finding.field;
        // A part whose content was removed may be reported as empty or missing;
        // the removal is the cause, so that is not a finding.
        let inner_prefix = format!("{field}.");
        let nothing_left = !findings.is_empty() && remaining.trim().is_empty();
        if nothing_left || removed.iter().any(|path| path == field) {
            break None;
        }
        let inner_was_removed = removed.iter().any(|path| path.starts_with(&inner_prefix));
        removed.push(field.to_owned());
        let line = problem.finding.line;
        let next = line.and_then(|line| {
            Outline::new(&remaining).without(line, problem.unknown_field.as_deref())
        });
        let must_stop = problem.missing || findings.len() >= MAX_FINDINGS;
        if !inner_was_removed {
            findings.push(problem.finding);
        }
        match next {
            Some(next) if next != remaining && !must_stop => remaining = next,
            _ => break None,
        }
    };
    let Some(settings) = parsed else {
        return Err(findings);
    };
    for mut finding in check(&settings) {
        finding.line = outline.line_of(&finding.field);
        findings.push(finding);
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

/// Number of findings after which parsing stops.
const MAX_FINDINGS: usize = 64;

/// Problem that the YAML library reports.
struct Problem {
    finding: Finding,
    /// Whether the problem is a missing field.
    missing: bool,
    /// Name of the unknown field, if the problem is one.
    unknown_field: Option<String>,
}

impl Problem {
    fn new(error: &serde_saphyr::Error, outline: &Outline) -> Self {
        let error = error.without_snippet();
        let line = error.location().map(|location| location.line());
        let key = line.and_then(|line| outline.path_at(line)).unwrap_or("");
        let mut problem = Problem {
            finding: Finding {
                field: key.to_owned(),
                line,
                message: error.to_string(),
            },
            missing: false,
            unknown_field: None,
        };
        match error {
            serde_saphyr::Error::SerdeUnknownField {
                field, expected, ..
            } => {
                let is_reported_key = key.rsplit('.').next() == Some(field);
                if !is_reported_key {
                    problem.finding.field = format!("{key}.{field}");
                }
                let expected = expected.join(", ");
                problem.finding.message = format!("unknown field; expected one of {expected}");
                problem.unknown_field = Some(field.clone());
            }
            serde_saphyr::Error::SerdeMissingField { field, .. } => {
                let outer = key.rsplit_once('.').map(|(outer, _)| format!("{outer}."));
                problem.finding.field = outer.unwrap_or_default() + field;
                problem.finding.message = "is required and missing".to_owned();
                problem.missing = true;
            }
            _ => {}
        }
        problem
    }
}
