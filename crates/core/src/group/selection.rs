//! Choice of the backend server for a request.
//!
//! Load pattern: many entries choose at the same moment among ranks that advance
//! at the speed of the slowest. A request goes to the server with the fewest
//! requests in flight from all entries, and entries break ties differently.

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
}

/// Cost of a server in another failure domain, in requests in flight. Such a
/// server is preferred only if it has at least three requests fewer.
const CROSS_DOMAIN_COST: f64 = 2.9;

/// Returns the index of the candidate with the lowest cost.
///
/// Ties are broken in favour of the first candidate from index `first` on, which
/// has to differ between entries and between requests.
///
/// ```
/// use berylgw_core::group::selection::{Candidate, choose};
///
/// let busy = Candidate { in_flight: 3, slots: 12, same_domain: true, recovering: false };
/// let idle = Candidate { in_flight: 1, ..busy };
/// assert_eq!(choose(&[busy, idle], 0), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], first: usize) -> Option<usize> {
    let count = candidates.len();
    let mut best: Option<(f64, usize)> = None;
    for offset in 0..count {
        let index = (first + offset) % count;
        let cost = cost(&candidates[index]);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}

fn cost(candidate: &Candidate) -> f64 {
    let in_flight = f64::from(candidate.in_flight);
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
