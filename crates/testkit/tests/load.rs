//! Load reports of the fakes, as an agent reads them.

use berylgw_testkit::{control, launch};
use serde_json::Value;

/// Guards against a report without one of the fields of the interface, or with
/// a time that goes backwards.
#[tokio::test]
async fn load_fields() {
    for (binary, interface) in [("fake-engine", "engine"), ("fake-service", "service")] {
        let process = launch::start(binary, ["--load-lag-ms", "0"]).unwrap();
        let server = control::Client::new(process.address(interface).await.unwrap());
        let mut last = 0;
        for _ in 0..20 {
            let load: Value = server.get("/load").await.unwrap();
            let as_of = load["as_of_ms"].as_u64().unwrap();
            assert!(as_of >= last, "{load}");
            last = as_of;
            assert!(
                load["in_flight"].is_u64() && load["queued"].is_u64(),
                "{load}"
            );
            assert!(
                load["capacity"].is_u64() && load["cold"].is_boolean(),
                "{load}"
            );
        }
    }
}
