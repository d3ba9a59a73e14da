//! Mutual TLS with entries.

#[path = "../../runtime/tests/support/pki.rs"]
mod pki;
mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use berylgw_agent::process;
use berylgw_core::host;
use berylgw_core::service::Kind;
use berylgw_runtime::tls::{Connector, PeerCredentials, incoming};
use berylgw_wire as wire;
use pki::{Authority, Files};
use support::{Backend, Entry, collect, last, refusal, request, settings, sheet};
use tokio::net::TcpListener;
use tonic::Code;
use tonic::transport::{Channel, Endpoint, Server};
use wire::agent_client::AgentClient;

fn load(files: &Files) -> Arc<PeerCredentials> {
    Arc::new(PeerCredentials::load(&files.peers()).unwrap())
}

/// Starts an entry that is followed over TLS.
async fn entry(files: &Files) -> (Entry, SocketAddr) {
    let entry = Entry {
        objects: Default::default(),
        sends_updates: true,
        followed: Arc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = wire::sync_server::SyncServer::new(entry.clone());
    let connections = incoming(listener, Some(load(files)), 8);
    let server = Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(connections));
    (entry, address)
}

async fn client(address: SocketAddr, files: &Files) -> AgentClient<Channel> {
    AgentClient::new(channel(address, files).await)
}

async fn channel(address: SocketAddr, files: &Files) -> Channel {
    let connector = Connector::new(address, Some(load(files)), Arc::new(|_| Some("s".into())));
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    endpoint.connect_with_connector(connector).await.unwrap()
}

fn sender(name: &str, config_version: u64) -> Option<wire::Sender> {
    Some(wire::Sender {
        name: name.to_owned(),
        incarnation: 1,
        config_version,
    })
}

/// Guards against requests of a process that uses the name of another, and of one
/// that is not an entry of the sheet.
#[tokio::test]
async fn dispatch_sender_names() {
    let authority = Authority::new();
    let files = |name| Files::new("dispatch_sender_names", name, &authority, &authority);
    let (own, friend, stranger) = (files("s"), files("e1"), files("e7"));
    let (entry, entry_address) = entry(&friend).await;
    let (_backend, server) = Backend::start().await;
    let mut sheet = sheet(Kind::Plain, 4, 2);
    sheet.entries.push(host::Entry {
        name: "e1".into(),
        domain: "d".into(),
        address: "127.0.0.1:2".parse().unwrap(),
        peer_address: entry_address,
    });
    entry.publish_sheet(1, &sheet);
    let mut settings = settings(vec![entry_address], server);
    settings.tls.peers = Some(own.peers());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(process::serve(settings, listener, std::future::pending()));

    let mut friendly = client(address, &friend).await;
    let mut strange = client(address, &stranger).await;
    let mut version = 0;
    while version < 1 {
        let sender = sender("e1", 0);
        let reply = friendly.probe(wire::ProbeRequest { sender }).await.unwrap();
        version = reply.into_inner().sender.unwrap().config_version;
    }
    let mut work = request(1, "r1", "x");
    work.sender = sender("e1", 1);
    let frames = friendly.dispatch(work.clone()).await.unwrap();
    assert!(last(&collect(frames.into_inner()).await).is_some());

    let error = strange.dispatch(work.clone()).await.unwrap_err();
    assert_eq!(
        error.code(),
        Code::PermissionDenied,
        "name of another entry"
    );
    work.sender = sender("e7", 1);
    let error = strange.dispatch(work.clone()).await.unwrap_err();
    assert_eq!(error.code(), Code::PermissionDenied, "not in the sheet");
    let probe = wire::ProbeRequest { sender: None };
    let error = strange.probe(probe).await.unwrap_err();
    assert_eq!(error.code(), Code::PermissionDenied, "no sender");

    let order = wire::OrderRequest {
        sender: sender("e7", 1),
        ..Default::default()
    };
    let channel = channel(address, &stranger).await;
    let error = wire::engine_client::EngineClient::new(channel)
        .order(order)
        .await
        .unwrap_err();
    assert_eq!(error.code(), Code::PermissionDenied, "order of a stranger");

    // A sender with a newer configuration is checked against that configuration.
    // Whether it has arrived when the message comes does not matter.
    entry.publish_sheet(2, &sheet);
    work.sender = sender("e7", 2);
    match strange.dispatch(work).await {
        Err(status) => assert_eq!(status.code(), Code::PermissionDenied),
        Ok(frames) => {
            let (reason, outcome) = refusal(&collect(frames.into_inner()).await).unwrap();
            assert_eq!(reason, "agent_unreachable");
            assert_eq!(outcome, wire::Outcome::NotRun);
        }
    }
}
