//! `berylgw apply FILE`

use std::path::{Path, PathBuf};

use berylgw_core::config::{SHEET_OBJECT, Sheet};
use berylgw_core::sheet::{self, Change};
use berylgw_platform::{Client, Kind};
use pico_args::Arguments;
use serde::Serialize;

use crate::code::Code;
use crate::command::{Common, Usage, positional};
use crate::diff::lines;
use crate::parts::{self, VersionedSheet};
use crate::platform::{self, Current, read_sheet};
use crate::report::Report;
use crate::settle::{self, Settled};

pub(crate) const HELP: &str = "\
Put a sheet into force by one conditional update.

Usage: berylgw apply FILE [--if-version N] [--json] [--platform IP:PORT]

Options:
  --if-version N  Apply only if version N is in force (0: no sheet yet);
                  without it, the version in force when the command starts

\"accepted\" is printed only once the sheet is known to have taken effect. States
of failure domains are not part of the sheet and stay as they are.

Exit codes: 0 accepted or already in force, 1 findings or refused, 2 wrong
command line, 3 conflict: another write came first, 4 platform unavailable and
nothing written, 5 unknown: run berylgw diff FILE once the platform is back";

pub(crate) struct Options {
    file: PathBuf,
    if_version: Option<u64>,
}

impl Options {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Usage> {
        let if_version = args.opt_value_from_str("--if-version")?;
        let file = positional(args, "FILE")?.into();
        Ok(Options { file, if_version })
    }
}

#[derive(Serialize)]
struct Accepted<'a> {
    version: u64,
    changes: &'a [Change],
    #[serde(skip_serializing_if = "Option::is_none")]
    replaced_by: Option<u64>,
}

/// Rows that one write changed.
#[derive(Serialize)]
struct Write {
    version: u64,
    changes: Vec<Change>,
}

#[derive(Serialize)]
struct Conflict<'a> {
    expected: u64,
    version: u64,
    #[serde(rename = "steps")]
    writes: &'a [Write],
}

pub(crate) async fn run(options: Options, common: &Common) -> Result<Report, Report> {
    let mut sheet = read_sheet(&options.file)?;
    let client = platform::client(common)?;
    let current = platform::read(&client).await?;
    let version = current.sheet_version();
    let expected = options.if_version.unwrap_or(version);
    if expected != version {
        return Ok(version_mismatch(&client, expected, &current).await);
    }
    let base = &current.snapshot.sheet;
    let changes = sheet::diff(base, &sheet);
    if changes.is_empty() && version > 0 {
        let message = format!("no changes: the sheet is already in force as version {version}");
        let detail = Accepted {
            version,
            changes: &changes,
            replaced_by: None,
        };
        return Ok(Report::new(Code::Done, message, [], &detail));
    }
    sheet.nonce = rand::random();
    let stored = match parts::store(&client, &current, sheet).await {
        Ok(stored) => stored,
        Err(error) => return Ok(refused(&options.file, &error)),
    };
    let settled = settle::update(&client, SHEET_OBJECT, expected, &stored).await;
    Ok(match settled {
        Settled::Accepted(version) => {
            parts::prune(&client).await;
            accepted(version, None, &changes)
        }
        Settled::Replaced(version, newer) => accepted(version, Some(newer.version), &changes),
        Settled::Superseded(newer) => race_lost(&client, &current, newer.version).await,
        Settled::Refused(error) => refused(&options.file, &error),
        Settled::Unknown(newer) => unknown(&options.file, newer.map(|newer| newer.version)),
    })
}

fn accepted(version: u64, replaced_by: Option<u64>, changes: &[Change]) -> Report {
    let mut message = format!("accepted as version {version}");
    if let Some(newer) = replaced_by {
        message.push_str(&format!(
            ", and since replaced by version {newer}; see berylgw diff FILE"
        ));
    }
    let detail = Accepted {
        version,
        changes,
        replaced_by,
    };
    Report::new(Code::Done, message, lines(changes), &detail)
}

fn refused(file: &Path, error: &berylgw_platform::Error) -> Report {
    if error.kind() != Kind::TooLarge {
        return platform::unavailable(error);
    }
    let message = format!(
        "error: {} is larger than the platform accepts, the sheet in force is unchanged; remove \
         rows or shorten names",
        file.display()
    );
    Report::message(Code::Refused, message)
}

#[derive(Serialize)]
struct Unknown {
    in_force: Option<u64>,
}

fn unknown(file: &Path, in_force: Option<u64>) -> Report {
    let state = match in_force {
        Some(version) => format!("version {version} of another writer is in force now"),
        None => "the platform could not be read back".to_owned(),
    };
    let message = format!(
        "error: outcome unknown: the platform did not answer and the sheet may have taken effect; \
         {state}; run berylgw diff {} once the platform answers and apply again if rows differ",
        file.display()
    );
    Report::new(Code::Unknown, message, [], &Unknown { in_force })
}

/// Reports that the version in force is not the expected one, before anything is
/// written.
async fn version_mismatch(client: &Client, expected: u64, current: &Current) -> Report {
    let before = expected.saturating_sub(1);
    let mut sheets = parts::sheets_since(client, before, current).await;
    let base = match sheets.first() {
        Some(first) if first.version == expected => Some(sheets.remove(0).sheet),
        _ if expected == 0 => Some(Sheet::default()),
        _ => None,
    };
    conflict(expected, base.as_ref(), &sheets, current.sheet_version())
}

/// Reports that another write changed the sheet between reading and writing.
async fn race_lost(client: &Client, base: &Current, version: u64) -> Report {
    let expected = base.sheet_version();
    let Ok(current) = platform::read(client).await else {
        return conflict(expected, None, &[], version);
    };
    let sheets = parts::sheets_since(client, expected, &current).await;
    let base = &base.snapshot.sheet;
    conflict(expected, Some(base), &sheets, current.sheet_version())
}

fn conflict(
    expected: u64,
    base: Option<&Sheet>,
    sheets: &[VersionedSheet],
    version: u64,
) -> Report {
    let writes = base.map_or(Vec::new(), |base| writes(base, sheets));
    let message = format!(
        "conflict: expected version {expected}, but version {version} is in force; nothing was \
         written; take over the changes below, then apply with --if-version {version}"
    );
    let mut text = Vec::new();
    for write in &writes {
        text.push(format!("version {} changed:", write.version));
        text.extend(lines(&write.changes));
    }
    if writes.is_empty() {
        text.push("the rows that changed are not known; compare with berylgw diff FILE".to_owned());
    }
    let detail = Conflict {
        expected,
        version,
        writes: &writes,
    };
    Report::new(Code::Conflict, message, text, &detail)
}

/// Returns the changes of each write after `base`.
fn writes(base: &Sheet, sheets: &[VersionedSheet]) -> Vec<Write> {
    let mut writes = Vec::new();
    let mut before = base;
    for VersionedSheet { version, sheet } in sheets {
        writes.push(Write {
            version: *version,
            changes: sheet::diff(before, sheet),
        });
        before = sheet;
    }
    writes
}
