//! Parser of the CSV sheet.

use std::net::SocketAddr;
use std::sync::Arc;

use csv::{ReaderBuilder, StringRecord, Trim};

use crate::config::Sheet;
use crate::sheet::cells::{Cells, column_name};
use crate::sheet::check;
use crate::sheet::column::{Column, Kind};
use crate::sheet::finding::Finding;
use crate::{backend, client, failure, host, service};

/// A value and the line it was read from.
pub(super) struct Located<T> {
    pub(super) row: u64,
    pub(super) value: T,
}

/// A value that other rows may repeat or refer to.
pub(super) struct Mention<T> {
    pub(super) row: u64,
    pub(super) column: Column,
    /// Kind of the row that declares the value.
    pub(super) kind: Kind,
    pub(super) value: T,
}

/// The content of a file.
///
/// Mentions also come from rows that have findings: such a row is still checked
/// against other rows, and references to it are not reported as unknown.
#[derive(Default)]
pub(super) struct Content {
    pub(super) domains: Vec<Located<failure::Domain>>,
    pub(super) entries: Vec<Located<host::Entry>>,
    pub(super) services: Vec<Located<service::Service>>,
    pub(super) servers: Vec<Located<backend::Server>>,
    pub(super) accounts: Vec<Located<client::Account>>,
    pub(super) grants: Vec<Located<client::Grant>>,
    /// Names that rows declare.
    pub(super) declarations: Vec<Mention<Arc<str>>>,
    /// Names that rows refer to, with the kind they should be declared by.
    pub(super) references: Vec<Mention<Arc<str>>>,
    pub(super) addresses: Vec<Mention<SocketAddr>>,
    pub(super) tokens: Vec<Mention<Arc<str>>>,
    /// Regions in all failure domain rows.
    pub(super) regions: Vec<Arc<str>>,
    /// Rank groups with a row that could not be read.
    pub(super) incomplete_groups: Vec<Arc<str>>,
}

/// Parses the text of a sheet. The nonce of the result is 0.
///
/// Columns may be in any order. Blank lines and lines of empty values are
/// skipped, and spaces around values are ignored.
///
/// # Errors
///
/// Returns all findings, sorted by row and column, if there are any.
pub fn parse(csv: &str) -> Result<Sheet, Vec<Finding>> {
    let text = csv.strip_prefix('\u{feff}').unwrap_or(csv);
    let mut findings = Vec::new();
    let content = read(text, &mut findings);
    check::content(&content, &mut findings);
    if findings.is_empty() {
        return Ok(sheet(content));
    }
    findings.sort();
    findings.dedup();
    Err(findings)
}

fn read(text: &str, findings: &mut Vec<Finding>) -> Content {
    let mut content = Content::default();
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(text.as_bytes());
    let mut line_numbers = LineNumbers::new(text);
    let mut header: Option<Vec<Option<Column>>> = None;
    let mut rows = 0;
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                findings.push(Finding::new(line_numbers.line, "kind", error.to_string()));
                continue;
            }
        };
        let row = line_numbers.line_at(record.position().map_or(0, |position| position.byte()));
        let Some(columns) = &header else {
            header = Some(read_header(row, &record, findings));
            continue;
        };
        if record.iter().all(str::is_empty) {
            continue;
        }
        rows += 1;
        Cells::new(row, columns, &record, &mut content, findings).read();
    }
    if header.is_none() {
        findings.push(Finding::new(1, "kind", "the sheet has no header line"));
    } else if rows == 0 {
        findings.push(Finding::new(1, "kind", "the sheet has no rows"));
    }
    content
}

/// Converts byte positions to line numbers; the positions must not decrease.
///
/// The line numbers of the CSV reader omit blank lines before a record and
/// the second half of a CR LF.
struct LineNumbers<'a> {
    text: &'a [u8],
    byte: usize,
    line: u64,
}

impl<'a> LineNumbers<'a> {
    fn new(text: &'a str) -> Self {
        LineNumbers {
            text: text.as_bytes(),
            byte: 0,
            line: 1,
        }
    }

    fn line_at(&mut self, position: u64) -> u64 {
        let position = usize::try_from(position).unwrap_or(usize::MAX);
        while let Some(&byte) = self.text.get(self.byte) {
            let ends_line = byte == b'\n' || byte == b'\r';
            if self.byte >= position && !ends_line {
                break;
            }
            let first_of_two = byte == b'\r' && self.text.get(self.byte + 1) == Some(&b'\n');
            if ends_line && !first_of_two {
                self.line += 1;
            }
            self.byte += 1;
        }
        self.line
    }
}

fn read_header(
    row: u64,
    record: &StringRecord,
    findings: &mut Vec<Finding>,
) -> Vec<Option<Column>> {
    let mut columns = Vec::new();
    for (index, label) in record.iter().enumerate() {
        let column = Column::from_label(label);
        if column.is_none() {
            findings.push(Finding::new(
                row,
                column_name(index, label),
                "unknown column",
            ));
        } else if columns.contains(&column) {
            findings.push(Finding::new(row, label, "duplicate column"));
        }
        columns.push(column);
    }
    for column in Column::ALL {
        if !columns.contains(&Some(*column)) {
            findings.push(Finding::new(row, column.label(), "missing column"));
        }
    }
    columns
}

fn sheet(content: Content) -> Sheet {
    Sheet {
        nonce: 0,
        domains: sorted(content.domains, |domain| domain.name.clone()),
        entries: sorted(content.entries, |entry| entry.name.clone()),
        services: sorted(content.services, |service| service.name.clone()),
        servers: sorted(content.servers, |server| server.name.clone()),
        accounts: sorted(content.accounts, |account| account.name.clone()),
        grants: sorted(content.grants, client::Grant::clone),
    }
}

fn sorted<T, K: Ord>(items: Vec<Located<T>>, key: impl Fn(&T) -> K) -> Vec<T> {
    let mut items: Vec<T> = items.into_iter().map(|item| item.value).collect();
    items.sort_by_key(key);
    items
}
