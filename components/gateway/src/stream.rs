//! Requests whose response is an event stream, forwarded as it arrives.
//!
//! Until the first event nothing has been sent to the caller, so a failed target can be
//! replaced unnoticed if the route allows it. After that, a broken stream is resumed on
//! another target after the last complete event, or aborted.

mod buffer;
mod target_stream;

use std::{sync::Arc, time::Duration};

use chervilgate_clients::Body;
use chervilgate_clock::Time;
use chervilgate_policy::RunEnd;
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;

pub(crate) use self::buffer::{CUT_WRITE_TIME, StreamBuffers};
use self::{
    buffer::{EventReceiver, EventSender, Refusal},
    target_stream::{ReadOutcome, TargetStream},
};
use crate::{
    attempt::{InFlight, NotRunReason, SendOutcome, send},
    caller_request::CallerRequest,
    crash::{look_for_end, record_break},
    failure::Failure,
    fleet::{AttemptOutcome, BuildId, Placement, Plan, TargetQuery},
    forward::{Attempts, check_deadline},
    joining::{Position, check_first, check_joined, may_be_continued},
    prefill::{Export, Prefilled, prefill},
    protocol::RequestStage,
    state::Shared,
    takeover::{find_origin, record_origin},
    waiting::place_in_turn,
};

/// Maximum number of separate prefills per request.
const MAX_PREFILLS: u32 = 1;

/// A request's stream, across the targets that contribute to it.
struct Relay {
    shared: Arc<Shared>,
    call: Arc<CallerRequest>,
    attempts: Attempts,
    prefills: u32,
    /// Where the stream is after the last event that was sent to the caller.
    position: Position,
    /// Software version that began the stream; none before its first event.
    build: Option<BuildId>,
    /// Whether others can learn that version from this host.
    recorded: bool,
    counted: bool,
}

/// Runs `call` and returns the response as soon as the first events arrive.
pub(crate) async fn stream(
    shared: &Arc<Shared>,
    call: CallerRequest,
) -> Result<Response<Body>, Failure> {
    let call = Arc::new(call);
    let mut relay = Relay {
        shared: shared.clone(),
        position: Position::after(call.ask.last_event),
        build: None,
        recorded: false,
        call,
        attempts: Attempts::default(),
        prefills: 0,
        counted: false,
    };
    if relay.call.takes_up() {
        relay.build = Some(find_origin(shared, &relay.call).await?);
        relay.compare_numbering();
    }
    let (target_stream, first) = relay.start().await?;
    let (event_sender, events) = shared.stream_buffers.channel(shared.now());
    events.set_cutoff(relay.call.cutoff.clone());
    let mut response = Response::new(event_body(events));
    *response.status_mut() = target_stream.status;
    *response.headers_mut() = shared.protocol.caller_headers(&target_stream.headers);
    tokio::spawn(relay.run(target_stream, first, event_sender));
    Ok(response)
}

fn event_body(mut events: EventReceiver) -> Body {
    StreamBody::new(poll_fn(move |cx| events.poll_frame(cx))).boxed_unsync()
}

impl Relay {
    /// Connects to a target and waits for the first events or the end of its stream.
    async fn start(&mut self) -> Result<(TargetStream, ReadOutcome), Failure> {
        loop {
            let mut target_stream = self.connect().await?;
            let head =
                self.shared.protocol.parse_response(target_stream.status, &target_stream.headers);
            if let Err(rejection) = check_first(target_stream.status, &head) {
                target_stream.log_rejected(&self.shared, &self.call.ask.id, rejection);
                target_stream.in_flight.end_run(RunEnd::ErrorAnswer);
            } else {
                let next = target_stream.next(&self.shared, &self.call).await;
                if !matches!(next, ReadOutcome::Broken) {
                    return Ok((target_stream, next));
                }
                let end = target_stream.end_of_broken();
                target_stream.in_flight.end_run(end);
                let InFlight { placement, started_at, .. } = &target_stream.in_flight;
                record_break(&self.shared, &self.call, placement, *started_at).await;
            }
            target_stream.in_flight.outcome = AttemptOutcome::Failed;
            self.attempts.tried.push(target_stream.in_flight.placement.id.clone());
            if !self.attempts.may_retry_failed_run(&self.shared, &self.call) {
                return Err(Failure::TargetFailed);
            }
        }
    }

    /// Sends the request to targets until one goes on with the stream; none if it ends here.
    async fn resume(&mut self) -> Option<TargetStream> {
        loop {
            let mut found = self.connect().await.ok()?;
            let head = self.shared.protocol.parse_response(found.status, &found.headers);
            let Err(rejection) = check_joined(found.status, &head) else {
                found.is_joined = true;
                return Some(found);
            };
            found.log_rejected(&self.shared, &self.call.ask.id, rejection);
            found.in_flight.outcome = AttemptOutcome::Failed;
            found.in_flight.end_run(RunEnd::ErrorAnswer);
            self.attempts.tried.push(found.in_flight.placement.id.clone());
            if !self.attempts.may_retry_failed_run(&self.shared, &self.call) {
                return None;
            }
        }
    }

    /// Sends the request to targets until one returns a response.
    async fn connect(&mut self) -> Result<TargetStream, Failure> {
        loop {
            let now = self.shared.now();
            if now >= self.call.deadline {
                return Err(if self.attempts.runs > 0 {
                    Failure::TimedOut
                } else {
                    Failure::Expired
                });
            }
            let placement = if self.attempts.is_first() {
                let (plan, waited) = place_in_turn(&self.shared, &self.call, self.query()).await?;
                self.attempts.waited = waited;
                plan
            } else {
                self.shared.state().fleet.place(now, &self.query())
            };
            let now = self.shared.now();
            let Some(plan) = placement else {
                let (service, prompt) = (&self.call.service, &self.call.ask.prompt);
                self.shared.state().fleet.record_unplaced(service, prompt);
                return Err(self.attempts.no_target_failure(
                    &self.shared,
                    now,
                    &self.call.service,
                    self.build,
                ));
            };
            check_deadline(now, self.call.deadline, &self.attempts, plan.predicted_time())
                .inspect_err(|_| {
                    self.shared.state().fleet.record_refused(&self.call.service, &plan);
                })?;
            let (export, placement) = self.prefill(plan).await?;
            let (shared, call) = (self.shared.clone(), self.call.clone());
            let mut in_flight = InFlight::new(&shared, placement, &call);
            in_flight.log_placed(&call, export.is_some(), self.attempts.waited);
            let work = match &export {
                Some(export) => {
                    RequestStage::Decode { addr: export.placement().addr, handle: export.handle() }
                }
                None => RequestStage::Whole,
            };
            let result =
                send(&shared, &call, &mut in_flight, Duration::MAX, work, self.position.last())
                    .await;
            if !matches!(
                result,
                SendOutcome::NotRun(
                    NotRunReason::Unreachable | NotRunReason::CallerLeft | NotRunReason::Expired
                )
            ) && let Some(export) = export
            {
                export.mark_imported();
            }
            if matches!(result, SendOutcome::Withheld) {
                self.count_usage_once();
            }
            match result {
                SendOutcome::Answered(response) => {
                    if !response.status().is_server_error() {
                        return Ok(TargetStream::new(&shared, in_flight, response, self.position));
                    }
                    self.attempts.tried.push(in_flight.placement.id.clone());
                    self.count_usage_once();
                    if !self.attempts.may_retry_failed_run(&shared, &call) {
                        // The caller gets the target's error response.
                        return Ok(TargetStream::new(&shared, in_flight, response, self.position));
                    }
                    in_flight.end_run(RunEnd::ErrorAnswer);
                }
                SendOutcome::NotRun(why) => {
                    self.attempts.tried.push(in_flight.placement.id.clone());
                    if !self.attempts.may_retry_not_run(&shared, &call, why) {
                        return Err(self.attempts.not_run_failure(
                            &shared,
                            &call.service,
                            self.build,
                            why,
                        ));
                    }
                }
                SendOutcome::Unknown | SendOutcome::Withheld => {
                    self.attempts.tried.push(in_flight.placement.id.clone());
                    record_break(&shared, &call, &in_flight.placement, in_flight.started_at).await;
                    if !self.attempts.may_retry_failed_run(&shared, &call) {
                        return Err(Failure::TargetFailed);
                    }
                }
                SendOutcome::TimedOut => return Err(Failure::TimedOut),
            }
        }
    }

    fn query(&self) -> TargetQuery<'_> {
        TargetQuery {
            service: &self.call.service,
            prompt: &self.call.ask.prompt,
            exclude: &self.attempts.tried,
            build: self.build,
            max_pause: self.call.max_pause,
            runs_once: self.attempts.is_last_run(&self.call),
        }
    }

    /// Computes the prompt on the plan's prefill target, if any, and then chooses the
    /// target that generates.
    async fn prefill(&mut self, plan: Plan) -> Result<(Option<Export>, Placement), Failure> {
        let Some(placement) = plan.prefill else { return Ok((None, plan.placement)) };
        if !self.may_compute_apart() {
            let placement = self.shared.state().fleet.place_whole(self.shared.now(), &self.query());
            return Ok((None, placement.unwrap_or(plan.placement)));
        }
        self.prefills += 1;
        let (import, moved) = placement.import_fields();
        log::info!(
            target: "gateway", id = self.call.ask.id, target = placement.id, zone = placement.zone,
            wait = placement.wait_ms as u64, read = placement.prefill_ms as u64,
            compute = placement.compute_tokens, import, moved;
            "prompt placed"
        );
        let export = match prefill(&self.shared, &self.call, placement).await {
            Prefilled::Exported(export) => Some(*export),
            Prefilled::NotSent => None,
            // The refused prompt was the first arrival, so the whole request is a repeat.
            Prefilled::Refused => {
                let CallerRequest { service, deadline, .. } = &*self.call;
                let now = self.shared.now();
                if now < *deadline && !self.shared.try_repeat(now, service, "prompt") {
                    let reason = NotRunReason::Refused;
                    return Err(self.attempts.not_run_failure(
                        &self.shared,
                        service,
                        self.build,
                        reason,
                    ));
                }
                None
            }
        };
        let (now, query) = (self.shared.now(), self.query());
        let (export, placement) = {
            let state = self.shared.state();
            let importer = export.as_ref().and_then(|export| {
                let build = Some(export.placement().build.id);
                state.fleet.place_decode(now, &TargetQuery { build, ..query })
            });
            match importer {
                Some(placement) => (export, Some(placement)),
                // No target imports what was computed, which is dropped.
                None => (None, state.fleet.place_whole(now, &query)),
            }
        };
        let service = &self.call.service;
        let placement = placement.ok_or_else(|| {
            self.attempts.no_target_failure(&self.shared, now, service, self.build)
        })?;
        Ok((export, placement))
    }

    /// Binds the stream to the software version that brings its first event.
    fn record_origin_once(&mut self, target_stream: &TargetStream) {
        if self.recorded || !target_stream.status.is_success() {
            return;
        }
        let build = target_stream.in_flight.placement.build.id;
        self.recorded = true;
        self.build = Some(build);
        record_origin(&self.shared, &self.call, build);
    }

    /// Records that events arrived which were awaited since `awaited`: their target has not ended.
    fn record_arrival(&self, target_stream: &TargetStream, awaited: Time) {
        let InFlight { placement, started_at, .. } = &target_stream.in_flight;
        let now = self.shared.now();
        let state = &mut *self.shared.state();
        let settled = state.fleet.record_events(now, placement, *started_at, awaited);
        self.shared.settle_builds(state, settled.as_slice());
    }

    /// Has further answers go on as other streams of the software version count.
    fn compare_numbering(&mut self) {
        let Some(build) = self.build else { return };
        let by_one = self.shared.state().numberings.count_by_one(&self.call.service, build);
        self.position = self.position.like_others(by_one);
    }

    /// Records how the stream counts, as far as it was seen.
    fn record_numbering(&self) {
        if let (Some(build), Some(by_one)) = (self.build, self.position.counts_by_one()) {
            self.shared.state().numberings.record(&self.call.service, build, by_one);
        }
    }

    /// Records that the stream, sent at `sent`, broke off at the target of `placement`; `has_just_begun`
    /// if the end of the target may be due to that.
    async fn record_broken(&self, placement: &Placement, sent: Time, has_just_begun: bool) {
        if !has_just_begun {
            return look_for_end(&self.shared, placement, sent);
        }
        record_break(&self.shared, &self.call, placement, sent).await;
    }

    /// Whether the prompt may be sent to a prefill target. What follows on a refused one is a repeat.
    fn may_compute_apart(&self) -> bool {
        let now = self.shared.now();
        self.prefills < MAX_PREFILLS
            && self.shared.state().repeats.may_compute_apart(now, &self.call.service)
    }

    /// Adds the request to the usage counts, once.
    fn count_usage_once(&mut self) {
        if !self.counted {
            self.counted = true;
            self.shared.count_usage(self.call.org.as_deref(), self.shared.now());
        }
    }

    /// Ends a stream whose events the caller does not take.
    fn end_refused(&self, event_sender: EventSender, refusal: Refusal) {
        let id = &self.call.ask.id;
        match refusal {
            Refusal::CallerLeft => log::info!(target: "gateway", id; "caller left"),
            Refusal::CallerStalled => abort_response(event_sender, id, "caller does not read"),
            Refusal::TimedOut => abort_response(event_sender, id, "timed out"),
        }
    }

    /// Forwards events until the stream ends, is aborted, or the caller disconnects.
    async fn run(
        mut self,
        mut target_stream: TargetStream,
        first_read: ReadOutcome,
        event_sender: EventSender,
    ) {
        let mut next = first_read;
        let call = self.call.clone();
        let id = call.ask.id.clone();
        let mut last_sent = self.shared.now();
        let mut longest_pause = Duration::ZERO;
        let head_status = target_stream.status;
        let mut awaited = last_sent;
        loop {
            match next {
                ReadOutcome::Events(bytes) => {
                    target_stream.in_flight.mark_computed();
                    self.count_usage_once();
                    self.record_origin_once(&target_stream);
                    self.record_arrival(&target_stream, awaited);
                    self.position = *target_stream.splitter.position();
                    let now = self.shared.now();
                    let pause = now.since(last_sent);
                    self.shared.metrics.observe_pause(pause);
                    longest_pause = longest_pause.max(pause);
                    last_sent = now;
                    if let Err(refusal) = event_sender.send(self.call.deadline, bytes).await {
                        return self.end_refused(event_sender, refusal);
                    }
                }
                ReadOutcome::End => {
                    self.record_numbering();
                    if target_stream.is_whole {
                        target_stream.in_flight.record_answer(target_stream.status);
                    }
                    target_stream.in_flight.end_run(RunEnd::ErrorAnswer);
                    let pause = longest_pause.as_millis() as u64;
                    if let Some(max_pause) = self.call.route.max_pause {
                        let late = longest_pause > max_pause;
                        self.shared.state().fleet.record_stream(last_sent, late);
                    }
                    log::info!(target: "gateway", id, pause; "stream ended");
                    return event_sender.finish();
                }
                ReadOutcome::TimedOut => {
                    target_stream.in_flight.end_run(RunEnd::TimedOut);
                    return abort_response(event_sender, &id, "timed out");
                }
                ReadOutcome::Broken => {
                    target_stream.in_flight.outcome = AttemptOutcome::Failed;
                    let has_just_begun = target_stream.has_just_begun(self.shared.now())
                        && !target_stream.is_given_up;
                    let end = target_stream.end_of_broken();
                    target_stream.in_flight.end_run(end);
                    let InFlight { placement, started_at, .. } = &target_stream.in_flight;
                    self.record_broken(placement, *started_at, has_just_begun).await;
                    self.attempts.tried.push(target_stream.in_flight.placement.id.clone());
                    if !may_be_continued(head_status, target_stream.splitter.position())
                        || !self.attempts.may_retry_failed_run(&self.shared, &self.call)
                    {
                        return abort_response(event_sender, &id, "broken");
                    }
                    drop(target_stream);
                    self.compare_numbering();
                    let sent = self.call.sent_count();
                    log::warn!(
                        target: "gateway", id, last = self.position.last(), sent;
                        "stream goes on elsewhere"
                    );
                    target_stream = tokio::select! {
                        found = self.resume() => match found {
                            Some(found) => found,
                            None => return abort_response(event_sender, &id, "not resumed"),
                        },
                        refusal = not_taken(&event_sender, &call) => {
                            return self.end_refused(event_sender, refusal);
                        }
                    };
                }
            }
            awaited = self.shared.now();
            next = tokio::select! {
                next = target_stream.next(&self.shared, &self.call) => next,
                refusal = not_taken(&event_sender, &call) => {
                    return self.end_refused(event_sender, refusal);
                }
            };
        }
    }
}

/// Waits until the caller takes no more events.
async fn not_taken(event_sender: &EventSender, call: &CallerRequest) -> Refusal {
    tokio::select! {
        refusal = event_sender.closed() => refusal,
        () = call.caller.left() => Refusal::CallerLeft,
    }
}

/// Aborts the response, so that the caller cannot take it for complete.
fn abort_response(event_sender: EventSender, id: &str, reason: &str) {
    log::warn!(target: "gateway", id, reason; "stream cut");
    event_sender.abort(reason);
}
