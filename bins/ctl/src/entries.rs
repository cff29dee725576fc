//! What entries and controllers say of themselves.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, SendError, body::collect};
use futures_util::future::join_all;
use hyper::{Request, header::HOST};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Time allowed for an entry's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// An entry's answer to `GET /admin/state`, as far as it is needed here.
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
    /// The number of the view's root.
    pub(crate) seq: u64,
    /// Whether keyed work may run on it.
    pub(crate) fresh: bool,
}

/// A controller's answer to `GET /admin/state`, as far as it is needed here.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ControllerState {
    pub(crate) host: String,
    /// Shards that it owns.
    pub(crate) owned: Vec<String>,
    /// Receivers that get no orders until a former sender is proved out.
    pub(crate) frozen: Vec<String>,
    /// Targets that run nothing and get nothing.
    #[serde(default)]
    pub(crate) quiet: Vec<String>,
    /// Drains under way.
    pub(crate) draining: Vec<DrainState>,
}

/// A drain as its controller sees it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DrainState {
    pub(crate) target: String,
    /// Processes that may still send to the target.
    pub(crate) waiting: Vec<SocketAddr>,
}

/// A process's admin address and its answer, if there was one.
#[derive(Debug, Clone)]
pub(crate) struct Asked<T> {
    pub(crate) addr: SocketAddr,
    pub(crate) state: Result<T, String>,
}

impl<T: Serialize> Asked<T> {
    /// Its JSON: the address, and the state or the problem.
    pub(crate) fn to_json(&self) -> Value {
        match &self.state {
            Ok(state) => json!({ "address": self.addr, "state": state }),
            Err(problem) => json!({ "address": self.addr, "problem": problem }),
        }
    }
}

/// Asks all processes at the same time.
pub(crate) async fn ask_all<T: DeserializeOwned>(
    pool: &HttpPool,
    addrs: &[SocketAddr],
) -> Vec<Asked<T>> {
    join_all(addrs.iter().map(|addr| ask(pool, *addr))).await
}

async fn ask<T: DeserializeOwned>(pool: &HttpPool, addr: SocketAddr) -> Asked<T> {
    let answer = timeout(ANSWER_TIMEOUT, fetch(pool, addr)).await;
    let state = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    Asked { addr, state }
}

async fn fetch<T: DeserializeOwned>(pool: &HttpPool, addr: SocketAddr) -> Result<T, String> {
    let request = Request::get("/admin/state").header(HOST, addr.to_string()).body(Bytes::new());
    let request = request.map_err(|error| error.to_string())?;
    let response = pool.send(addr, request).await.map_err(|error| match error {
        SendError::NotSent { reason, .. } => reason,
        SendError::Unanswered { source, .. } => source.to_string(),
    })?;
    let status = response.status();
    if !status.is_success() {
        return Err(format!("answered {status}"));
    }
    let body = collect(response.into_body(), ANSWER_LIMIT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| format!("answered something else: {error}"))
}
