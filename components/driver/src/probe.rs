//! Liveness probes: find out which process incarnation runs at an address.
//!
//! Each process answers probes over TCP on the port of its peer address. A refused
//! connection shows that nothing listens there any more. The kernel still accepts
//! connections for a paused process, which then sends nothing.

use std::{io, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use chervilgate_coord::{Incarnation, ProbeReply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Timeout for a probe, on both sides.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Finds out which process incarnation runs at an address.
#[async_trait]
pub trait Prober: Send + Sync {
    /// Probes an address, without retrying.
    async fn probe(&self, addr: SocketAddr) -> ProbeReply;
}

/// Probes over TCP; the peer runs [`answer_probes`].
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpProber;

#[async_trait]
impl Prober for TcpProber {
    async fn probe(&self, addr: SocketAddr) -> ProbeReply {
        match timeout(PROBE_TIMEOUT, read_incarnation(addr)).await {
            Ok(Ok(incarnation)) => ProbeReply::Answers(incarnation),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ProbeReply::Refused
            }
            Ok(Err(_)) | Err(_) => ProbeReply::Silent,
        }
    }
}

async fn read_incarnation(addr: SocketAddr) -> io::Result<Incarnation> {
    let mut stream = TcpStream::connect(addr).await?;
    Ok(Incarnation(stream.read_u64().await?))
}

/// Answers probes with the current incarnation of this process; never returns.
pub async fn answer_probes(listener: TcpListener, current: impl Fn() -> Incarnation) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let incarnation = current();
        tokio::spawn(async move {
            let _ = timeout(PROBE_TIMEOUT, stream.write_u64(incarnation.0)).await;
        });
    }
}
