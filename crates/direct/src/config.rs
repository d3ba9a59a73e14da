//! The configuration that entries act on.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A whole configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each configuration.
    pub version: u64,
    /// Sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Keys of client accounts, sorted by key; `None` if no key is asked for.
    pub keys: Option<Vec<Key>>,
    /// What a client may send.
    pub limits: Limits,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in lower case, without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that share the requests; at least one.
    pub targets: Vec<Target>,
    /// What may be sent again.
    pub kind: Kind,
    /// Longest time until the end of the answer.
    pub timeout: Duration,
    /// Time until the first byte within which an answer is on time.
    pub aim: Duration,
    /// Longest pause between events of an answer that is on time.
    pub pause_aim: Option<Duration>,
    /// Backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank among routes, 0 is the highest.
    pub priority: u32,
    /// Whether requests without a key are served.
    pub anonymous: bool,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part relative to the other targets.
    pub weight: u32,
}

/// What may be sent to a backend server again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    Once,
    /// An event stream that may run once at most.
    Stream,
    /// An event stream that may be continued by another server.
    ResumableStream,
}

impl Kind {
    /// Whether the request may be sent again after it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }
}

/// Backend servers of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests a second that a server in cold start bears; 0 if not limited.
    pub cold_rate: f64,
    /// Whether the servers are ranks whose requests slow each other down.
    pub grouped: bool,
}

/// An API key of a client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The secret that the client sends.
    pub key: Arc<str>,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time until a head is complete.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // Used until the first configuration is known.
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Puts the lists in the order that lookups need.
    pub fn sorted(mut self) -> Self {
        let place = |route: &Route| (route.host.clone(), route.prefix.clone());
        self.routes.sort_by_key(place);
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(keys) = &mut self.keys {
            keys.sort();
        }
        self
    }

    /// The route with the longest prefix of `path`.
    ///
    /// `host` is the value of the Host header.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let slashes = path.match_indices('/').map(|(index, _)| index);
        let prefixes = slashes.map(|index| &path[..=index]);
        for prefix in prefixes.collect::<Vec<_>>().into_iter().rev() {
            let place = (&*host, prefix);
            let found = self
                .routes
                .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&place));
            if let Ok(index) = found {
                return Some(&self.routes[index]);
            }
        }
        None
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The client account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Key> {
        let keys = self.keys.as_deref()?;
        let found = keys.binary_search_by(|known| (*known.key).cmp(key));
        found.ok().map(|index| &keys[index])
    }
}

impl Route {
    /// The target for a number drawn below the total weight.
    pub fn target(&self, draw: u32) -> Option<&Target> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw % total.max(1);
        for target in &self.targets {
            if left < target.weight {
                return Some(target);
            }
            left -= target.weight;
        }
        self.targets.first()
    }
}
