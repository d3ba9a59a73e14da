//! Reports of commands and their output as text or JSON.

use serde::Serialize;

use crate::code::Code;

/// Output of a command: texts for the two standard streams and the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Exit code.
    pub code: Code,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

/// Result of a command, in both output formats.
#[derive(Debug)]
pub(crate) struct Report {
    code: Code,
    text: String,
    json: serde_json::Result<String>,
}

#[derive(Serialize)]
struct Body<'a, T> {
    outcome: Code,
    message: &'a str,
    #[serde(flatten)]
    detail: T,
}

/// JSON detail of a report that has only a message.
#[derive(Serialize)]
pub(crate) struct NoDetail {}

impl Report {
    /// Creates a report with a message and its details: `lines` follow the
    /// message in text output, the members of `detail` in JSON output.
    pub(crate) fn new(
        code: Code,
        message: impl Into<String>,
        lines: impl IntoIterator<Item = String>,
        detail: &impl Serialize,
    ) -> Self {
        let message = message.into();
        let body = Body {
            outcome: code,
            message: &message,
            detail,
        };
        let json = serde_json::to_string(&body);
        let mut text = message;
        for line in lines {
            text.push('\n');
            text.push_str(&line);
        }
        Report { code, text, json }
    }

    /// Creates a report that has only a message.
    pub(crate) fn message(code: Code, message: impl Into<String>) -> Self {
        Report::new(code, message, [], &NoDetail {})
    }

    /// Formats the report as JSON or text. Text goes to standard output if the
    /// command succeeded, otherwise to standard error; JSON always goes to
    /// standard output.
    pub(crate) fn output(self, as_json: bool) -> Output {
        let code = self.code;
        let text = match self.json {
            Ok(json) if as_json => json,
            _ => self.text,
        };
        let text = format!("{text}\n");
        let to_stdout = as_json || code == Code::Done;
        let (stdout, stderr) = match to_stdout {
            true => (text, String::new()),
            false => (String::new(), text),
        };
        Output {
            code,
            stdout,
            stderr,
        }
    }
}
