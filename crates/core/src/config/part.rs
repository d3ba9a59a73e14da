//! Sheets stored as several objects.
//!
//! A large sheet is split into content-addressed parts, so that a change
//! distributes only the parts it affects. Each part is written before the sheet
//! object that references it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::client::token_digest;
use crate::config::Sheet;
use crate::error::{Error, Kind, Result};

/// Prefix of the objects that hold parts of a sheet.
pub const PART_PREFIX: &str = "part.";

/// Number of parts. Every change sends the index and at least one part; with
/// this number both have about the same size at the design size.
const PART_COUNT: u8 = 128;

/// Number of hexadecimal digits of the digest in the name of a part.
const DIGEST_DIGITS: usize = 32;

/// JSON size in bytes above which a sheet is stored in parts. 5,600 changes per
/// day of this size take a fifth of a node's 21 KB/s.
pub const SPLIT_THRESHOLD_BYTES: usize = 64 << 10;

/// List of the parts of a sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartIndex {
    /// Random number chosen by the writer, which reads it back to learn whether
    /// a write with a lost answer took effect.
    pub nonce: u64,
    /// Names of the objects that hold the parts, sorted.
    pub parts: Vec<Arc<str>>,
}

/// A part of a sheet and the name of its object.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Name of the object: the prefix and a digest of the content.
    pub name: Arc<str>,
    /// The rows of the part; the nonce is 0.
    pub content: Sheet,
}

/// Value of the object `config/sheet`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum StoredSheet {
    /// The sheet as one object.
    Whole(Sheet),
    /// The list of its parts.
    Split(PartIndex),
}

impl<'de> Deserialize<'de> for StoredSheet {
    /// Distinguishes the forms by the member `parts`, so that an error names its
    /// position in the intended form; an untagged enum would lose it.
    fn deserialize<D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Self, D::Error> {
        use serde::de::Error;
        let value = serde_json::Value::deserialize(deserializer)?;
        let stored = match value.get("parts") {
            Some(_) => serde_json::from_value(value).map(StoredSheet::Split),
            None => serde_json::from_value(value).map(StoredSheet::Whole),
        };
        stored.map_err(D::Error::custom)
    }
}

impl StoredSheet {
    /// Returns the random number of the writer.
    pub fn nonce(&self) -> u64 {
        match self {
            StoredSheet::Whole(sheet) => sheet.nonce,
            StoredSheet::Split(index) => index.nonce,
        }
    }

    /// Returns whether this object is a part of the sheet.
    pub fn references(&self, part: &str) -> bool {
        match self {
            StoredSheet::Whole(_) => false,
            StoredSheet::Split(index) => index.parts.iter().any(|name| **name == *part),
        }
    }

    /// Assembles the sheet; `part` returns the value of an object.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not exist or is not a sheet.
    pub fn resolve<'a>(&self, part: impl Fn(&str) -> Option<&'a str>) -> Result<Sheet> {
        let index = match self {
            StoredSheet::Whole(sheet) => return Ok(sheet.clone()),
            StoredSheet::Split(index) => index,
        };
        let mut sheet = Sheet {
            nonce: index.nonce,
            ..Sheet::default()
        };
        for name in &index.parts {
            let place = format!("config/{name}");
            let Some(value) = part(name) else {
                let message = "named by the sheet but not known";
                return Err(Error::new(Kind::Missing, place, message));
            };
            let content: Sheet = serde_json::from_str(value)
                .map_err(|error| Error::new(Kind::Parse, place, error.to_string()))?;
            extend(&mut sheet, content);
        }
        sort(&mut sheet);
        Ok(sheet)
    }
}

fn extend(sheet: &mut Sheet, part: Sheet) {
    sheet.domains.extend(part.domains);
    sheet.entries.extend(part.entries);
    sheet.services.extend(part.services);
    sheet.servers.extend(part.servers);
    sheet.accounts.extend(part.accounts);
    sheet.grants.extend(part.grants);
}

fn sort(sheet: &mut Sheet) {
    sheet.domains.sort_by(|a, b| a.name.cmp(&b.name));
    sheet.entries.sort_by(|a, b| a.name.cmp(&b.name));
    sheet.services.sort_by(|a, b| a.name.cmp(&b.name));
    sheet.servers.sort_by(|a, b| a.name.cmp(&b.name));
    sheet.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    sheet.grants.sort();
}

/// Splits a sheet into parts by the digest of each row's name; grants are in the
/// part of their client account.
///
/// # Errors
///
/// Returns an error if a part cannot be serialized as JSON.
pub fn split(sheet: &Sheet) -> Result<(PartIndex, Vec<Part>)> {
    let mut contents = vec![Sheet::default(); usize::from(PART_COUNT)];
    for domain in &sheet.domains {
        contents[part_number(&domain.name)]
            .domains
            .push(domain.clone());
    }
    for entry in &sheet.entries {
        contents[part_number(&entry.name)]
            .entries
            .push(entry.clone());
    }
    for service in &sheet.services {
        contents[part_number(&service.name)]
            .services
            .push(service.clone());
    }
    for server in &sheet.servers {
        contents[part_number(&server.name)]
            .servers
            .push(server.clone());
    }
    for account in &sheet.accounts {
        contents[part_number(&account.name)]
            .accounts
            .push(account.clone());
    }
    for grant in &sheet.grants {
        contents[part_number(&grant.account)]
            .grants
            .push(grant.clone());
    }
    let mut parts = Vec::new();
    for content in contents {
        if content != Sheet::default() {
            parts.push(make_part(content)?);
        }
    }
    parts.sort_by(|a, b| a.name.cmp(&b.name));
    let index = PartIndex {
        nonce: sheet.nonce,
        parts: parts.iter().map(|part| part.name.clone()).collect(),
    };
    Ok((index, parts))
}

fn part_number(name: &str) -> usize {
    usize::from(Sha256::digest(name.as_bytes())[0] % PART_COUNT)
}

fn make_part(content: Sheet) -> Result<Part> {
    let json = serde_json::to_string(&content)
        .map_err(|error| Error::new(Kind::Invalid, "part of the sheet", error.to_string()))?;
    Ok(Part {
        name: format!("{PART_PREFIX}{}", &token_digest(&json)[..DIGEST_DIGITS]).into(),
        content,
    })
}
