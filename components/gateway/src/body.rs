//! Bodies that are held in memory within the host's budgets.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use chervilgate_clients::{Body, BodyError};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use crate::memory::{ByteBudget, Reservation};

/// Size of the pieces in which a held body is handed to the connection, which buffers the piece that
/// its caller is reading.
const PIECE_BYTES: usize = 64 << 10;

/// Why a body was not read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The host holds as much as it may.
    OverBudget,
    /// The body is longer than allowed, or broke off.
    Body(BodyError),
}

/// Reads a body of up to `limit` bytes, and takes its length from `budget` before it is read if the
/// sender states it, and as it arrives otherwise.
pub(crate) async fn read_body<B>(
    body: B,
    limit: usize,
    budget: &Arc<ByteBudget>,
) -> Result<(Bytes, Reservation), ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut reservation = Reservation::new(budget);
    let stated = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if stated.is_some_and(|bytes| bytes > limit) {
        return Err(too_long(limit));
    }
    if !reservation.try_raise(stated.unwrap_or(0)) {
        return Err(ReadError::OverBudget);
    }
    let mut body = body;
    let mut read = Pieces::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(&error))?;
        read.push(frame.into_data().unwrap_or_default());
        if read.len > limit {
            return Err(too_long(limit));
        }
        if !reservation.try_raise(read.len) {
            return Err(ReadError::OverBudget);
        }
    }
    Ok((read.join(), reservation))
}

/// Reads an answer of up to `limit` bytes. Waits for `budget` while it is used up: the request has
/// run, so its answer is not given up.
pub(crate) async fn read_answer(
    mut body: Body,
    limit: usize,
    budget: &Arc<ByteBudget>,
) -> Result<(Bytes, Reservation), BodyError> {
    let mut reservation = Reservation::new(budget);
    let mut read = Pieces::default();
    while let Some(frame) = body.frame().await {
        let piece = frame?.into_data().unwrap_or_default();
        if read.len + piece.len() > limit {
            return Err(BodyError::TooLong { limit });
        }
        reservation.add(piece.len()).await;
        read.push(piece);
    }
    Ok((read.join(), reservation))
}

fn too_long(limit: usize) -> ReadError {
    ReadError::Body(BodyError::TooLong { limit })
}

fn broken(error: &dyn std::fmt::Display) -> ReadError {
    ReadError::Body(BodyError::Aborted { reason: error.to_string() })
}

/// The pieces of a body; most bodies come in one.
#[derive(Debug, Default)]
struct Pieces {
    first: Bytes,
    rest: BytesMut,
    len: usize,
}

impl Pieces {
    fn push(&mut self, piece: Bytes) {
        self.len += piece.len();
        if self.first.is_empty() {
            self.first = piece;
        } else {
            self.rest.extend_from_slice(&piece);
        }
    }

    fn join(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        let mut whole = BytesMut::with_capacity(self.len);
        whole.extend_from_slice(&self.first);
        whole.extend_from_slice(&self.rest);
        whole.freeze()
    }
}

/// A body in memory that counts toward a budget until its caller has read it.
pub(crate) fn held(bytes: Bytes, reservation: Reservation) -> Body {
    HeldBody { bytes, _reservation: reservation }.boxed_unsync()
}

struct HeldBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.bytes.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
