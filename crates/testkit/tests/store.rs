//! Rate limit of the fake weight store.

use berylgw_testkit::store::Calls;
use berylgw_testkit::{control, launch};
use serde_json::Value;

/// Guards against reads that go over the rate limit or are not counted.
#[tokio::test]
async fn read_over_rate() {
    let process = launch::start("fake-store", ["--bytes-per-second", "1000"]).unwrap();
    let store = control::Client::new(process.address("store").await.unwrap());
    let control = control::Client::new(process.address("control").await.unwrap());
    // The body is no JSON, so a served read fails in the decoder.
    let served = store
        .get::<Value>("/weights/e1?bytes=1000000")
        .await
        .unwrap_err();
    assert!(!served.to_string().contains("429"), "{served}");
    let refused = store.get::<Value>("/weights/e1?bytes=1").await.unwrap_err();
    assert!(refused.to_string().contains("429"), "{refused}");
    let calls: Vec<Calls> = control.get("/calls").await.unwrap();
    let expected = Calls {
        name: "e1".to_owned(),
        served: 1,
        bytes: 1_000_000,
        refused: 1,
    };
    assert_eq!(calls, [expected]);
}
