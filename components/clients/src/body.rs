//! The body type that crosses module borders.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use snafu::Snafu;

/// Any HTTP body, streamed or whole.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body broke off.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The connection failed underneath.
    #[snafu(display("the connection broke off inside a body: {source}"))]
    Broken {
        /// What hyper reported.
        source: hyper::Error,
    },
    /// The body is longer than is allowed here.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// Whoever produced the body gave up.
    #[snafu(display("the body was given up: {reason}"))]
    Abandoned {
        /// Why.
        reason: String,
    },
}

/// A body that is all there.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body without content.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body read from a connection as it comes.
pub fn incoming(body: hyper::body::Incoming) -> Body {
    body.map_err(|source| BodyError::Broken { source }).boxed_unsync()
}

/// Reads a body to its end; at most `limit` bytes.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, limit).collect().await;
    read.map(|whole| whole.to_bytes()).map_err(|error| read_error(&*error, limit))
}

fn read_error(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::TooLong { limit };
    }
    BodyError::Abandoned { reason: error.to_string() }
}
