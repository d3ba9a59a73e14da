//! Certificate authority and credential files of processes for tests.
#![allow(dead_code, missing_docs)]

use std::path::PathBuf;

use berylgw_runtime::tls::{CallerFiles, PeerFiles};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Authority(CertifiedIssuer::self_signed(params, key).unwrap())
    }

    pub fn pem(&self) -> String {
        self.0.pem()
    }

    /// Issues a certificate for a name; returns certificate and key in PEM.
    pub fn issue(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.0).unwrap();
        (certificate.pem(), key.serialize_pem())
    }
}

/// Credential files of one process, in a directory of the test.
pub struct Files(PathBuf);

impl Files {
    /// Writes the files of process `name`, whose certificate is issued by `own`
    /// and which trusts `trusted`.
    pub fn new(test: &str, name: &str, own: &Authority, trusted: &Authority) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let files = Files(directory.join(name));
        std::fs::create_dir_all(&files.0).unwrap();
        files.write(name, own, trusted);
        files
    }

    pub fn write(&self, name: &str, own: &Authority, trusted: &Authority) {
        let (certificate, key) = own.issue(name);
        self.put("certificate.pem", &certificate);
        self.put("key.pem", &key);
        self.put("authority.pem", &trusted.pem());
    }

    pub fn put(&self, file: &str, text: &str) {
        std::fs::write(self.0.join(file), text).unwrap();
    }

    pub fn peers(&self) -> PeerFiles {
        PeerFiles {
            certificate: self.0.join("certificate.pem"),
            key: self.0.join("key.pem"),
            authority: self.0.join("authority.pem"),
        }
    }

    pub fn callers(&self) -> CallerFiles {
        CallerFiles {
            certificate: self.0.join("certificate.pem"),
            key: self.0.join("key.pem"),
        }
    }
}
