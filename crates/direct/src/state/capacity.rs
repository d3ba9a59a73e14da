//! Capacity of servers that are slower than the others.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::capacity::{self, Rejected, Report, Slowdown, Source, Total};
use berylgw_wire::{direct, rank};

use super::{ServerKey, ServerState, State};
use crate::backend;
use crate::config::Route;
use crate::metrics::{MAX_SERVER_LABELS, Metrics};
use crate::settings::Capacity;

/// Time for which a changed pace is in every datagram to other entries. Periodic ones
/// have all paces.
const PACE_NEWS: Duration = Duration::from_millis(500);

/// Largest number of paces in a datagram, the slowest first, so that it fits the
/// receive buffer of the other entries. It is several times what an entry hears in a
/// deployment of the design size.
const MAX_PACES_REPORTED: usize = 200;

/// Mean time between two requests of all entries together to a slow server that its share
/// of the load would leave without any.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the first response of a new server in which its responses do not count.
const COLD_START: Duration = Duration::from_secs(10);

/// Largest number of servers whose response times are in a datagram.
const MAX_RESPONSES_REPORTED: usize = 400;

/// Ratio of two paces from which a change is logged.
const LOGGED_CHANGE: f64 = 1.25;

/// Shortest time between two log lines about the capacity of one server.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl ServerState {
    /// Returns the slowdown that counts for the choice of a server at `now`: none if the
    /// server is due for a probe request.
    pub(super) fn slowdown_now(&self, now: Instant) -> Slowdown {
        match self.response_factor > 1.0 && self.probe_at <= now {
            true => Slowdown::default(),
            false => self.slowdown,
        }
    }
}

impl State {
    /// Records the pace that a rank has reported to this entry, received at the uptime
    /// `now`.
    ///
    /// # Errors
    ///
    /// Fails if the report is invalid or a newer one is known.
    pub fn record_pace(&mut self, now: Instant, pace: &rank::Pace) -> Result<(), Rejected> {
        let Ok(address) = pace.rank.parse::<SocketAddr>() else {
            self.log_invalid(now, &pace.rank, pace.pace, pace.size);
            return Err(Rejected::Invalid);
        };
        let report = Report {
            rank: backend::digest(&address.to_string()),
            group: pace.group,
            epoch: pace.epoch,
            size: pace.size,
            pace: pace.pace.into(),
            read: Instant::from_micros(pace.read_us),
        };
        let age = Duration::from_millis(pace.age_ms.into());
        let recorded = self.paces.record(now, report, age, Source::Rank);
        if recorded == Err(Rejected::Invalid) {
            self.log_invalid(now, &pace.rank, pace.pace, pace.size);
        }
        recorded
    }

    /// Logs an invalid report, at most one in [`LOG_INTERVAL`].
    fn log_invalid(&mut self, now: Instant, rank: &str, pace: f32, size: u32) {
        let last = self.invalid_pace_logged;
        if last.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.invalid_pace_logged = Some(now);
        tracing::warn!(rank, pace, size, "report of a pace is invalid");
    }

    /// Records the pace that a rank has reported to another entry. It was received at the
    /// uptime `now` and would have come at `came` without delay.
    ///
    /// # Errors
    ///
    /// Fails if the report is invalid or a newer one is known.
    pub fn merge_pace(
        &mut self,
        now: Instant,
        came: Instant,
        pace: &direct::Pace,
    ) -> Result<(), Rejected> {
        let report = Report {
            rank: pace.rank,
            group: pace.group,
            epoch: pace.epoch,
            size: pace.size,
            pace: pace.pace.into(),
            read: Instant::from_micros(pace.read_us),
        };
        let age = now.since(came) + Duration::from_millis(pace.age_ms.into());
        self.paces.record(now, report, age, Source::Entry)
    }

    /// Returns the paces that ranks have reported to this entry, for the datagrams to
    /// other entries: all in periodic ones, else those that they may not know.
    pub fn pace_report(&self, now: Instant, periodic: bool) -> Vec<direct::Pace> {
        let within = (!periodic).then_some(PACE_NEWS);
        let mut reports = self.paces.direct(now, within);
        reports.truncate(MAX_PACES_REPORTED);
        let pace = |(report, age): (Report, Duration)| direct::Pace {
            rank: report.rank,
            group: report.group,
            epoch: report.epoch,
            size: report.size,
            pace: report.pace as f32,
            read_us: report.read.as_micros(),
            age_ms: age.as_millis() as u32,
        };
        reports.into_iter().map(pace).collect()
    }

    /// Derives the capacity of the servers from the reports that are valid at the uptime
    /// `now`.
    pub fn evaluate_capacity(&mut self, now: Instant) {
        if self.paces.evaluate(now) {
            self.update_slowdowns();
            self.update_groups(now);
            self.update_delays();
        }
    }

    /// Updates how much slower each server is than the others.
    pub(super) fn update_slowdowns(&mut self) {
        let view = self.view.clone();
        let fixed = self.settings.group.capacity == Capacity::Fixed;
        for server in self.servers.iter_mut().flatten() {
            let ratio = self.paces.ratio(server.address_digest);
            server.slowdown = Slowdown::default();
            if fixed {
                continue;
            }
            server.slowdown.factor = server.response_factor;
            if ratio <= 1.0 {
                continue;
            }
            let service = view.configuration.value.service(&server.listed.service);
            let step = service.and_then(|service| service.step);
            let pool = self
                .pools
                .iter()
                .find(|pool| pool.name == server.listed.service);
            if let (Some(step), Some(pool)) = (step, pool) {
                let key = pool.key_of(server);
                let mut groups = pool.groups.iter();
                let limit = groups.find(|group| group.key == key);
                let pace = self.paces.pace(server.address_digest);
                let shortest = step.shortest_pass(pace);
                if limit.is_some_and(|group| group.limit.disproves(shortest)) {
                    continue;
                }
            }
            server.slowdown = Slowdown::of_pace(ratio, step);
        }
    }

    /// Records the time that a plain server took for a request of a route, and the requests
    /// that were in flight there as it was sent.
    pub fn record_time(
        &mut self,
        now: Instant,
        key: ServerKey,
        route: &Route,
        in_flight: u32,
        time: Duration,
    ) {
        let Some(server) = &mut self.servers[key.0] else {
            return;
        };
        let service = &server.listed.service;
        let configuration = &self.view.configuration.value;
        if configuration
            .service(service)
            .is_none_or(|service| service.grouped)
        {
            return;
        }
        let first = *server.first_response.get_or_insert(now);
        if server.is_new && now.since(first) < COLD_START {
            return;
        }
        let route = backend::digest(&format!("{} {}", route.host, route.prefix));
        let ratio = self
            .usual_times
            .ratio(route, in_flight, server.listed.slots, time);
        if let Some(ratio) = ratio {
            self.responses.record(now, server.process, ratio);
        }
    }

    /// Returns the requests in flight at a server from all entries.
    pub fn load(&self, key: ServerKey) -> u32 {
        let server = self.servers[key.0].as_ref();
        server.map_or(0, |server| {
            server.in_flight + self.peers.in_flight(server.digest)
        })
    }

    /// Returns the response times that this entry has observed, for the datagrams to other
    /// entries; those of the servers with most responses if there are too many.
    pub fn response_report(&mut self, now: Instant) -> Vec<direct::Response> {
        let mut totals = self.responses.totals(now);
        totals.sort_by_key(|total| std::cmp::Reverse(total.samples));
        totals.truncate(MAX_RESPONSES_REPORTED);
        let response = |total: Total| direct::Response {
            process: total.process,
            samples: total.samples,
            ratio_sum: total.ratio_sum as f32,
        };
        totals.into_iter().map(response).collect()
    }

    /// Compares the response times of the plain servers of each service.
    pub fn evaluate_responses(&mut self, now: Instant) {
        let mut totals = self.responses.totals(now);
        totals.extend(self.peers.responses(now));
        let totals = capacity::sum(totals);
        let mut changed = false;
        for index in 0..self.pools.len() {
            let service = self.pools[index].name.clone();
            let mut keys = Vec::new();
            let mut servers = Vec::new();
            for (key, server) in self.servers.iter().enumerate() {
                let Some(server) = server else { continue };
                if server.listed.service != service || !server.accepts_requests() {
                    continue;
                }
                let found = totals.binary_search_by_key(&server.process, |total| total.process);
                let total = found.map_or_else(|_| Total::default(), |at| totals[at]);
                keys.push(key);
                servers.push((total, server.response_factor));
            }
            for (key, factor) in keys.into_iter().zip(capacity::factors(&servers)) {
                if let Some(server) = &mut self.servers[key] {
                    changed |= server.response_factor != factor;
                    server.response_factor = factor;
                }
            }
        }
        // Pauses may have disproved a report meanwhile.
        let disproved = self.pools.iter().flat_map(|pool| &pool.groups);
        let disproved = disproved
            .filter(|group| group.limit.has_disproved())
            .count();
        if changed || disproved > 0 {
            self.update_slowdowns();
        }
    }

    /// Logs the capacity of servers whose pace has changed much.
    pub fn log_capacity(&mut self, now: Instant) {
        for index in 0..self.servers.len() {
            let Some(server) = &self.servers[index] else {
                continue;
            };
            let ratio = server.slowdown.factor;
            let (logged, at) = server.logged.unwrap_or((1.0, Instant::ORIGIN));
            let change = (ratio / logged).max(logged / ratio);
            if change < LOGGED_CHANGE || now.since(at) < LOG_INTERVAL {
                continue;
            }
            let mean = self.mean_load(&server.listed.service);
            let slots = f64::from(server.listed.slots);
            let capacity = server.slowdown.capacity(mean, slots);
            let in_flight = server.in_flight + self.peers.in_flight(server.digest);
            let report = self.paces.report(now, server.address_digest);
            let pace = report.map(|(report, _)| report.pace);
            let epoch = report.map(|(report, _)| report.epoch);
            let age_ms = report.map(|(_, age)| age.as_millis() as u64);
            let (server, service) = (&server.listed.id, &server.listed.service);
            tracing::info!(
                %server, %service, capacity, slots, ratio, pace, epoch, age_ms, in_flight,
                mean_in_flight = mean, "capacity of a server changed"
            );
            if let Some(server) = &mut self.servers[index] {
                server.logged = Some((ratio, now));
            }
        }
    }

    /// Sets the gauges of the slow servers.
    pub fn export_capacities(&self, metrics: &Metrics) {
        let mut counts: Vec<(&str, i64)> = self.pools.iter().map(|pool| (&*pool.name, 0)).collect();
        let mut slow = Vec::new();
        for server in self.servers.iter().flatten() {
            if !server.accepts_requests() || server.slowdown.is_usual() {
                continue;
            }
            let service = &*server.listed.service;
            if let Some((_, count)) = counts.iter_mut().find(|(name, _)| *name == service) {
                *count += 1;
            }
            slow.push(server);
        }
        slow.sort_by(|a, b| b.slowdown.factor.total_cmp(&a.slowdown.factor));
        slow.truncate(MAX_SERVER_LABELS);
        let capacity = |server: &ServerState| {
            let mean = self.mean_load(&server.listed.service);
            server
                .slowdown
                .capacity(mean, f64::from(server.listed.slots))
        };
        let capacities = slow
            .iter()
            .map(|server| (capacity(server), &*server.listed.id));
        let capacities: Vec<(f64, &str)> = capacities.collect();
        metrics.export_capacities(&counts, &capacities);
    }

    /// Returns the mean number of requests in flight at the usual servers of a service.
    fn mean_load(&self, service: &str) -> f64 {
        let servers = self.servers.iter().flatten();
        let usual = servers.filter(|server| {
            server.accepts_requests()
                && *server.listed.service == *service
                && server.slowdown.is_usual()
        });
        let (mut in_flight, mut count) = (0, 0);
        for server in usual {
            in_flight += server.in_flight + self.peers.in_flight(server.digest);
            count += 1;
        }
        f64::from(in_flight) / f64::from(count.max(1))
    }
}
