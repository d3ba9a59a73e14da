//! Outgoing connections to other berylgw processes.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper_util::rt::TokioIo;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::verify_server_cert_signed_by_trust_anchor;
use rustls::crypto::{WebPkiSupportedAlgorithms, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::ParsedCertificate;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use super::files::{PeerCredentials, provider};
use super::peer::Peer;
use super::stream::Stream;

/// Verifies the chain of a server certificate but not its name. The name is
/// compared after the handshake, because the client may know an address before it
/// knows the name of the process there.
#[derive(Debug)]
pub(super) struct ChainVerifier {
    roots: Arc<RootCertStore>,
    algorithms: WebPkiSupportedAlgorithms,
}

impl ChainVerifier {
    pub(super) fn new(roots: Arc<RootCertStore>) -> Self {
        let algorithms = provider().signature_verification_algorithms;
        ChainVerifier { roots, algorithms }
    }
}

impl ServerCertVerifier for ChainVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let certificate = ParsedCertificate::try_from(end_entity)?;
        verify_server_cert_signed_by_trust_anchor(
            &certificate,
            &self.roots,
            intermediates,
            now,
            self.algorithms.all,
        )?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify_tls12_signature(message, certificate, signature, &self.algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify_tls13_signature(message, certificate, signature, &self.algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }
}

/// Looks up the name of the process at an address in the sheet, if it is known.
pub type NameLookup = Arc<dyn Fn(SocketAddr) -> Option<Arc<str>> + Send + Sync>;

/// Connects to one address, with mutual TLS if there are credentials.
///
/// For use with `tonic::transport::Endpoint::connect_with_connector`. The
/// credentials and the expected name are looked up for each connection.
#[derive(Clone)]
pub struct Connector {
    address: SocketAddr,
    credentials: Option<Arc<PeerCredentials>>,
    lookup_name: NameLookup,
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Connector {
    /// Creates a connector to `address`; connections are plain TCP without `credentials`.
    pub fn new(
        address: SocketAddr,
        credentials: Option<Arc<PeerCredentials>>,
        lookup_name: NameLookup,
    ) -> Self {
        Connector {
            address,
            credentials,
            lookup_name,
        }
    }

    async fn connect(self) -> io::Result<TokioIo<Stream>> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let Some(credentials) = self.credentials else {
            return Ok(TokioIo::new(Stream::plain(stream)));
        };
        let connector = TlsConnector::from(credentials.current().client.clone());
        let name = ServerName::from(self.address.ip());
        let stream = connector.connect(name, stream).await?;
        let peer = Peer::from_chain(stream.get_ref().1.peer_certificates());
        if let Some(expected) = (self.lookup_name)(self.address)
            && !peer.is_named(&expected)
        {
            let message = format!(
                "the certificate presented at {} is not for {expected:?}, which the sheet lists at that address",
                self.address
            );
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, message));
        }
        Ok(TokioIo::new(Stream::client(stream, peer)))
    }
}

impl<R> tower_service::Service<R> for Connector {
    type Response = TokioIo<Stream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: R) -> Self::Future {
        Box::pin(self.clone().connect())
    }
}
