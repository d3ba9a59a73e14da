//! A small cluster of real processes for tests of failures.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod bookings;
pub mod callers;

use std::path::{Path, PathBuf};
use std::time::Duration;

use berylgw_core::client::token_digest;
use berylgw_testkit::client::{Call, Client};
use berylgw_testkit::cluster::{Cluster, Extra, Member};
use berylgw_testkit::launch;
use berylgw_testkit::version::{Probe, probes};
use hyper::Method;
use serde_json::{Value, json};

pub const TOKEN: &str = "works-token";

/// Pause between two questions for a version.
pub const INTERVAL: Duration = Duration::from_millis(20);

pub const HEADER: &str = "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,\
    limit,cold_limit,weight,rate,concurrency,token_sha256";

/// Three entries and two servers of one service, in two failure domains.
pub fn sheet() -> String {
    let digest = token_digest(TOKEN);
    let entry = |name: &str, domain: &str, port: u16| {
        format!("entry,{name},,{domain},,127.9.9.9:{port},127.9.9.9:1{port},,,,,,,,,,")
    };
    let server = |name: &str, domain: &str, port: u16| {
        format!("server,{name},,{domain},app,127.9.9.9:{port},,,,,,16,4,,,,")
    };
    [
        HEADER.to_owned(),
        "domain,a,r,,,,,,,,,,,,,,".to_owned(),
        "domain,b,r,,,,,,,,,,,,,,".to_owned(),
        entry("e1", "a", 1001),
        entry("e2", "b", 1002),
        entry("e3", "a", 1003),
        "service,app,r,,,,,plain,ignored,,,,,,,,".to_owned(),
        server("s1", "a", 1004),
        server("s2", "b", 1005),
        format!("account,works,,,,,,,,,,,,1,100000,1000,{digest}"),
        "grant,works,,,app,,,,,,,,,,,,".to_owned(),
        String::new(),
    ]
    .join("\n")
}

/// Starts the cluster; every process acts on the sheet when it returns.
pub async fn start(proxied: bool) -> Cluster {
    let extra = Extra {
        proxied,
        proxied_entries: true,
        ..Extra::default()
    };
    start_with(&extra).await
}

/// Starts the cluster with other arguments and settings.
pub async fn start_with(extra: &Extra) -> Cluster {
    let cluster = Cluster::start(&sheet(), extra).await.unwrap();
    for probe in &mut probes(&cluster).await.unwrap() {
        probe.reached(1, INTERVAL).await.unwrap();
    }
    cluster
}

pub fn entry<'a>(cluster: &'a Cluster, name: &str) -> &'a Member {
    let mut entries = cluster.entries.iter();
    entries.find(|entry| &*entry.name == name).unwrap()
}

/// Cuts or restores the link of an entry to the platform.
pub async fn cut_platform(entry: &Member, cut: bool) {
    let link = &entry.links.as_ref().unwrap().platform;
    link.control.fault(json!({"cut": cut})).await.unwrap();
}

/// Cuts or restores the way of other processes to an entry.
pub async fn cut_peers(entry: &Member, cut: bool) {
    let link = &entry.links.as_ref().unwrap().peers;
    link.control.fault(json!({"cut": cut})).await.unwrap();
}

/// Writes the sheet of the cluster with another weight of the account.
pub fn weighted(cluster: &Cluster, weight: u32) -> PathBuf {
    let text = std::fs::read_to_string(cluster.sheet()).unwrap();
    let changed = text.replace(",1,100000,", &format!(",{weight},100000,"));
    assert_ne!(text, changed);
    let name = format!("weight-{}-{weight}.csv", cluster.platform.port());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, changed).unwrap();
    path
}

/// Runs the operator command line; returns its exit code and output.
pub async fn operate(cluster: &Cluster, args: &[&str]) -> (i32, Value) {
    let platform = cluster.platform.to_string();
    let common = ["--json", "--platform", &platform];
    let mut process = launch::start("berylgw", args.iter().chain(&common)).unwrap();
    let status = process.finish().await.unwrap();
    let output = process.recent().join("\n");
    let report = serde_json::from_str(&output).unwrap_or(Value::String(output));
    (status.code().unwrap(), report)
}

/// Runs a command that has to be accepted; returns the version.
pub async fn accepted(cluster: &Cluster, args: &[&str]) -> u64 {
    let (code, report) = operate(cluster, args).await;
    assert_eq!(code, 0, "{report}");
    report["version"].as_u64().unwrap()
}

pub async fn apply(cluster: &Cluster, weight: u32) -> u64 {
    let sheet = weighted(cluster, weight);
    accepted(cluster, &["apply", sheet.to_str().unwrap()]).await
}

/// Waits until all processes act on `version`.
pub async fn all_reach(probes: &mut [Probe], version: u64) {
    for probe in probes {
        probe.reached(version, INTERVAL).await.unwrap();
    }
}

pub fn caller(entry: &Member) -> Client {
    Client::new(entry.address, TOKEN)
}

/// A call that is dispatched at most once.
pub fn booking(id: &str) -> Call<'_> {
    Call {
        service: "app",
        method: Method::POST,
        path: "bookings",
        key: None,
        sending: None,
        ticket: None,
        body: json!({ "booking": id }),
    }
}
