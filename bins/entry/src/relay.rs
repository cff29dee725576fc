//! Streams completions from engine to caller.
//!
//! The stream advances only as the caller reads it. When the caller
//! disconnects, the stream is dropped and with it the connection to the engine,
//! which cancels the run.

use bytes::Bytes;
use chervilgate_clients::{Body, BodyError};
use chervilgate_policy::AttemptOutcome;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::Frame,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};

use crate::{
    chunk::{Chunk, done_event, write_event},
    completion_job::{Attempt, CompletionJob},
    outcome::{Failure, Outcome},
    scheduler::Slot,
    sse::EventReader,
};

/// The response that streams `attempt` and, if it breaks, the attempts that resume it.
pub(crate) fn relay_stream(job: CompletionJob, attempt: Attempt) -> Response<Body> {
    let relay = Relay::new(job, attempt);
    let frames = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next_frame().await?;
        Some((Ok::<_, BodyError>(Frame::data(bytes)), relay))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

struct Relay {
    job: CompletionJob,
    slot: Option<Slot>,
    body: Body,
    reader: EventReader,
    /// Tokens sent to the caller.
    sent: u64,
    /// Tokens sent when the current attempt started.
    resumed_at: u64,
    /// Whether the caller was sent a chunk.
    opened: bool,
    /// Whether the caller was sent the finish reason.
    finished: bool,
    ended: bool,
}

impl Relay {
    fn new(job: CompletionJob, attempt: Attempt) -> Relay {
        Relay {
            job,
            slot: Some(attempt.slot),
            body: attempt.response.into_body(),
            reader: EventReader::default(),
            sent: 0,
            resumed_at: 0,
            opened: false,
            finished: false,
            ended: false,
        }
    }

    /// The next bytes for the caller; `None` after the end.
    async fn next_frame(&mut self) -> Option<Bytes> {
        while !self.ended {
            let frame = match self.next_chunk().await {
                Ok(chunk) => self.forward(chunk),
                Err(reason) => self.recover(&reason).await,
            };
            if frame.is_some() {
                return frame;
            }
        }
        None
    }

    /// The bytes to send to the caller for one chunk, if any.
    fn forward(&mut self, chunk: Chunk) -> Option<Bytes> {
        match chunk {
            Chunk::Token(value) => {
                if self.sent == 0 {
                    self.record_first_token();
                }
                self.sent += 1;
                self.opened = true;
                Some(write_event(value, &self.job.id))
            }
            Chunk::Finish(value) => {
                self.finished = true;
                Some(write_event(value, &self.job.id))
            }
            // After resuming, the new engine sends the opening chunk again.
            Chunk::Other(_) if self.opened && !self.finished => None,
            Chunk::Other(value) => {
                self.opened = true;
                Some(write_event(value, &self.job.id))
            }
            Chunk::Done => {
                self.end(AttemptOutcome::Done);
                Some(done_event())
            }
            Chunk::Comment | Chunk::Malformed => None,
        }
    }

    /// Reads the engine's next chunk; the error says why the stream broke.
    async fn next_chunk(&mut self) -> Result<Chunk, String> {
        loop {
            let event = self.reader.next_event().map_err(|_| "an event is too long".to_owned())?;
            if let Some(event) = event {
                // A malformed event may have held a token, which the response would then lack.
                return match Chunk::read(&event) {
                    Chunk::Malformed => Err("the stream contains a malformed event".to_owned()),
                    chunk => Ok(chunk),
                };
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.reader.push(bytes);
                    }
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => return Err("the stream ended without `[DONE]`".to_owned()),
            }
        }
    }

    /// Resumes on another engine after a break; returns the final event if it cannot.
    async fn recover(&mut self, reason: &str) -> Option<Bytes> {
        log::info!(target: "relay", id = self.job.id.as_str(), reason, sent = self.sent;
            "stream broke off");
        self.job.host.metrics.count_stream_break();
        self.job.record_outcome(Outcome::Ran);
        // If the engine produced tokens, its failure is unlikely to be due to the prompt.
        self.job.crashes += usize::from(self.sent == self.resumed_at);
        self.resumed_at = self.sent;
        if let Some(slot) = self.slot.take() {
            self.job.record_failure(slot, AttemptOutcome::Crashed);
        }
        if self.finished {
            self.end(AttemptOutcome::Done);
            return Some(done_event());
        }
        match self.job.start_attempt(self.sent).await {
            Ok(attempt) if attempt.response.status().is_success() => {
                self.slot = Some(attempt.slot);
                self.body = attempt.response.into_body();
                self.reader = EventReader::default();
                None
            }
            Ok(attempt) => {
                attempt.slot.finish(AttemptOutcome::Failed);
                let message = "the engine chosen to resume the stream returned an error";
                Some(self.fail(&Failure::target_failed(Outcome::Ran, message)))
            }
            Err(failure) => Some(self.fail(&failure)),
        }
    }

    /// Ends the stream with an error event and no `[DONE]`, so that clients see it as cut off.
    fn fail(&mut self, failure: &Failure) -> Bytes {
        self.end(AttemptOutcome::Failed);
        format!("data: {}\n\n", failure.to_json()).into()
    }

    fn record_first_token(&self) {
        let now = self.job.host.deps.clock.now();
        self.job.host.metrics.record_first_token(now.since(self.job.arrived));
        if let Some(slot) = &self.slot {
            slot.first_token();
        }
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        self.ended = true;
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.job.count_usage(self.sent);
    }
}
