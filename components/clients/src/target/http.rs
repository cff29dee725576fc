//! HTTP client of engines: `GET /load` and `POST /orders`.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, header::HOST};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{
    Engine, EngineError, HttpPool, HttpSender, LoadReport, OrderOutcome, OrderRequest,
    body::collect, no_effect::had_no_effect,
};

/// Timeout for a call, including connecting.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Calls engines over HTTP. Clones share the connection pool.
#[derive(Clone, Default)]
pub struct HttpEngine {
    pool: HttpPool,
}

impl HttpEngine {
    /// A client with an empty connection pool.
    pub fn new() -> HttpEngine {
        HttpEngine::default()
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, EngineError> {
        let unknown = |reason: String| EngineError::Unknown { addr, reason };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, addr.to_string())
            .body(body)
            .map_err(|error| EngineError::Refused { addr, reason: error.to_string() })?;
        let exchange = async {
            let response = self.pool.send(addr, request).await.map_err(|error| {
                let reason = error.to_string();
                if error.not_run() {
                    return EngineError::Unreachable { addr, reason };
                }
                unknown(reason)
            })?;
            let status = response.status();
            let body = collect(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| unknown(error.to_string()))?;
            if !status.is_success() {
                let reason = format!("{status}: {}", String::from_utf8_lossy(&body));
                if had_no_effect(status) {
                    return Err(EngineError::Refused { addr, reason });
                }
                return Err(unknown(reason));
            }
            serde_json::from_slice(&body).map_err(|error| unknown(error.to_string()))
        };
        timeout(CALL_TIMEOUT, exchange).await.map_err(|_| {
            self.pool.distrust(addr);
            unknown("timed out".to_owned())
        })?
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn load(&self, addr: SocketAddr) -> Result<LoadReport, EngineError> {
        self.call(addr, Method::GET, "/load", Bytes::new()).await
    }

    async fn order(
        &self,
        addr: SocketAddr,
        order: &OrderRequest,
    ) -> Result<OrderOutcome, EngineError> {
        let body = serde_json::to_vec(order)
            .map_err(|error| EngineError::Refused { addr, reason: error.to_string() })?;
        self.call(addr, Method::POST, "/orders", Bytes::from(body)).await
    }
}
