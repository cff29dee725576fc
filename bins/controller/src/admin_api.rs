//! The admin API, which shows the status of one controller.

use std::net::SocketAddr;

use async_trait::async_trait;
use chervilgate_clients::{
    Body,
    body::{empty, full},
};
use chervilgate_serve::Handler;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::worker::SharedStatus;

/// Handles requests to the admin API.
pub(crate) struct AdminApi {
    /// Name of the host.
    pub(crate) host: String,
    /// Identifies this run of the process.
    pub(crate) incarnation: String,
    /// The status to show.
    pub(crate) status: SharedStatus,
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
        let snapshot = self.status.lock().clone();
        let draining = snapshot.draining.iter();
        let draining =
            draining.map(|(target, waiting)| json!({ "target": target, "waiting": waiting }));
        json!({
            "host": self.host,
            "incarnation": self.incarnation,
            "view": { "seq": snapshot.view_seq },
            "owned": snapshot.owned,
            "frozen": snapshot.frozen,
            "quiet": snapshot.drained,
            "draining": draining.collect::<Vec<_>>(),
        })
    }
}
