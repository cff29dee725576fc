//! What other processes reach: messages over UDP, probes over TCP.

use std::{io, net::SocketAddr};

use chervilgate_wire::{Identity, Incoming, Peers, WireError};
use tokio::{net::TcpListener, sync::mpsc};

/// Attempts to get the same free port over UDP and TCP.
const PORT_ATTEMPTS: usize = 16;

/// An open gate for other processes.
pub struct Gate {
    /// Speaks to the other processes.
    pub peers: Peers,
    /// What comes from them.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Takes their probes.
    pub probes: TcpListener,
    /// Where they reach this process.
    pub addr: SocketAddr,
}

impl Gate {
    /// Opens a gate at `wanted`; port zero picks one that is free both ways.
    ///
    /// # Errors
    /// If the address or the identity cannot be used.
    pub async fn open(wanted: SocketAddr, identity: &Identity) -> Result<Gate, WireError> {
        let mut attempts = if wanted.port() == 0 { PORT_ATTEMPTS } else { 1 };
        loop {
            let (peers, incoming) = Peers::bind(wanted, identity)?;
            let bound = |source: io::Error| WireError::Bind { addr: wanted, source };
            let addr = peers.local_addr().map_err(bound)?;
            attempts -= 1;
            match TcpListener::bind(addr).await {
                Ok(probes) => return Ok(Gate { peers, incoming, probes, addr }),
                Err(_) if attempts > 0 => peers.close(),
                Err(source) => return Err(WireError::Bind { addr, source }),
            }
        }
    }
}
