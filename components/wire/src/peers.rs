//! Connections to peers.

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
    Ask, Identity, IdentityError, MESSAGE_LIMIT, Message, MessageError, Reply,
    identity::PEER_NAME,
    message::{decode, encode},
};

/// Messages that wait for one peer; later ones are dropped.
const QUEUE_LENGTH: usize = 64;
/// Time allowed for a connection to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time allowed for one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// A peer's queue is closed after this time without a message.
const QUEUE_IDLE: Duration = Duration::from_secs(30);
/// Closes a connection over a message that cannot be read.
const BAD_MESSAGE: VarInt = VarInt::from_u32(1);

/// Why a peer gave no usable answer.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The address is not to be had.
    #[snafu(display("cannot listen for peers on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The identity cannot be used.
    #[snafu(display("{source}"))]
    BadIdentity {
        /// What is wrong.
        source: IdentityError,
    },
    /// No connection came about.
    #[snafu(display("peer {to} could not be reached: {reason}"))]
    Unreachable {
        /// The peer.
        to: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The connection broke off.
    #[snafu(display("peer {to} did not answer: {reason}"))]
    Unanswered {
        /// The peer.
        to: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The answer is no message.
    #[snafu(display("peer {to} sent {source}"))]
    BadAnswer {
        /// The peer.
        to: SocketAddr,
        /// What is wrong.
        source: MessageError,
    },
}

/// Something that came from a peer.
#[derive(Debug)]
pub enum Incoming {
    /// Something told.
    Told {
        /// The address that the peer listens on.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Something asked; dropping `answer` leaves it unanswered.
    Asked {
        /// The address that the peer listens on.
        from: SocketAddr,
        /// The question.
        ask: Ask,
        /// Takes the answer.
        answer: oneshot::Sender<Reply>,
    },
}

/// What has passed between this process and its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct PeerCounts {
    /// Messages handed over for sending.
    pub messages: u64,
    /// Their bytes, encoded.
    pub bytes: u64,
    /// Messages dropped because a peer was slow or gone.
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

/// Speaks to the other processes of the deployment.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

impl Peers {
    /// Listens on `addr` and hands on what comes.
    ///
    /// # Errors
    /// If the address or the identity cannot be used.
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
        tokio::spawn(accept(shared.clone()));
        Ok((Peers { shared }, receiver))
    }

    /// Where peers reach this process.
    ///
    /// # Errors
    /// If the socket has failed.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Shows another certificate from now on; open connections go on.
    ///
    /// # Errors
    /// If the identity cannot be used; the former one stays in force.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), WireError> {
        let server = identity.server_config().context(BadIdentitySnafu)?;
        let client = identity.client_config().context(BadIdentitySnafu)?;
        self.shared.endpoint.set_server_config(Some(server));
        *lock(&self.shared.client) = client;
        Ok(())
    }

    /// Tells a peer something; it may be lost.
    pub fn tell(&self, to: SocketAddr, message: &Message) {
        let bytes = encode(message);
        let counters = &self.shared.counters;
        counters.messages.fetch_add(1, Ordering::Relaxed);
        counters.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.queue(to).try_send(bytes).is_err() {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Asks a peer something, once.
    ///
    /// # Errors
    /// If no answer came; the peer may have acted on the question.
    pub async fn ask(&self, to: SocketAddr, ask: &Ask) -> Result<Reply, WireError> {
        let connection = self.shared.connect(to).await?;
        let unanswered = |reason: String| WireError::Unanswered { to, reason };
        let exchange = async {
            let (mut send, mut recv) =
                connection.open_bi().await.map_err(|error| unanswered(error.to_string()))?;
            send.write_all(&encode(ask)).await.map_err(|error| unanswered(error.to_string()))?;
            send.finish().map_err(|error| unanswered(error.to_string()))?;
            let bytes = recv
                .read_to_end(MESSAGE_LIMIT)
                .await
                .map_err(|error| unanswered(error.to_string()))?;
            decode(&bytes).context(BadAnswerSnafu { to })
        };
        timeout(SEND_TIMEOUT, exchange)
            .await
            .map_err(|_| unanswered("no answer in time".to_owned()))?
    }

    /// What has passed so far.
    pub fn counts(&self) -> PeerCounts {
        let counters = &self.shared.counters;
        PeerCounts {
            messages: counters.messages.load(Ordering::Relaxed),
            bytes: counters.bytes.load(Ordering::Relaxed),
            dropped: counters.dropped.load(Ordering::Relaxed),
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.shared.endpoint.close(VarInt::from_u32(0), b"stopped");
    }

    fn queue(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut queues = lock(&self.shared.queues);
        if let Some(queue) = queues.get(&to).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        queues.insert(to, sender.clone());
        tokio::spawn(drain_queue(self.shared.clone(), to, receiver));
        sender
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    async fn connect(&self, to: SocketAddr) -> Result<Connection, WireError> {
        let known = lock(&self.connections).get(&to).cloned();
        if let Some(connection) = known.filter(|known| known.close_reason().is_none()) {
            return Ok(connection);
        }
        let unreachable = |reason: String| WireError::Unreachable { to, reason };
        let client = lock(&self.client).clone();
        let connecting = self
            .endpoint
            .connect_with(client, to, PEER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("the connection took too long".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        lock(&self.connections).insert(to, connection.clone());
        Ok(connection)
    }

    async fn send(&self, to: SocketAddr, bytes: &[u8]) -> Result<(), WireError> {
        let connection = self.connect(to).await?;
        let unanswered = |reason: String| WireError::Unanswered { to, reason };
        let sending = async {
            let mut stream =
                connection.open_uni().await.map_err(|error| unanswered(error.to_string()))?;
            stream.write_all(bytes).await.map_err(|error| unanswered(error.to_string()))?;
            stream.finish().map_err(|error| unanswered(error.to_string()))
        };
        timeout(SEND_TIMEOUT, sending).await.map_err(|_| unanswered("too slow".to_owned()))?
    }
}

/// Sends one peer's messages until none has come for a while.
async fn drain_queue(shared: Arc<Shared>, to: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Ok(Some(bytes)) = timeout(QUEUE_IDLE, queue.recv()).await {
        if let Err(error) = shared.send(to, &bytes).await {
            shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
            log::debug!(target: "wire", error:%; "message lost");
        }
    }
}

async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => read_connection(&shared, connection).await,
                Err(error) => log::warn!(target: "wire", error:%; "peer refused"),
            }
        });
    }
}

async fn read_connection(shared: &Arc<Shared>, connection: Connection) {
    let from = connection.remote_address();
    loop {
        tokio::select! {
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    let (shared, connection) = (shared.clone(), connection.clone());
                    tokio::spawn(async move { read_told(&shared, &connection, stream).await });
                }
                Err(_) => break,
            },
            streams = connection.accept_bi() => match streams {
                Ok((send, recv)) => {
                    let (shared, connection) = (shared.clone(), connection.clone());
                    tokio::spawn(async move { read_asked(&shared, &connection, send, recv).await });
                }
                Err(_) => break,
            },
        }
    }
    log::debug!(target: "wire", from:%; "connection ended");
}

async fn read_told(shared: &Shared, connection: &Connection, stream: RecvStream) {
    let from = connection.remote_address();
    if let Some(message) = read_message(connection, stream).await {
        let _ = shared.incoming.send(Incoming::Told { from, message }).await;
    }
}

async fn read_asked(
    shared: &Shared,
    connection: &Connection,
    mut send: SendStream,
    recv: RecvStream,
) {
    let from = connection.remote_address();
    let Some(ask) = read_message(connection, recv).await else {
        return;
    };
    let (answer, answered) = oneshot::channel();
    if shared.incoming.send(Incoming::Asked { from, ask, answer }).await.is_err() {
        return;
    }
    let Ok(reply) = answered.await else {
        return;
    };
    if send.write_all(&encode(&reply)).await.is_ok() {
        let _ = send.finish();
    }
}

/// Reads one message; a peer that sends none of ours is cut off.
async fn read_message<T: DeserializeOwned>(
    connection: &Connection,
    mut stream: RecvStream,
) -> Option<T> {
    let reading = timeout(SEND_TIMEOUT, stream.read_to_end(MESSAGE_LIMIT));
    let bytes = reading.await.ok()?.ok()?;
    match decode(&bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            let from = connection.remote_address();
            log::warn!(target: "wire", from:%, error:%; "peer cut off");
            connection.close(BAD_MESSAGE, error.to_string().as_bytes());
            None
        }
    }
}
