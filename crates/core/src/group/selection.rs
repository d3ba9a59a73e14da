//! Choice of the backend server for a request.
//!
//! Load pattern: many entries choose at the same moment among ranks that advance
//! at the speed of the slowest. In a small fleet, each entry knows the requests
//! in flight from all entries as of some milliseconds ago, and a request goes to
//! the server with the fewest.
//!
//! In a fleet of hundreds of entries, that knowledge is half a second old. All
//! entries see the same servers with free slots and fill them beyond their slots
//! while others are idle. There, each entry prefers slots that no other entry
//! prefers, its home slots, and finds further ones in a small random sample. Both
//! rules set in gradually with the number of requests that other entries begin
//! while a report is on its way.
//!
//! A slow server counts as loaded with the requests that would take a usual server as
//! long. One that takes longer for a single request than the others do for their load is
//! chosen only if there is no other, as all ranks of a group wait for it.

use super::capacity::Slowdown;

/// A server that a request may be sent to, as known to an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight from all entries.
    pub in_flight: u32,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is in the failure domain of the entry.
    pub same_domain: bool,
    /// Whether the server was ejected and no request has succeeded since.
    pub recovering: bool,
    /// Home slots of the entry at this server that none of its requests uses.
    pub home_slots: u32,
    /// How much slower the server is than the others.
    pub slowdown: Slowdown,
}

/// Cost of a server in another failure domain, in requests in flight. Such a
/// server is preferred only if it has at least three requests fewer.
const CROSS_DOMAIN_COST: f64 = 2.9;

/// Load of usual servers below which a slow one is not compared with it. With hardly any
/// request in flight, a mean below 1 would exclude servers that are little slower.
const MIN_USUAL_LOAD: f64 = 2.0;

/// Smallest number of candidates without a free home slot that are compared.
const MIN_SAMPLE: f64 = 2.0;

/// Returns the index of the candidate with the lowest cost among those with a
/// free home slot and a sample of the others.
///
/// `unseen` is the number of requests that other entries are expected to have
/// begun, at all candidates, since their last reports. `random` returns a random
/// number below its argument. Ties are broken in favour of the first candidate
/// from a random one on, so that entries break them differently.
///
/// ```
/// use berylgw_core::group::capacity::Slowdown;
/// use berylgw_core::group::selection::{Candidate, choose};
///
/// let busy = Candidate {
///     in_flight: 3, slots: 12, same_domain: true, recovering: false, home_slots: 0,
///     slowdown: Slowdown::default(),
/// };
/// let idle = Candidate { in_flight: 1, ..busy };
/// assert_eq!(choose(&[busy, idle], 0.0, |_| 0), Some(1));
/// ```
pub fn choose(
    candidates: &[Candidate],
    unseen: f64,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let unseen_per_server = unseen / count as f64;
    // Load up to which slow candidates may be chosen, if there are any.
    let bound = usual_mean(candidates).map(|mean| (mean + 1.0).max(MIN_USUAL_LOAD));
    let excluded = |candidate: &Candidate| {
        let slowdown = candidate.slowdown;
        bound.is_some_and(|bound| !slowdown.is_usual() && slowdown.usual_load(1.0) > bound)
    };
    let others = candidates
        .iter()
        .filter(|candidate| candidate.home_slots == 0 && !excluded(candidate))
        .count();
    // As many candidates as there are requests that would choose the same one.
    let sample = (others as f64 / (1.0 + unseen)).max(MIN_SAMPLE).ceil() as usize;
    let mut wanted = sample.min(others);
    let mut left = others;
    let first = random(count);
    let mut best: Option<(f64, usize)> = None;
    for offset in 0..count {
        let index = (first + offset) % count;
        let candidate = &candidates[index];
        if excluded(candidate) {
            continue;
        }
        let mut cost = cost(candidate);
        if candidate.home_slots == 0 {
            let sampled = random(left) < wanted;
            left -= 1;
            if !sampled {
                continue;
            }
            wanted -= 1;
            cost += unseen_per_server;
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Returns the number of home slots of an entry at a server.
///
/// The slots of `servers` servers with `slots` slots each are dealt out evenly to
/// `entries` entries, at most one slot of each server to the same entry before
/// its second one. `entry` and `server` are the positions of both in orders that
/// all entries agree on.
///
/// ```
/// use berylgw_core::group::selection::home_slots;
///
/// let at = |entry| (0..4).map(|server| home_slots(entry, 3, server, 4, 3)).collect::<Vec<_>>();
/// assert_eq!([at(0), at(1), at(2)], [[1, 1, 1, 1]; 3].map(Vec::from));
/// ```
pub fn home_slots(entry: usize, entries: usize, server: usize, servers: usize, slots: u32) -> u32 {
    let total = servers * slots as usize;
    let begin = entry * total / entries.max(1);
    let end = (entry + 1) * total / entries.max(1);
    // The slots are numbered across the servers: slot 0 of each server first.
    let before = |bound: usize| (bound + servers - 1 - server) / servers;
    (before(end) - before(begin)) as u32
}

/// Returns the mean number of requests in flight at the usual candidates; `None` if all
/// candidates are usual or none is.
fn usual_mean(candidates: &[Candidate]) -> Option<f64> {
    let (mut in_flight, mut usual) = (0.0, 0_usize);
    for candidate in candidates {
        if candidate.slowdown.is_usual() {
            in_flight += f64::from(candidate.in_flight);
            usual += 1;
        }
    }
    (usual > 0 && usual < candidates.len()).then(|| in_flight / usual as f64)
}

fn cost(candidate: &Candidate) -> f64 {
    let slowdown = candidate.slowdown;
    let mut in_flight = f64::from(candidate.in_flight);
    if !slowdown.is_usual() {
        // The load with the new request, as for a usual server.
        in_flight = slowdown.usual_load(in_flight + 1.0) - 1.0;
    }
    let slots = f64::from(candidate.slots.max(1));
    // A request beyond the slots waits until another one has ended.
    let queued = (in_flight + 1.0 - slots).max(0.0);
    let cross_domain = if candidate.same_domain {
        0.0
    } else {
        CROSS_DOMAIN_COST
    };
    let recovery = if candidate.recovering { slots } else { 0.0 };
    in_flight + queued * slots + cross_domain + recovery
}
