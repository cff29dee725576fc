//! Certificates by which our processes know one another.

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

/// The name in each process's certificate; the authority is what counts.
pub(crate) const PEER_NAME: &str = "chervilgate-peer";
/// The application protocol of our QUIC connections.
const ALPN: &[u8] = b"chervilgate/1";
/// A silent connection is given up after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams that a peer may have open at once.
const STREAM_LIMIT: u32 = 256;

/// Why there is no usable identity.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Text is not PEM of the expected kind.
    #[snafu(display("no {expected} in PEM: {source}"))]
    Pem {
        /// What should be there.
        expected: &'static str,
        /// What is wrong.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate cannot be made.
    #[snafu(display("cannot make a certificate: {source}"))]
    Make {
        /// What is wrong.
        source: rcgen::Error,
    },
    /// Certificate and key do not go together or cannot be used.
    #[snafu(display("cannot use the certificate: {source}"))]
    Use {
        /// What is wrong.
        source: rustls::Error,
    },
    /// The authority's certificates cannot be used for verification.
    #[snafu(display("cannot verify with the authority: {source}"))]
    Verifier {
        /// What is wrong.
        source: rustls::server::VerifierBuilderError,
    },
    /// The cipher suite that QUIC begins with is missing.
    #[snafu(display("no initial cipher suite: {source}"))]
    Suite {
        /// What is wrong.
        source: NoInitialCipherSuite,
    },
}

/// The deployment's own certificate authority.
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// If no key can be generated.
    pub fn generate() -> Result<Authority, IdentityError> {
        let key = KeyPair::generate().context(MakeSnafu)?;
        let mut params = CertificateParams::new(Vec::new()).context(MakeSnafu)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "chervilgate authority");
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key).context(MakeSnafu)?;
        Ok(Authority { certificate: certificate.pem(), key })
    }

    /// Reads an authority that was made before.
    ///
    /// # Errors
    /// If either text is not what it should be.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Authority, IdentityError> {
        let key = KeyPair::from_pem(key).context(MakeSnafu)?;
        Issuer::from_ca_cert_pem(certificate, &key).context(MakeSnafu)?;
        Ok(Authority { certificate: certificate.to_owned(), key })
    }

    /// The authority's certificate in PEM.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key in PEM; keep it off the hosts.
    pub fn key_pem(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues an identity for one host.
    ///
    /// # Errors
    /// If no key can be generated.
    pub fn issue(&self, host: &str) -> Result<Identity, IdentityError> {
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, &self.key).context(MakeSnafu)?;
        let key = KeyPair::generate().context(MakeSnafu)?;
        let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()]).context(MakeSnafu)?;
        params.distinguished_name.push(DnType::CommonName, host);
        let certificate = params.signed_by(&key, &issuer).context(MakeSnafu)?;
        Ok(Identity {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

/// The files of an identity, in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PemFiles {
    /// Certificates of the authorities that are trusted.
    pub authority: PathBuf,
    /// This host's certificate.
    pub certificate: PathBuf,
    /// This host's private key.
    pub key: PathBuf,
}

/// What one process shows to its peers, and whom it trusts, in PEM.
#[derive(Clone)]
pub struct Identity {
    /// Certificates of the trusted authorities; two while one is replaced.
    pub authority: String,
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Identity {
    /// Reads an identity from its files.
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

    /// How this process answers peers.
    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, IdentityError> {
        let roots = Arc::new(self.roots()?);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .context(VerifierSnafu)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(UseSnafu)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)
            .context(UseSnafu)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicServerConfig::try_from(config).context(SuiteSnafu)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        server.transport_config(Arc::new(transport()));
        Ok(server)
    }

    /// How this process calls peers.
    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(UseSnafu)?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)
            .context(UseSnafu)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicClientConfig::try_from(config).context(SuiteSnafu)?;
        let mut client = quinn::ClientConfig::new(Arc::new(crypto));
        client.transport_config(Arc::new(transport()));
        Ok(client)
    }

    fn roots(&self) -> Result<RootCertStore, IdentityError> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            let certificate = certificate.context(PemSnafu { expected: "authority" })?;
            roots.add(certificate).context(UseSnafu)?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
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
    transport.max_concurrent_uni_streams(STREAM_LIMIT.into());
    transport.max_concurrent_bidi_streams(STREAM_LIMIT.into());
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport
}
