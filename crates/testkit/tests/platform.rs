//! Failure modes of the fake platform, observed through the platform client.

use std::time::Duration;

use berylgw_platform::{Client, Event, Kind, Update};
use berylgw_testkit::control;
use berylgw_testkit::launch::{self, Process};
use berylgw_testkit::platform::Calls;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn platform(args: &[&str]) -> (Process, Client, control::Client) {
    let process = launch::start("fake-platform", args).unwrap();
    let address = process.address("platform").await.unwrap();
    let control = process.address("control").await.unwrap();
    let client = Client::new(address, TIMEOUT);
    (process, client, control::Client::new(control))
}

fn applied(update: Update) -> u64 {
    match update {
        Update::Applied(version) => version,
        other => panic!("{other:?}"),
    }
}

/// Guards against updates that overwrite a newer version.
#[tokio::test]
async fn put_with_old_version() {
    let (_process, client, _) = platform(&[]).await;
    let first = applied(client.put("config", "a", 0, &1).await);
    let second = applied(client.put("config", "a", first, &2).await);
    assert!(second > first);
    for update in [
        client.put("config", "a", first, &3).await,
        client.put("config", "a", 0, &3).await,
        client.delete("config", "a", first).await,
    ] {
        assert!(matches!(update, Update::Conflict(version) if version == second));
    }
    let object = client.get("config", "a").await.unwrap().unwrap();
    assert_eq!((object.version, object.value.get()), (second, "2"));
    assert_eq!(client.list("config").await.unwrap().revision, second);
}

/// Guards against a lost response being reported as a refusal.
#[tokio::test]
async fn put_with_lost_answer() {
    let (_process, client, control) = platform(&[]).await;
    control.fault(json!({"lose_answers": 1})).await.unwrap();
    let update = client.put("config", "a", 0, &7).await;
    assert!(matches!(update, Update::Unknown(_)), "{update:?}");
    let object = client.get("config", "a").await.unwrap().unwrap();
    assert_eq!(object.value.get(), "7");
}

/// Guards against updates that take effect during an outage.
#[tokio::test]
async fn put_in_outage() {
    let (_process, client, control) = platform(&[]).await;
    control.fault(json!({"outage": true})).await.unwrap();
    let Update::Refused(error) = client.put("config", "a", 0, &7).await else {
        panic!("not refused");
    };
    assert_eq!(error.kind(), Kind::Unavailable);
    control.fault(json!({"outage": false})).await.unwrap();
    assert!(client.get("config", "a").await.unwrap().is_none());
}

/// Guards against calls that take effect although the platform hangs.
#[tokio::test]
async fn put_while_hanging() {
    let (process, _, control) = platform(&[]).await;
    let address = process.address("platform").await.unwrap();
    let client = Client::new(address, Duration::from_millis(50));
    control.fault(json!({"hang": true})).await.unwrap();
    let update = client.put("config", "a", 0, &7).await;
    assert!(matches!(update, Update::Unknown(_)), "{update:?}");
    control.fault(json!({"hang": false})).await.unwrap();
    let default_client = Client::new(address, TIMEOUT);
    assert!(default_client.get("config", "a").await.unwrap().is_none());
}

/// Guards against missing limits on the value size and on the rate of writes.
#[tokio::test]
async fn put_over_limits() {
    let (_process, client, _) = platform(&["--writes", "2"]).await;
    let Update::Refused(error) = client.put("config", "a", 0, &"x".repeat(1 << 20)).await else {
        panic!("not refused");
    };
    assert_eq!(error.kind(), Kind::TooLarge);
    let mut version = 0;
    let error = loop {
        match client.put("config", "a", version, &1).await {
            Update::Applied(newer) => version = newer,
            Update::Refused(error) => break error,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(error.kind(), Kind::RateLimited);
    assert!(error.retry_after().is_some());
}

/// Guards against watches that miss, reorder or mix up events.
#[tokio::test]
async fn watch_events() {
    let (_process, client, _) = platform(&[]).await;
    let first = applied(client.put("config", "a", 0, &1).await);
    let mut watch = client.watch("config", 0).await.unwrap();
    applied(client.put("lease", "other", 0, &1).await);
    let second = applied(client.put("config", "b", 0, &2).await);
    let (Update::Applied(_), mut seen) = (client.delete("config", "a", first).await, Vec::new())
    else {
        panic!("not deleted");
    };
    while seen.len() < 3 {
        match watch.next().await.unwrap() {
            Event::Put(object) => seen.push((object.version, object.name.to_string())),
            Event::Delete { revision, name } => seen.push((revision, format!("-{name}"))),
            _ => {}
        }
    }
    let expected = [(first, "a"), (second, "b"), (second + 1, "-a")];
    assert_eq!(
        seen,
        expected.map(|(version, name)| (version, name.to_owned()))
    );
    let heartbeat = loop {
        if let Event::Heartbeat { revision } = watch.next().await.unwrap() {
            break revision;
        }
    };
    assert_eq!(heartbeat, second + 1);
}

/// Guards against watches that skip compacted revisions without an error.
#[tokio::test]
async fn watch_compacted() {
    let (_process, client, _) = platform(&["--kept-revisions", "2"]).await;
    for name in ["a", "b", "c"] {
        applied(client.put("config", name, 0, &1).await);
    }
    let error = client.watch("config", 0).await.unwrap_err();
    assert_eq!(error.kind(), Kind::Compacted);
    assert!(client.watch("config", 1).await.is_ok());
}

/// Guards against a silent watch that never fails. The watch stays silent after
/// the fault is cleared, while a new watch receives events.
#[tokio::test]
async fn watch_silent() {
    let (_process, client, control) = platform(&[]).await;
    let mut silent = client.watch("config", 0).await.unwrap();
    control
        .fault(json!({"silent_watches": true}))
        .await
        .unwrap();
    control
        .fault(json!({"silent_watches": false}))
        .await
        .unwrap();
    applied(client.put("config", "a", 0, &1).await);
    let error = loop {
        match silent.next().await {
            Ok(Event::Put(_)) => panic!("event on a silent watch"),
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert_eq!(error.kind(), Kind::NoAnswer);
    let mut watch = client.watch("config", 0).await.unwrap();
    assert!(matches!(watch.next().await, Ok(Event::Put(_))));
}

/// Guards against calls that are not counted.
#[tokio::test]
async fn calls_counted() {
    let (_process, client, control) = platform(&[]).await;
    applied(client.put("config", "a", 0, &1).await);
    client.get("config", "a").await.unwrap();
    client.get("config", "b").await.unwrap();
    client.hosts().await.unwrap();
    let calls: Vec<Calls> = control.get("/calls").await.unwrap();
    let rows: Vec<(&str, &str, u64)> = calls
        .iter()
        .map(|row| (row.verb.as_str(), row.kind.as_str(), row.count))
        .collect();
    let expected = [
        ("get", "config", 2),
        ("put", "config", 1),
        ("list", "hosts", 1),
    ];
    assert_eq!(rows, expected);
}

/// Guards against a stop signal right after the listening line that kills the
/// process before its signal handlers are installed.
#[tokio::test]
async fn process_stops() {
    for _ in 0..20 {
        let mut process = launch::start("fake-platform", [""; 0]).unwrap();
        process.address("platform").await.unwrap();
        let status = process.stop().await.unwrap();
        assert!(status.success(), "{status}");
    }
}

/// Guards against a host list that ignores the configured lag, in either
/// direction.
#[tokio::test]
async fn hosts_lag() {
    let host = json!({"address": "127.0.0.1:1", "domain": "d", "state": "live"});
    for (lag, seen) in [("0", 1), ("600000", 0)] {
        let (process, client, _) = platform(&["--host-lag-ms", lag]).await;
        let address = process.address("platform").await.unwrap();
        let register = control::Client::new(address);
        register.put::<Value>("/v1/hosts/a", &host).await.unwrap();
        assert_eq!(client.hosts().await.unwrap().len(), seen);
    }
}

/// Guards against runs with the same seed that lose different responses.
#[tokio::test]
async fn lost_answers_repeat() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (_process, client, control) = platform(&["--seed", "7"]).await;
        control
            .fault(json!({"lose_probability": 0.5}))
            .await
            .unwrap();
        let mut lost = Vec::new();
        for name in 0..20 {
            let update = client.put("config", &name.to_string(), 0, &1).await;
            lost.push(matches!(update, Update::Unknown(_)));
        }
        runs.push(lost);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].contains(&true) && runs[0].contains(&false));
}
