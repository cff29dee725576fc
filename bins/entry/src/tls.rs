//! The TLS certificate for callers, reloaded without a restart.

use std::{fs, io, path::PathBuf, sync::Arc, time::Duration};

use rustls::{
    ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use snafu::{ResultExt, Snafu};
use tokio::{sync::watch, time::sleep};

use crate::settings::TlsFiles;

/// Interval between checks of the files for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The TLS configuration of callers' connections; `None` without TLS.
pub(crate) type CallerTls = Option<Arc<ServerConfig>>;

/// Why a certificate cannot be used.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file's path.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file does not hold a PEM block of the expected kind.
    #[snafu(display("{}: {source}", path.display()))]
    Pem {
        /// The file's path.
        path: PathBuf,
        /// The cause.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate or key is not accepted, as when they do not match.
    #[snafu(display("{}: {source}", path.display()))]
    Unusable {
        /// The certificate's file.
        path: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
}

/// Loads certificate and key.
///
/// # Errors
/// If a file cannot be read or used; the error names it.
pub(crate) fn load_tls(files: &TlsFiles) -> Result<Arc<ServerConfig>, TlsError> {
    let path = &files.certificate;
    let pem = fs::read(path).context(ReadSnafu { path })?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let chain = chain.context(PemSnafu { path })?;
    let key_pem = fs::read(&files.key).context(ReadSnafu { path: &files.key })?;
    let key = PrivateKeyDer::from_pem_slice(&key_pem).context(PemSnafu { path: &files.key })?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu { path })?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context(UnusableSnafu { path })?;
    Ok(Arc::new(config))
}

/// Reloads changed files for new connections; keeps the previous pair if the new one is invalid.
pub(crate) async fn reload_on_change(files: TlsFiles, active: watch::Sender<CallerTls>) {
    let read = || (fs::read(&files.certificate).ok(), fs::read(&files.key).ok());
    let mut known = read();
    loop {
        sleep(RELOAD_INTERVAL).await;
        let current = read();
        if current == known {
            continue;
        }
        match load_tls(&files) {
            Ok(config) => {
                log::info!(target: "tls", "certificate renewed");
                known = current;
                let _ = active.send(Some(config));
            }
            Err(error) => log::warn!(target: "tls", error:%; "keeping the former certificate"),
        }
    }
}
