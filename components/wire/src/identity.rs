//! Mutual TLS between the processes of a deployment.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use snafu::{ResultExt, Snafu};

/// The DNS name in every process's certificate. Trust rests on the certificate authority alone.
pub(crate) const PEER_SERVER_NAME: &str = "chervilgate-peer";
/// The ALPN protocol of the QUIC connections.
const ALPN: &[u8] = b"chervilgate/1";
/// A connection without traffic is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent streams of each kind that a peer may open.
const MAX_STREAMS: u32 = 256;

/// Why an identity cannot be loaded, issued or used.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A PEM text lacks the expected item or is malformed.
    #[snafu(display("cannot read the {expected} from PEM: {source}"))]
    Pem {
        /// The expected item.
        expected: &'static str,
        /// The underlying error.
        source: rustls::pki_types::pem::Error,
    },
    /// A key or certificate cannot be generated, parsed or signed.
    #[snafu(display("cannot process the key or certificate: {source}"))]
    KeyOrCertificate {
        /// The underlying error.
        source: rcgen::Error,
    },
    /// Certificate and key do not match, or TLS rejects them.
    #[snafu(display("cannot use the certificate or key for TLS: {source}"))]
    Tls {
        /// The underlying error.
        source: rustls::Error,
    },
    /// The authorities' certificates cannot be used to verify peers.
    #[snafu(display("cannot verify peers with the certificate authority: {source}"))]
    Verifier {
        /// The underlying error.
        source: rustls::server::VerifierBuilderError,
    },
    /// The TLS configuration lacks the initial cipher suite of QUIC.
    #[snafu(display("no initial cipher suite for QUIC: {source}"))]
    CipherSuite {
        /// The underlying error.
        source: NoInitialCipherSuite,
    },
}

/// The deployment's own certificate authority.
pub struct CertificateAuthority {
    certificate: String,
    key: KeyPair,
}

impl CertificateAuthority {
    /// Generates a self-signed certificate authority.
    ///
    /// # Errors
    /// If the key or certificate cannot be generated.
    pub fn generate() -> Result<CertificateAuthority, IdentityError> {
        let key = KeyPair::generate().context(KeyOrCertificateSnafu)?;
        let mut params = CertificateParams::new(Vec::new()).context(KeyOrCertificateSnafu)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "chervilgate authority");
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key).context(KeyOrCertificateSnafu)?;
        Ok(CertificateAuthority { certificate: certificate.pem(), key })
    }

    /// Parses an authority from the PEM of its certificate and key.
    ///
    /// # Errors
    /// If either text is not valid PEM of its kind.
    pub fn from_pem(certificate: &str, key: &str) -> Result<CertificateAuthority, IdentityError> {
        let key = KeyPair::from_pem(key).context(KeyOrCertificateSnafu)?;
        Issuer::from_ca_cert_pem(certificate, &key).context(KeyOrCertificateSnafu)?;
        Ok(CertificateAuthority { certificate: certificate.to_owned(), key })
    }

    /// The authority's certificate in PEM.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key in PEM. It must not be stored on the hosts.
    pub fn key_pem(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a key and certificate for one host.
    ///
    /// # Errors
    /// If the key or certificate cannot be generated.
    pub fn issue(&self, host: &str) -> Result<Identity, IdentityError> {
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, &self.key)
            .context(KeyOrCertificateSnafu)?;
        let key = KeyPair::generate().context(KeyOrCertificateSnafu)?;
        let mut params = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()])
            .context(KeyOrCertificateSnafu)?;
        params.distinguished_name.push(DnType::CommonName, host);
        let certificate = params.signed_by(&key, &issuer).context(KeyOrCertificateSnafu)?;
        Ok(Identity {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

/// Paths of the PEM files of an [`Identity`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PemFiles {
    /// Certificates of the trusted authorities.
    pub authority: PathBuf,
    /// This host's certificate.
    pub certificate: PathBuf,
    /// This host's private key.
    pub key: PathBuf,
}

/// A process's certificate and key and the authorities it trusts, in PEM.
#[derive(Clone)]
pub struct Identity {
    /// Certificates of the trusted authorities; two during the rotation of the authority.
    pub authority: String,
    /// The certificate of this process.
    pub certificate: String,
    /// The private key of the certificate.
    pub key: String,
}

impl Identity {
    /// Reads an identity from its PEM files, without checking their content.
    ///
    /// # Errors
    /// If a file cannot be read; the error names it.
    pub fn load(files: &PemFiles) -> Result<Identity, IdentityError> {
        Ok(Identity {
            authority: read(&files.authority)?,
            certificate: read(&files.certificate)?,
            key: read(&files.key)?,
        })
    }

    /// QUIC configuration for incoming connections; peers must present a certificate.
    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, IdentityError> {
        let root_store = Arc::new(self.root_store()?);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(root_store, provider.clone())
            .build()
            .context(VerifierSnafu)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificate_chain()?, self.private_key()?)
            .context(TlsSnafu)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicServerConfig::try_from(config).context(CipherSuiteSnafu)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        server.transport_config(Arc::new(transport()));
        Ok(server)
    }

    /// QUIC configuration for outgoing connections.
    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(self.certificate_chain()?, self.private_key()?)
            .context(TlsSnafu)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicClientConfig::try_from(config).context(CipherSuiteSnafu)?;
        let mut client = quinn::ClientConfig::new(Arc::new(crypto));
        client.transport_config(Arc::new(transport()));
        Ok(client)
    }

    fn root_store(&self) -> Result<RootCertStore, IdentityError> {
        let mut root_store = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            let certificate = certificate.context(PemSnafu { expected: "authority" })?;
            root_store.add(certificate).context(TlsSnafu)?;
        }
        Ok(root_store)
    }

    fn certificate_chain(&self) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
        let certificates = CertificateDer::pem_slice_iter(self.certificate.as_bytes());
        certificates.collect::<Result<_, _>>().context(PemSnafu { expected: "certificate" })
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, IdentityError> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .context(PemSnafu { expected: "private key" })
    }
}

fn read(path: &Path) -> Result<String, IdentityError> {
    fs::read_to_string(path).context(ReadSnafu { path })
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport.max_concurrent_uni_streams(MAX_STREAMS.into());
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport
}
