//! Mutual TLS between processes.

#[path = "support/pki.rs"]
mod pki;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use berylgw_runtime::tls::{
    Connector, Incoming, Peer, PeerCredentials, Stream, check_sender, incoming,
};
use hyper_util::rt::TokioIo;
use pki::{Authority, Files};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::StreamExt;
use tonic::transport::server::Connected;
use tonic::{Code, Extensions};
use tower_service::Service;

async fn listen(credentials: &Arc<PeerCredentials>) -> (SocketAddr, Incoming) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (address, incoming(listener, Some(credentials.clone()), 8))
}

fn load(files: &Files) -> Arc<PeerCredentials> {
    Arc::new(PeerCredentials::load(&files.peers()).unwrap())
}

async fn connect(
    address: SocketAddr,
    credentials: &Arc<PeerCredentials>,
    expected: Option<&str>,
) -> io::Result<TokioIo<Stream>> {
    let expected: Option<Arc<str>> = expected.map(Into::into);
    let lookup = Arc::new(move |_| expected.clone());
    Connector::new(address, Some(credentials.clone()), lookup)
        .call(())
        .await
}

async fn exchange(from: &mut Stream, to: &mut Stream) {
    from.write_all(b"x").await.unwrap();
    from.flush().await.unwrap();
    assert_eq!(to.read_u8().await.unwrap(), b'x');
}

/// Guards against a failed connection between processes of the same authority.
#[tokio::test]
async fn peers_same_authority() {
    let authority = Authority::new();
    let server = Files::new("peers_same_authority", "e1", &authority, &authority);
    let client = Files::new("peers_same_authority", "s1", &authority, &authority);
    let (address, mut incoming) = listen(&load(&server)).await;
    let mut outgoing = connect(address, &load(&client), Some("e1"))
        .await
        .unwrap()
        .into_inner();
    let mut accepted = incoming.next().await.unwrap().unwrap();
    exchange(&mut outgoing, &mut accepted).await;
    exchange(&mut accepted, &mut outgoing).await;
    assert!(outgoing.connect_info().is_named("e1"));
    assert!(accepted.connect_info().is_named("s1"));
    assert!(!accepted.connect_info().is_named("e1"));
}

/// Guards against trust in a server certificate of another authority.
#[tokio::test]
async fn connector_wrong_authority_refused() {
    let (own, other) = (Authority::new(), Authority::new());
    let server = Files::new("connector_wrong_authority", "e1", &other, &own);
    let client = Files::new("connector_wrong_authority", "s1", &own, &own);
    let (address, _incoming) = listen(&load(&server)).await;
    let error = connect(address, &load(&client), Some("e1")).await;
    assert!(
        error
            .unwrap_err()
            .to_string()
            .contains("invalid peer certificate")
    );
}

/// Guards against accepting a client of another authority or without a
/// certificate.
#[tokio::test]
async fn incoming_wrong_authority_refused() {
    let (own, other) = (Authority::new(), Authority::new());
    let server = Files::new("incoming_wrong_authority", "e1", &own, &own);
    let untrusted = Files::new("incoming_wrong_authority", "s1", &other, &own);
    let trusted = Files::new("incoming_wrong_authority", "s2", &own, &own);
    let (address, mut incoming) = listen(&load(&server)).await;
    let mut refused = connect(address, &load(&untrusted), Some("e1"))
        .await
        .unwrap()
        .into_inner();
    refused.read_u8().await.unwrap_err();
    let mut plain = TcpStream::connect(address).await.unwrap();
    plain.write_all(b"PRI * HTTP/2.0\r\n\r\n").await.unwrap();
    let mut alert = Vec::new();
    // The server closes the connection, by FIN or RST.
    let _ = plain.read_to_end(&mut alert).await;
    let _outgoing = connect(address, &load(&trusted), None).await.unwrap();
    let served = incoming.next().await.unwrap().unwrap();
    assert!(
        served.connect_info().is_named("s2"),
        "only the trusted client is served"
    );
}

/// Guards against trust in a process that listens at the address of another one.
#[tokio::test]
async fn connector_other_name_refused() {
    let authority = Authority::new();
    let server = Files::new("connector_other_name", "e1", &authority, &authority);
    let client = Files::new("connector_other_name", "s1", &authority, &authority);
    let (address, _incoming) = listen(&load(&server)).await;
    let error = connect(address, &load(&client), Some("e2")).await;
    assert_eq!(error.unwrap_err().kind(), io::ErrorKind::PermissionDenied);
}

/// Guards against accepting a message whose sender is another process, is not in
/// the sheet or is missing.
#[tokio::test]
async fn check_sender_names() {
    let authority = Authority::new();
    let server = Files::new("check_sender", "e1", &authority, &authority);
    let client = Files::new("check_sender", "s1", &authority, &authority);
    let (address, mut incoming) = listen(&load(&server)).await;
    let _outgoing = connect(address, &load(&client), None).await.unwrap();
    let accepted = incoming.next().await.unwrap().unwrap();
    let mut extensions = Extensions::new();
    extensions.insert(accepted.connect_info());
    let code = |sender, known| {
        let checked = check_sender(&extensions, sender, |_| known);
        checked.map_err(|status| status.code())
    };
    assert_eq!(code(Some("s1"), true), Ok(()));
    assert_eq!(code(Some("s1"), false), Err(Code::PermissionDenied));
    assert_eq!(code(Some("s2"), true), Err(Code::PermissionDenied));
    assert_eq!(code(Some("not a name"), true), Err(Code::PermissionDenied));
    assert_eq!(code(None, true), Err(Code::PermissionDenied));
    let mut plain = Extensions::new();
    plain.insert(Peer::default());
    assert!(check_sender(&plain, Some("s2"), |_| false).is_ok());
}

/// Guards against a reload that closes open connections or has no effect on new
/// ones.
#[tokio::test]
async fn reload_new_connections_only() {
    let (old, new) = (Authority::new(), Authority::new());
    let server_files = Files::new("reload", "e1", &old, &old);
    let client_files = Files::new("reload", "s1", &old, &old);
    let (server, client) = (load(&server_files), load(&client_files));
    let (address, mut incoming) = listen(&server).await;
    let mut outgoing = connect(address, &client, None).await.unwrap().into_inner();
    let mut accepted = incoming.next().await.unwrap().unwrap();
    assert!(!server.reload().unwrap());
    server_files.write("e9", &new, &new);
    assert!(server.reload().unwrap());
    // The client still trusts only the old authority.
    connect(address, &client, None).await.unwrap_err();
    client_files.write("s1", &new, &new);
    assert!(client.reload().unwrap());
    let renewed = connect(address, &client, Some("e9")).await.unwrap();
    assert!(renewed.into_inner().connect_info().is_named("e9"));
    exchange(&mut outgoing, &mut accepted).await;
    exchange(&mut accepted, &mut outgoing).await;
}

/// Guards against a reload that reads files in the middle of their replacement
/// and loses the previous credentials.
#[tokio::test]
async fn reload_unusable_keeps_last() {
    let authority = Authority::new();
    let files = Files::new("reload_unusable", "e1", &authority, &authority);
    let credentials = load(&files);
    let (address, _incoming) = listen(&credentials).await;
    let (certificate, key) = authority.issue("e2");
    files.put("certificate.pem", &certificate);
    let error = credentials.reload().unwrap_err().to_string();
    assert!(error.contains("certificate.pem"), "{error}");
    connect(address, &credentials, Some("e1")).await.unwrap();
    files.put("key.pem", &key);
    assert!(credentials.reload().unwrap());
    connect(address, &credentials, Some("e2")).await.unwrap();
    files.put("key.pem", "");
    let error = credentials.reload().unwrap_err().to_string();
    assert!(error.contains("key.pem"), "{error}");
    connect(address, &credentials, Some("e2")).await.unwrap();
}
