//! The command line towards an entry that speaks TLS.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::time::Duration;

use lavendergauge_cli::commands;
use lavendergauge_daemon::embedded;
use lavendergauge_daemon::embedded::Plan;
use lavendergauge_daemon::entry;
use lavendergauge_daemon::settings;
use lavendergauge_daemon::settings::Role;
use lavendergauge_fakes::kv::Kv;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use tokio::time;

/// Writes an authority and a certificate of 127.0.0.1 into a new folder.
fn folder() -> PathBuf {
    let path = env::temp_dir().join(format!("lavendergauge-cli-tls-{}", process::id()));
    fs::create_dir_all(&path).expect("folder");
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("key");
    let authority = CertifiedIssuer::self_signed(params, key).expect("authority");
    let key = KeyPair::generate().expect("key");
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("parameters");
    let own = params.signed_by(&key, &authority).expect("certificate");
    fs::write(path.join("authority.pem"), authority.pem()).expect("write");
    fs::write(path.join("own.pem"), own.pem()).expect("write");
    fs::write(path.join("own.key"), key.serialize_pem()).expect("write");
    path
}

async fn run(words: &[&str]) -> Result<String, String> {
    let matches = commands::command().try_get_matches_from(words).expect("arguments");
    let report = commands::run(&matches, |_| {}).await;
    report.map(|report| report.text).map_err(|error| error.to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn authority_named() {
    let folder = folder();
    let store = Kv::default().serve().await;
    let text = embedded::entry_text(&Plan::default(), "entry-1", "zilina-1", &store.address());
    let path = folder.display();
    let tls = format!(
        "[tls]\ncertificate = {path}/own.pem\nkey = {path}/own.key\nauthority = \
         {path}/authority.pem\n"
    );
    let settings = settings::parse(&format!("{text}{tls}")).expect("settings");
    let Role::Entry(role) = &settings.role else { panic!("an entry") };
    let handle = entry::start(&settings, role).await.expect("starts");
    let address = handle.control_address.to_string();
    let authority = format!("{path}/authority.pem");
    let listed = ["x", "--entry", &address, "--authority", &authority, "worker", "list"];
    let mut answer = run(&listed).await;
    let not_ready = "Error: the entry has not learnt the configuration yet";
    for _ in 0..100 {
        if !answer.as_ref().is_err_and(|error| error.starts_with(not_ready)) {
            break;
        }
        time::sleep(Duration::from_millis(50)).await;
        answer = run(&listed).await;
    }
    assert_eq!(answer, Ok("there are none\n".to_owned()));
    let plain = run(&["x", "--entry", &address, "worker", "list"]).await;
    assert!(plain.is_err(), "{plain:?}");
    let missing = ["x", "--authority", "no-such.pem", "worker", "list"];
    let missing = run(&missing).await.expect_err("no file");
    assert!(missing.starts_with("Error: no-such.pem: "), "{missing}");
    handle.stop().await;
    fs::remove_dir_all(&folder).expect("removed");
}
