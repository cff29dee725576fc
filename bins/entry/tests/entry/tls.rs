//! Callers connecting over TLS while the certificate is renewed.

use std::{fs, net::SocketAddr, path::Path, sync::Arc};

use chervilgate_entry::{Entry, TlsFiles};
use chervilgate_wire::{CertificateAuthority, Identity};
use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::TlsConnector;

use crate::fixture::{eventually, settings, start_deployment};

/// Server name of the certificates; peer certificates serve as callers' ones here.
const NAME: &str = "chervilgate-peer";

fn write(folder: &Path, identity: &Identity) {
    fs::write(folder.join("certificate.pem"), &identity.certificate).expect("a file");
    fs::write(folder.join("key.pem"), &identity.key).expect("a file");
}

async fn fetch(entry: SocketAddr, trusted: &CertificateAuthority) -> Option<String> {
    let mut roots = RootCertStore::empty();
    let certificate = CertificateDer::from_pem_slice(trusted.certificate_pem().as_bytes()).ok()?;
    roots.add(certificate).ok()?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .ok()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(entry).await.ok()?;
    let name = ServerName::try_from(NAME).ok()?;
    let mut stream = TlsConnector::from(Arc::new(config)).connect(name, stream).await.ok()?;
    let request = b"GET /healthz HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text).await;
    Some(text)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_renewed_certificate_is_used_without_a_restart() {
    let (deployment, _) = start_deployment().await;
    let [old, new] = [(); 2].map(|()| CertificateAuthority::generate().expect("an authority"));
    let folder = std::env::temp_dir().join(format!("chervilgate-tls-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    write(&folder, &old.issue("h1").expect("an identity"));
    let mut settings = settings(&deployment, &old, "h1", "a");
    let files =
        TlsFiles { certificate: folder.join("certificate.pem"), key: folder.join("key.pem") };
    settings.tls = Some(files);
    let entry = Entry::start(settings).await.expect("an entry");

    let before = fetch(entry.addr(), &old).await;
    let stranger = fetch(entry.addr(), &new).await;
    write(&folder, &new.issue("h1").expect("an identity"));
    eventually(|| async { fetch(entry.addr(), &new).await.is_some() }).await;
    let after = fetch(entry.addr(), &new).await;
    let _ = fs::remove_dir_all(&folder);

    assert!(before.is_some_and(|text| text.ends_with("ok\n")));
    assert!(stranger.is_none());
    assert!(after.is_some_and(|text| text.ends_with("ok\n")));
}
