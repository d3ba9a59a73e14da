//! Reports of the rank's pace to entries.
//!
//! The ranks of a group execute each pass together, so entries cannot see in the
//! responses which rank is slow. Each sidecar reports the pace of its rank to a few
//! entries, which tell the others. The leader names the entries, but a report does not
//! pass through it: the leader's host may be the one that is frozen.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::capacity::differs;
use berylgw_wire::rank as wire;

use crate::engine::State;

/// Time between two reports of an unchanged pace: a third of the time for which a report
/// is valid.
pub const INTERVAL: Duration = Duration::from_secs(2);

/// Largest number of entries that a rank reports to. With three, its pace stays known if
/// one of them is killed and another one is partitioned.
pub const MAX_ENTRIES: usize = 3;

/// Decides when a report is due.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::expert::switch::Report;
/// use berylgw_rank::engine::State;
/// use berylgw_rank::pace::Reporter;
///
/// let report = Report { epoch: 1, open: true, ..Report::default() };
/// let usual = State { group: 1, rank: 0, size: 4, busy: false, pace: 1.0, report };
/// let slow = State { pace: 4.0, ..usual };
/// let mut reporter = Reporter::default();
/// let at = Instant::from_millis;
/// assert!(reporter.is_due(at(0), &usual));
/// assert!(!reporter.is_due(at(500), &usual));
/// assert!(reporter.is_due(at(600), &slow));
/// assert!(!reporter.is_due(at(1_100), &slow));
/// assert!(reporter.is_due(at(2_600), &slow));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Reporter {
    last: Option<(State, Instant)>,
}

impl Reporter {
    /// Returns whether `state` is to be reported at `now`, and counts it as reported then.
    pub fn is_due(&mut self, now: Instant, state: &State) -> bool {
        let place = |state: &State| (state.group, state.size, state.report.epoch);
        let due = self.last.is_none_or(|(last, at)| {
            place(&last) != place(state)
                || differs(last.pace, state.pace)
                || now.since(at) >= INTERVAL
        });
        if due {
            self.last = Some((*state, now));
        }
        due
    }

    /// Makes the next state due, for example because it is reported to other entries.
    pub fn reset(&mut self) {
        self.last = None;
    }
}

/// Returns the entries that the sidecar at position `index` of `sidecars` reports to.
/// The positions are spread out over the entries, and so are the entries of a sidecar.
pub fn entries(hosts: &[IpAddr], index: usize) -> Vec<u32> {
    let count = hosts.len();
    let mut chosen = Vec::new();
    for part in 0..MAX_ENTRIES.min(count) {
        let host = hosts[(index + part * count / MAX_ENTRIES.min(count)) % count];
        if let IpAddr::V4(ip) = host {
            chosen.push(u32::from(ip));
        }
    }
    chosen
}

/// Returns the message for the state of the rank at `rank`, read at `read`.
pub fn message(rank: SocketAddr, state: &State, read: Instant, now: Instant) -> wire::Pace {
    wire::Pace {
        rank: rank.to_string(),
        group: state.group,
        epoch: state.report.epoch,
        size: state.size as u32,
        pace: state.pace as f32,
        read_us: read.as_micros(),
        age_ms: now.since(read).as_millis() as u32,
    }
}
