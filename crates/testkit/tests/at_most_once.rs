//! Bookings through real processes while answers are lost.

use berylgw_core::outcome::Outcome;
use berylgw_testkit::client::{Call, Client, Error};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::service::Execution;
use hyper::Method;
use serde_json::{Value, json};

const BOOKINGS: usize = 6;

const SHEET: &str = "\
kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,limit,cold_limit,weight,rate,concurrency,token_sha256
domain,d1,r,,,,,,,,,,,,,,
entry,e1,,d1,,127.0.0.1:1,127.0.0.1:1,,,,,,,,,,
entry,e2,,d1,,127.0.0.1:2,127.0.0.1:2,,,,,,,,,,
service,yard-app,r,,,,,plain,ignored,,,,,,,,
server,yard-app-1,,d1,yard-app,127.0.0.1:3,,,,,,32,4,,,,
server,yard-app-2,,d1,yard-app,127.0.0.1:4,,,,,,32,4,,,,
account,packhouse-north,,,,,,,,,,,,8,2000,128,6867ba35dbaddf422342610de922f377185d360b5de13da8bb959f7b038197f8
grant,packhouse-north,,,yard-app,,,,,,,,,,,,
";

async fn cluster() -> (Cluster, Vec<Client>) {
    let extra = Extra {
        proxied: true,
        ..Extra::default()
    };
    let cluster = Cluster::start(SHEET, &extra).await.unwrap();
    let client = |entry: &berylgw_testkit::cluster::Member| {
        Client::new(entry.address, "packhouse-north-token")
    };
    let clients = cluster.entries.iter().map(client).collect();
    (cluster, clients)
}

async fn book(client: &Client, booking: &str, sending: u32) -> Result<Value, Error> {
    let call = Call {
        service: "yard-app",
        method: Method::POST,
        path: "bookings",
        key: Some(booking),
        sending: Some(sending),
        ticket: None,
        body: json!({ "booking": booking }),
    };
    client.call(call).await
}

async fn executions(cluster: &Cluster, booking: &str) -> u64 {
    let service = cluster.fake("yard-app").unwrap();
    let all: Vec<Execution> = service.control.get("/executions").await.unwrap();
    let found = all.iter().find(|execution| execution.booking == booking);
    found.map_or(0, |execution| execution.count)
}

/// Checks the outcome `not run` against the executions of the service.
async fn check(cluster: &Cluster, booking: &str, error: &Error) {
    let refusal = error.refusal().expect("a refusal");
    if refusal.outcome == Outcome::NotRun {
        assert_eq!(executions(cluster, booking).await, 0, "false `not run`");
    }
}

/// Resends a booking through alternating entries until it succeeds.
async fn resend(cluster: &Cluster, clients: &[Client], booking: &str, from: u32) -> Value {
    for sending in from.. {
        match book(&clients[sending as usize % clients.len()], booking, sending).await {
            Ok(answer) => return answer,
            Err(error) => {
                check(cluster, booking, &error).await;
                tokio::time::sleep(error.refusal().unwrap().retry_after).await;
            }
        }
    }
    unreachable!("sendings do not end")
}

async fn drop_answers(cluster: &Cluster, on: bool) {
    for agent in &cluster.agents {
        let proxy = agent.proxy.as_ref().unwrap();
        let fault = json!({ "drop_answer": on });
        proxy.control.fault(fault).await.unwrap();
    }
}

/// Guards against a second run when the caller sends again to another entry
/// because the agent's answers were dropped, and against a false `not run`.
#[tokio::test]
async fn resend_answer_dropped() {
    let (mut cluster, clients) = cluster().await;
    let warm = resend(&cluster, &clients, "warm", 1).await;
    assert_eq!(resend(&cluster, &clients, "warm", 2).await, warm);
    for index in 0..BOOKINGS {
        let booking = format!("pickup-{index}");
        drop_answers(&cluster, true).await;
        let first = book(&clients[index % 2], &booking, 1).await;
        check(&cluster, &booking, &first.unwrap_err()).await;
        drop_answers(&cluster, false).await;
        let answer = resend(&cluster, &clients, &booking, 2 + index as u32).await;
        assert_eq!(answer["booking"], *booking);
        assert_eq!(executions(&cluster, &booking).await, 1, "{booking}");
        let other = &clients[(index + 1) % 2];
        assert_eq!(book(other, &booking, 3).await.unwrap(), answer);
    }
    cluster.stop().await.unwrap();
}
