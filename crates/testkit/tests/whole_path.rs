//! Requests through all processes: caller, entry, agent, engine or plain service.

use berylgw_core::client::token_digest;
use berylgw_core::outcome::{Outcome, Reason};
use berylgw_testkit::client::{Call, Client, Error, Stream};
use berylgw_testkit::cluster::{Cluster, Extra};
use berylgw_testkit::engine::answer;
use berylgw_testkit::service::Execution;
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

const STREAMS: usize = 200;
const BOOKINGS: usize = 50;
const TOKENS: u32 = 24;

/// Streams that run while their entry is stopped, and their length in tokens.
const STOPPED_STREAMS: usize = 20;
const LONG_TOKENS: u32 = 300;

/// Requests per second of the small account.
const SMALL_RATE: u32 = 3;

const ACCOUNTS: [&str; 4] = [
    "grower-redhill",
    "packhouse-north",
    "dock-greenline",
    "driver-route-1",
];

/// Two entries, two models with a rank group of four each and two plain services.
fn sheet() -> String {
    let mut rows = vec![
        "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,\
         limit,cold_limit,weight,rate,concurrency,token_sha256"
            .to_owned(),
        "domain,wash-shed,r,,,,,,,,,,,,,,".to_owned(),
        "domain,office-loft,r,,,,,,,,,,,,,,".to_owned(),
        "entry,e1,,wash-shed,,127.9.9.9:1,127.9.9.9:2,,,,,,,,,,".to_owned(),
        "entry,e2,,office-loft,,127.9.9.9:3,127.9.9.9:4,,,,,,,,,,".to_owned(),
    ];
    let mut port = 100;
    for (service, kind, servers) in [
        ("draft-llm", "model", 4),
        ("drafting-llm", "model", 4),
        ("yard-app", "plain", 2),
        ("permit-app", "plain", 2),
    ] {
        rows.push(format!("service,{service},r,,,,,{kind},enforced,,,,,,,,"));
        for index in 0..servers {
            port += 1;
            let domain = ["wash-shed", "office-loft"][index % 2];
            let rank = if kind == "model" {
                format!("{service}-group,{index}")
            } else {
                ",".to_owned()
            };
            rows.push(format!(
                "server,{service}-{index},,{domain},{service},127.9.9.9:{port},,,,{rank},32,8,,,,"
            ));
        }
    }
    for account in ACCOUNTS {
        let digest = token_digest(&format!("{account}-token"));
        rows.push(format!(
            "account,{account},,,,,,,,,,,,1,10000,1000,{digest}"
        ));
        for service in ["draft-llm", "drafting-llm", "yard-app"] {
            rows.push(format!("grant,{account},,,{service},,,,,,,,,,,,"));
        }
    }
    let digest = token_digest("driver-route-9-token");
    rows.push(format!(
        "account,driver-route-9,,,,,,,,,,,,1,{SMALL_RATE},8,{digest}"
    ));
    rows.push("grant,driver-route-9,,,yard-app,,,,,,,,,,,,".to_owned());
    rows.push("grant,packhouse-north,,,permit-app,,,,,,,,,,,,".to_owned());
    rows.push(String::new());
    rows.join("\n")
}

async fn start() -> Cluster {
    let engine = ["--capacity", "32", "--cold-capacity", "8"]
        .map(str::to_owned)
        .to_vec();
    let extra = Extra {
        engine,
        ..Extra::default()
    };
    Cluster::start(&sheet(), &extra).await.unwrap()
}

/// A caller of one of the entries, with one of the accounts.
fn client(cluster: &Cluster, index: usize) -> Client {
    let entry = &cluster.entries[index % cluster.entries.len()];
    Client::new(
        entry.address,
        format!("{}-token", ACCOUNTS[index / 2 % ACCOUNTS.len()]),
    )
}

/// Waits for the retry delay of a refusal; any other error, or an outcome that
/// is not in `allowed`, fails the test.
async fn wait_for_retry(error: Error, allowed: &[Outcome]) {
    let Error::Refused(refusal) = error else {
        panic!("{error}");
    };
    assert!(allowed.contains(&refusal.outcome), "{refusal}");
    assert!(!refusal.retry_after.is_zero(), "{refusal}");
    tokio::time::sleep(refusal.retry_after).await;
}

async fn open(client: &Client, model: &str, prompt: &str, tokens: u32) -> Stream {
    loop {
        match client.stream(model, prompt, tokens).await {
            Ok(stream) => return stream,
            Err(error) => wait_for_retry(error, &[Outcome::NotRun]).await,
        }
    }
}

/// Repeats a booking until it succeeds; the idempotency key makes a resend safe.
async fn book_until_done(client: &Client, service: &str, booking: &str) -> Value {
    loop {
        match book(client, service, booking).await {
            Ok(answer) => return answer,
            Err(error) => wait_for_retry(error, &[Outcome::NotRun, Outcome::Unknown]).await,
        }
    }
}

async fn book(client: &Client, service: &str, booking: &str) -> Result<Value, Error> {
    let call = Call {
        service,
        method: Method::POST,
        path: "bookings",
        key: Some(booking),
        sending: Some(1),
        ticket: None,
        body: json!({ "booking": booking }),
    };
    client.call(call).await
}

/// Guards against answers that are mixed up, truncated or repeated when many
/// accounts use both entries at the same time, and against bookings that run
/// twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serve_many_at_once() {
    let mut cluster = start().await;
    let mut running = JoinSet::new();
    for index in 0..STREAMS {
        let client = client(&cluster, index);
        running.spawn(async move {
            let model = ["draft-llm", "drafting-llm"][index % 2];
            let prompt = format!("Summarise note {index} of the morning.");
            let answer = open(&client, model, &prompt, TOKENS)
                .await
                .rest()
                .await
                .unwrap();
            assert_eq!(
                answer.text,
                answer::text(&prompt, TOKENS as usize),
                "{prompt}"
            );
        });
    }
    for index in 0..BOOKINGS {
        let client = client(&cluster, index);
        running.spawn(async move {
            let booking = format!("pickup-{index}");
            let answer = book_until_done(&client, "yard-app", &booking).await;
            assert_eq!(answer["booking"], *booking);
            assert_eq!(answer["confirmed"], true);
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
    let service = cluster.fake("yard-app").unwrap();
    let executions: Vec<Execution> = service.control.get("/executions").await.unwrap();
    assert_eq!(executions.len(), BOOKINGS);
    assert!(executions.iter().all(|execution| execution.count == 1));
    cluster.stop().await.unwrap();
}

/// Guards against a service that is reachable, or reveals that it exists,
/// without a grant.
#[tokio::test]
async fn call_without_grant() {
    let mut cluster = start().await;
    let granted = client(&cluster, 2);
    book_until_done(&granted, "permit-app", "fee-1").await;
    let other = client(&cluster, 0);
    let mut refusals = Vec::new();
    for service in ["permit-app", "no-such-app"] {
        let error = book(&other, service, "fee-2").await.unwrap_err();
        let refusal = error.refusal().expect("a refusal").clone();
        assert_eq!(refusal.reason, Reason::UnknownService);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        refusals.push(refusal.message);
    }
    assert_eq!(refusals[0], refusals[1]);
    cluster.stop().await.unwrap();
}

/// Guards against a burst divided by the number of entries: a caller uses one
/// entry, so the first requests of small accounts were refused.
#[tokio::test]
async fn burst_of_small_account() {
    let mut cluster = start().await;
    book_until_done(&client(&cluster, 0), "yard-app", "ready").await;
    let small = Client::new(cluster.entries[0].address, "driver-route-9-token");
    for index in 0..SMALL_RATE {
        book(&small, "yard-app", &format!("small-{index}"))
            .await
            .unwrap();
    }
    cluster.stop().await.unwrap();
}

/// Guards against a stop of an entry that truncates running streams.
#[tokio::test]
async fn stop_entry_in_stream() {
    let mut cluster = start().await;
    let mut streams = Vec::new();
    for index in 0..STOPPED_STREAMS {
        let client = client(&cluster, 2 * index);
        let prompt = format!("Draft the long return summary {index}.");
        let mut stream = open(&client, "draft-llm", &prompt, LONG_TOKENS).await;
        let first = stream.next().await.unwrap().expect("a token");
        streams.push((prompt, first, stream));
    }
    cluster.entries[0].process.signal(Signal::SIGTERM).unwrap();
    for (prompt, first, stream) in streams {
        let rest = stream.rest().await.unwrap();
        assert_eq!(
            first + &rest.text,
            answer::text(&prompt, LONG_TOKENS as usize),
            "{prompt}"
        );
    }
    let status = cluster.entries[0].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
}
