//! Credentials from certificate and key files.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};

use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::Deserialize;

use super::client::ChainVerifier;

/// A file that cannot be used for TLS.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {cause}")]
pub struct Error {
    file: String,
    cause: String,
}

impl Error {
    fn new(file: &Path, cause: impl fmt::Display) -> Self {
        Error {
            file: file.display().to_string(),
            cause: cause.to_string(),
        }
    }
}

/// PEM files for connections from callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerFiles {
    /// Certificate chain, the server's own certificate first.
    pub certificate: PathBuf,
    /// Private key of the first certificate.
    pub key: PathBuf,
}

/// PEM files for connections between berylgw processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerFiles {
    /// Certificate chain; the first certificate names this process.
    pub certificate: PathBuf,
    /// Private key of the first certificate.
    pub key: PathBuf,
    /// Certificates of the authorities that sign the certificates of all processes.
    pub authority: PathBuf,
}

/// TLS configuration for accepted and for opened connections between processes.
#[derive(Debug)]
pub struct PeerConfig {
    pub(super) server: Arc<ServerConfig>,
    pub(super) client: Arc<ClientConfig>,
}

/// Builds credentials from the paths and contents of their files.
type Build<T> = fn(&[PathBuf], &[Vec<u8>]) -> Result<T, Error>;

/// Credentials read from files, replaced by [`Credentials::reload`].
pub struct Credentials<T> {
    paths: Vec<PathBuf>,
    build: Build<T>,
    current: RwLock<(Vec<Vec<u8>>, Arc<T>)>,
}

/// Credentials for connections from callers.
pub type CallerCredentials = Credentials<ServerConfig>;

/// Credentials for connections with other berylgw processes.
pub type PeerCredentials = Credentials<PeerConfig>;

impl<T> fmt::Debug for Credentials<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Omits the contents, which include a private key.
        f.debug_struct("Credentials")
            .field("paths", &self.paths)
            .finish_non_exhaustive()
    }
}

impl<T> Credentials<T> {
    fn read(paths: Vec<PathBuf>, build: Build<T>) -> Result<Self, Error> {
        let contents = read_all(&paths)?;
        let value = Arc::new(build(&paths, &contents)?);
        Ok(Credentials {
            paths,
            build,
            current: RwLock::new((contents, value)),
        })
    }

    /// Returns the current credentials.
    pub fn current(&self) -> Arc<T> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.1.clone()
    }

    /// Reads the files again and returns whether they have changed.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be used; the previous credentials stay current.
    pub fn reload(&self) -> Result<bool, Error> {
        let contents = read_all(&self.paths)?;
        let unchanged = |current: &(Vec<Vec<u8>>, _)| current.0 == contents;
        if unchanged(&self.current.read().unwrap_or_else(PoisonError::into_inner)) {
            return Ok(false);
        }
        let value = Arc::new((self.build)(&self.paths, &contents)?);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = (contents, value);
        Ok(true)
    }
}

impl CallerCredentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or certificate and key do not match.
    pub fn load(files: &CallerFiles) -> Result<Self, Error> {
        let paths = vec![files.certificate.clone(), files.key.clone()];
        Credentials::read(paths, |paths, contents| {
            let (chain, key) = key_pair(paths, contents)?;
            let mut config = server_builder(&paths[0])?
                .with_no_client_auth()
                .with_single_cert(chain, key)
                .map_err(|error| Error::new(&paths[0], error))?;
            config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
            Ok(config)
        })
    }
}

impl PeerCredentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or certificate and key do not match.
    pub fn load(files: &PeerFiles) -> Result<Self, Error> {
        let paths = vec![
            files.certificate.clone(),
            files.key.clone(),
            files.authority.clone(),
        ];
        Credentials::read(paths, |paths, contents| {
            let (chain, key) = key_pair(paths, contents)?;
            let authority_error = |error: &dyn fmt::Display| Error::new(&paths[2], error);
            let mut roots = RootCertStore::empty();
            for certificate in certificates(&paths[2], &contents[2])? {
                roots
                    .add(certificate)
                    .map_err(|error| authority_error(&error))?;
            }
            let roots = Arc::new(roots);
            let verifier =
                WebPkiClientVerifier::builder_with_provider(roots.clone(), provider().into())
                    .build()
                    .map_err(|error| authority_error(&error))?;
            let mut server_config = server_builder(&paths[0])?
                .with_client_cert_verifier(verifier)
                .with_single_cert(chain.clone(), key.clone_key())
                .map_err(|error| Error::new(&paths[0], error))?;
            server_config.alpn_protocols = vec![b"h2".to_vec()];
            let mut client_config = ClientConfig::builder_with_provider(provider().into())
                .with_safe_default_protocol_versions()
                .map_err(|error| Error::new(&paths[0], error))?
                .dangerous()
                .with_custom_certificate_verifier(Arc::new(ChainVerifier::new(roots)))
                .with_client_auth_cert(chain, key)
                .map_err(|error| Error::new(&paths[0], error))?;
            client_config.alpn_protocols = vec![b"h2".to_vec()];
            // A resumed session would keep a replaced certificate in use.
            client_config.resumption = rustls::client::Resumption::disabled();
            server_config.send_tls13_tickets = 0;
            Ok(PeerConfig {
                server: Arc::new(server_config),
                client: Arc::new(client_config),
            })
        })
    }
}

pub(super) fn provider() -> CryptoProvider {
    ring::default_provider()
}

fn server_builder(
    file: &Path,
) -> Result<rustls::ConfigBuilder<ServerConfig, rustls::WantsVerifier>, Error> {
    ServerConfig::builder_with_provider(provider().into())
        .with_safe_default_protocol_versions()
        .map_err(|error| Error::new(file, error))
}

fn read_all(paths: &[PathBuf]) -> Result<Vec<Vec<u8>>, Error> {
    let read = |path: &PathBuf| std::fs::read(path).map_err(|error| Error::new(path, error));
    paths.iter().map(read).collect()
}

/// Certificate chain and the private key of its first certificate.
type KeyPair = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

fn key_pair(paths: &[PathBuf], contents: &[Vec<u8>]) -> Result<KeyPair, Error> {
    let chain = certificates(&paths[0], &contents[0])?;
    let key = PrivateKeyDer::from_pem_slice(&contents[1])
        .map_err(|error| Error::new(&paths[1], format!("no private key in PEM: {error}")))?;
    Ok((chain, key))
}

fn certificates(path: &Path, content: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(content).collect();
    let parsed = parsed.map_err(|error| Error::new(path, error))?;
    if parsed.is_empty() {
        return Err(Error::new(path, "no certificate in PEM"));
    }
    Ok(parsed)
}
