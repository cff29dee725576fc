//! Bodies that are held in memory within the host's budgets.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes, BytesMut};
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

/// Reads a body of up to `limit` bytes, which takes from `budget` as it arrives: a length that is only
/// stated holds nothing, so that slow senders do not keep others out.
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

/// An answer as far as it was collected.
pub(crate) enum Answer {
    /// All of it.
    Whole(Body),
    /// The host holds as much as it may; the rest is passed on as it arrives, which has no limit yet.
    Partial(Body),
    /// The host holds as much as it may, and the end of the answer does not show in its bytes.
    OverBudget,
}

/// Collects an answer of up to `limit` bytes while `budget` has room. The request has run, so an answer
/// without room is not given up: what was collected is passed on with the rest, if the end of the
/// answer shows in its bytes.
pub(crate) async fn read_answer(
    mut body: Body,
    limit: usize,
    budget: &Arc<ByteBudget>,
    is_framed: bool,
) -> Result<Answer, BodyError> {
    let mut reservation = Reservation::new(budget);
    let mut read = Pieces::default();
    while let Some(frame) = body.frame().await {
        let piece = frame?.into_data().unwrap_or_default();
        if read.len + piece.len() > limit {
            return Err(BodyError::TooLong { limit });
        }
        let has_room = reservation.try_raise(read.len + piece.len());
        read.push(piece);
        if has_room {
            continue;
        }
        if !is_framed {
            return Ok(Answer::OverBudget);
        }
        let collected = HeldBody { bytes: read.join(), _reservation: reservation };
        return Ok(Answer::Partial(JoinedBody { collected, rest: body }.boxed_unsync()));
    }
    Ok(Answer::Whole(HeldBody { bytes: read.join(), _reservation: reservation }.boxed_unsync()))
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

/// A body in memory that counts toward a budget until it is handed to the connection.
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
        if self.bytes.len() <= PIECE_BYTES {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.bytes)))));
        }
        // A copy, since a slice would keep the whole body in memory until it is sent.
        let piece = Bytes::copy_from_slice(&self.bytes[..PIECE_BYTES]);
        self.bytes.advance(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// What was collected of a body, and the rest of it.
struct JoinedBody {
    collected: HeldBody,
    rest: Body,
}

impl hyper::body::Body for JoinedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.collected.is_end_stream() {
            return Pin::new(&mut self.collected).poll_frame(cx);
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.collected.is_end_stream() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let collected = self.collected.bytes.len() as u64;
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(collected + rest),
            None => SizeHint::default(),
        }
    }
}
