//! Set-up of a process before it accepts connections: its listeners, its TLS certificate and the
//! authority that it trusts.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use lavendergauge_derive::value;
use lavendergauge_net::server;
use lavendergauge_net::tls::Acceptor;
use lavendergauge_net::tls::Files;
use lavendergauge_net::tls::Trust;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::settings::Tls;

/// Interval at which a process checks whether its certificate file has changed.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// Why a process could not start; the further frames of the report hold the cause.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(String),
    /// The certificate, key or authority cannot be used.
    #[error("cannot set up TLS")]
    Tls,
}

/// TLS of a process's connections.
#[derive(Clone, Debug, Default)]
pub struct Security {
    /// Accepts TLS connections; `None` when the listeners are plain.
    pub acceptor: Option<Acceptor>,
    /// Authority for opening TLS connections; `None` when outgoing connections are plain.
    pub trust: Option<Trust>,
}

impl Security {
    /// Loads the files that the settings name.
    ///
    /// # Errors
    /// [`Error::Tls`] when a file cannot be used.
    ///
    /// ```
    /// use lavendergauge_daemon::settings::Tls;
    /// use lavendergauge_daemon::startup::Security;
    /// assert!(Security::load(&Tls::default()).unwrap().acceptor.is_none());
    /// ```
    pub fn load(settings: &Tls) -> Result<Self, Report<Error>> {
        let mut security = Security::default();
        if !settings.certificate.is_empty() {
            let certificate = settings.certificate.clone().into();
            let files = Files { certificate, key: settings.key.clone().into() };
            security.acceptor = Some(Acceptor::load(files).change_context(Error::Tls)?);
        }
        if !settings.authority.is_empty() {
            let trust = Trust::load(settings.authority.clone().into());
            security.trust = Some(trust.change_context(Error::Tls)?);
        }
        Ok(security)
    }
}

/// Listens on an address.
///
/// # Errors
/// [`Error::Listen`] when the address is in use or does not belong to this VM.
pub async fn listen(address: &str) -> Result<TcpListener, Report<Error>> {
    let listener = server::listen(address).await;
    listener.change_context_lazy(|| Error::Listen(address.to_owned()))
}

/// Returns the address that a listener is bound to.
///
/// # Errors
/// [`Error::Listen`] when the operating system cannot tell the address.
pub fn address(listener: &TcpListener) -> Result<SocketAddr, Report<Error>> {
    listener.local_addr().change_context_lazy(|| Error::Listen("an unknown address".to_owned()))
}

/// Reloads the certificate at an interval whenever its file has changed, until the process stops.
///
/// A new certificate that cannot be used is logged, and the one in use stays.
pub async fn reload_certificate(acceptor: Option<Acceptor>, mut stopped: watch::Receiver<bool>) {
    let Some(acceptor) = acceptor else { return };
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stopped| *stopped) => return,
            () = time::sleep(RELOAD_INTERVAL) => {}
        }
        match acceptor.reload() {
            Ok(false) => {}
            Ok(true) => log::info!("event=certificate-reloaded"),
            Err(error) => log::error!("event=certificate-unusable cause=\"{error}\""),
        }
    }
}
