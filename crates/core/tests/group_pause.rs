//! Pauses that servers ask for.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::pause::{Change, MAX_PAUSE, Pause};
use proptest::prelude::*;

proptest! {
    /// Guards against a pause that a later, shorter or implausible value ends, and
    /// against one that is longer than any plausible value.
    #[test]
    fn extend_never_shortens(
        asked in proptest::collection::vec((0_u64..20_000, prop_oneof![
            -10.0..400.0_f64, Just(f64::NAN), Just(f64::INFINITY), any::<f64>(),
        ]), 1..40),
    ) {
        let mut times: Vec<(u64, f64)> = asked;
        times.sort_by_key(|asked| asked.0);
        let mut pause = Pause::default();
        let mut until = Instant::ORIGIN;
        for (time, seconds) in times {
            let now = Instant::from_millis(time);
            let change = pause.extend(now, seconds);
            let plausible = (0.0..=MAX_PAUSE.as_secs_f64()).contains(&seconds);
            prop_assert_eq!(change == Change::Implausible, !plausible);
            if plausible {
                until = until.max(now + Duration::from_secs_f64(seconds));
            }
            prop_assert_eq!(pause.left(now).unwrap_or_default(), until.since(now));
        }
    }
}
