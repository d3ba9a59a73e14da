//! Server selection by the routing policies.

use rand::Rng;

use super::affinity::{mix, score};
use super::slot::Group;
use super::{Key, Policy, Request, Table};
use crate::clock::Instant;

/// Usable servers sampled from the failure domain and from the region.
const SAMPLES: usize = 2;

/// Random draws per sample, since some hit an unusable server.
const DRAWS_PER_SAMPLE: usize = 4;

/// Ratio of a server's load to the mean above which its prefixes go to the next
/// server.
const AFFINITY_SLACK: f64 = 1.25;

/// Share of a server's limit that affinity may always use. With few requests in
/// flight the mean is below one, and a bound by the mean would scatter prefixes.
const AFFINITY_SHARE: f64 = 0.25;

/// Number of servers that compete for a prefix. Hashing all 2,600 servers of a
/// region took up to 15.7 µs per decision. The relative spread of the servers'
/// shares is one in the square root of this number.
const WINDOW: usize = 64;

/// Cost added to a server in another failure domain, in units of relative load.
const REMOTE_DOMAIN_COST: f64 = 0.125;

impl Table {
    /// Selects a backend server, `None` if none is usable.
    pub fn pick(&self, request: Request<'_>, now: Instant, rng: &mut impl Rng) -> Option<Key> {
        let group = self.group(request.service)?;
        let near = match self.policy {
            Policy::Affinity => self.by_affinity(group, request, now, rng),
            Policy::Random => self.by_random(group, request, now, rng),
            Policy::RoundRobin => self.first_usable(group, group.turn, request, now),
            Policy::LeastInFlight => self.by_count(group, request, now, rng),
        };
        // Another region is the last resort: its network delay exceeds the wait in
        // a queue.
        let remote = || self.sample(group.remote.len(), |i| group.remote[i], request, now, rng);
        near.or_else(remote)
    }

    fn by_affinity(
        &self,
        group: &Group,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Key> {
        if let Some(key) = self.preferred(group, request, now) {
            return Some(key);
        }
        let near = |index: usize| group.region[index].1;
        let local = self.sample(group.local.len(), |i| group.local[i], request, now, rng);
        let region = self.sample(group.region.len(), near, request, now, rng);
        let best = [local, region]
            .into_iter()
            .flatten()
            .min_by(|a, b| self.cost(*a, now).total_cmp(&self.cost(*b, now)));
        best.or_else(|| self.first_usable(group, 0, request, now))
    }

    fn by_random(
        &self,
        group: &Group,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Key> {
        for _ in 0..SAMPLES * DRAWS_PER_SAMPLE {
            let index = rng.random_range(0..group.region.len().max(1));
            let (_, key) = *group.region.get(index)?;
            if self.usable(key, request.tried, now) {
                return Some(key);
            }
        }
        self.first_usable(group, 0, request, now)
    }

    fn by_count(
        &self,
        group: &Group,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Key> {
        let mut best: Option<(u32, u32, Key)> = None;
        for &(_, key) in &group.region {
            if !self.usable(key, request.tried, now) {
                continue;
            }
            let Some(slot) = self.slot(key) else { continue };
            // Ties are broken by chance.
            let place = (slot.held(now), rng.random::<u32>(), key);
            if best.is_none_or(|least| place < least) {
                best = Some(place);
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Returns the first usable server of the region, in ring order from `start`.
    fn first_usable(
        &self,
        group: &Group,
        start: usize,
        request: Request<'_>,
        now: Instant,
    ) -> Option<Key> {
        let count = group.region.len();
        let mut turn = (0..count).map(|offset| group.region[(start + offset) % count].1);
        turn.find(|key| self.usable(*key, request.tried, now))
    }

    /// Returns the usable server within its load bound that has the highest
    /// rendezvous hashing score among the candidates for the prefix.
    fn preferred(&self, group: &Group, request: Request<'_>, now: Instant) -> Option<Key> {
        let hash = request.affinity?;
        let mean = (group.load + 1) as f64 / group.region.len().max(1) as f64;
        let mut best = None;
        // Hash of the best server that has the maximum weight: no server with a
        // lower hash can have a higher score.
        let mut floor = 0;
        for &(server, key) in window(&group.region, mix(hash)) {
            let mixed = mix(server ^ hash);
            if mixed < floor {
                continue;
            }
            let Some(slot) = self.slot(key) else { continue };
            let score = score(mixed, slot.weight());
            if best.is_some_and(|(top, _)| score <= top) || !self.usable(key, request.tried, now) {
                continue;
            }
            let held = slot.held(now);
            let share = f64::from(slot.bound(now)) * AFFINITY_SHARE;
            let bound = (mean * AFFINITY_SLACK).max(share).max(1.0);
            if f64::from(held) < bound && held < slot.bound(now) {
                best = Some((score, key));
                if slot.weight() >= group.highest {
                    floor = mixed;
                }
            }
        }
        best.map(|(_, key)| key)
    }

    fn sample(
        &self,
        count: usize,
        at: impl Fn(usize) -> Key,
        request: Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Key> {
        if count == 0 {
            return None;
        }
        let mut best: Option<(f64, Key)> = None;
        let mut found = 0;
        for _ in 0..SAMPLES * DRAWS_PER_SAMPLE {
            let key = at(rng.random_range(0..count));
            if !self.usable(key, request.tried, now) {
                continue;
            }
            let cost = self.cost(key, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
            found += 1;
            if found == SAMPLES {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    fn usable(&self, key: Key, tried: &[Key], now: Instant) -> bool {
        let Some(slot) = self.slot(key) else {
            return false;
        };
        slot.present
            && slot.draining_until <= now
            && slot.backoff_until <= now
            && !tried.contains(&key)
    }

    fn cost(&self, key: Key, now: Instant) -> f64 {
        let Some(slot) = self.slot(key) else {
            return f64::INFINITY;
        };
        let load = f64::from(slot.held(now) + 1) / f64::from(slot.bound(now));
        let usual = self
            .groups
            .get(slot.group)
            .map_or(0.0, |group| group.service_time);
        let own = slot
            .reported
            .map_or(0.0, |(_, load)| load.service_time.as_secs_f64());
        let known = usual > 0.0 && own > 0.0;
        let slowness = if known {
            (own / usual).clamp(0.5, 2.0)
        } else {
            1.0
        };
        let distance = if slot.local { 0.0 } else { REMOTE_DOMAIN_COST };
        load * slowness + distance
    }
}

/// Returns the servers that follow `start` in a ring sorted by hash. Adding or
/// removing one server changes the candidates of few prefixes.
fn window(ring: &[(u64, Key)], start: u64) -> impl Iterator<Item = &(u64, Key)> {
    let first = ring.partition_point(|(hash, _)| *hash < start);
    ring[first..].iter().chain(&ring[..first]).take(WINDOW)
}
