//! A fake plain service that counts how often each request ran.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use chervilgate_clients::{
    Body,
    body::{collect, full},
};
use chervilgate_serve::Handler;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, HeaderValue},
};
use serde_json::json;
use tokio::time::sleep;

use crate::{FakeServer, listen::broken_response};

/// Longest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Injected faults of a service; the default has none.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Extra delay before each answer.
    pub delay: Duration,
    /// Carries calls out, but breaks the connection before the answer.
    pub lose_answers: bool,
    /// Carries calls out, but answers with status 503.
    pub fail: bool,
    /// Answers carry a wrong request id.
    pub wrong_id: bool,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    runs: BTreeMap<String, u32>,
    peers: Vec<SocketAddr>,
    keys_seen: u64,
}

#[derive(Default)]
struct Shared(Mutex<State>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake plain service on a loopback port; dropping it stops it and breaks its
/// connections.
pub struct ServiceServer {
    shared: Arc<Shared>,
    server: FakeServer,
}

impl ServiceServer {
    /// Starts a service on `port`; zero picks a free one.
    pub fn start(port: u16) -> io::Result<ServiceServer> {
        let shared = Arc::new(Shared::default());
        let server = FakeServer::start(Arc::new(Api { shared: shared.clone() }), port)?;
        Ok(ServiceServer { shared, server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces its injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.lock().faults = faults;
    }

    /// How often each request ran, by "METHOD PATH BODY".
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// The remote address of each request; those of one connection have the same.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.shared.lock().peers.clone()
    }

    /// Requests that contained a caller's key, which targets must never see.
    pub fn keys_seen(&self) -> u64 {
        self.shared.lock().keys_seen
    }
}

struct Api {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(content) = collect(body, MAX_REQUEST_BYTES).await else {
            return error_response(StatusCode::BAD_REQUEST);
        };
        let content = String::from_utf8_lossy(&content).into_owned();
        let call = format!("{} {} {content}", head.method, head.uri.path());
        let faults = self.record_run(peer, call, head.headers.contains_key(AUTHORIZATION));
        sleep(faults.delay).await;
        if faults.lose_answers {
            return broken_response(Vec::new());
        }
        let answer = json!({ "path": head.uri.path(), "received": content });
        let mut response = Response::new(full(answer.to_string()));
        if faults.fail {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        if let Some(id) = head.headers.get("x-request-id") {
            let crossed = HeaderValue::from_static("crossed");
            let id = if faults.wrong_id { crossed } else { id.clone() };
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }
}

impl Api {
    fn record_run(&self, peer: SocketAddr, call: String, with_key: bool) -> ServiceFaults {
        let mut state = self.shared.lock();
        state.peers.push(peer);
        *state.runs.entry(call).or_default() += 1;
        state.keys_seen += u64::from(with_key);
        state.faults
    }
}

fn error_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full("cannot read the request body"));
    *response.status_mut() = code;
    response
}
