//! Asking an address which process runs there.
//!
//! Each process answers over TCP at the port of its peer address. A refused
//! connection shows that nothing listens there any more; a paused process
//! still accepts, and is silent.

use std::{io, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use chervilgate_coord::{Incarnation, ProbeReply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time allowed for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Finds out which process runs at an address.
#[async_trait]
pub trait Prober: Send + Sync {
    /// Probes one address once.
    async fn probe(&self, addr: SocketAddr) -> ProbeReply;
}

/// Probes over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpProber;

#[async_trait]
impl Prober for TcpProber {
    async fn probe(&self, addr: SocketAddr) -> ProbeReply {
        match timeout(PROBE_TIMEOUT, ask(addr)).await {
            Ok(Ok(incarnation)) => ProbeReply::Answers(incarnation),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ProbeReply::Refused
            }
            Ok(Err(_)) | Err(_) => ProbeReply::Silent,
        }
    }
}

async fn ask(addr: SocketAddr) -> io::Result<Incarnation> {
    let mut stream = TcpStream::connect(addr).await?;
    Ok(Incarnation(stream.read_u64().await?))
}

/// Answers probes with this process's present incarnation, for ever.
pub async fn answer_probes(listener: TcpListener, present: impl Fn() -> Incarnation) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let incarnation = present();
        tokio::spawn(async move {
            let _ = timeout(PROBE_TIMEOUT, stream.write_u64(incarnation.0)).await;
        });
    }
}
