//! Arbitrary messages that no correct entry sends.

mod support;

use berylgw_core::service::Kind;
use berylgw_wire as wire;
use proptest::prelude::*;
use support::{collect, system};
use wire::answer_frame::Kind as FrameKind;

fn field_value() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::sample::select(vec![
            "svc",
            "a",
            "b",
            "s",
            "GET",
            "POST",
            "/",
            "/x",
            "?",
            "*",
            "",
            "{}",
            "{\"model\":1}",
            "[]",
            "\r\n",
            "a b",
        ])
        .prop_map(str::to_owned),
        ".{0,12}",
    ]
}

prop_compose! {
    fn claim()(partition in field_value(), token: u64, key: Vec<u8>, server in field_value(), incarnation: u64)
        -> wire::Claim
    {
        wire::Claim { partition, token, key: key.into(), server, incarnation }
    }
}

prop_compose! {
    fn request()(
        known in any::<bool>(),
        names in (field_value(), field_value(), field_value(), field_value(), field_value()),
        version in prop_oneof![Just(1u64), any::<u64>().prop_map(|version| version % 2)],
        body in field_value(),
        headers in prop::collection::vec((field_value(), any::<Vec<u8>>()), 0..3),
        numbers in (any::<u32>(), any::<u64>(), any::<u64>(), any::<u64>()),
        flags in (any::<bool>(), any::<bool>(), any::<bool>()),
        claim in prop::option::of(claim()),
        ticket in prop_oneof![Just(String::new()), field_value()],
    ) -> wire::DispatchRequest {
        let (request_id, account, service, method, path) = names;
        let header = |(name, value): (String, Vec<u8>)| wire::Header { name, value: value.into() };
        wire::DispatchRequest {
            sender: Some(wire::Sender { name: "entry".into(), incarnation: 1, config_version: version }),
            request_id,
            attempt: numbers.0,
            account: if known { "a".into() } else { account },
            service: if known { "svc".into() } else { service },
            method,
            path,
            headers: headers.into_iter().map(header).collect(),
            body: body.into(),
            timeout_ms: numbers.1,
            idempotent: flags.0,
            resume_from: numbers.2,
            claim,
            ticket,
            fingerprint: numbers.3,
            stream: flags.1,
            isolate: flags.2,
            suspected_ms: flags.1.then_some(numbers.1),
        }
    }
}

/// Sends generated requests to one agent. It must end each stream with a final
/// frame or a refusal, and answer a probe afterwards.
fn check(kind: Kind) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (_entry, _backend, agent) = runtime.block_on(system(kind, 4, 2));
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let run = |request| {
        let frames = runtime.block_on(async { collect(agent.dispatch(request).await).await });
        let last = frames.last().and_then(|frame| frame.kind.clone());
        let ended = matches!(last, Some(FrameKind::Final(_) | FrameKind::Refusal(_)));
        prop_assert!(ended, "{last:?}");
        Ok(())
    };
    runner.run(&request(), run).unwrap();
    runtime.block_on(agent.probe_until(|_| true));
}

/// Guards against a message that crashes the agent or whose stream ends without
/// a final frame or a refusal.
#[test]
fn dispatch_any_plain() {
    check(Kind::Plain);
}

/// Guards against a message that crashes the agent or whose stream ends without
/// a final frame or a refusal.
#[test]
fn dispatch_any_model() {
    check(Kind::Model);
}
