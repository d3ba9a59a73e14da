//! Faults of the proxy, seen through the fake service behind it.

use std::net::SocketAddr;

use berylgw_testkit::control::{Client, Error};
use berylgw_testkit::launch::{self, Process};
use berylgw_testkit::service::Execution;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Path {
    _processes: [Process; 2],
    proxy: SocketAddr,
    faults: Client,
    service: Client,
}

async fn path() -> Path {
    let service = launch::start("fake-service", ["--servers", "1"]).unwrap();
    let upstream = service.address("service").await.unwrap().to_string();
    let proxy = launch::start("fault-proxy", ["--upstream", &upstream]).unwrap();
    Path {
        proxy: proxy.address("proxy").await.unwrap(),
        faults: Client::new(proxy.address("control").await.unwrap()),
        service: Client::new(service.address("control").await.unwrap()),
        _processes: [service, proxy],
    }
}

impl Path {
    /// Books over a new connection.
    async fn book(&self, booking: &str) -> Result<Value, Error> {
        let fresh = Client::new(self.proxy);
        fresh
            .post("/bookings", &json!({ "booking": booking }))
            .await
    }

    async fn executions(&self) -> Vec<String> {
        let rows: Vec<Execution> = self.service.get("/executions").await.unwrap();
        rows.into_iter().map(|row| row.booking).collect()
    }

    /// Opens a connection and waits for the first byte of an answer on it.
    async fn connection(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.proxy).await.unwrap();
        let request = b"GET /stock/crate HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(request).await.unwrap();
        stream.read_u8().await.unwrap();
        stream
    }
}

/// Guards against a delay that loses or reorders bytes.
#[tokio::test]
async fn delay_keeps_bytes() {
    let path = path().await;
    path.faults.fault(json!({"delay_ms": 5})).await.unwrap();
    let booking = "long ".repeat(20_000);
    let reply = path.book(&booking).await.unwrap();
    assert_eq!(reply["booking"], booking);
}

/// Guards against a cut that leaves connections open, and one that cannot be
/// cleared.
#[tokio::test]
async fn cut_closes_and_refuses() {
    let path = path().await;
    let mut open = path.connection().await;
    path.faults.fault(json!({"cut": true})).await.unwrap();
    let mut rest = Vec::new();
    // The rest of the answer, then the end or a reset; both end the wait.
    let _ = open.read_to_end(&mut rest).await;
    while TcpStream::connect(path.proxy).await.is_ok() {}
    path.faults.fault(json!({"clear": true})).await.unwrap();
    while path.book("after").await.is_err() {}
    assert_eq!(path.executions().await, ["after"]);
}

/// Guards against a lost answer whose request did not run.
#[tokio::test]
async fn drop_answer_runs_request() {
    let path = path().await;
    path.faults
        .fault(json!({"drop_answer": true}))
        .await
        .unwrap();
    assert!(path.book("b1").await.is_err());
    assert_eq!(path.executions().await, ["b1"]);
}

/// Guards against a freeze that thaws or affects new connections: the frozen
/// request never reaches the service while one sent later on a new connection
/// does.
#[tokio::test]
async fn freeze_existing_only() {
    let path = path().await;
    let mut frozen = path.connection().await;
    path.faults.fault(json!({"freeze": true})).await.unwrap();
    path.faults.fault(json!({"clear": true})).await.unwrap();
    let body = "{\"booking\":\"frozen\"}";
    let request = format!(
        "POST /bookings HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len(),
    );
    frozen.write_all(request.as_bytes()).await.unwrap();
    path.book("later").await.unwrap();
    assert_eq!(path.executions().await, ["later"]);
    // Still open: a write succeeds and no end of the stream was seen.
    frozen.write_all(b"x").await.unwrap();
}

/// Guards against new connections that work in a full freeze.
#[tokio::test]
async fn freeze_new_connections() {
    let path = path().await;
    let all = json!({"freeze": true, "freeze_new": true});
    path.faults.fault(all).await.unwrap();
    let mut silent = TcpStream::connect(path.proxy).await.unwrap();
    silent
        .write_all(b"GET /stock/a HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    // Connections that the proxy accepts after the clear work again.
    while path.faults.get::<u64>("/accepted").await.unwrap() < 1 {}
    path.faults.fault(json!({"clear": true})).await.unwrap();
    path.book("later").await.unwrap();
    let mut byte = [0];
    let error = silent.try_read(&mut byte).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}
