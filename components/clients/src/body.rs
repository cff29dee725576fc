//! The HTTP body type shared by clients and servers.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use snafu::Snafu;

/// An HTTP body, streamed or in memory.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before it was complete.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("the connection failed while a body was read: {source}"))]
    Connection {
        /// The HTTP error.
        source: hyper::Error,
    },
    /// The body exceeds the reader's limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The producer of the body stopped, or reading it failed.
    #[snafu(display("the body was aborted: {reason}"))]
    Aborted {
        /// The cause.
        reason: String,
    },
}

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body without content.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body streamed from a connection.
pub fn incoming(body: hyper::body::Incoming) -> Body {
    body.map_err(|source| BodyError::Connection { source }).boxed_unsync()
}

/// Reads a whole body; fails if it is longer than `limit` bytes.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, limit).collect().await;
    read.map(|collected| collected.to_bytes()).map_err(|error| to_body_error(&*error, limit))
}

fn to_body_error(
    error: &(dyn std::error::Error + Send + Sync + 'static),
    limit: usize,
) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::TooLong { limit };
    }
    BodyError::Aborted { reason: error.to_string() }
}
