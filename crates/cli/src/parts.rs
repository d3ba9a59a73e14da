//! Sheets that are stored in parts.

use berylgw_core::config::{self, PART_PREFIX, Part, SHEET_OBJECT, Sheet, StoredSheet};
use berylgw_platform::{Client, Error, Update};

use crate::platform::{self, Current, KIND};
use crate::settle;

/// Attempts to write one part.
const ATTEMPT_LIMIT: u32 = 5;

/// Parts that are kept after a sheet no longer names them, so that the loser of
/// a race can be told what changed.
const KEPT_PARTS: usize = 64;

/// A sheet that was in force.
pub(crate) struct Version {
    pub(crate) version: u64,
    pub(crate) sheet: Sheet,
}

/// Writes the parts of a large sheet and returns the value of the sheet object.
///
/// Parts that the sheet in force does not name are written again even if they
/// exist: views drop such parts, and a part with a new version reaches them.
pub(crate) async fn store(
    client: &Client,
    current: &Current,
    sheet: Sheet,
) -> Result<StoredSheet, Error> {
    let size = serde_json::to_vec(&sheet).map_or(usize::MAX, |json| json.len());
    if size <= config::SPLIT_THRESHOLD_BYTES {
        return Ok(StoredSheet::Whole(sheet));
    }
    let Ok((index, parts)) = config::split(&sheet) else {
        return Ok(StoredSheet::Whole(sheet));
    };
    for part in &parts {
        if !current.names(&part.name) {
            write(client, current.version_of(&part.name), part).await?;
        }
    }
    Ok(StoredSheet::Split(index))
}

/// Writes a part at a new version. Its content follows from its name, so a write
/// by anyone else after this command started does as well.
async fn write(client: &Client, expected: u64, part: &Part) -> Result<(), Error> {
    let mut expected = expected;
    for attempt in 1.. {
        let error = match client.put(KIND, &part.name, expected, &part.content).await {
            Update::Applied(_) => return Ok(()),
            // The version in the view was deleted meanwhile.
            Update::Conflict(0) if expected != 0 => {
                expected = 0;
                continue;
            }
            Update::Conflict(_) => return Ok(()),
            Update::Refused(error) => return Err(error),
            Update::Unknown(error) => error,
        };
        if attempt >= ATTEMPT_LIMIT {
            return Err(error);
        }
    }
    Ok(())
}

/// Deletes the oldest parts that the sheet in force does not name.
///
/// A failure leaves them for the next command. A part that a racing writer has
/// written again has another version and stays.
pub(crate) async fn clean(client: &Client) {
    let Ok(list) = client.list(KIND).await else {
        return;
    };
    let sheet = list.items.iter().find(|item| &*item.name == SHEET_OBJECT);
    let Some(sheet) = sheet else {
        return;
    };
    let Ok(stored) = serde_json::from_str::<StoredSheet>(sheet.value.get()) else {
        return;
    };
    let mut unnamed = Vec::new();
    for item in &list.items {
        let named = item.version > sheet.version || stored.references(&item.name);
        if item.name.starts_with(PART_PREFIX) && !named {
            unnamed.push(item);
        }
    }
    unnamed.sort_by_key(|item| item.version);
    let excess = unnamed.len().saturating_sub(KEPT_PARTS);
    for item in &unnamed[..excess] {
        let update = client.delete(KIND, &item.name, item.version).await;
        if let Update::Refused(_) | Update::Unknown(_) = update {
            return;
        }
    }
}

/// The sheets written after revision `after`, ending with the current one.
///
/// Without a full history, the changes in between count as those of the
/// versions that are still known.
pub(crate) async fn sheets(client: &Client, after: u64, current: &Current) -> Vec<Version> {
    let writes = settle::history(client, after, current.sheet_version()).await;
    let writes: Vec<config::Object> = writes.into_iter().map(platform::object).collect();
    let part = |name: &str| {
        let written = writes.iter().find(|object| &*object.name == name);
        let object = written.or_else(|| current.get(name))?;
        Some(&*object.value)
    };
    let mut sheets = Vec::new();
    for write in &writes {
        let version = write.version.into();
        if &*write.name != SHEET_OBJECT || version >= current.sheet_version() {
            continue;
        }
        let stored = serde_json::from_str::<StoredSheet>(&write.value);
        let Some(Ok(sheet)) = stored.ok().map(|stored| stored.resolve(part)) else {
            continue;
        };
        sheets.push(Version { version, sheet });
    }
    sheets.push(Version {
        version: current.sheet_version(),
        sheet: current.snapshot.sheet.clone(),
    });
    sheets
}
