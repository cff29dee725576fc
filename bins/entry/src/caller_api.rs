//! The HTTP API for callers: completions, plain services, locate and health checks.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use chervilgate_clients::{
    Body, BodyError,
    body::{collect, full},
};
use chervilgate_model::{KeyRecord, Service};
use chervilgate_serve::Handler;
use chervilgate_telemetry::RequestOutcome;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue},
    http::request::Parts,
};
use serde_json::json;
use smallvec::SmallVec;

use crate::{
    attempt::{REQUEST_ID_HEADER, RequestTemplate},
    auth::{authorize, check_access, check_uri, forwarded_headers},
    completion::{Completion, Interface},
    completion_job::CompletionJob,
    dispatch::Authorization,
    host::Host,
    idempotency::IdempotencyKey,
    idempotent_job::run_once,
    locate::{json as json_response, locate},
    outcome::{Failure, Outcome},
    plain_job::PlainJob,
    view::ViewState,
};

/// Handles callers' HTTP requests.
pub(crate) struct CallerApi {
    host: Arc<Host>,
}

impl CallerApi {
    pub(crate) fn new(host: Arc<Host>) -> CallerApi {
        CallerApi { host }
    }

    async fn route(&self, request: Request<Incoming>, id: &str) -> Result<Response<Body>, Failure> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => Ok(Response::new(full("ok\n"))),
            (&Method::GET, "/readyz") => Ok(self.readiness()),
            (&Method::GET, "/v1/locate") => Ok(locate(&self.host, &head.uri)),
            (&Method::GET, "/v1/models") => self.models(&head),
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(Interface::Chat, head, body, id).await
            }
            (&Method::POST, "/v1/completions") => {
                self.complete(Interface::Text, head, body, id).await
            }
            _ => self.handle_plain(head, body, id).await,
        }
    }

    fn readiness(&self) -> Response<Body> {
        let now = self.host.deps.clock.now();
        let state = self.host.views.get();
        if state.is_fresh(now) {
            return Response::new(full("ready\n"));
        }
        let mut response = Response::new(full("no confirmed configuration\n"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    fn models(&self, head: &Parts) -> Result<Response<Body>, Failure> {
        let state = self.host.views.get();
        let record = authorize(self.host.deps.clock.now(), &state, &head.headers)?;
        let services = state.view.config.services.values();
        let admitted = services.filter(|service| service.allows(&record.organisation));
        let models = admitted.filter_map(Service::model);
        let data: Vec<_> = models
            .map(|model| {
                json!({
                    "id": model, "object": "model", "created": 0, "owned_by": "chervilgate"
                })
            })
            .collect();
        Ok(json_response(&json!({ "object": "list", "data": data })))
    }

    async fn complete(
        &self,
        interface: Interface,
        head: Parts,
        body: Incoming,
        id: &str,
    ) -> Result<Response<Body>, Failure> {
        check_uri(&head.uri, &head.headers)?;
        self.authorize_caller(&head, &self.host.views.get())?;
        let body = self.read_body(&head, body).await?;
        let completion = Completion::read(interface, &body)?;
        // The body may have arrived slowly, so check again against the current view.
        let state = self.host.views.get();
        let record = self.authorize_caller(&head, &state)?;
        let unknown = || {
            let message = format!("there is no model `{}`", completion.model);
            Failure::not_found("model_not_found", message).with_param("model")
        };
        let service = state.view.config.service_for_model(&completion.model).ok_or_else(unknown)?;
        check_access(service, &record.organisation)?;
        let service_not_ready =
            || Failure::unavailable("starting", "the service is not available on this host yet");
        let scheduler = self.host.scheduler(service.name.as_str()).ok_or_else(service_not_ready)?;
        let job = CompletionJob {
            host: self.host.clone(),
            scheduler,
            organisation: record.organisation.to_string(),
            authorization: Authorization::Key(record.name),
            completion,
            arrived: self.host.deps.clock.now(),
            headers: forwarded_headers(&head.headers),
            id: id.to_owned(),
            failed: SmallVec::new(),
            started: 0,
            crashes: 0,
            worst_outcome: Outcome::NotRun,
        };
        job.run().await
    }

    async fn handle_plain(
        &self,
        head: Parts,
        body: Incoming,
        id: &str,
    ) -> Result<Response<Body>, Failure> {
        check_uri(&head.uri, &head.headers)?;
        let state = self.host.views.get();
        let path = head.uri.path().to_owned();
        let no_such_path =
            || Failure::not_found("no_such_path", format!("nothing is served at {path}"));
        let (service, rest) = state.view.config.service_for_path(&path).ok_or_else(no_such_path)?;
        if service.model().is_some() {
            return Err(no_such_path());
        }
        let method = head.method.as_str();
        if !service.is_public(method, rest) {
            self.authorize_caller(&head, &state)?;
        }
        let body = self.read_body(&head, body).await?;
        self.send_plain(&head, body, &path, id).await
    }

    /// Sends a plain request on, checked against the view at the time its body is complete.
    async fn send_plain(
        &self,
        head: &Parts,
        body: Bytes,
        path: &str,
        id: &str,
    ) -> Result<Response<Body>, Failure> {
        let state = self.host.views.get();
        let removed = || Failure::not_found("no_such_path", "the service has just been removed");
        let (service, rest) = state.view.config.service_for_path(path).ok_or_else(removed)?;
        let method = head.method.as_str();
        let mut organisation = None;
        let mut authorization = Authorization::Open;
        if !service.is_public(method, rest) {
            let caller = self.authorize_caller(head, &state)?;
            check_access(service, &caller.organisation)?;
            organisation = Some(caller.organisation.to_string());
            authorization = Authorization::Key(caller.name);
        }
        let service_not_ready =
            || Failure::unavailable("starting", "the service is not available on this host yet");
        let scheduler = self.host.scheduler(service.name.as_str()).ok_or_else(service_not_ready)?;
        let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let job = PlainJob {
            host: self.host.clone(),
            scheduler,
            service: service.name.to_string(),
            organisation,
            authorization,
            template: RequestTemplate {
                method: head.method.clone(),
                path: format!("{rest}{query}"),
                headers: forwarded_headers(&head.headers),
                body,
            },
            id: id.to_owned(),
            repeatable: !service.is_at_most_once(method, rest),
        };
        match IdempotencyKey::read(&head.headers)? {
            Some(idempotency_key) if !job.repeatable => run_once(job, idempotency_key, head).await,
            _ => job.run().await,
        }
    }

    fn authorize_caller(&self, head: &Parts, state: &ViewState) -> Result<KeyRecord, Failure> {
        let now = self.host.deps.clock.now();
        authorize(now, state, &head.headers).cloned()
    }

    async fn read_body(&self, head: &Parts, body: Incoming) -> Result<Bytes, Failure> {
        let limit = self.host.settings.body_limit;
        let too_large = || Failure::too_large(format!("the body is longer than {limit} bytes"));
        let declared = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        let declared = declared.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
        if declared > limit {
            return Err(too_large());
        }
        let reading = collect(body, usize::try_from(limit).unwrap_or(usize::MAX));
        match tokio::time::timeout(self.host.settings.body_timeout, reading).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyError::TooLong { .. })) => Err(too_large()),
            Ok(Err(error)) => {
                Err(Failure::invalid("body_broken", format!("the body broke off: {error}")))
            }
            Err(_) => Err(Failure::invalid("body_slow", "the body was not complete in time")),
        }
    }
}

#[async_trait]
impl Handler for CallerApi {
    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let id = self.host.new_request_id();
        let answered = self.route(request, &id).await;
        let end = answered.as_ref().map_or_else(
            |failure| failure.outcome().to_request_end(),
            |_| RequestOutcome::Answered,
        );
        self.host.metrics.count_request(end);
        let mut response = answered.unwrap_or_else(|failure| {
            log::info!(target: "caller", peer:%, id = id.as_str(),
                status = failure.status().as_u16(), outcome = failure.outcome().as_str();
                "request failed");
            failure.to_response()
        });
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}
