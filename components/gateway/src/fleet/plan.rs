//! What a request asks of its targets, and the targets chosen for it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    fleet::{Build, BuildId, Import},
    protocol::Prompt,
};

/// Predicted prefill time from which all hosts are told at once: about what a short
/// prompt may wait and still be on time.
const LONG_PREFILL_MS: f64 = 50.0;

/// Requirements of a request for its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetQuery<'a> {
    /// Service that the target must run.
    pub service: &'a str,
    /// The prompt; empty for plain services.
    pub prompt: &'a Prompt,
    /// Targets that have been tried already.
    pub exclude: &'a [Arc<str>],
    /// Software version that the target must have; none if any will do.
    pub build: Option<BuildId>,
    /// Longest pause with which the service's streams are on time; none if unspecified.
    pub max_pause: Option<Duration>,
    /// Whether the request is lost if the target fails, since it may not run again.
    pub runs_once: bool,
}

/// The target chosen for a request, with its predicted times.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The target's id.
    pub id: Arc<str>,
    /// The target's address.
    pub addr: SocketAddr,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// The target's software version.
    pub build: Build,
    /// Which start of the target it was chosen for.
    pub incarnation: u64,
    /// Prompt tokens that the target is expected to compute.
    pub compute_tokens: u32,
    /// Predicted time to compute them.
    pub prefill_ms: f64,
    /// Predicted time before that: queueing, and an import.
    pub wait_ms: f64,
    /// Predicted total cost, by which targets are compared.
    pub cost_ms: f64,
    /// Whether it is known which parts of the prompt are cached there.
    pub cache_is_known: bool,
    /// What the target fetches from another engine first; none if nothing.
    pub import: Option<Import>,
}

/// The targets that run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The target that sends the response.
    pub placement: Placement,
    /// The target that computes the prompt first; none if the same one does.
    pub prefill: Option<Placement>,
}

impl Plan {
    /// Predicted time until the first event.
    pub fn predicted_time(&self) -> Duration {
        let prefill = self.prefill.as_ref().map_or(Duration::ZERO, Placement::predicted_time);
        prefill + self.placement.predicted_time()
    }
}

impl Placement {
    /// Predicted time until the target takes the request, in milliseconds: what more targets would
    /// shorten.
    pub fn target_wait_ms(&self) -> f64 {
        let import = self.import.as_ref().map_or(0.0, |import| import.transfer_ms);
        self.wait_ms - import
    }

    /// Predicted time until the prompt is computed.
    pub fn predicted_time(&self) -> Duration {
        Duration::from_secs_f64((self.wait_ms + self.prefill_ms).max(0.0) / 1e3)
    }

    /// The source of the import and the number of tokens to move, for log lines.
    pub(crate) fn import_fields(&self) -> (Option<&str>, u32) {
        let import = self.import.as_ref();
        (import.map(|import| &*import.source), import.map_or(0, |import| import.tokens))
    }

    /// Whether the prefill takes so long that all hosts are told at once.
    pub fn has_long_prefill(&self) -> bool {
        self.prefill_ms >= LONG_PREFILL_MS
    }
}
