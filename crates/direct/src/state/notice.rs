//! What servers say of themselves in answers: rate limits, pauses and that they leave.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::pause;
use berylgw_wire::direct as wire;

use super::{ServerKey, ServerState, ServiceKey, State};
use crate::backend::Server;

/// Servers that one datagram names as leaving, the last ones that were heard.
const MAX_LEAVING_REPORTED: usize = 128;

/// Processes of servers that left of which repeated reports are skipped.
const MAX_LEFT_PROCESSES: usize = 4_096;

/// Time after which a server that leaves is named in periodic datagrams only.
const LEAVING_NEWS: Duration = Duration::from_secs(1);

/// Time for which other entries are told that a server no longer names a rate
/// limit.
const RATE_LIMIT_END_REPORTED: Duration = Duration::from_secs(5);

/// A number in a header of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// The answer does not have the header.
    Absent,
    /// The header has a finite number.
    Number(f64),
    /// The header has something else.
    Unreadable,
}

/// What an answer says of its server beside the request.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// Whether the server leaves.
    pub leaving: bool,
    /// Requests per second that it takes from all entries.
    pub rate_limit: Value,
    /// Seconds for which it wants no request from this entry.
    pub pause: Value,
}

/// Whether a service can take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// A server takes requests.
    Ready,
    /// All servers have asked this entry for a pause; the shortest rest of one.
    Pausing(Duration),
    /// No server may get new requests.
    NoServer,
}

impl State {
    /// Records what an answer of a server says of the server; returns the subjects of
    /// which something changed, for the metrics.
    pub fn record_notice(
        &mut self,
        now: Instant,
        key: ServerKey,
        notice: Notice,
    ) -> Vec<&'static str> {
        let mut changed = Vec::new();
        if self.record_rate_limit(now, key, notice.rate_limit) {
            changed.push("limit");
        }
        if self.extend_pause(now, key, notice.pause) {
            changed.push("pause");
        }
        if notice.leaving && self.mark_leaving(key, "answer", Duration::ZERO) {
            changed.push("leaving");
        }
        if let Some(server) = &mut self.servers[key.0]
            && notice.leaving
        {
            server.leaving_heard.get_or_insert(now);
        }
        changed
    }

    fn record_rate_limit(&mut self, now: Instant, key: ServerKey, value: Value) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        let per_second = match value {
            Value::Absent => None,
            Value::Number(number) if number >= 0.0 => Some(number),
            Value::Number(_) | Value::Unreadable => {
                let in_force = server.rate_limit.per_second(now);
                let server = &server.listed.id;
                tracing::warn!(%server, ?value, in_force, "rate limit ignored: not a rate");
                return false;
            }
        };
        if per_second.is_none() && server.rate_limit.per_second(now).is_none() {
            return false;
        }
        server.rate_limit_heard = Some(now);
        let changed = server.rate_limit.hear(now, per_second);
        if changed {
            let server = &server.listed.id;
            tracing::info!(%server, per_second, source = "answer", "rate limit changed");
        }
        changed
    }

    fn extend_pause(&mut self, now: Instant, key: ServerKey, value: Value) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        let seconds = match value {
            Value::Absent => return false,
            Value::Number(seconds) => seconds,
            Value::Unreadable => f64::NAN,
        };
        let change = server.pause.extend(now, seconds);
        let left_ms = server.pause.left(now).map(|left| left.as_millis() as u64);
        let server = &server.listed.id;
        match change {
            pause::Change::Extended => tracing::info!(%server, seconds, "server pauses"),
            pause::Change::None => {}
            pause::Change::Implausible => {
                tracing::warn!(%server, ?value, left_ms, "pause ignored: implausible")
            }
        }
        change == pause::Change::Extended
    }

    /// Marks a server as leaving; returns whether it was not before.
    fn mark_leaving(&mut self, key: ServerKey, source: &str, age: Duration) -> bool {
        let Some(server) = &mut self.servers[key.0] else {
            return false;
        };
        if std::mem::replace(&mut server.leaving, true) {
            return false;
        }
        let Server {
            id, born, draining, ..
        } = &*server.listed;
        let (in_flight, age_ms) = (server.in_flight, age.as_millis() as u64);
        tracing::info!(server = %id, source, age_ms, draining, in_flight, "server leaves");
        self.left.record(id.clone(), *born);
        if self.left_processes.len() >= MAX_LEFT_PROCESSES {
            self.left_processes.clear();
        }
        if let (Some(_), Err(at)) = (born, self.left_processes.binary_search(&server.process)) {
            self.left_processes.insert(at, server.process);
        }
        self.update_ceilings();
        true
    }

    /// Applies what another entry has heard of servers that leave; returns how many
    /// were not known to.
    pub fn merge_leaving(&mut self, processes: &[u32]) -> u64 {
        let mut marked = 0;
        for process in processes {
            if self.left_processes.binary_search(process).is_ok() {
                continue;
            }
            let of_process = |server: &Option<ServerState>| {
                server
                    .as_ref()
                    .is_some_and(|server| server.process == *process)
            };
            let Some(index) = self.servers.iter().position(of_process) else {
                continue;
            };
            marked += u64::from(self.mark_leaving(ServerKey(index), "peer", Duration::ZERO));
        }
        marked
    }

    /// Returns the servers that have told this entry that they leave, for the
    /// datagrams to other entries: all in periodic ones, else those that they may not
    /// know.
    pub fn leaving_report(&self, now: Instant, periodic: bool) -> Vec<u32> {
        let servers = self.servers.iter().flatten();
        let mut leaving: Vec<(Duration, u32)> = servers
            .filter_map(|server| Some((now.since(server.leaving_heard?), server.process)))
            .filter(|(age, _)| periodic || *age < LEAVING_NEWS)
            .collect();
        leaving.sort_unstable();
        leaving.truncate(MAX_LEAVING_REPORTED);
        leaving.into_iter().map(|(_, process)| process).collect()
    }

    /// Returns whether a request that was assigned to a server may still be sent.
    pub fn may_send(&self, now: Instant, key: ServerKey) -> bool {
        let server = self.servers[key.0].as_ref();
        server.is_some_and(|server| !server.leaving && server.pause.left(now).is_none())
    }

    /// Returns whether a service can take requests.
    pub fn readiness(&self, now: Instant, service: ServiceKey) -> Readiness {
        let name = &self.pools[service.0].name;
        let servers = self.servers.iter().flatten();
        let servers =
            servers.filter(|server| server.accepts_requests() && server.listed.service == *name);
        let mut shortest: Option<Duration> = None;
        for server in servers {
            let Some(left) = server.pause.left(now) else {
                return Readiness::Ready;
            };
            shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
        }
        match shortest {
            Some(left) => Readiness::Pausing(left),
            None => Readiness::NoServer,
        }
    }

    /// Applies the rate limits that another entry has heard.
    pub fn merge_rate_limits(&mut self, now: Instant, limits: &[wire::RateLimit]) {
        for heard in limits {
            let of_process = |server: &&mut ServerState| server.process == heard.process;
            let Some(server) = self.servers.iter_mut().flatten().find(of_process) else {
                continue;
            };
            let age = Duration::from_millis(heard.age_ms.into());
            let at = Instant::ORIGIN + now.since(Instant::ORIGIN).saturating_sub(age);
            if server.rate_limit.hear(at, heard.per_second) {
                let (server, per_second) = (&server.listed.id, heard.per_second);
                tracing::info!(%server, per_second, source = "peer", "rate limit changed");
            }
        }
    }

    /// Returns the rate limits that servers have named to this entry, for the
    /// datagrams to other entries.
    pub fn rate_limit_report(&self, now: Instant) -> Vec<wire::RateLimit> {
        let mut limits = Vec::new();
        for server in self.servers.iter().flatten() {
            let Some(heard) = server.rate_limit_heard else {
                continue;
            };
            let per_second = server.rate_limit.per_second(now);
            let age = now.since(heard);
            if per_second.is_none() && age >= RATE_LIMIT_END_REPORTED {
                continue;
            }
            limits.push(wire::RateLimit {
                process: server.process,
                age_ms: age.as_millis() as u32,
                per_second,
            });
        }
        limits
    }
}
