//! Failure modes of the fake plain service.

use berylgw_testkit::control;
use berylgw_testkit::launch::{self, Process};
use berylgw_testkit::service::{Execution, Stats};
use serde_json::{Value, json};

async fn service(args: &[&str]) -> (Process, Vec<control::Client>, control::Client) {
    let fixed = ["--servers", "2"];
    let process = launch::start("fake-service", fixed.iter().chain(args)).unwrap();
    let control = control::Client::new(process.address("control").await.unwrap());
    let servers = process.addresses("service", 2).await.unwrap();
    (
        process,
        servers.into_iter().map(control::Client::new).collect(),
        control,
    )
}

async fn book(server: &control::Client, booking: &str) -> Result<Value, control::Error> {
    server
        .post("/bookings", &json!({"booking": booking, "crates": 3}))
        .await
}

async fn executions(control: &control::Client) -> Vec<(String, u64)> {
    let rows: Vec<Execution> = control.get("/executions").await.unwrap();
    rows.into_iter()
        .map(|row| (row.booking, row.count))
        .collect()
}

/// Guards against executions that are not counted across servers.
#[tokio::test]
async fn bookings_counted() {
    let (_process, servers, control) = service(&[]).await;
    let first = book(&servers[0], "b1").await.unwrap();
    assert_eq!(
        first,
        json!({"booking": "b1", "confirmed": true, "serial": 1})
    );
    book(&servers[1], "b1").await.unwrap();
    assert_eq!(executions(&control).await, [("b1".to_owned(), 2)]);
}

/// Guards against lost answers whose booking was not run.
#[tokio::test]
async fn bookings_with_lost_answer() {
    let (_process, servers, control) = service(&["--restart-ms", "20"]).await;
    for (index, fault) in ["crash_after_run", "drop_answers"].iter().enumerate() {
        control.fault(json!({*fault: 1})).await.unwrap();
        let booking = format!("b{index}");
        // The first server refuses connections while it restarts.
        assert!(book(&servers[index], &booking).await.is_err());
        assert_eq!(executions(&control).await[index], (booking, 1));
    }
    while book(&servers[0], "again").await.is_err() {}
    let stats: Vec<Stats> = control.get("/servers").await.unwrap();
    assert_eq!((stats[0].crashes, stats[1].crashes), (1, 0));
}

/// Guards against a server that survives more than it can hold.
#[tokio::test]
async fn server_overfilled() {
    let (_process, servers, control) = service(&["--capacity", "1", "--work-ms", "600000"]).await;
    let held = tokio::spawn({
        let server = servers[0].clone();
        async move { book(&server, "held").await }
    });
    loop {
        let stats: Vec<Stats> = control.get("/servers").await.unwrap();
        if stats[0].in_flight == 1 {
            break;
        }
    }
    assert!(book(&servers[0], "second").await.is_err());
    assert!(held.await.unwrap().is_err());
    let stats: Vec<Stats> = control.get("/servers").await.unwrap();
    assert_eq!((stats[0].overfilled, stats[0].highest_in_flight), (1, 2));
    assert!(executions(&control).await.is_empty());
}

/// Guards against an unknown fault being ignored.
#[tokio::test]
async fn fault_unknown() {
    let (_process, _, control) = service(&[]).await;
    assert!(control.fault(json!({"slow": 1})).await.is_err());
}
