//! Robustness of decoding against arbitrary bytes.

use berylgw_core::outcome;
use berylgw_wire as wire;
use proptest::prelude::*;
use prost::Message;

/// Decodes a message and checks that encoding it again gives the same message.
fn decode<M: Message + Default + PartialEq>(bytes: &[u8]) -> Option<M> {
    let message = M::decode(bytes).ok()?;
    assert!(M::decode(&*message.encode_to_vec()).is_ok_and(|again| again == message));
    Some(message)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on random bytes.
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..96)) {
        decode::<wire::DispatchRequest>(&bytes);
        decode::<wire::AnswerFrame>(&bytes);
        decode::<wire::PullRequest>(&bytes);
        decode::<wire::PullReply>(&bytes);
        decode::<wire::ProbeReply>(&bytes);
        decode::<wire::SealRequest>(&bytes);
        decode::<wire::SealReply>(&bytes);
        decode::<wire::TicketRequest>(&bytes);
        decode::<wire::TicketReply>(&bytes);
        if let Some(refusal) = decode::<wire::Refusal>(&bytes) {
            let _ = outcome::Refusal::from(&refusal);
        }
    }

    /// Guards against a refusal with an unknown outcome that decodes as `not run`.
    #[test]
    fn refusal_any_values(reason in ".{0,12}", number: i32, retry_after_ms: u64) {
        let refusal = wire::Refusal {
            reason,
            outcome: number,
            retry_after_ms,
            message: String::new(),
        };
        let refusal = outcome::Refusal::from(&refusal);
        let not_run = number == wire::Outcome::NotRun as i32;
        prop_assert_eq!(refusal.outcome == outcome::Outcome::NotRun, not_run);
    }
}
