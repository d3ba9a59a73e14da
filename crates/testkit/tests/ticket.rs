//! Bookings with tickets through real processes.

mod support;

use berylgw_core::outcome::{Outcome, Reason};
use berylgw_testkit::client::{Call, Client, Error};
use berylgw_testkit::cluster::Cluster;
use berylgw_testkit::service::Execution;
use hyper::Method;
use serde_json::{Value, json};

async fn book(client: &Client, ticket: &str, booking: &str) -> Result<Value, Error> {
    let call = Call {
        service: "app",
        method: Method::POST,
        path: "bookings",
        key: None,
        sending: None,
        ticket: Some(ticket),
        body: json!({ "booking": booking }),
    };
    client.call(call).await
}

/// Requests a ticket until an agent issues one.
async fn ticket(client: &Client, key: &str) -> String {
    loop {
        match client.ticket("app", key).await {
            Ok(issued) => return issued.ticket,
            Err(error) => tokio::time::sleep(error.refusal().unwrap().retry_after).await,
        }
    }
}

async fn executions(cluster: &Cluster, booking: &str) -> u64 {
    let service = cluster.fake("app").unwrap();
    let all: Vec<Execution> = service.control.get("/executions").await.unwrap();
    let found = all.iter().find(|execution| execution.booking == booking);
    found.map_or(0, |execution| execution.count)
}

async fn outage(cluster: &Cluster) {
    let fault = json!({ "outage": true });
    cluster.platform_fake.control.fault(fault).await.unwrap();
}

/// Guards against a ticket that runs twice, and against bookings with tickets
/// that stop in an outage of the platform.
#[tokio::test]
async fn ticket_used_twice_in_outage() {
    let mut cluster = support::start(false).await;
    outage(&cluster).await;
    let first = Client::new(cluster.entries[0].address, support::TOKEN);
    let other = Client::new(cluster.entries[1].address, support::TOKEN);
    for booking in ["pickup-1", "pickup-2", "pickup-3"] {
        let ticket = ticket(&first, booking).await;
        let answer = book(&first, &ticket, booking).await.unwrap();
        assert_eq!(answer["booking"], booking);
        let error = book(&other, &ticket, booking).await.unwrap_err();
        let refusal = error.refusal().expect("a refusal");
        assert_eq!(refusal.reason, Reason::TicketInvalid);
        assert_eq!(refusal.outcome, Outcome::Unknown);
        assert_eq!(executions(&cluster, booking).await, 1);
    }
    cluster.stop().await.unwrap();
}

/// Guards against a ticket that is valid at another server or after a restart of
/// its agent, which then cannot know whether it ran.
#[tokio::test]
async fn ticket_of_replaced_agent() {
    let mut cluster = support::start(false).await;
    let client = Client::new(cluster.entries[0].address, support::TOKEN);
    let ticket = ticket(&client, "pickup-1").await;
    let server = ticket.split_once(':').unwrap().0.to_owned();
    let mut agents = cluster.agents.iter_mut();
    let agent = agents.find(|agent| *agent.name == *server).unwrap();
    agent.restart().await.unwrap();
    let refusal = loop {
        let error = book(&client, &ticket, "pickup-1").await.unwrap_err();
        let refusal = error.refusal().expect("a refusal").clone();
        assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
        // Until the agent has its configuration, it refuses for other reasons.
        if refusal.reason == Reason::TicketInvalid {
            break refusal;
        }
        tokio::time::sleep(refusal.retry_after).await;
    };
    assert_eq!(refusal.outcome, Outcome::Unknown);
    assert_eq!(executions(&cluster, "pickup-1").await, 0);
    cluster.stop().await.unwrap();
}
