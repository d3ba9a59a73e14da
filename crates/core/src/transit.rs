//! How much longer than necessary a datagram was under way.
//!
//! Load pattern: a busy, slow or frozen process reads datagrams long after they came,
//! and what they tell has aged meanwhile. The clocks of two hosts differ by an unknown
//! time, so that the sender's clock does not tell how long a single datagram took. The
//! quickest one of a process shows the difference and the shortest way together;
//! whatever a later one takes beyond that, it waited.

use std::time::Duration;

use crate::clock::Instant;

/// The clocks of two hosts drift apart by less than one part in this many. The shortest
/// way known is taken to grow by as much, so that it holds for clocks that do.
const DRIFT: u64 = 5_000;

/// The shortest way of the datagrams of one process.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::transit::Transit;
/// use std::time::Duration;
///
/// let at = Instant::from_millis;
/// let mut transit = Transit::new(at(1_000), at(73));
/// assert_eq!(transit.delay(at(1_020), at(93)), Duration::ZERO);
/// assert!(transit.delay(at(1_040), at(613)) >= Duration::from_millis(499));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Transit {
    /// Time of arrival less time of sending of the quickest datagram, in microseconds;
    /// it includes the difference of the clocks.
    least_us: i64,
    /// When that one arrived.
    at: Instant,
}

impl Transit {
    /// Starts with a datagram that was sent at `sent`, by the sender's clock, and read
    /// at `received`.
    pub fn new(sent: Instant, received: Instant) -> Self {
        Transit {
            least_us: difference_us(sent, received),
            at: received,
        }
    }

    /// Returns the time that a datagram took beyond the shortest way known.
    pub fn delay(&mut self, sent: Instant, received: Instant) -> Duration {
        let took_us = difference_us(sent, received);
        let drift_us = received.since(self.at).as_micros() as u64 / DRIFT;
        let least_us = self.least_us.saturating_add_unsigned(drift_us);
        if took_us <= least_us {
            *self = Transit::new(sent, received);
            return Duration::ZERO;
        }
        Duration::from_micros(took_us.abs_diff(least_us))
    }
}

fn difference_us(sent: Instant, received: Instant) -> i64 {
    let difference = i128::from(received.as_micros()) - i128::from(sent.as_micros());
    difference.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}
