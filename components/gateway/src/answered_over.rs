//! Over which connections answers to one request have come.
//!
//! An answer is tied to its request by the request's id. A request that goes to one target twice, to
//! have its prompt computed and then as a whole, has one id for both. An answer to the first that the
//! target writes once more would be read for the second on the same connection, so the second goes
//! over another one.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use chervilgate_clients::{Body, ConnectionHandle};
use hyper::Response;
use smallvec::SmallVec;

/// The connections over which one request has been answered.
#[derive(Debug, Default)]
pub(crate) struct AnsweredOver(Mutex<SmallVec<[(SocketAddr, ConnectionHandle); 2]>>);

impl AnsweredOver {
    /// Records the connection to `addr` that `response` came over.
    pub(crate) fn record(&self, addr: SocketAddr, response: &Response<Body>) {
        if let Some(connection) = response.extensions().get::<ConnectionHandle>() {
            let mut list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            list.push((addr, connection.clone()));
        }
    }

    /// Keeps the recorded connections to `addr` from carrying further requests, before the request
    /// goes there again. Returns their number.
    pub(crate) fn retire(&self, addr: SocketAddr) -> usize {
        let mut list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = list.len();
        list.retain(|(other, connection)| {
            let is_other = *other != addr;
            if !is_other {
                connection.discard();
            }
            is_other
        });
        before - list.len()
    }
}
