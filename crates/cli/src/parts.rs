//! Sheets that are too large for one object and are stored in parts.

use berylgw_core::config::{self, PART_PREFIX, Part, SHEET_OBJECT, Sheet, StoredSheet};
use berylgw_platform::{Client, Error, Update};

use crate::platform::{self, CONFIG_KIND, Current};
use crate::settle;

/// Highest number of attempts to write one part.
const ATTEMPT_LIMIT: u32 = 5;

/// Number of parts that are kept although the sheet in force does not reference
/// them. After a conflict, `apply` reads them to show what the other writes
/// changed.
const UNREFERENCED_PART_LIMIT: usize = 64;

/// Sheet that is or was in force, with its version.
pub(crate) struct VersionedSheet {
    pub(crate) version: u64,
    pub(crate) sheet: Sheet,
}

/// Writes the parts of a large sheet and returns the value of the sheet object.
///
/// Parts that the sheet in force does not reference are written again even if
/// they exist: views drop such parts, and receive them again only at a new
/// version.
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
        if !current.references(&part.name) {
            write(client, current.version_of(&part.name), part).await?;
        }
    }
    Ok(StoredSheet::Split(index))
}

/// Writes a part at a new version. The name of a part determines its content, so
/// a write by another command since `expected` was read has the same effect.
async fn write(client: &Client, expected: u64, part: &Part) -> Result<(), Error> {
    let mut expected = expected;
    for attempt in 1.. {
        let error = match client
            .put(CONFIG_KIND, &part.name, expected, &part.content)
            .await
        {
            Update::Applied(_) => return Ok(()),
            // The part was deleted after this command read it.
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

/// Deletes the parts that the sheet in force does not reference and that are not
/// newer than it, except the newest `UNREFERENCED_PART_LIMIT`.
///
/// After a failure the remaining parts are left for the next command. A part that
/// another writer has written again has a new version, so its conditional
/// deletion fails and it stays.
pub(crate) async fn prune(client: &Client) {
    let Ok(list) = client.list(CONFIG_KIND).await else {
        return;
    };
    let sheet = list.items.iter().find(|item| &*item.name == SHEET_OBJECT);
    let Some(sheet) = sheet else {
        return;
    };
    let Ok(stored) = serde_json::from_str::<StoredSheet>(sheet.value.get()) else {
        return;
    };
    let mut unreferenced = Vec::new();
    for item in &list.items {
        let kept = item.version > sheet.version || stored.references(&item.name);
        if item.name.starts_with(PART_PREFIX) && !kept {
            unreferenced.push(item);
        }
    }
    unreferenced.sort_by_key(|item| item.version);
    let excess = unreferenced.len().saturating_sub(UNREFERENCED_PART_LIMIT);
    for item in &unreferenced[..excess] {
        let update = client.delete(CONFIG_KIND, &item.name, item.version).await;
        if let Update::Refused(_) | Update::Unknown(_) = update {
            return;
        }
    }
}

/// Returns the sheets written after revision `after`, ending with the current
/// one.
///
/// If the platform no longer has every write, a missing version is skipped and
/// its changes appear as those of the next known version.
pub(crate) async fn sheets_since(
    client: &Client,
    after: u64,
    current: &Current,
) -> Vec<VersionedSheet> {
    let writes = settle::history(client, after, current.sheet_version()).await;
    let writes: Vec<config::Object> = writes.into_iter().map(platform::config_object).collect();
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
        sheets.push(VersionedSheet { version, sheet });
    }
    sheets.push(VersionedSheet {
        version: current.sheet_version(),
        sheet: current.snapshot.sheet.clone(),
    });
    sheets
}
