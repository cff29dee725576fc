//! A caller's request, from its arrival to its answer.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clock::Time;
use chervilgate_policy::{Fingerprint, Trial};
use chervilgate_serve::{CallerConnection, Cutoff};
use hyper::{HeaderMap, Method, http::uri::PathAndQuery};
use smallvec::SmallVec;

use crate::{
    answered_over::AnsweredOver,
    config::Route,
    demand::WaitCount,
    fleet::Placement,
    memory::Reservation,
    poison::{PoisonGuard, PoisonVerdict, SharedParts},
    progress::Progress,
    protocol::RequestHead,
};

/// Share of the latency target from which a predicted wait counts as long.
const LONG_WAIT_SHARE: f64 = 0.5;

/// A caller's request with its complete body.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What the body takes of the host's budget.
    pub(crate) _body_memory: Reservation,
    /// Closes the caller's connection; none if it is not known.
    pub(crate) cutoff: Option<Cutoff>,
    pub(crate) ask: RequestHead,
    pub(crate) fingerprint: Fingerprint,
    /// Set if the request is refused and tried again.
    pub(crate) trial: Option<Trial>,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: SharedParts,
    pub(crate) route: Arc<Route>,
    /// Version of the configuration that `route` is from.
    pub(crate) config_version: u64,
    pub(crate) service: Arc<str>,
    pub(crate) org: Option<Arc<str>>,
    pub(crate) priority: u8,
    /// Longest pause with which the service's streams are on time; none if unspecified.
    pub(crate) max_pause: Option<Duration>,
    pub(crate) arrived_at: Time,
    /// Deadline for the complete response.
    pub(crate) deadline: Time,
    /// The same as if this host did not stop before.
    pub(crate) wanted_until: Time,
    pub(crate) caller: Caller,
    /// Number of times that a connection to a target took the request, not counting separate
    /// prefills.
    pub(crate) sent: Arc<AtomicU32>,
    pub(crate) answered_over: AnsweredOver,
    /// Whether a target may have computed the prompt apart.
    pub(crate) computed_apart: Arc<AtomicBool>,
    pub(crate) wait_count: WaitCount,
    pub(crate) progress: Progress,
}

/// The caller of a request.
#[derive(Clone)]
pub(crate) struct Caller {
    /// None if the server does not tell.
    connection: Option<CallerConnection>,
}

impl Caller {
    pub(crate) fn new(connection: Option<CallerConnection>) -> Caller {
        Caller { connection }
    }

    pub(crate) fn has_left(&self) -> bool {
        self.connection.as_ref().is_some_and(CallerConnection::has_left)
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn left(&self) {
        match &self.connection {
            Some(connection) => connection.left().await,
            None => pending().await,
        }
    }
}

/// Maximum number of prompt parts named in a log line.
const MAX_LOGGED_PARTS: usize = 8;

impl CallerRequest {
    /// The parts of the prompt that other requests may share, for log lines.
    pub(crate) fn shared_parts(&self) -> String {
        let parts = self.ask.prompt.shared_parts().iter().take(MAX_LOGGED_PARTS);
        let names: SmallVec<[String; MAX_LOGGED_PARTS]> =
            parts.map(|part| format!("{:x}", part.id)).collect();
        names.join(",")
    }

    /// Whether the caller holds events of the stream already.
    pub(crate) fn takes_up(&self) -> bool {
        self.ask.last_event.is_some()
    }

    /// Whether the prompt is predicted to wait at the target for so long that the request may be
    /// late.
    pub(crate) fn waits_long(&self, placement: &Placement) -> bool {
        let limit = self.route.latency_target.as_secs_f64() * 1e3 * LONG_WAIT_SHARE;
        self.ask.prompt.tokens > 0 && placement.target_wait_ms() > limit
    }

    /// Why it may not be sent for what it may do to targets; none if it may.
    pub(crate) fn poison_verdict(&self, now: Time, poison: &PoisonGuard) -> Option<PoisonVerdict> {
        match self.trial {
            Some(trial) => poison.trial_verdict(now, self.fingerprint, &self.parts, trial),
            None => poison.verdict(now, self.fingerprint, &self.parts),
        }
    }

    pub(crate) fn sent_count(&self) -> u32 {
        self.sent.load(Ordering::Relaxed)
    }
}
