//! TLS for listeners and clients; a listener's PEM files can be replaced while the process runs.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::client;
use tokio_rustls::server;

/// Protocols that a listener offers, in order of preference.
const LISTENER_PROTOCOLS: [&[u8]; 2] = [b"h2", HTTP_1];
/// The protocol that lavendergauge's own clients use.
const HTTP_1: &[u8] = b"http/1.1";

/// Why a certificate or key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not PEM, or does not hold the expected certificate or key.
    #[error("{path}: {text}")]
    Pem {
        /// Path of the file.
        path: String,
        /// What is wrong.
        text: String,
    },
    /// The key does not match the certificate, or the certificate cannot be used.
    #[error("certificate and key: {0}")]
    Pair(#[from] rustls::Error),
}

/// Paths of a listener's certificate chain and private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// PEM file with the certificate chain, the process's own certificate first.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

/// Contents of the files when they were last read, and the configuration made from them.
#[derive(Debug)]
struct Current {
    /// Certificate chain and key.
    bytes: [Vec<u8>; 2],
    config: Arc<ServerConfig>,
}

/// Accepts TLS connections with a certificate that can be replaced; clones share it.
#[derive(Clone, Debug)]
pub struct Acceptor {
    files: Files,
    current: Arc<RwLock<Current>>,
}

impl Acceptor {
    /// Reads the certificate chain and the key.
    ///
    /// # Errors
    /// When a file cannot be read or is not PEM, or when the key does not match the certificate.
    ///
    /// ```
    /// use lavendergauge_net::tls::{Acceptor, Files};
    /// let files = Files { certificate: "no-such.pem".into(), key: "no-such.key".into() };
    /// assert!(Acceptor::load(files).is_err());
    /// ```
    pub fn load(files: Files) -> Result<Self, Error> {
        let bytes = read_files(&files)?;
        let config = server_config(&files, &bytes)?;
        let current = Arc::new(RwLock::new(Current { bytes, config }));
        Ok(Acceptor { files, current })
    }

    /// Reads the files again and returns true when they have changed.
    ///
    /// New connections use the new certificate; open ones keep theirs.
    ///
    /// # Errors
    /// As [`Acceptor::load`]; the certificate in use is then kept.
    pub fn reload(&self) -> Result<bool, Error> {
        let bytes = read_files(&self.files)?;
        if bytes == self.current.read().unwrap_or_else(PoisonError::into_inner).bytes {
            return Ok(false);
        }
        let config = server_config(&self.files, &bytes)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Current { bytes, config };
        Ok(true)
    }

    /// Performs the TLS handshake on an accepted connection.
    ///
    /// # Errors
    /// When the handshake fails, e.g. because the peer does not use TLS or closes the connection.
    pub async fn accept<S>(&self, stream: S) -> io::Result<server::TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let config = self.current.read().unwrap_or_else(PoisonError::into_inner).config.clone();
        TlsAcceptor::from(config).accept(stream).await
    }
}

/// Opens TLS connections to listeners whose certificate was signed by a trusted authority.
#[derive(Clone, Debug)]
pub struct Trust {
    config: Arc<ClientConfig>,
}

impl Trust {
    /// Reads the authority's certificates from a PEM file.
    ///
    /// # Errors
    /// When the file cannot be read, or holds no certificate.
    ///
    /// ```
    /// use lavendergauge_net::tls::Trust;
    /// assert!(Trust::load("no-such.pem".into()).is_err());
    /// ```
    pub fn load(authority: PathBuf) -> Result<Self, Error> {
        let bytes = read_file(&authority)?;
        let mut roots = RootCertStore::empty();
        for certificate in parse_certificates(&authority, &bytes)? {
            roots.add(certificate)?;
        }
        let mut config = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![HTTP_1.to_vec()];
        Ok(Trust { config: Arc::new(config) })
    }

    /// Performs the TLS handshake over a stream to the listener at an IP address.
    ///
    /// # Errors
    /// When the listener's certificate is not trusted, or does not name the address.
    pub async fn connect(
        &self,
        address: IpAddr,
        stream: TcpStream,
    ) -> io::Result<client::TlsStream<TcpStream>> {
        let name = ServerName::IpAddress(address.into());
        TlsConnector::from(self.config.clone()).connect(name, stream).await
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::File { path: path.display().to_string(), source })
}

fn read_files(files: &Files) -> Result<[Vec<u8>; 2], Error> {
    Ok([read_file(&files.certificate)?, read_file(&files.key)?])
}

fn parse_certificates(path: &Path, bytes: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let pem_error = |text: String| Error::Pem { path: path.display().to_string(), text };
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).collect();
    let found = found.map_err(|error| pem_error(error.to_string()))?;
    if found.is_empty() {
        return Err(pem_error("contains no certificate".to_owned()));
    }
    Ok(found)
}

fn server_config(files: &Files, bytes: &[Vec<u8>; 2]) -> Result<Arc<ServerConfig>, Error> {
    let chain = parse_certificates(&files.certificate, &bytes[0])?;
    let key = PrivateKeyDer::from_pem_slice(&bytes[1]).map_err(|error| Error::Pem {
        path: files.key.display().to_string(),
        text: error.to_string(),
    })?;
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    config.alpn_protocols = LISTENER_PROTOCOLS.iter().map(|protocol| protocol.to_vec()).collect();
    Ok(Arc::new(config))
}
