//! Access to sheet files and to the configuration in the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use berylgw_core::config::{self, Sheet, StoredSheet, View};
use berylgw_core::sheet::{self, Finding};
use berylgw_platform::{Client, Error, Kind};
use serde::Serialize;

use crate::code::Code;
use crate::command::Common;
use crate::report::Report;

/// Environment variable with the address of the platform.
pub const PLATFORM_VARIABLE: &str = "BERYLGW_PLATFORM";

/// Kind of all configuration objects in the platform.
pub(crate) const CONFIG_KIND: &str = "config";

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration in force.
pub(crate) struct Current {
    /// All configuration objects, including those that a view drops.
    pub(crate) objects: Vec<config::Object>,
    pub(crate) snapshot: config::Snapshot,
}

impl Current {
    /// Returns the object with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&config::Object> {
        self.objects.iter().find(|object| *object.name == *name)
    }

    /// Returns the version of an object, 0 if it does not exist.
    pub(crate) fn version_of(&self, name: &str) -> u64 {
        self.get(name).map_or(0, |object| object.version.into())
    }

    /// Returns whether the accepted sheet references this part.
    pub(crate) fn references(&self, part: &str) -> bool {
        let sheet = self.get(config::SHEET_OBJECT);
        let stored = sheet.and_then(|sheet| serde_json::from_str::<StoredSheet>(&sheet.value).ok());
        stored.is_some_and(|stored| stored.references(part))
    }

    /// Returns the version of the accepted sheet, 0 if there is none.
    pub(crate) fn sheet_version(&self) -> u64 {
        self.version_of(config::SHEET_OBJECT)
    }
}

/// Creates a client for the platform address in the options.
pub(crate) fn client(common: &Common) -> Result<Client, Report> {
    let given = common.platform.as_ref();
    let Some(address) = given.filter(|address| !address.is_empty()) else {
        let message = format!(
            "error: no platform address; give --platform IP:PORT or set {PLATFORM_VARIABLE}"
        );
        return Err(Report::message(Code::Usage, message));
    };
    let address: SocketAddr = address.parse().map_err(|_| {
        let message = format!(
            "error: platform address {address:?} is not IP:PORT, for example 10.0.0.5:7000"
        );
        Report::message(Code::Usage, message)
    })?;
    Ok(Client::new(address, CALL_TIMEOUT))
}

/// Reads the configuration in force.
pub(crate) async fn read(client: &Client) -> Result<Current, Report> {
    let list = client
        .list(CONFIG_KIND)
        .await
        .map_err(|error| unavailable(&error))?;
    let objects: Vec<config::Object> = list.items.into_iter().map(config_object).collect();
    let mut view = View::new();
    view.merge(0.into(), list.revision.into(), &objects);
    let snapshot = view.snapshot().map_err(|error| {
        let message = format!(
            "error: the platform holds configuration that this version of berylgw cannot read: \
             {error}; use the version that wrote it, nothing was written"
        );
        Report::message(Code::Refused, message)
    })?;
    Ok(Current { objects, snapshot })
}

/// Converts an object of the platform to the form that views use.
pub(crate) fn config_object(object: berylgw_platform::Object) -> config::Object {
    config::Object {
        name: object.name,
        version: object.version.into(),
        value: object.value.get().into(),
    }
}

/// Reports that a call to the platform failed and nothing was written.
pub(crate) fn unavailable(error: &Error) -> Report {
    let advice = match error.kind() {
        Kind::RateLimited => "it limits the rate of calls; try again later",
        Kind::Unavailable => {
            "it is in an outage; the configuration in force stays in force, try again later"
        }
        Kind::Unreachable => "check the address and the network, then try again",
        _ => "try again later",
    };
    let pause = error.retry_after().map_or(String::new(), |pause| {
        format!(" (it asks for {} s)", pause.as_secs_f64())
    });
    let message =
        format!("error: platform unavailable, nothing was written: {error}; {advice}{pause}");
    Report::message(Code::Unavailable, message)
}

#[derive(Serialize)]
struct Findings<'a> {
    findings: &'a [Finding],
}

/// Reads and checks a sheet file.
pub(crate) fn read_sheet(path: &Path) -> Result<Sheet, Report> {
    let bytes = std::fs::read(path).map_err(|error| {
        let message = format!("error: cannot read {}: {error}", path.display());
        Report::message(Code::Refused, message)
    })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let valid = error.utf8_error().valid_up_to();
        let row = 1 + error.as_bytes()[..valid]
            .iter()
            .filter(|&&b| b == b'\n')
            .count();
        let message = format!(
            "error: {} is not UTF-8, see row {row}; export it as CSV UTF-8",
            path.display()
        );
        Report::message(Code::Refused, message)
    })?;
    sheet::parse(&text).map_err(|findings| {
        let count = findings.len();
        let plural = if count == 1 { "" } else { "s" };
        let message = format!(
            "{}: {count} finding{plural}; correct them and run berylgw check again",
            path.display()
        );
        let lines = findings.iter().map(|finding| format!("  {finding}"));
        let detail = Findings {
            findings: &findings,
        };
        Report::new(Code::Refused, message, lines, &detail)
    })
}
