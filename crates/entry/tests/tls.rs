//! TLS towards callers and mutual TLS with other processes.

mod common;
#[path = "../../runtime/tests/support/pki.rs"]
mod pki;

use std::net::SocketAddr;
use std::sync::Arc;

use berylgw_entry::{Entry, Tls};
use berylgw_runtime::tls::{Connector, PeerCredentials};
use berylgw_wire as wire;
use common::{FakePlatform, TOKEN, any_port, settings, sheet, short_limits};
use pki::{Authority, Files};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tonic::Code;
use wire::sync_client::SyncClient;

struct Running {
    callers: SocketAddr,
    peers: SocketAddr,
    _platform: FakePlatform,
}

async fn start(tls: Tls) -> Running {
    let entries = [
        ("e1", "127.0.0.1:1".parse().unwrap()),
        ("e2", "127.0.0.1:2".parse().unwrap()),
    ];
    let (platform, address) = FakePlatform::start(sheet(&[any_port()], &entries)).await;
    let mut settings = settings(address, short_limits());
    settings.tls = tls;
    let entry = Entry::bind(settings).await.unwrap();
    let running = Running {
        callers: entry.callers().unwrap(),
        peers: entry.peers().unwrap(),
        _platform: platform,
    };
    tokio::spawn(entry.run(std::future::pending()));
    running
}

async fn pull(address: SocketAddr, files: &Files, sender: &str) -> Result<u64, Code> {
    let peers = Arc::new(PeerCredentials::load(&files.peers()).unwrap());
    let connector = Connector::new(address, Some(peers), Arc::new(|_| None));
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}")).unwrap();
    let channel = endpoint.connect_with_connector(connector).await.unwrap();
    let sender = wire::Sender {
        name: sender.to_owned(),
        ..Default::default()
    };
    let request = wire::PullRequest {
        sender: Some(sender),
        since: 0,
        ..Default::default()
    };
    let reply = SyncClient::new(channel).pull(request).await;
    reply
        .map(|reply| reply.into_inner().version)
        .map_err(|status| status.code())
}

/// Guards against a configuration sent to a process that uses the name of
/// another one or is not in the sheet.
#[tokio::test]
async fn pull_sender_names() {
    let test = "pull_sender_names";
    let authority = Authority::new();
    let files = |name| Files::new(test, name, &authority, &authority);
    let (own, peer, stranger) = (files("e1"), files("e2"), files("e7"));
    let entry = start(Tls {
        peers: Some(own.peers()),
        ..Tls::default()
    })
    .await;
    while pull(entry.peers, &peer, "e2").await.unwrap() == 0 {
        tokio::task::yield_now().await;
    }
    let refused = Err(Code::PermissionDenied);
    assert_eq!(pull(entry.peers, &peer, "e1").await, refused);
    assert_eq!(pull(entry.peers, &stranger, "e2").await, refused);
    assert_eq!(pull(entry.peers, &stranger, "e7").await, refused);
}

/// Guards against a callers' interface that accepts plain connections although
/// certificates are configured.
#[tokio::test]
async fn callers_over_tls() {
    let authority = Authority::new();
    let files = Files::new("callers_over_tls", "localhost", &authority, &authority);
    let entry = start(Tls {
        callers: Some(files.callers()),
        ..Tls::default()
    })
    .await;
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(authority.pem().as_bytes()).unwrap())
        .unwrap();
    let provider = rustls::crypto::ring::default_provider();
    let config = rustls::ClientConfig::builder_with_provider(provider.into())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name = ServerName::try_from("localhost").unwrap();
    let mut answer = String::new();
    while !answer.starts_with("HTTP/1.1 200") {
        let stream = TcpStream::connect(entry.callers).await.unwrap();
        let mut stream = connector.connect(name.clone(), stream).await.unwrap();
        let head = format!(
            "GET /v1/directory HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {TOKEN}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        answer.clear();
        stream.read_to_string(&mut answer).await.unwrap();
    }
    assert!(answer.contains("lifetime_ms"), "{answer}");
    let mut plain = TcpStream::connect(entry.callers).await.unwrap();
    plain.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    // The entry ends the connection; whether by FIN or RST does not matter.
    let _ = plain.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP"));
}
