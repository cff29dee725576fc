//! The operators' view of one controller.

use std::net::SocketAddr;

use async_trait::async_trait;
use chervilgate_clients::{
    Body,
    body::{empty, full},
};
use chervilgate_serve::Handler;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::duty::Board;

/// Answers operators.
pub(crate) struct AdminApi {
    /// The host's name.
    pub(crate) host: String,
    /// The process.
    pub(crate) incarnation: String,
    /// What is shown.
    pub(crate) board: Board,
}

#[async_trait]
impl Handler for AdminApi {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/admin/state") => Response::new(full(self.state().to_string())),
            (&Method::GET, "/healthz") => Response::new(full("ok\n")),
            _ => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}

impl AdminApi {
    fn state(&self) -> serde_json::Value {
        let shown = self.board.lock().clone();
        let draining = shown.draining.iter();
        let draining =
            draining.map(|(target, waiting)| json!({ "target": target, "waiting": waiting }));
        json!({
            "host": self.host,
            "incarnation": self.incarnation,
            "view": { "seq": shown.seq },
            "owned": shown.owned,
            "frozen": shown.frozen,
            "quiet": shown.quiet,
            "draining": draining.collect::<Vec<_>>(),
        })
    }
}
