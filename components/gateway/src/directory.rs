//! Endpoints for host addresses, readiness and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::{Body, body::empty, body::full};
use chervilgate_serve::Handler;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use tokio::time::timeout;

use crate::{
    body::read_body,
    explain::{Question, explain},
    state::Shared,
};

/// Time for which callers may cache an address list. Some callers cache it for three
/// times as long; even then it must expire before a stopping host exits.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Path at which requests are explained.
const EXPLAIN_PATH: &str = "/explain";

/// Maximum size of a request to explain, in bytes.
const MAX_QUESTION_BYTES: usize = 64 << 10;

/// Timeout for reading it.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves address lists, readiness and metrics.
pub(crate) struct Directory {
    pub(crate) shared: Arc<Shared>,
    /// Whether it explains requests: an answer names targets and quotas, which callers must not see.
    pub(crate) explains: bool,
}

#[async_trait]
impl Handler for Directory {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == METRICS_PATH {
            return self.metrics();
        }
        if self.explains && path == EXPLAIN_PATH && request.method() == Method::POST {
            return self.explain(request.into_body()).await;
        }
        if self.shared.protocol.is_ready_path(path) {
            return self.readiness();
        }
        let query = request.uri().query().unwrap_or_default();
        let Some(locate) = self.shared.protocol.parse_locate(path, query) else {
            return status(StatusCode::NOT_FOUND);
        };
        let zone = locate.zone.as_deref().unwrap_or(&self.shared.settings.zone);
        let now = self.shared.now();
        let own = self.shared.is_ready(now).then(|| self.shared.host_entry());
        let addrs = self.shared.state().membership.addresses(now, zone, own.as_ref());
        if addrs.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let address_ttl = ADDRESS_TTL.min(self.shared.settings.bounds.address_ttl);
        let mut response =
            Response::new(full(self.shared.protocol.locate_response(&addrs, address_ttl)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

impl Directory {
    async fn explain(&self, body: Incoming) -> Response<Body> {
        let read = read_body(body, MAX_QUESTION_BYTES, &self.shared.body_budget);
        let Ok(Ok((body, _reservation))) = timeout(QUESTION_TIMEOUT, read).await else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let question = serde_json::from_slice::<Question>(&body).map_err(|error| error.to_string());
        let answer = question.and_then(|question| explain(&self.shared, &question));
        let answer = answer
            .and_then(|answer| serde_json::to_vec(&answer).map_err(|error| error.to_string()));
        let (status, body) = match answer {
            Ok(answer) => (StatusCode::OK, answer),
            Err(problem) => (StatusCode::BAD_REQUEST, problem.into_bytes()),
        };
        let mut response = Response::new(full(body));
        *response.status_mut() = status;
        response
    }

    fn metrics(&self) -> Response<Body> {
        let now = self.shared.now();
        let metrics = &self.shared.metrics;
        metrics.ready.set(self.shared.is_ready(now).into());
        metrics.set_held_bytes("bodies", self.shared.body_budget.used());
        metrics.set_held_bytes("answers", self.shared.answer_budget.used());
        metrics.set_held_bytes("streams", self.shared.stream_buffers.used());
        let connections = self.shared.stream_buffers.budget().in_connections();
        metrics.set_held_bytes("connections", connections);
        metrics.set_stalled_streams(self.shared.stream_buffers.dropped());
        {
            let state = self.shared.state();
            let age = state.view.age(now).map_or(-1, |age| age.as_millis() as i64);
            metrics.view_age.set(age);
            let age = state.reads.targets.age(now).map_or(-1, |age| age.as_millis() as i64);
            metrics.targets_age.set(age);
            metrics.store_era.set(*self.shared.store_era.borrow() as i64);
            metrics.set_targets(state.fleet.target_counts(now));
            metrics.hosts.set(state.membership.count() as i64);
        }
        Response::new(full(metrics.render((self.shared.lines_lost)())))
    }

    fn readiness(&self) -> Response<Body> {
        if self.shared.is_ready(self.shared.now()) {
            return status(StatusCode::OK);
        }
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
