//! Configuration from the platform and from peers.

mod common;

use berylgw_wire as wire;
use common::{FakePlatform, TestEntry, any_port, settings, sheet, short_limits};
use tokio_stream::StreamExt;

fn closed() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).unwrap();
    listener.local_addr().unwrap()
}

async fn peer(rig: &TestEntry) -> wire::sync_client::SyncClient<tonic::transport::Channel> {
    let address = format!("http://{}", rig.peers);
    wire::sync_client::SyncClient::connect(address)
        .await
        .unwrap()
}

/// Guards against an entry that cannot start while the platform is down.
#[tokio::test]
async fn start_from_peer_without_platform() {
    let first = TestEntry::start(&[], short_limits()).await;
    let (platform, _) = FakePlatform::start(sheet(&[], &[])).await;
    let mut settings = settings(closed(), short_limits());
    settings.name = "e2".into();
    settings.seeds = vec![first.peers];
    let second = TestEntry::with(platform, settings).await;
    assert_eq!(second.call("GET", "/v1/directory", &[], "").await.0, 200);
}

/// Guards against a change that is not sent to followers.
#[tokio::test]
async fn follow_sends_change() {
    let rig = TestEntry::start(&[], short_limits()).await;
    let request = wire::PullRequest::default();
    let mut replies = peer(&rig).await.follow(request).await.unwrap().into_inner();
    let first = replies.next().await.unwrap().unwrap();
    assert_eq!((first.version, first.objects.len()), (7, 1));
    rig.platform.sheet.send_replace((9, sheet(&[], &[])));
    loop {
        let reply = replies.next().await.unwrap().unwrap();
        if reply.version == 9 {
            assert_eq!(reply.objects.len(), 1);
            break;
        }
        assert!(reply.objects.is_empty());
    }
}

/// Guards against the loss of the current configuration when a new one is
/// unreadable.
#[tokio::test]
async fn unreadable_sheet_keeps_last() {
    let rig = TestEntry::start(&[], short_limits()).await;
    let mut current = peer(&rig).await;
    rig.platform
        .sheet
        .send_replace((8, serde_json::json!({"bad": true})));
    while current
        .pull(wire::PullRequest::default())
        .await
        .unwrap()
        .into_inner()
        .version
        < 8
    {
        tokio::task::yield_now().await;
    }
    assert_eq!(rig.call("GET", "/v1/directory", &[], "").await.0, 200);
}

/// Guards against an account that exceeds its rate.
#[tokio::test]
async fn rate_limited_account() {
    let mut limited = sheet(&[], &[]);
    limited["accounts"][0]["rate"] = 1.into();
    let (platform, address) = FakePlatform::start(limited).await;
    let rig = TestEntry::with(platform, settings(address, short_limits())).await;
    let mut reasons = Vec::new();
    for _ in 0..3 {
        let (_, refusal) = rig.call("GET", "/services/p/x", &[], "").await;
        reasons.push(refusal["error"]["reason"].as_str().unwrap().to_owned());
    }
    assert_eq!(reasons[0], "no_server");
    assert!(
        reasons.iter().any(|reason| reason == "rate_limited"),
        "{reasons:?}"
    );
}
