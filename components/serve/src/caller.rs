//! What the handler of a request can learn of the connection that it came over.

use chervilgate_clients::StreamPeeker;

/// The connection of a request's caller; an extension of the request.
#[derive(Debug, Clone)]
pub struct CallerConnection(pub(crate) StreamPeeker);

impl CallerConnection {
    /// Whether the caller has closed the connection, or only its sending side.
    ///
    /// The server treats both alike: once it reads the end of what the caller sends, it ends the
    /// connection and drops the handler of a request that is not answered. It learns of that only when
    /// the runtime polls its sockets, which a host short of processor time does late, and not while a
    /// request that follows on the same connection waits to be read. This asks the system.
    pub fn has_left(&self) -> bool {
        self.0.is_ended()
    }

    /// Waits until [`has_left`](CallerConnection::has_left) holds.
    pub async fn left(&self) {
        self.0.ended().await;
    }
}
