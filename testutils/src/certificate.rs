//! TLS test files: a certificate authority, and a certificate for 127.0.0.1 that it signed.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process;

use lavendergauge_net::tls::Files;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;

/// A temporary folder with PEM files of an authority, a certificate and its key.
/// Dropping it removes the folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

impl Folder {
    /// Creates a folder with a new authority and certificate.
    ///
    /// `name` must be unique within the test process, whose id is part of the folder's name too.
    ///
    /// # Panics
    /// When a certificate cannot be generated or a file cannot be written.
    pub fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("lavendergauge-{name}-{}", process::id()));
        fs::create_dir_all(&path).expect("folder");
        let folder = Folder { path };
        folder.renew();
        folder
    }

    /// Generates a new authority and certificate, and overwrites the files with them.
    ///
    /// # Panics
    /// When a certificate cannot be generated or a file cannot be written.
    pub fn renew(&self) {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("key");
        let authority = CertifiedIssuer::self_signed(params, key).expect("authority");
        let key = KeyPair::generate().expect("key");
        let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("parameters");
        let own = params.signed_by(&key, &authority).expect("certificate");
        let files = self.files();
        fs::write(self.authority(), authority.pem()).expect("write");
        fs::write(&files.certificate, own.pem()).expect("write");
        fs::write(&files.key, key.serialize_pem()).expect("write");
    }

    /// Returns the paths of the certificate and its private key.
    pub fn files(&self) -> Files {
        Files { certificate: self.path.join("own.pem"), key: self.path.join("own.key") }
    }

    /// Returns the path of the authority's certificate, which clients trust.
    pub fn authority(&self) -> PathBuf {
        self.path.join("authority.pem")
    }

    /// Returns the `[tls]` section of a settings file that uses these files.
    pub fn section(&self) -> String {
        let path = self.path.display();
        format!(
            "[tls]\ncertificate = {path}/own.pem\nkey = {path}/own.key\n\
             authority = {path}/authority.pem\n"
        )
    }
}
