//! Identity of the process at the other end of a connection.

use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;
use tonic::{Extensions, Status};

/// Identity of the process at the other end of a connection.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Verified certificate; `None` for a plain connection.
    certificate: Option<CertificateDer<'static>>,
}

impl Peer {
    pub(super) fn from_chain(chain: Option<&[CertificateDer<'static>]>) -> Self {
        let certificate = chain.and_then(|chain| chain.first());
        Peer {
            certificate: certificate.cloned(),
        }
    }

    /// Returns whether the certificate is for `name`; a plain connection is trusted.
    pub fn is_named(&self, name: &str) -> bool {
        let Some(certificate) = &self.certificate else {
            return true;
        };
        let Ok(name) = ServerName::try_from(name) else {
            return false;
        };
        ParsedCertificate::try_from(certificate)
            .is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
    }

    /// Returns whether the peer presented a verified certificate.
    pub fn is_authenticated(&self) -> bool {
        self.certificate.is_some()
    }
}

/// Checks that a message comes from the process that it names as its sender.
///
/// `known` returns whether the sheet has the name. A message over a plain
/// connection is always accepted.
///
/// # Errors
///
/// Fails with `PERMISSION_DENIED` if the certificate is for another name, no
/// sender is named or the name is unknown.
pub fn check_sender(
    extensions: &Extensions,
    sender: Option<&str>,
    known: impl FnOnce(&str) -> bool,
) -> Result<(), Status> {
    let Some(peer) = extensions.get::<Peer>() else {
        return Ok(());
    };
    if !peer.is_authenticated() {
        return Ok(());
    }
    let Some(sender) = sender else {
        return Err(Status::permission_denied("the message names no sender"));
    };
    if !peer.is_named(sender) {
        let message = format!("the certificate of the connection is not for {sender:?}");
        return Err(Status::permission_denied(message));
    }
    if !known(sender) {
        let message = format!("{sender:?} is not an entry or server in the sheet");
        return Err(Status::permission_denied(message));
    }
    Ok(())
}
