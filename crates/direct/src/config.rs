//! The routing configuration: routes, services, API keys and limits.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::group::capacity::Step;
use serde::{Deserialize, Serialize};

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version, higher in each later configuration.
    pub version: u64,
    /// Sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// API keys of client accounts, sorted by key; `None` if requests need
    /// none.
    pub keys: Option<Vec<ApiKey>>,
    /// Limits on client requests.
    pub limits: Limits,
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in lower case, without a port.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that share the requests; at least one.
    pub targets: Vec<Target>,
    /// Kind of the requests, which tells whether they may be retried.
    pub kind: RequestKind,
    /// Timeout until the end of the answer.
    pub timeout: Duration,
    /// Target for the time to the first byte.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// Target for the pause between two events of a stream.
    #[serde(rename = "pause_aim")]
    pub pause_target: Option<Duration>,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Priority among routes, 0 is the highest.
    pub priority: u32,
    /// Whether requests without an API key are served.
    pub anonymous: bool,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Kind of request, which tells whether it may be sent to a server again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    #[serde(rename = "once")]
    AtMostOnce,
    /// An event stream that may run once at most.
    Stream,
    /// An event stream that another server can continue.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether the request may be sent again after a server may have
    /// run it.
    pub fn repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }
}

/// A set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests per second that a server in cold start can take; 0 for no
    /// limit.
    pub cold_rate: f64,
    /// Whether the servers are ranks of lock-step groups, in which concurrent
    /// requests slow each other down.
    pub grouped: bool,
    /// Time of a step of each rank, if it is known.
    #[serde(default)]
    pub step: Option<Step>,
}

/// An API key of a client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ApiKey {
    /// The secret that the client sends.
    pub key: Arc<str>,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Priority that overrides the route's, unless the routes of a service have
    /// different ones: it then orders requests of one route priority.
    pub priority: Option<u32>,
}

/// Limits on the size and the timing of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Timeout until a head is complete.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // In force until the first configuration is known.
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Sorts the lists for binary search.
    pub fn sorted(mut self) -> Self {
        let place = |route: &Route| (route.host.clone(), route.prefix.clone());
        self.routes.sort_by_key(place);
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(keys) = &mut self.keys {
            keys.sort();
        }
        self
    }

    /// Returns the route with the longest prefix of `path`.
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

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns the shortest latency target of the routes that lead to a service, `None`
    /// unless these have different priorities.
    pub fn shared_target(&self, service: &str) -> Option<Duration> {
        let leads = |target: &Target| target.weight > 0 && *target.service == *service;
        let routes = self.routes.iter();
        let routes = routes.filter(|route| route.targets.iter().any(leads));
        let mut priorities = routes.clone().map(|route| route.priority);
        let first = priorities.next()?;
        let differ = priorities.any(|priority| priority != first);
        let shortest = routes.map(|route| route.latency_target).min();
        shortest.filter(|_| differ)
    }

    /// Returns the API key `key` with its client account.
    pub fn api_key(&self, key: &str) -> Option<&ApiKey> {
        let keys = self.keys.as_deref()?;
        let found = keys.binary_search_by(|known| (*known.key).cmp(key));
        found.ok().map(|index| &keys[index])
    }
}

impl Route {
    /// Returns a target by weight, for a uniformly random `draw`.
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
