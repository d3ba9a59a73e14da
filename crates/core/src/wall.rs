//! True time: the median of the times of day of all entries.
//!
//! Load pattern: the clocks of hosts differ, and on some hosts they jump by seconds,
//! forward and back. Each entry tells its time of day in its datagrams. The offset
//! between a time of day and the receiver's uptime changes only when a clock is set, so
//! that it can be kept from one datagram to the next. While fewer than half of the
//! clocks are wrong at the same time, the median offset is that of a right one.

use std::time::Duration;

use crate::clock::Instant;

/// The offsets between the times of day of the live entries and the uptime of this host.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::wall::Estimate;
/// use std::time::Duration;
///
/// let uptime = Instant::from_millis(1_000);
/// let noon = Duration::from_secs(1_700_000_000);
/// let mut estimate = Estimate::default();
/// estimate.observe_own(noon + Duration::from_secs(7), uptime);
/// estimate.observe(1, noon, uptime);
/// estimate.observe(2, noon, uptime);
/// estimate.update(&[1, 2]);
/// assert_eq!(estimate.true_time(uptime), noon);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    own_us: i64,
    /// Offset by process, sorted.
    peers: Vec<(u64, i64)>,
    median_us: i64,
}

impl Estimate {
    /// Records the time of day of this host, since the start of 1970, at `uptime`.
    pub fn observe_own(&mut self, time_of_day: Duration, uptime: Instant) {
        self.own_us = offset_us(time_of_day, uptime);
    }

    /// Records the time of day of another entry's process at the sending of a datagram
    /// that came at `received`, by the uptime of this host.
    pub fn observe(&mut self, process: u64, time_of_day: Duration, received: Instant) {
        let offset_us = offset_us(time_of_day, received);
        match self.peers.binary_search_by_key(&process, |peer| peer.0) {
            Ok(at) => self.peers[at].1 = offset_us,
            Err(at) => self.peers.insert(at, (process, offset_us)),
        }
    }

    /// Forgets the processes that are not `live` and computes the median again.
    pub fn update(&mut self, live: &[u64]) {
        self.peers.retain(|peer| live.contains(&peer.0));
        let peers = self.peers.iter().map(|peer| peer.1);
        let mut offsets: Vec<i64> = peers.chain([self.own_us]).collect();
        offsets.sort_unstable();
        let upper = offsets[offsets.len() / 2];
        let lower = offsets[(offsets.len() - 1) / 2];
        // The mean of both is within their range, so that it fits the type.
        self.median_us = ((i128::from(lower) + i128::from(upper)) / 2) as i64;
    }

    /// Returns the true time less the uptime as of the last [`Estimate::update`], in
    /// microseconds.
    pub fn offset_us(&self) -> i64 {
        self.median_us
    }

    /// Returns by how much the clock of this host is ahead of the median, in
    /// microseconds.
    pub fn own_lead_us(&self) -> i64 {
        self.own_us.saturating_sub(self.median_us)
    }

    /// Returns the number of clocks that the median is of, this one included.
    pub fn clocks(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the true time since the start of 1970 at an uptime of this host.
    pub fn true_time(&self, uptime: Instant) -> Duration {
        true_time(uptime, self.median_us)
    }
}

/// Returns the time since the start of 1970 at an uptime, 0 if it is before, for an
/// offset in microseconds as of [`Estimate::offset_us`].
pub fn true_time(uptime: Instant, offset_us: i64) -> Duration {
    Duration::from_micros(uptime.as_micros().saturating_add_signed(offset_us))
}

fn offset_us(time_of_day: Duration, uptime: Instant) -> i64 {
    let time_us = i128::try_from(time_of_day.as_micros()).unwrap_or(i128::MAX);
    let offset_us = time_us.saturating_sub(i128::from(uptime.as_micros()));
    offset_us.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}
