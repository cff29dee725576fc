//! QUIC connections between the processes of a deployment.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use quinn::{ClientConfig, Connection, Endpoint, RecvStream, SendStream, VarInt};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    Identity, IdentityError, MAX_MESSAGE_SIZE, Message, MessageError, PeerRequest, Reply,
    identity::PEER_SERVER_NAME,
    message::{decode, encode},
};

/// Capacity of the send queue of one peer, in messages; further ones are dropped.
const QUEUE_CAPACITY: usize = 64;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for sending or reading one message, and for a request with its reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// A peer's send queue is closed after this time without a message.
const QUEUE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// QUIC error code with which a connection is closed when a message cannot be decoded.
const BAD_MESSAGE_CODE: VarInt = VarInt::from_u32(1);

/// Why listening for peers or a call to a peer failed.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The socket cannot be bound to the address.
    #[snafu(display("cannot listen for peers on {addr}: {source}"))]
    Bind {
        /// The local address.
        addr: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The certificate, key or authority cannot be used.
    #[snafu(display("{source}"))]
    BadIdentity {
        /// The underlying error.
        source: IdentityError,
    },
    /// No connection could be established; the peer has received nothing.
    #[snafu(display("cannot reach peer {to}: {reason}"))]
    Unreachable {
        /// The address of the peer.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// Sending, or waiting for the reply, failed or timed out; the peer may have acted on the
    /// message.
    #[snafu(display("exchange with peer {to} failed: {reason}"))]
    ExchangeFailed {
        /// The address of the peer.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The reply cannot be decoded.
    #[snafu(display("invalid reply from peer {to}: {source}"))]
    InvalidReply {
        /// The address of the peer.
        to: SocketAddr,
        /// The underlying error.
        source: MessageError,
    },
}

/// A message or request received from a peer.
#[derive(Debug)]
pub enum Incoming {
    /// A one-way message.
    Message {
        /// The peer's listening address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A request. Dropping `reply` closes the stream without a reply.
    Request {
        /// The peer's listening address.
        from: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// Sends the reply.
        reply: oneshot::Sender<Reply>,
    },
}

/// Counts of the one-way messages sent to peers since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct MessageCounts {
    /// Messages passed to [`Peers::send`], including dropped ones.
    pub messages: u64,
    /// Total encoded size of these messages, in bytes.
    pub bytes: u64,
    /// Messages dropped because a queue was full or sending failed.
    pub dropped: u64,
}

#[derive(Default)]
struct Counters {
    messages: AtomicU64,
    bytes: AtomicU64,
    dropped: AtomicU64,
}

struct Shared {
    endpoint: Endpoint,
    client: Mutex<ClientConfig>,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>,
    incoming: mpsc::Sender<Incoming>,
    counters: Counters,
}

/// Exchanges messages with the other processes of the deployment. Clones share connections.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

impl Peers {
    /// Listens on `addr` and delivers incoming messages to the returned channel.
    ///
    /// # Errors
    /// If the address cannot be bound or the identity cannot be used.
    pub fn bind(
        addr: SocketAddr,
        identity: &Identity,
    ) -> Result<(Peers, mpsc::Receiver<Incoming>), WireError> {
        let server = identity.server_config().context(BadIdentitySnafu)?;
        let client = identity.client_config().context(BadIdentitySnafu)?;
        let endpoint = Endpoint::server(server, addr).context(BindSnafu { addr })?;
        let (sender, receiver) = mpsc::channel(1_024);
        let shared = Arc::new(Shared {
            endpoint,
            client: Mutex::new(client),
            connections: Mutex::default(),
            queues: Mutex::default(),
            incoming: sender,
            counters: Counters::default(),
        });
        tokio::spawn(accept_connections(shared.clone()));
        Ok((Peers { shared }, receiver))
    }

    /// The address on which this process listens for peers.
    ///
    /// # Errors
    /// If the socket address cannot be read.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Uses another certificate for new connections; open connections are kept.
    ///
    /// # Errors
    /// If the identity cannot be used; the previous one stays in use.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), WireError> {
        let server = identity.server_config().context(BadIdentitySnafu)?;
        let client = identity.client_config().context(BadIdentitySnafu)?;
        self.shared.endpoint.set_server_config(Some(server));
        *lock(&self.shared.client) = client;
        Ok(())
    }

    /// Queues a one-way message to a peer. It may be lost without an error.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = encode(message);
        let counters = &self.shared.counters;
        counters.messages.fetch_add(1, Ordering::Relaxed);
        counters.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.queue(to).try_send(bytes).is_err() {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a request to a peer and waits for the reply, without retrying.
    ///
    /// # Errors
    /// If no valid reply came; the peer may still have acted on the request.
    pub async fn request(&self, to: SocketAddr, request: &PeerRequest) -> Result<Reply, WireError> {
        let connection = self.shared.connect(to).await?;
        let exchange_failed = |reason: String| WireError::ExchangeFailed { to, reason };
        let exchange = async {
            let (mut send, mut recv) =
                connection.open_bi().await.map_err(|error| exchange_failed(error.to_string()))?;
            send.write_all(&encode(request))
                .await
                .map_err(|error| exchange_failed(error.to_string()))?;
            send.finish().map_err(|error| exchange_failed(error.to_string()))?;
            let bytes = recv
                .read_to_end(MAX_MESSAGE_SIZE)
                .await
                .map_err(|error| exchange_failed(error.to_string()))?;
            decode(&bytes).context(InvalidReplySnafu { to })
        };
        timeout(EXCHANGE_TIMEOUT, exchange)
            .await
            .map_err(|_| exchange_failed("timed out".to_owned()))?
    }

    /// The current counts of sent messages.
    pub fn counts(&self) -> MessageCounts {
        let counters = &self.shared.counters;
        MessageCounts {
            messages: counters.messages.load(Ordering::Relaxed),
            bytes: counters.bytes.load(Ordering::Relaxed),
            dropped: counters.dropped.load(Ordering::Relaxed),
        }
    }

    /// Closes all connections and stops listening.
    pub fn close(&self) {
        self.shared.endpoint.close(VarInt::from_u32(0), b"stopped");
    }

    fn queue(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut queues = lock(&self.shared.queues);
        if let Some(queue) = queues.get(&to).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        queues.insert(to, sender.clone());
        tokio::spawn(send_queued(self.shared.clone(), to, receiver));
        sender
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    async fn connect(&self, to: SocketAddr) -> Result<Connection, WireError> {
        let cached = lock(&self.connections).get(&to).cloned();
        if let Some(connection) = cached.filter(|cached| cached.close_reason().is_none()) {
            return Ok(connection);
        }
        let unreachable = |reason: String| WireError::Unreachable { to, reason };
        let client = lock(&self.client).clone();
        let connecting = self
            .endpoint
            .connect_with(client, to, PEER_SERVER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("timed out connecting".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        lock(&self.connections).insert(to, connection.clone());
        Ok(connection)
    }

    async fn send(&self, to: SocketAddr, bytes: &[u8]) -> Result<(), WireError> {
        let connection = self.connect(to).await?;
        let exchange_failed = |reason: String| WireError::ExchangeFailed { to, reason };
        let sending = async {
            let mut stream =
                connection.open_uni().await.map_err(|error| exchange_failed(error.to_string()))?;
            stream.write_all(bytes).await.map_err(|error| exchange_failed(error.to_string()))?;
            stream.finish().map_err(|error| exchange_failed(error.to_string()))
        };
        timeout(EXCHANGE_TIMEOUT, sending)
            .await
            .map_err(|_| exchange_failed("timed out sending".to_owned()))?
    }
}

/// Sends the queued messages of one peer until the queue is idle for [`QUEUE_IDLE_TIMEOUT`].
async fn send_queued(shared: Arc<Shared>, to: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Ok(Some(bytes)) = timeout(QUEUE_IDLE_TIMEOUT, queue.recv()).await {
        if let Err(error) = shared.send(to, &bytes).await {
            shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
            log::debug!(target: "wire", error:%; "cannot send a message");
        }
    }
}

async fn accept_connections(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(&shared, connection).await,
                Err(error) => log::warn!(target: "wire", error:%; "peer handshake failed"),
            }
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, connection: Connection) {
    let from = connection.remote_address();
    loop {
        tokio::select! {
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    let (shared, connection) = (shared.clone(), connection.clone());
                    tokio::spawn(async move {
                        receive_message(&shared, &connection, stream).await
                    });
                }
                Err(_) => break,
            },
            streams = connection.accept_bi() => match streams {
                Ok((send, recv)) => {
                    let (shared, connection) = (shared.clone(), connection.clone());
                    tokio::spawn(async move {
                        answer_request(&shared, &connection, send, recv).await
                    });
                }
                Err(_) => break,
            },
        }
    }
    log::debug!(target: "wire", from:%; "peer connection closed");
}

async fn receive_message(shared: &Shared, connection: &Connection, stream: RecvStream) {
    let from = connection.remote_address();
    if let Some(message) = read_message(connection, stream).await {
        let _ = shared.incoming.send(Incoming::Message { from, message }).await;
    }
}

async fn answer_request(
    shared: &Shared,
    connection: &Connection,
    mut send: SendStream,
    recv: RecvStream,
) {
    let from = connection.remote_address();
    let Some(request) = read_message(connection, recv).await else {
        return;
    };
    let (reply, replied) = oneshot::channel();
    if shared.incoming.send(Incoming::Request { from, request, reply }).await.is_err() {
        return;
    }
    let Ok(reply) = replied.await else {
        return;
    };
    if send.write_all(&encode(&reply)).await.is_ok() {
        let _ = send.finish();
    }
}

/// Reads one message; closes the connection if it cannot be decoded.
async fn read_message<T: DeserializeOwned>(
    connection: &Connection,
    mut stream: RecvStream,
) -> Option<T> {
    let reading = timeout(EXCHANGE_TIMEOUT, stream.read_to_end(MAX_MESSAGE_SIZE));
    let bytes = reading.await.ok()?.ok()?;
    match decode(&bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            let from = connection.remote_address();
            log::warn!(target: "wire", from:%, error:%;
                "closing the connection: cannot decode a message");
            connection.close(BAD_MESSAGE_CODE, error.to_string().as_bytes());
            None
        }
    }
}
