//! The sockets on which a process serves its peers: QUIC for messages, TCP for probes.

use std::{io, net::SocketAddr};

use chervilgate_wire::{Identity, Incoming, Peers, WireError};
use tokio::{net::TcpListener, sync::mpsc};

/// Maximum number of attempts to find a port that is free over both UDP and TCP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// The open sockets of a process. Both use the same address and port.
pub struct PeerListener {
    /// Sends messages to the other processes.
    pub peers: Peers,
    /// Messages from the other processes.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Accepts liveness probes; see [`answer_probes`](crate::answer_probes).
    pub probe_listener: TcpListener,
    /// The bound address.
    pub addr: SocketAddr,
}

impl PeerListener {
    /// Binds both sockets to `wanted`. Port zero picks a port that is free over UDP and TCP.
    ///
    /// # Errors
    /// If the address cannot be bound or the identity cannot be used.
    pub async fn open(wanted: SocketAddr, identity: &Identity) -> Result<PeerListener, WireError> {
        let mut attempts = if wanted.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
        loop {
            let (peers, incoming) = Peers::bind(wanted, identity)?;
            let bind_error = |source: io::Error| WireError::Bind { addr: wanted, source };
            let addr = peers.local_addr().map_err(bind_error)?;
            attempts -= 1;
            match TcpListener::bind(addr).await {
                Ok(probe_listener) => {
                    return Ok(PeerListener { peers, incoming, probe_listener, addr });
                }
                Err(_) if attempts > 0 => peers.close(),
                Err(source) => return Err(WireError::Bind { addr, source }),
            }
        }
    }
}
