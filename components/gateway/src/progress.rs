//! Where callers' requests are on their way, to tell what was under way for a caller that left.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use chervilgate_clock::Time;

use crate::state::Shared;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Stage {
    /// The rest of its body.
    #[default]
    Body,
    /// Its organisation's quota.
    Quota,
    /// The software version that began its stream.
    Origin,
    /// Capacity of targets.
    Turn,
    /// A target that computes its prompt.
    Prompt,
    /// A target's answer.
    Answer,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Body => "body",
            Stage::Quota => "quota",
            Stage::Origin => "origin",
            Stage::Turn => "turn",
            Stage::Prompt => "prompt",
            Stage::Answer => "answer",
        }
    }
}

/// The present stage of a request; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress(Arc<Mutex<Stage>>);

impl Progress {
    pub(crate) fn set(&self, stage: Stage) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    fn get(&self) -> Stage {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that has no answer yet. The server drops it once the caller's connection has ended, which
/// is logged and counted.
pub(crate) struct OpenRequest {
    pub(crate) shared: Arc<Shared>,
    pub(crate) id: String,
    pub(crate) started: Time,
    pub(crate) progress: Progress,
    pub(crate) sent: Arc<AtomicU32>,
    /// Whether it was answered.
    pub(crate) is_answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let (id, stage) = (&self.id, self.progress.get().as_str());
        let ms = self.shared.now().since(self.started).as_millis() as u64;
        let sent = self.sent.load(Ordering::Relaxed);
        log::info!(target: "gateway", id, stage, sent, ms; "caller left before the answer");
        self.shared.metrics.count_end("left");
    }
}
