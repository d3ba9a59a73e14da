//! Versioned configuration objects and the snapshot that they resolve to.

mod part;
pub mod spread;

use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::{backend, client, failure, host, service};

pub use part::{PART_PREFIX, Part, PartIndex, SPLIT_THRESHOLD_BYTES, StoredSheet, split};

/// Name of the object that holds the accepted sheet.
pub const SHEET_OBJECT: &str = "sheet";

/// Prefix of the objects that hold failure domain states.
pub const DOMAIN_PREFIX: &str = "domain.";

/// A platform revision: that of an object's write, or the one up to which a
/// [`View`] is complete.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

/// One object of the platform kind `config`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// Name within the kind.
    pub name: Arc<str>,
    /// Platform revision of the write.
    pub version: Version,
    /// JSON value.
    pub value: Arc<str>,
}

/// The content of an accepted sheet, each list sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Random number chosen by the writer, which reads it back to learn whether
    /// a write with a lost answer took effect.
    pub nonce: u64,
    /// Failure domains.
    pub domains: Vec<failure::Domain>,
    /// Entry hosts.
    pub entries: Vec<host::Entry>,
    /// Services.
    pub services: Vec<service::Service>,
    /// Backend servers.
    pub servers: Vec<backend::Server>,
    /// Client accounts.
    pub accounts: Vec<client::Account>,
    /// Grants, sorted by account and service.
    pub grants: Vec<client::Grant>,
}

/// All configuration objects that a process has received, sorted by name.
///
/// A view is monotonic: merging keeps the newest version of each object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    version: Version,
    objects: Vec<Object>,
}

impl View {
    /// Makes an empty view at version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which the view is complete.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the object with this name.
    pub fn get(&self, name: &str) -> Option<&Object> {
        let index = self
            .objects
            .binary_search_by(|object| (*object.name).cmp(name))
            .ok()?;
        Some(&self.objects[index])
    }

    /// Returns all objects, sorted by name.
    pub fn objects(&self) -> &[Object] {
        &self.objects
    }

    /// Returns the objects written after `since`.
    pub fn newer_than(&self, since: Version) -> Vec<Object> {
        self.objects
            .iter()
            .filter(|object| object.version > since)
            .cloned()
            .collect()
    }

    /// Merges a complete delta that starts at `since` and ends at `version`.
    ///
    /// Returns whether the view advanced. A delta that starts after the view's
    /// version would leave a gap and is ignored.
    pub fn merge(&mut self, since: Version, version: Version, delta: &[Object]) -> bool {
        if since > self.version || version <= self.version {
            return false;
        }
        for object in delta {
            self.insert_if_newer(object);
        }
        self.version = version;
        if self.objects.iter().any(is_part) {
            self.prune();
        }
        true
    }

    /// Removes the parts that only older sheets reference.
    ///
    /// A part newer than the sheet object may belong to the next sheet and is
    /// kept. A writer rewrites every part that the current sheet does not
    /// reference, so a part removed here arrives again, with a new version,
    /// before a later sheet references it.
    fn prune(&mut self) {
        let Some(sheet) = self.get(SHEET_OBJECT) else {
            return;
        };
        let version = sheet.version;
        let Ok(stored) = parse::<StoredSheet>(sheet) else {
            return;
        };
        self.objects.retain(|object| {
            !is_part(object) || object.version > version || stored.references(&object.name)
        });
    }

    fn insert_if_newer(&mut self, object: &Object) {
        match self
            .objects
            .binary_search_by(|known| known.name.cmp(&object.name))
        {
            Ok(index) if self.objects[index].version < object.version => {
                self.objects[index] = object.clone();
            }
            Ok(_) => {}
            Err(index) => self.objects.insert(index, object.clone()),
        }
    }

    /// Resolves the objects into a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the value of an object is not JSON of the type that
    /// its name implies, or if a part of the sheet is missing.
    pub fn snapshot(&self) -> Result<Snapshot> {
        let sheet = match self.get(SHEET_OBJECT) {
            Some(object) => parse::<StoredSheet>(object)?
                .resolve(|part| self.get(part).map(|object| &*object.value))?,
            None => Sheet::default(),
        };
        let mut domains_out = Vec::new();
        for object in &self.objects {
            let Some(name) = object.name.strip_prefix(DOMAIN_PREFIX) else {
                continue;
            };
            if parse::<failure::Transition>(object)?.state == failure::State::Out {
                domains_out.push(name.into());
            }
        }
        Ok(Snapshot {
            version: self.version,
            tokens: client::Tokens::new(&sheet.accounts),
            sheet,
            domains_out,
        })
    }
}

fn is_part(object: &Object) -> bool {
    object.name.starts_with(PART_PREFIX)
}

fn parse<T: serde::de::DeserializeOwned>(object: &Object) -> Result<T> {
    serde_json::from_str(&object.value).map_err(|error| {
        Error::new(
            Kind::Parse,
            format!("config/{}", object.name),
            error.to_string(),
        )
    })
}

/// The resolved configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Version of the view that it was resolved from.
    pub version: Version,
    /// The accepted sheet.
    pub sheet: Sheet,
    /// Index of the sheet's accounts by token digest.
    pub tokens: client::Tokens,
    /// Names of failure domains out of service, sorted.
    pub domains_out: Vec<Arc<str>>,
}

impl Snapshot {
    /// Returns whether the failure domain is out of service.
    pub fn is_domain_out(&self, domain: &str) -> bool {
        self.domains_out
            .binary_search_by(|name| (**name).cmp(domain))
            .is_ok()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        find(&self.sheet.services, name, |service| &service.name)
    }

    /// Returns the backend server with this name.
    pub fn server(&self, name: &str) -> Option<&backend::Server> {
        find(&self.sheet.servers, name, |server| &server.name)
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &str) -> Option<&client::Account> {
        find(&self.sheet.accounts, name, |account| &account.name)
    }

    /// Returns the client account whose token has this digest.
    pub fn authenticate(&self, digest: &str) -> Option<&client::Account> {
        self.tokens.find(&self.sheet.accounts, digest)
    }

    /// Returns whether the client account may use the service.
    pub fn is_granted(&self, account: &str, service: &str) -> bool {
        let key = (account, service);
        self.sheet
            .grants
            .binary_search_by(|grant| (&*grant.account, &*grant.service).cmp(&key))
            .is_ok()
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &Arc<str>) -> Option<&'a T> {
    let index = sorted
        .binary_search_by(|item| (**key(item)).cmp(name))
        .ok()?;
    Some(&sorted[index])
}
