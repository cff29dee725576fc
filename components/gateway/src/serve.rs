//! Callers' requests, from their head to their answer.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use chervilgate_clients::{Body, BodyError, body::collect};
use chervilgate_clock::Time;
use chervilgate_serve::Handler;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::{request::Parts, uri::PathAndQuery},
};
use tokio::time::timeout;

use crate::{
    answer::Failure,
    attempt::Call,
    config::{Config, Org, Route},
    forward::forward,
    protocol::Ask,
    state::Shared,
    stream::stream,
    suspects::Fingerprint,
};

/// Answers callers.
pub(crate) struct Callers {
    pub(crate) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Callers {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let begun = self.shared.now();
        let (head, body) = request.into_parts();
        let ask = self.shared.protocol.ask(&head.headers);
        let id = ask.as_ref().map_or("", |ask| ask.id.as_str()).to_owned();
        let result = match ask {
            Ok(ask) => self.answer(begun, head, body, ask).await,
            Err(error) => {
                log::info!(target: "gateway", error:%; "malformed request");
                Err(Failure::Malformed)
            }
        };
        let took = self.shared.now().since(begun).as_millis() as u64;
        let mut response = match result {
            Ok(response) => {
                let status = response.status().as_u16();
                log::info!(target: "gateway", id, status, ms = took; "answered");
                self.shared.metrics.count_end("answered");
                response
            }
            Err(failure) => {
                let reason = failure.as_str();
                log::warn!(target: "gateway", id, reason, ms = took; "failed");
                self.shared.metrics.count_end(reason);
                failure.answer(&*self.shared.protocol, &id)
            }
        };
        if self.shared.state().leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// A request's route and caller.
struct Admitted {
    route: Arc<Route>,
    org: Option<Org>,
    body_limit: usize,
}

impl Callers {
    async fn answer(
        &self,
        begun: Time,
        head: Parts,
        body: Incoming,
        ask: Ask,
    ) -> Result<Response<Body>, Failure> {
        let Admitted { route, org, body_limit } = self.admit(begun, &head, &ask)?;
        let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
        let end = begun + patience;
        let body = match timeout(patience, collect(body, body_limit)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong { .. })) => return Err(Failure::TooLong),
            Ok(Err(_)) => return Err(Failure::BrokenBody),
            Err(_) => return Err(Failure::Expired),
        };
        // The view may have changed while the body came in.
        let Admitted { org: still, .. } = match self.admit(self.shared.now(), &head, &ask) {
            Ok(admitted) => admitted,
            Err(failure) => return Err(failure),
        };
        let org = org.and(still);
        let service = route.service(rand::random()).cloned().ok_or(Failure::NoTarget)?;
        self.shared.earn(&service);
        let priority = org.as_ref().and_then(|org| org.priority).unwrap_or(route.priority);
        let fingerprint = Fingerprint::new(head.uri.path(), ask.key.as_deref(), &body);
        if !self.shared.state().suspects.may_run(self.shared.now(), fingerprint) {
            return Err(Failure::Suspect);
        }
        let call = Call {
            fingerprint,
            method: head.method,
            path: head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/")),
            headers: head.headers,
            body,
            ask,
            route,
            service,
            org: org.map(|org| org.name),
            priority,
            end,
        };
        let is_stream = call.route.kind.is_stream();
        let response = if is_stream {
            stream(&self.shared, call).await?
        } else {
            forward(&self.shared, &call).await?
        };
        self.shared.metrics.time(is_stream, self.shared.now().since(begun));
        Ok(response)
    }

    fn admit(&self, now: Time, head: &Parts, ask: &Ask) -> Result<Admitted, Failure> {
        let state = self.shared.state();
        let config = state.view.config().ok_or(Failure::StaleView)?;
        if !state.listed {
            return Err(Failure::StaleView);
        }
        let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).ok_or(Failure::Malformed)?;
        let fresh = state.view.is_fresh(now);
        // A route or key that an old view does not know may have come since.
        let unknown = |failure| if fresh { failure } else { Failure::StaleView };
        let route = config.route(host, head.uri.path());
        let route = route.ok_or_else(|| unknown(Failure::NoRoute))?.clone();
        let org = org_of(config, &route, ask).map_err(unknown)?;
        if org.is_some() && !fresh {
            return Err(Failure::StaleView);
        }
        Ok(Admitted { route, org, body_limit: config.limits.body })
    }
}

/// The organisation whose key came with a request.
fn org_of(config: &Config, route: &Route, ask: &Ask) -> Result<Option<Org>, Failure> {
    let Some(keys) = &config.keys else { return Ok(None) };
    let org = ask.key.as_ref().and_then(|key| keys.get(key)).cloned();
    if org.is_none() && !route.open {
        return Err(Failure::UnknownKey);
    }
    Ok(org)
}
