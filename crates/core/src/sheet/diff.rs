//! Differences between two sheets.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Sheet;
use crate::sheet::column::{Column, Kind};
use crate::sheet::row::{Row, rows};

/// A column whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The column.
    pub column: Column,
    /// Value in the old sheet.
    pub old: Arc<str>,
    /// Value in the new sheet.
    pub new: Arc<str>,
}

/// A row that differs between two sheets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// The row is only in the new sheet.
    Added {
        /// Kind of the row.
        kind: Kind,
        /// Name of the row, `account/service` for a grant.
        name: Arc<str>,
    },
    /// The row is only in the old sheet.
    Removed {
        /// Kind of the row.
        kind: Kind,
        /// Name of the row, `account/service` for a grant.
        name: Arc<str>,
    },
    /// The row is in both sheets with different values.
    Changed {
        /// Kind of the row.
        kind: Kind,
        /// Name of the row, `account/service` for a grant.
        name: Arc<str>,
        /// Columns that differ, in the order of the file.
        fields: Vec<Field>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { kind, name } => write!(f, "+ {kind} {name}"),
            Change::Removed { kind, name } => write!(f, "- {kind} {name}"),
            Change::Changed { kind, name, fields } => {
                write!(f, "~ {kind} {name}:")?;
                for (index, field) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    let (old, new) = (display_value(&field.old), display_value(&field.new));
                    write!(f, "{comma} {} {old} -> {new}", field.column)?;
                }
                Ok(())
            }
        }
    }
}

fn display_value(value: &str) -> &str {
    if value.is_empty() { "(empty)" } else { value }
}

/// Returns the rows that differ, sorted by kind and name.
///
/// ```
/// use berylgw_core::sheet::{diff, parse};
///
/// let header = "kind,name,region,domain,service,address,peer_address,type,fencing,\
///               group,rank,limit,cold_limit,weight,rate,concurrency,token_sha256\n";
/// let old = parse(&format!("{header}domain,a,north,,,,,,,,,,,,,,\n")).unwrap();
/// let new = parse(&format!("{header}domain,a,south,,,,,,,,,,,,,,\n")).unwrap();
/// assert_eq!(diff(&old, &new)[0].to_string(), "~ domain a: region north -> south");
/// ```
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Change> {
    let old = rows_by_key(old);
    let new = rows_by_key(new);
    let mut changes = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        let ordering = match (old.get(i), new.get(j)) {
            (Some(a), Some(b)) => a.0.cmp(&b.0),
            (Some(_), None) => std::cmp::Ordering::Less,
            _ => std::cmp::Ordering::Greater,
        };
        if ordering.is_lt() {
            let (kind, name) = old[i].0.clone();
            changes.push(Change::Removed { kind, name });
            i += 1;
            continue;
        }
        if ordering.is_gt() {
            let (kind, name) = new[j].0.clone();
            changes.push(Change::Added { kind, name });
            j += 1;
            continue;
        }
        let fields = fields(&old[i].1, &new[j].1);
        if !fields.is_empty() {
            let (kind, name) = new[j].0.clone();
            changes.push(Change::Changed { kind, name, fields });
        }
        i += 1;
        j += 1;
    }
    changes
}

type Key = (Kind, Arc<str>);

fn rows_by_key(sheet: &Sheet) -> Vec<(Key, Row)> {
    let mut rows_by_key: Vec<(Key, Row)> = rows(sheet)
        .into_iter()
        .map(|row| ((row.kind(), row.key()), row))
        .collect();
    rows_by_key.sort_by(|a, b| a.0.cmp(&b.0));
    rows_by_key
}

fn fields(old: &Row, new: &Row) -> Vec<Field> {
    let mut fields = Vec::new();
    for &column in Column::ALL {
        let (old, new) = (old.value(column), new.value(column));
        if old == new {
            continue;
        }
        fields.push(Field {
            column,
            old: old.into(),
            new: new.into(),
        });
    }
    fields
}
