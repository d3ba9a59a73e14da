//! Server selection by the routing policies.

use rand::Rng;

use super::affinity::{mix, score};
use super::slot::Pool;
use super::{Policy, Request, ServerKey, Table};
use crate::clock::Instant;

/// Usable servers sampled from the failure domain and from the region.
const SAMPLES: usize = 2;

/// Random draws per sample, since some hit an unusable server.
const DRAWS_PER_SAMPLE: usize = 4;

/// Ratio of a server's load to the mean above which its prefixes go to the next
/// server.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Share of a server's limit that affinity may always use. With few requests in
/// flight the mean is below one, and a bound by the mean would scatter prefixes.
const AFFINITY_LIMIT_SHARE: f64 = 0.25;

/// Number of servers that compete for a prefix. Hashing all 2,600 servers of a
/// region took up to 15.7 µs per decision. The relative spread of the servers'
/// shares is one in the square root of this number.
const AFFINITY_CANDIDATES: usize = 64;

/// Cost added to a server in another failure domain, in units of relative load.
const REMOTE_DOMAIN_COST: f64 = 0.125;

impl Table {
    /// Selects a backend server, `None` if none is usable.
    pub fn pick(
        &self,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerKey> {
        let pool = self.pool(request.service)?;
        let near = match self.policy {
            Policy::Affinity => self.pick_by_affinity(pool, request, now, rng),
            Policy::Random => self.pick_random(pool, request, now, rng),
            Policy::RoundRobin => self.first_usable(pool, pool.round_robin, request, now),
            Policy::LeastInFlight => self.pick_least_in_flight(pool, request, now, rng),
        };
        // Another region is the last resort: its network delay exceeds the wait in
        // a queue.
        let remote = || self.sample(pool.remote.len(), |i| pool.remote[i], request, now, rng);
        near.or_else(remote)
    }

    fn pick_by_affinity(
        &self,
        pool: &Pool,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerKey> {
        if let Some(key) = self.pick_preferred(pool, request, now) {
            return Some(key);
        }
        let near = |index: usize| pool.regional[index].1;
        let local = self.sample(pool.local.len(), |i| pool.local[i], request, now, rng);
        let region = self.sample(pool.regional.len(), near, request, now, rng);
        let best = [local, region]
            .into_iter()
            .flatten()
            .min_by(|a, b| self.cost(*a, now).total_cmp(&self.cost(*b, now)));
        best.or_else(|| self.first_usable(pool, 0, request, now))
    }

    fn pick_random(
        &self,
        pool: &Pool,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerKey> {
        for _ in 0..SAMPLES * DRAWS_PER_SAMPLE {
            let index = rng.random_range(0..pool.regional.len().max(1));
            let (_, key) = *pool.regional.get(index)?;
            if self.usable(key, request.tried, now) {
                return Some(key);
            }
        }
        self.first_usable(pool, 0, request, now)
    }

    fn pick_least_in_flight(
        &self,
        pool: &Pool,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerKey> {
        let mut best: Option<(u32, u32, ServerKey)> = None;
        for &(_, key) in &pool.regional {
            if !self.usable(key, request.tried, now) {
                continue;
            }
            let Some(slot) = self.slot(key) else { continue };
            // Ties are broken by chance.
            let candidate = (slot.in_flight(now), rng.random::<u32>(), key);
            if best.is_none_or(|least| candidate < least) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Returns the first usable server of the region, in ring order from `start`.
    fn first_usable(
        &self,
        pool: &Pool,
        start: usize,
        request: Request<'_>,
        now: Instant,
    ) -> Option<ServerKey> {
        let count = pool.regional.len();
        let mut rotation = (0..count).map(|offset| pool.regional[(start + offset) % count].1);
        rotation.find(|key| self.usable(*key, request.tried, now))
    }

    /// Returns the usable server within its load bound that has the highest
    /// rendezvous hashing score among the candidates for the prefix.
    fn pick_preferred(&self, pool: &Pool, request: Request<'_>, now: Instant) -> Option<ServerKey> {
        let hash = request.affinity?;
        let mean = (pool.in_flight + 1) as f64 / pool.regional.len().max(1) as f64;
        let mut best = None;
        // Hash of the best server that has the maximum weight: no server with a
        // lower hash can have a higher score.
        let mut min_hash = 0;
        for &(server, key) in candidates(&pool.regional, mix(hash)) {
            let mixed = mix(server ^ hash);
            if mixed < min_hash {
                continue;
            }
            let Some(slot) = self.slot(key) else { continue };
            let score = score(mixed, slot.weight());
            if best.is_some_and(|(top, _)| score <= top) || !self.usable(key, request.tried, now) {
                continue;
            }
            let in_flight = slot.in_flight(now);
            let limit_share = f64::from(slot.effective_limit(now)) * AFFINITY_LIMIT_SHARE;
            let bound = (mean * AFFINITY_LOAD_FACTOR).max(limit_share).max(1.0);
            if f64::from(in_flight) < bound && in_flight < slot.effective_limit(now) {
                best = Some((score, key));
                if slot.weight() >= pool.max_limit {
                    min_hash = mixed;
                }
            }
        }
        best.map(|(_, key)| key)
    }

    fn sample(
        &self,
        count: usize,
        at: impl Fn(usize) -> ServerKey,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ServerKey> {
        if count == 0 {
            return None;
        }
        let mut best: Option<(f64, ServerKey)> = None;
        let mut sampled = 0;
        for _ in 0..SAMPLES * DRAWS_PER_SAMPLE {
            let key = at(rng.random_range(0..count));
            if !self.usable(key, request.tried, now) {
                continue;
            }
            let cost = self.cost(key, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
            sampled += 1;
            if sampled == SAMPLES {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    fn usable(&self, key: ServerKey, tried: &[ServerKey], now: Instant) -> bool {
        let Some(slot) = self.slot(key) else {
            return false;
        };
        slot.present
            && slot.draining_until <= now
            && slot.backoff_until <= now
            && !tried.contains(&key)
    }

    fn cost(&self, key: ServerKey, now: Instant) -> f64 {
        let Some(slot) = self.slot(key) else {
            return f64::INFINITY;
        };
        let load = f64::from(slot.in_flight(now) + 1) / f64::from(slot.effective_limit(now));
        let pool_time = self
            .pools
            .get(slot.pool)
            .map_or(0.0, |pool| pool.service_time);
        let server_time = slot
            .reported
            .map_or(0.0, |(_, load)| load.service_time.as_secs_f64());
        let comparable = pool_time > 0.0 && server_time > 0.0;
        let slowness = if comparable {
            (server_time / pool_time).clamp(0.5, 2.0)
        } else {
            1.0
        };
        let domain_cost = if slot.local { 0.0 } else { REMOTE_DOMAIN_COST };
        load * slowness + domain_cost
    }
}

/// Returns the servers that follow `start` in a ring sorted by hash. Adding or
/// removing one server changes the candidates of few prefixes.
fn candidates(ring: &[(u64, ServerKey)], start: u64) -> impl Iterator<Item = &(u64, ServerKey)> {
    let first = ring.partition_point(|(hash, _)| *hash < start);
    ring[first..]
        .iter()
        .chain(&ring[..first])
        .take(AFFINITY_CANDIDATES)
}
