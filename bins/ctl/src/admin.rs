//! Queries the admin API of entries and controllers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, SendError, body::collect};
use futures_util::future::join_all;
use hyper::{Request, header::HOST};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Time allowed for a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response body that is read.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The fields of an entry's response to `GET /admin/state` that are used here.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EntryState {
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) incarnation: String,
    /// `serving`, `leaving` or `finishing`.
    pub(crate) phase: String,
    pub(crate) view: ViewState,
}

/// The view that an entry holds.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ViewState {
    /// Sequence number of the view's root.
    pub(crate) seq: u64,
    /// Whether requests with an API key may run under this view.
    pub(crate) fresh: bool,
}

/// The fields of a controller's response to `GET /admin/state` that are used here.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ControllerState {
    pub(crate) host: String,
    /// Names of the shards that the controller owns.
    pub(crate) owned: Vec<String>,
    /// Receivers that get no orders until it is proven that a former sender has stopped.
    pub(crate) frozen: Vec<String>,
    /// Drained targets that run no request and get no new one.
    #[serde(default)]
    pub(crate) quiet: Vec<String>,
    /// Drains in progress.
    pub(crate) draining: Vec<DrainState>,
}

/// A drain in progress.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DrainState {
    pub(crate) target: String,
    /// Processes that may still send to the target.
    pub(crate) waiting: Vec<SocketAddr>,
}

/// A process's admin address, and its state or why it could not be read.
#[derive(Debug, Clone)]
pub(crate) struct AdminReply<T> {
    pub(crate) addr: SocketAddr,
    pub(crate) state: Result<T, String>,
}

impl<T: Serialize> AdminReply<T> {
    /// An object with the address, and the state or the problem.
    pub(crate) fn to_json(&self) -> Value {
        match &self.state {
            Ok(state) => json!({ "address": self.addr, "state": state }),
            Err(problem) => json!({ "address": self.addr, "problem": problem }),
        }
    }
}

/// Queries all processes concurrently.
pub(crate) async fn query_all<T: DeserializeOwned>(
    pool: &HttpPool,
    addrs: &[SocketAddr],
) -> Vec<AdminReply<T>> {
    join_all(addrs.iter().map(|addr| query(pool, *addr))).await
}

async fn query<T: DeserializeOwned>(pool: &HttpPool, addr: SocketAddr) -> AdminReply<T> {
    let result = timeout(RESPONSE_TIMEOUT, fetch(pool, addr)).await;
    let state = result.unwrap_or_else(|_| Err("no response in time".to_owned()));
    AdminReply { addr, state }
}

async fn fetch<T: DeserializeOwned>(pool: &HttpPool, addr: SocketAddr) -> Result<T, String> {
    let request = Request::get("/admin/state").header(HOST, addr.to_string()).body(Bytes::new());
    let request = request.map_err(|error| error.to_string())?;
    let response = pool.send(addr, request).await.map_err(|error| match error {
        SendError::NotSent { reason, .. } => reason,
        SendError::Unanswered { source, .. } => source.to_string(),
        unwanted @ SendError::Unwanted { .. } => unwanted.to_string(),
    })?;
    let status = response.status();
    if !status.is_success() {
        return Err(format!("answered {status}"));
    }
    let body = collect(response.into_body(), MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| format!("unexpected response: {error}"))
}
