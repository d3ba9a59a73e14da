//! Which requests a stopping entry takes.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::stop::Schedule;
use proptest::prelude::*;

proptest! {
    /// Guards against a request that is taken although its time may end after the
    /// last answer, and against one that is refused although it ends before.
    #[test]
    fn admits_what_ends_in_time(
        grace_ms in 1_000_u64..60_000,
        at_ms in 0_u64..60_000,
        limit_ms in 0_u64..60_000,
    ) {
        let begun = Instant::from_millis(7);
        let schedule = Schedule::new(begun, Duration::from_millis(grace_ms));
        let now = begun + Duration::from_millis(at_ms);
        let deadline = now + Duration::from_millis(limit_ms);
        let fits = deadline <= schedule.answer_by();
        prop_assert_eq!(schedule.admits(now, deadline, false), fits);
        prop_assert!(!fits || schedule.admits(now, deadline, true));
    }

    /// Guards against a step of a stop that leaves no time for the next one, for any
    /// time until the kill.
    #[test]
    fn steps_in_order(grace_ms in 1_000_u64..60_000) {
        let grace = Duration::from_millis(grace_ms);
        let schedule = Schedule::new(Instant::ORIGIN, grace);
        let steps = [
            schedule.begun(),
            schedule.accept_until(),
            schedule.answer_by(),
            schedule.exit(),
            Instant::ORIGIN + grace,
        ];
        prop_assert!(steps.windows(2).all(|pair| pair[0] < pair[1]));
    }
}

/// Guards against streams that are taken so late that they end with the process, and
/// against the refusal of those that begin with the stop.
#[test]
fn admits_early_streams() {
    let schedule = Schedule::new(Instant::ORIGIN, Duration::from_secs(8));
    let limit = Duration::from_secs(8);
    for (at_ms, taken) in [(0, true), (2_000, true), (3_000, false), (7_000, false)] {
        let now = Instant::from_millis(at_ms);
        assert_eq!(schedule.admits(now, now + limit, true), taken, "{at_ms} ms");
        assert!(!schedule.admits(now, now + limit, false), "{at_ms} ms");
    }
}
