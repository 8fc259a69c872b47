//! Listeners with TLS: trust, refusal, and a certificate that is replaced while they run.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Options;
use lavendergauge_net::server;
use lavendergauge_net::server::Answer;
use lavendergauge_net::tls::Acceptor;
use lavendergauge_net::tls::Files;
use lavendergauge_net::tls::Trust;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::KeyPair;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(10);

/// A folder for PEM files that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("lavendergauge-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("folder");
        Folder(path)
    }

    fn files(&self) -> Files {
        Files { certificate: self.0.join("own.pem"), key: self.0.join("own.key") }
    }

    fn authority(&self) -> PathBuf {
        self.0.join("authority.pem")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn authority() -> CertifiedIssuer<'static, KeyPair> {
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().expect("key")).expect("authority")
}

/// Writes an authority, and a certificate of its for the loopback address.
fn write_files(folder: &Folder) {
    let authority = authority();
    let key = KeyPair::generate().expect("key");
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("parameters");
    let own = params.signed_by(&key, &authority).expect("certificate");
    let files = folder.files();
    fs::write(folder.authority(), authority.pem()).expect("write");
    fs::write(&files.certificate, own.pem()).expect("write");
    fs::write(&files.key, key.serialize_pem()).expect("write");
}

async fn start(acceptor: Acceptor) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    let handler = |_: Request<Incoming>, _: SocketAddr| -> Answer {
        Box::pin(async { Response::new(body::full("hello")) })
    };
    tokio::spawn(server::serve_tls(listener, Some(acceptor), Arc::new(handler), 8, stopped));
    (address, stop)
}

/// Asks once over TLS, trusting one authority.
async fn ask(address: SocketAddr, authority: &Path) -> Result<String, String> {
    let trust = Trust::load(authority.to_owned()).map_err(|error| error.to_string())?;
    let client = Client::with_trust(Options::default(), Some(trust));
    let uri = format!("http://{address}/");
    let request = Request::builder().uri(uri).body(body::empty()).expect("request");
    let answer = client.fetch(request, DEADLINE).await.map_err(|error| error.to_string())?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

#[tokio::test]
async fn certificate_replaced() {
    let (folder, old) = (Folder::new("replaced"), Folder::new("replaced-old"));
    write_files(&folder);
    fs::copy(folder.authority(), old.authority()).expect("copy");
    let acceptor = Acceptor::load(folder.files()).expect("files");
    let (address, _stop) = start(acceptor.clone()).await;
    assert_eq!(ask(address, &folder.authority()).await, Ok("hello".to_owned()));
    assert!(!acceptor.reload().expect("unchanged files"));

    write_files(&folder);
    assert!(ask(address, &folder.authority()).await.is_err());
    assert!(acceptor.reload().expect("new files"));
    assert_eq!(ask(address, &folder.authority()).await, Ok("hello".to_owned()));
    assert!(ask(address, &old.authority()).await.is_err());
}

#[tokio::test]
async fn broken_files() {
    let folder = Folder::new("broken");
    write_files(&folder);
    let acceptor = Acceptor::load(folder.files()).expect("files");
    let (address, _stop) = start(acceptor.clone()).await;

    fs::write(&folder.files().certificate, "not a certificate").expect("write");
    assert!(acceptor.reload().is_err());
    assert_eq!(ask(address, &folder.authority()).await, Ok("hello".to_owned()));
}

#[tokio::test]
async fn plain_peer() {
    let folder = Folder::new("plain");
    write_files(&folder);
    let (address, _stop) = start(Acceptor::load(folder.files()).expect("files")).await;
    let stream = TcpStream::connect(address).await.expect("connection");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    let request = Request::builder().uri("/").body(body::empty()).expect("request");
    assert!(sender.send_request(request).await.is_err());
}
