//! The admin API, which shows the state of one entry.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use chervilgate_clients::{Body, body::empty};
use chervilgate_serve::Handler;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::{
    host::{Host, Phase},
    locate::json as json_response,
};

/// Handles requests to the admin API.
pub(crate) struct AdminApi {
    host: Arc<Host>,
}

impl AdminApi {
    pub(crate) fn new(host: Arc<Host>) -> AdminApi {
        AdminApi { host }
    }

    fn state(&self) -> Response<Body> {
        let now = self.host.deps.clock.now();
        let state = self.host.views.get();
        let phase = match *self.host.phase().borrow() {
            Phase::Serving => "serving",
            Phase::Leaving => "leaving",
            Phase::Finishing => "finishing",
        };
        let node = self.host.node();
        json_response(&json!({
            "host": self.host.settings.host,
            "zone": self.host.settings.zone,
            "incarnation": node.incarnation.to_string(),
            "peer": node.addr,
            "phase": phase,
            "view": {
                "seq": state.view.seq.0,
                "fresh": state.is_fresh(now),
                "by_platform": state.by_platform,
                "relay": state.relay,
            },
            "members": self.host.members.all().len(),
            "peers": self.host.peers.counts(),
            "services": self.host.request_counts(),
        }))
    }
}

#[async_trait]
impl Handler for AdminApi {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/admin/state") => self.state(),
            _ => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}
