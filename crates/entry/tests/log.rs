//! Lines that the entry logs about requests.

mod common;

use std::io::Write;
use std::sync::{Arc, Mutex};

use berylgw_runtime::log;
use berylgw_wire as wire;
use common::{Arrival, TestEntry, agents, chat, short_limits, token};
use expect_test::expect;
use serde_json::Value;
use wire::Outcome;
use wire::answer_frame::Kind;

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Captured {
    /// Returns the lines about refusals without their variable fields, time and
    /// request id.
    fn refusals(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap().clone();
        let mut lines = Vec::new();
        for line in String::from_utf8(bytes).unwrap().lines() {
            let mut line: Value = serde_json::from_str(line).unwrap();
            if line["message"] != "request refused" {
                continue;
            }
            let fields = line.as_object_mut().unwrap();
            assert!(fields.remove("timestamp").is_some());
            assert_eq!(
                fields.remove("request_id").unwrap().as_str().unwrap().len(),
                32
            );
            lines.push(line.to_string());
        }
        lines
    }
}

/// Guards against refused or failed requests that log no line, several lines, or
/// a line without account, server and configuration version.
#[tokio::test]
async fn refused_one_line_each() {
    let captured = Captured::default();
    let output = captured.clone();
    log::install_to(move || output.clone());
    let script = |arrival: Arrival| {
        if arrival.request.stream {
            arrival.head(200);
            arrival.data(1, &token(0));
            let refusal = wire::Refusal {
                reason: "deadline".to_owned(),
                outcome: Outcome::Unknown as i32,
                ..Default::default()
            };
            arrival.frame(2, Kind::Refusal(refusal));
        } else {
            arrival.refuse("deadline", Outcome::NotRun);
        }
    };
    let rig = TestEntry::start(&agents(1, script).await, short_limits()).await;
    let earlier = captured.refusals().len();
    let anonymous = [("authorization", "Bearer wrong")];
    rig.call("GET", "/v1/directory", &anonymous, "").await;
    let path = "/v1/chat/completions";
    rig.call("POST", path, &[], chat("x", false)).await;
    rig.call("POST", path, &[], chat("m", false)).await;
    let events = rig.stream().await;
    assert!(events.contains("event: error"), "{events}");
    let lines = captured.refusals()[earlier..].join("\n") + "\n";
    expect![[r#"
        {"account":"","config_version":7,"detail":"a valid bearer token is required","level":"INFO","message":"request refused","outcome":"not-run","reason":"unauthenticated","server":"","suppressed":0,"target":"berylgw_entry::scope"}
        {"account":"a","config_version":7,"detail":"the service does not exist or this account may not use it","level":"INFO","message":"request refused","outcome":"not-run","reason":"unknown_service","server":"","suppressed":0,"target":"berylgw_entry::scope"}
        {"account":"a","config_version":7,"detail":"deadline","level":"INFO","message":"request refused","outcome":"not-run","reason":"deadline","server":"m0","suppressed":0,"target":"berylgw_entry::scope"}
        {"account":"a","config_version":7,"detail":"","level":"INFO","message":"request refused","outcome":"unknown","reason":"deadline","server":"m0","suppressed":0,"target":"berylgw_entry::scope"}
    "#]].assert_eq(&lines);
}
