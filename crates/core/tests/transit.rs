//! How long datagrams wait, told by clocks that differ and drift.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::transit::Transit;
use proptest::collection::vec;
use proptest::prelude::*;

/// Time between two datagrams.
const SPACING_US: u64 = 30_000;

/// Shortest way of a datagram.
const WAY_US: u64 = 800;

proptest! {
    /// Guards against a datagram that waited in the socket of a busy process and is taken
    /// for a new one.
    #[test]
    fn delay_of_waiting_datagrams(
        waits_us in vec(prop_oneof![Just(0_u64), 0_u64..4_000_000], 1..400),
        clock_us in 0_u64..1 << 40,
        drift_ppm in -100_i64..=100,
    ) {
        let sender_clock = |time_us: u64| {
            let drift_us = time_us as i64 * drift_ppm / 1_000_000;
            Instant::from_micros((clock_us + time_us).saturating_add_signed(drift_us))
        };
        let start_us = 1 << 30;
        let received = |time_us: u64| Instant::from_micros(start_us + time_us + WAY_US);
        let mut transit = Transit::new(sender_clock(0), received(0));
        for (number, wait_us) in (1..).zip(waits_us) {
            let time_us = number * SPACING_US;
            let delay = transit.delay(sender_clock(time_us), received(time_us + wait_us));
            // What clocks drift in the time that was played, and the allowance for it.
            let drift_us = (time_us + wait_us) / 2_500;
            let delay_us = delay.as_micros() as u64;
            prop_assert!(delay_us + drift_us >= wait_us, "{delay:?} of {wait_us} us");
            prop_assert!(delay_us <= wait_us + drift_us, "{delay:?} of {wait_us} us");
        }
    }

    /// Guards against times of sending that no clock has.
    #[test]
    fn delay_of_any_times(times in vec(any::<(u64, u64)>(), 1..20)) {
        let mut transit = Transit::new(Instant::from_micros(u64::MAX), Instant::ORIGIN);
        for (sent, received) in times {
            transit.delay(Instant::from_micros(sent), Instant::from_micros(received));
        }
    }
}

/// Guards against a shortest way that is kept for good though the clocks drift apart: the
/// ages of all later datagrams would grow without end.
#[test]
fn delay_after_drift() {
    let mut transit = Transit::new(Instant::ORIGIN, Instant::ORIGIN);
    let day_us = 86_400_000_000;
    for hour in 1..=24 {
        let sent_us = day_us / 24 * hour;
        let received = Instant::from_micros(sent_us + sent_us / 10_000);
        let delay = transit.delay(Instant::from_micros(sent_us), received);
        assert_eq!(delay, Duration::ZERO, "after {hour} h");
    }
}
