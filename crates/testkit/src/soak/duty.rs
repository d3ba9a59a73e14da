use std::sync::PoisonError;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::DutyCalls;
use crate::direct::duty::Treatment;

/// Changes how the interface for duties treats the calls of the entries, for one entry or
/// all, in an order that the seed decides. It has random numbers of its own, so that the
/// other faults of a seed stay the same.
pub async fn disturb(seed: u64, calls: DutyCalls) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd07);
    loop {
        let pause = Duration::from_millis(rng.random_range(200..1_500));
        tokio::time::sleep(pause).await;
        let treatment = match rng.random_range(0..10) {
            0 => Treatment::Limited,
            1 => Treatment::Unavailable,
            2 => Treatment::Slow(Duration::from_millis(rng.random_range(20..700))),
            3 => Treatment::Silent,
            4 => Treatment::Reset,
            5 => Treatment::AnswerLost,
            6 => Treatment::Malformed,
            _ => Treatment::Open,
        };
        let calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen = rng.random_range(0..=calls.len());
        let is_all = chosen == calls.len();
        for (index, calls) in calls.iter().enumerate() {
            if is_all || index == chosen {
                calls.send_replace(treatment);
            }
        }
    }
}

/// Ends all disturbances.
pub fn end(calls: &DutyCalls) {
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
    for calls in calls.iter() {
        calls.send_replace(Treatment::Open);
    }
}
